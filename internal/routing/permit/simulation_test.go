package permit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/permit"
)

// The users' rule: in any limitWindow an endpoint may get limitExcess times what its limit allows and limitExtra more.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitExtra  = 5
)

const (
	step          = 25 * time.Millisecond
	syncInterval  = 50 * time.Millisecond
	runTime       = 50 * time.Millisecond // of each request
	troubleBegins = 10 * time.Second
	troubleEnds   = 20 * time.Second
	simulatedTime = 26 * time.Second
	// Where every host has minHostRate requests per second that no other endpoint takes, at least minUsedShare of the limit is used.
	minHostRate, minUsedShare = 2, 0.5
	controlHosts              = 5
	limitedTarget             = unit.EndpointID("limited")
)

// fleet simulates entry hosts that send requests to one endpoint that names a limit and, if alternatives is set, to others without. Each control host but the
// leader divides what the leader grants to it among its entry hosts.
type fleet struct {
	random       *rand.Rand
	now          unit.Moment
	hosts        []*assign.Assigner
	granted      [][]permit.Batch // to each host, on the way
	pools        [controlHosts]permit.Pool
	sent         []unit.Moment    // requests to the limited endpoint
	running      []runningRequest // in the order in which they end
	alternatives bool
}

func newFleet(hosts int, alternatives bool, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), granted: make([][]permit.Batch, hosts), alternatives: alternatives}
	for range hosts {
		f.hosts = append(f.hosts, newHost(f.endpoints(requestlimit.Limit{})))
	}
	return f
}

func newHost(known []registry.Endpoint) *assign.Assigner {
	a := assign.New(assign.Settings{DataCentre: "a", ReportSilence: time.Hour})
	a.SetEndpoints(known, func(table.ServiceName) (*table.Service, bool) { return nil, false }, nil, nil)
	return a
}

func (f *fleet) endpoints(l requestlimit.Limit) []registry.Endpoint {
	var known []registry.Endpoint
	ids := []unit.EndpointID{limitedTarget}
	if f.alternatives {
		ids = append(ids, "free-1", "free-2")
	}
	for _, id := range ids {
		e := registry.Endpoint{Report: registry.Report{ID: id, Service: "s", Address: string(id), DataCentre: "a", Slots: 6, Born: 1}, HeardAt: f.now}
		if id == limitedTarget {
			e.Limit = l
		}
		known = append(known, e)
	}
	return known
}

// runningRequest is a request that an endpoint runs.
type runningRequest struct {
	host    *assign.Assigner
	attempt *assign.Attempt
	endsAt  unit.Moment
}

// endRequests ends the requests that have run for runTime.
func (f *fleet) endRequests() {
	for len(f.running) > 0 && f.running[0].endsAt <= f.now {
		f.running[0].host.End(f.now, f.running[0].attempt, assign.EndedComplete)
		f.running = f.running[1:]
	}
}

// request sends one request from a host.
func (f *fleet) request(i int) {
	w := &assign.Request{Service: "s", Objective: 300 * time.Millisecond, Random: f.random.Float64()}
	choice, ok := f.hosts[i].Choose(f.now, w, nil)
	if !ok {
		return
	}
	attempt := f.hosts[i].Begin(f.now, w, choice)
	f.running = append(f.running, runningRequest{f.hosts[i], attempt, f.now.Add(runTime)})
	if choice.Endpoint == limitedTarget {
		f.sent = append(f.sent, f.now)
	}
}

// sync exchanges wanted and granted permits between the hosts and their control hosts. Host i syncs with control host i modulo
// controlHosts; the first one is the leader. reached reports whether a host reaches it.
func (f *fleet) sync(rate float64, knownHosts int, reached func(host int) bool) {
	name := func(i int) unit.HostName { return unit.HostName(fmt.Sprint(i)) }
	var claims [controlHosts][]permit.Claim
	for i, a := range f.hosts {
		if !reached(i) {
			continue
		}
		a.SetHosts(knownHosts)
		a.SetPermitsAge(f.now, 0)
		for _, b := range f.granted[i] {
			a.AddPermits(limitedTarget, b)
		}
		f.granted[i] = nil
		if wanted := a.WantedPermits(f.now)[limitedTarget]; wanted > 0 {
			claims[i%controlHosts] = append(claims[i%controlHosts], permit.Claim{Host: name(i), Wanted: wanted})
		}
	}
	grant := func(control int, claims []permit.Claim) {
		for host, batches := range f.pools[control].Grant(f.now, claims, f.random.Float64) {
			i := 0
			if n, _ := fmt.Sscanf(string(host), "control-%d", &i); n == 1 {
				for _, b := range batches {
					f.pools[i].Receive(b)
				}
				continue
			}
			_, _ = fmt.Sscan(string(host), &i)
			f.granted[i] = append(f.granted[i], batches...)
		}
	}
	for control := 1; control < controlHosts; control++ {
		wanted := 0
		for _, c := range claims[control] {
			wanted += c.Wanted
		}
		grant(control, claims[control])
		if wanted > 0 {
			claims[0] = append(claims[0], permit.Claim{Host: unit.HostName(fmt.Sprint("control-", control)), Wanted: wanted})
		}
	}
	f.pools[0].Accrue(f.now, rate)
	grant(0, claims[0])
}

func mostInWindow(sent []unit.Moment) int {
	most, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a limit that doesn't hold over all hosts: with more hosts than the limit allows requests, while the leader can't be
// reached by some or all hosts, after all hosts have restarted at once, and while the number of hosts is underestimated. Guards also
// against hosts that hardly use what the limit allows.
func TestALimitHoldsOverAnyNumberOfHosts(t *testing.T) {
	everyHost := func(int) bool { return true }
	troubles := []struct {
		name    string
		reached func(host int) bool // whether a host reaches a control host in the time of trouble
		known   func(hosts int) int // number of hosts that the hosts know of meanwhile
		restart bool                // whether all hosts restart at the beginning of that time
	}{
		{name: "none", reached: everyHost},
		{name: "no leader", reached: func(int) bool { return false }},
		{name: "no leader for a third of the hosts", reached: func(i int) bool { return i%3 != 0 }},
		{name: "all hosts restart together", reached: everyHost, restart: true},
		{name: "hosts know of half of the hosts", reached: func(i int) bool { return i%2 == 0 }, known: func(hosts int) int { return hosts / 2 }},
	}
	for _, hosts := range []int{1, 7, 75, 300} {
		for _, rate := range []float64{0, 0.5, 1, 2, 20, 200} {
			for _, trouble := range troubles {
				for _, alternatives := range []bool{true, false} {
					t.Run(fmt.Sprintf("%d hosts, %g a second, %s, alternatives %t", hosts, rate, trouble.name, alternatives), func(t *testing.T) {
						t.Parallel()
						f := newFleet(hosts, alternatives, uint64(hosts)+uint64(rate*10))
						limit := requestlimit.Limit{}.Changed(rate)
						requests := max(minHostRate*float64(hosts), 3*rate) // of all hosts, per second
						used := 0
						for f.now = unit.Moment(step); f.now < unit.Moment(simulatedTime); f.now = f.now.Add(step) {
							if f.now == unit.Moment(step) || trouble.restart && f.now == unit.Moment(troubleBegins) {
								for i := range f.hosts {
									f.hosts[i] = newHost(f.endpoints(limit))
									f.hosts[i].LearnLimits(f.now, f.endpoints(limit))
								}
							}
							f.endRequests()
							for range poisson(f.random, requests*step.Seconds()) {
								f.request(f.random.IntN(hosts))
							}
							if f.now%unit.Moment(syncInterval) == 0 {
								reached, known := everyHost, hosts
								if f.now > unit.Moment(troubleBegins) && f.now < unit.Moment(troubleEnds) {
									reached = trouble.reached
									if trouble.known != nil {
										known = trouble.known(hosts)
									}
								}
								f.sync(limit.Rate(), known, reached)
							}
							if f.now <= unit.Moment(troubleBegins) {
								used = len(f.sent)
							}
						}
						allowed := limitExcess*rate*limitWindow.Seconds() + limitExtra
						most := mostInWindow(f.sent)
						assert.Assert(t, float64(most) <= allowed, "%d requests in %s, %.1f are allowed", most, limitWindow, allowed)
						usedShare := float64(used) / (limit.Rate() * troubleBegins.Seconds())
						t.Logf("at most %d requests in %s, %.0f are allowed; %.2f of the limit is used", most, limitWindow, allowed, usedShare)
						assert.Assert(t, alternatives || rate < 1 || usedShare >= minUsedShare, "%.2f of the limit is used", usedShare)
					})
				}
			}
		}
	}
}

// poisson draws the number of events where the given number is expected.
func poisson(random *rand.Rand, expected float64) int {
	count := 0
	for left := expected - random.ExpFloat64(); left > 0; left -= random.ExpFloat64() {
		count++
	}
	return count
}
