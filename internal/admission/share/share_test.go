package share

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	step   = 50 * time.Millisecond
	window = 10 * time.Second
)

// testCluster connects holders, each with a clock of its own, to a grantor over a network that delays and loses messages.
type testCluster struct {
	now               time.Duration
	limit             float64
	holders           []*Holder
	clockOffsets      []time.Duration
	isolated          []bool
	grantor           *Grantor
	messages          []message
	admitted          map[unit.CustomerID][]time.Duration
	demandedCustomers int // number of customers in all demands together
}

type message struct {
	at      time.Duration
	deliver func()
}

func newTestCluster(hosts int, limit float64) *testCluster {
	tc := &testCluster{limit: limit, isolated: make([]bool, hosts), admitted: map[unit.CustomerID][]time.Duration{}}
	for i := range hosts {
		tc.clockOffsets = append(tc.clockOffsets, time.Duration(i)*time.Hour)
		tc.holders = append(tc.holders, NewHolder(tc.moment(i), unit.HostName(fmt.Sprint("host-", i)), hosts))
	}
	tc.grantor = NewGrantor(0, hosts, LeaseTime)
	return tc
}

func (tc *testCluster) moment(host int) unit.Moment {
	return unit.Moment(tc.now + tc.clockOffsets[host])
}

func (tc *testCluster) limits(unit.CustomerID) float64 { return tc.limit }

func (tc *testCluster) take(host int, c unit.CustomerID) bool {
	ok, _ := tc.holders[host].Take(tc.moment(host), c, tc.limit)
	if ok {
		tc.admitted[c] = append(tc.admitted[c], tc.now)
	}
	return ok
}

// demand sends a host's demand. The demand arrives after the delay there and the answer after the further delay back, or
// never if lost.
func (tc *testCluster) demand(host int, there, back time.Duration, lost bool) {
	sent := tc.moment(host)
	d := tc.holders[host].Demand(sent)
	tc.demandedCustomers += len(d.Customers)
	if tc.isolated[host] {
		return
	}
	tc.messages = append(tc.messages, message{tc.now + there, func() {
		g := tc.grantor.Grant(unit.Moment(tc.now), d, tc.limits)
		if !lost && !tc.isolated[host] {
			tc.messages = append(tc.messages, message{tc.now + back, func() { tc.holders[host].Accept(sent, g) }})
		}
	}})
}

func (tc *testCluster) advance() {
	tc.now += step
	for i := 0; i < len(tc.messages); i++ {
		if m := tc.messages[i]; m.at <= tc.now {
			tc.messages = append(tc.messages[:i], tc.messages[i+1:]...)
			i--
			m.deliver()
		}
	}
}

// maxAdmittedInWindow returns the largest number of requests admitted in any window of 10 s.
func (tc *testCluster) maxAdmittedInWindow(c unit.CustomerID) int {
	most, first := 0, 0
	for last, at := range tc.admitted[c] {
		for tc.admitted[c][first] <= at-window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// checkInvariants checks what must hold at any time: the rates of all hosts add up to no more than the limit, and their
// bucket depths and tokens to no more than the burst. The bound on admissions in every window follows from this.
func (tc *testCluster) checkInvariants(t assert.TestingT) {
	rates, depths, tokens := 0.0, 0.0, 0.0
	for host, h := range tc.holders {
		b := h.customers["kroon"]
		if b == nil {
			continue
		}
		now := *b
		if !h.leasesValid || h.leasesUntil.Before(tc.moment(host)) {
			now.leased = 0
		}
		rates += now.rate()
		depths += now.depth()
		tokens += min(now.tokens, now.depth())
	}
	burst := max(burstPart*tc.limit, float64(len(tc.holders)))
	assert.Assert(t, rates <= tc.limit+1e-6, "rates add up to %v of %v", rates, tc.limit)
	assert.Assert(t, depths <= burst+1e-6, "bursts add up to %v of %v", depths, burst)
	assert.Assert(t, tokens <= burst+1e-6, "saved requests add up to %v of %v", tokens, burst)
}

// Guards against admissions by all hosts together above the limit. Causes are a rate leased twice after a lost, late or
// reordered message, a network partition, a lowered demand or a new grantor, and a burst used again by the host to which a
// lease moves.
func TestAdmittedNeverExceedsTheLimitByFivePercent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 5).Draw(t, "hosts")
		limit := rapid.SampledFrom([]float64{0.5, 3, 20, 60}).Draw(t, "limit")
		tc := newTestCluster(hosts, limit)
		rates := make([]float64, hosts)
		due := make([]float64, hosts)
		for i := range 600 { // 30 s
			tc.advance()
			if rapid.IntRange(0, 200).Draw(t, "restart") == 0 {
				tc.grantor = NewGrantor(unit.Moment(tc.now), hosts, LeaseTime)
			}
			for host := range hosts {
				if i%40 == 0 {
					rates[host] = rapid.SampledFrom([]float64{0, 0.3 * limit, limit, 4 * limit}).Draw(t, "rate")
					tc.isolated[host] = rapid.IntRange(0, 4).Draw(t, "isolated") == 0
				}
				for due[host] += rates[host] * step.Seconds(); due[host] >= 1; due[host]-- {
					tc.take(host, "kroon")
				}
				tc.checkInvariants(t)
				if (i+host)%10 == 0 {
					there := time.Duration(rapid.IntRange(0, 20).Draw(t, "there")) * step
					back := time.Duration(rapid.IntRange(0, 20).Draw(t, "back")) * step
					tc.demand(host, there, back, rapid.IntRange(0, 4).Draw(t, "lost") == 0)
				}
			}
		}
		allowed := limit * window.Seconds() * 1.05
		if limit < 2*float64(hosts) {
			allowed = limit*window.Seconds() + float64(hosts)
		}
		assert.Assert(t, float64(tc.maxAdmittedInWindow("kroon")) <= allowed+1e-6, "%d in a window, %v allowed", tc.maxAdmittedInWindow("kroon"), allowed)
	})
}

// run offers requests to the hosts for a time d at the given rates, with demands every 500 ms. It returns how many requests
// each host admitted.
func (tc *testCluster) run(d time.Duration, rates ...float64) []int {
	admitted := make([]int, len(rates))
	due := make([]float64, len(rates))
	for end := tc.now + d; tc.now < end; {
		tc.advance()
		for host, rate := range rates {
			for due[host] += rate * step.Seconds(); due[host] >= 1; due[host]-- {
				if tc.take(host, "kroon") {
					admitted[host]++
				}
			}
			if tc.now%(500*time.Millisecond) == 0 {
				tc.demand(host, 0, 0, false)
			}
		}
	}
	return admitted
}

// Guards against leases on hosts that don't need them, which keep the customer below its limit: the leases must follow the
// load to another host. A host that is cut off from the grantor must go on with its reserved rate.
func TestLeasesFollowTheLoad(t *testing.T) {
	tc := newTestCluster(7, 100)
	tc.run(8*time.Second, 300, 0, 0, 0, 0, 0, 0)
	got := tc.run(window, 300, 0, 0, 0, 0, 0, 0)
	assert.Assert(t, got[0] >= 800 && got[0] <= 850, "one host gets its minimum and all leases: %v", got)
	tc.run(8*time.Second, 0, 0, 0, 300, 0, 0, 0)
	got = tc.run(window, 0, 0, 0, 300, 0, 0, 0)
	assert.Assert(t, got[3] >= 800 && got[3] <= 850, "the leases move: %v", got)

	tc.isolated[3] = true
	tc.run(8*time.Second, 300, 300, 300, 300, 300, 300, 300)
	got = tc.run(window, 300, 300, 300, 300, 300, 300, 300)
	t.Log("admitted in 10 s of 100/s with one of 7 hosts isolated:", got, "most in any window:", tc.maxAdmittedInWindow("kroon"))
	assert.Assert(t, got[3] >= 28 && got[3] <= 30, "an isolated host has its minimum: %v", got)
	assert.Assert(t, got[0] >= 160 && got[0] <= 165 && got[6] >= 160 && got[6] <= 165, "the others share fairly: %v", got)
	assert.Assert(t, tc.maxAdmittedInWindow("kroon") <= 1050)

	tc.isolated[3] = false
	tc.limit = 10
	tc.run(4*time.Second, 0, 300, 0, 300, 0, 300, 0)
	got = tc.run(window, 0, 300, 0, 300, 0, 300, 0)
	assert.Assert(t, got[1]+got[3]+got[5] <= 105, "a lowered limit is in force: %v", got)
}

// Guards against demands that list customers whose rate hasn't changed, and against state that is kept for customers that
// no longer send requests.
func TestDemandIsSmallWhenNothingChanges(t *testing.T) {
	tc := newTestCluster(7, 100)
	tc.run(10*time.Second, 20, 20, 20, 20, 20, 20, 20)
	tc.demandedCustomers = 0
	tc.run(20*time.Second, 20, 20, 20, 20, 20, 20, 20)
	assert.Equal(t, tc.demandedCustomers, 0, "customers in 280 demands under a steady load")
	tc.run(20*time.Second, 0, 0, 0, 0, 0, 0, 0)
	for _, h := range tc.holders {
		assert.Equal(t, len(h.customers), 0)
	}
	assert.Equal(t, len(tc.grantor.pools), 0)
	tc.take(0, "kroon")
	data, err := codec.Marshal(tc.holders[0].Demand(tc.moment(0)))
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 32, "%d bytes", len(data))
	h := NewHolder(0, "host-1", 7)
	h.Take(0, "klein", 1)
	assert.Equal(t, len(h.Demand(0).Customers), 0, "a single request needs no lease")
}

// Guards against a grantor that grants while leases of the previous leader may still be in use, and against a host that
// renews a lease which the grantor doesn't count, because an answer was lost or a demand came late, twice or from another
// session.
func TestGrantorCountsEveryLeaseThatAHostMayHave(t *testing.T) {
	limits := func(unit.CustomerID) float64 { return 70 }
	g := NewGrantor(100, 7, LeaseTime)
	wanted := func(rate float64) map[unit.CustomerID]float64 { return map[unit.CustomerID]float64{"kroon": rate} }
	start := 100 + unit.Moment(LeaseTime)
	seconds := func(s float64) unit.Moment { return start.Add(time.Duration(s * float64(time.Second))) }
	steps := []struct {
		name string
		now  unit.Moment
		d    Demand
		want Grant
	}{
		{"too early", start - 1, Demand{Host: "a", Sequence: 9, Customers: wanted(12)}, Grant{}},
		{"on time", start, Demand{Host: "a", Sequence: 9, Customers: wanted(12)}, Grant{Customers: wanted(10), For: LeaseTime, Full: true}},
		{"repeated", start, Demand{Host: "a", Sequence: 9, Base: 9, Customers: wanted(50)}, Grant{}},
		{"older base", start, Demand{Host: "a", Sequence: 10, Base: 8}, Grant{Resync: true}},
		{"newer base", start, Demand{Host: "a", Sequence: 12, Base: 10}, Grant{Resync: true}},
		{"unknown host", start, Demand{Host: "b", Sequence: 3, Base: 2}, Grant{Resync: true}},
		{"renewed", start, Demand{Host: "a", Sequence: 10, Base: 9}, Grant{Customers: wanted(0), For: LeaseTime}},
		{"given back, answer lost", seconds(1), Demand{Host: "a", Sequence: 11, Base: 10, Customers: wanted(0)}, Grant{Customers: wanted(0), For: LeaseTime}},
		{"still held", seconds(3), Demand{Host: "b", Sequence: 3, Customers: wanted(70)}, Grant{Customers: wanted(46), For: LeaseTime, Full: true}},
		{"mentioned again", seconds(3.5), Demand{Host: "a", Sequence: 12, Base: 10}, Grant{Customers: wanted(0), For: LeaseTime}},
		{"free now", seconds(3.5), Demand{Host: "b", Sequence: 4, Base: 3}, Grant{Customers: wanted(56), For: LeaseTime}},
	}
	for _, s := range steps {
		if s.name == "renewed" {
			s.want.Customers = map[unit.CustomerID]float64{}
		}
		s.want.Sequence = s.d.Sequence
		assert.DeepEqual(t, g.Grant(s.now, s.d, limits), s.want)
	}
}

// Guards against tokens for the time before a lease was granted, against the use of a lease that a complete answer has
// ended or an older answer changes, and against a lease that is larger than a lowered limit.
func TestHolderUsesOnlyItsLatestLease(t *testing.T) {
	h := NewHolder(0, "host-1", 2)
	h.SetBursts(func(unit.CustomerID) float64 { return 1000 })
	h.Take(0, "kroon", 100)
	b := h.customers["kroon"]
	grant := func(rate float64, sequence uint64, full bool) {
		g := Grant{For: LeaseTime, Sequence: sequence, Full: full}
		if rate > 0 {
			g.Customers = map[unit.CustomerID]float64{"kroon": rate}
		}
		h.Accept(h.now, g)
		h.Take(h.now, "kroon", 100)
	}
	for range 4 {
		h.Demand(unit.Moment(time.Second))
	}
	h.now = unit.Moment(time.Minute)
	grant(80, 2, true)
	assert.Assert(t, b.tokens <= 101, "%v tokens, the host's part of the burst was 101 before the lease", b.tokens)
	assert.Equal(t, b.leased, 80.0)
	grant(40, 1, false)
	assert.Equal(t, b.leased, 80.0, "an older answer")
	grant(0, 3, false)
	assert.Equal(t, b.leased, 80.0, "an answer that doesn't mention the lease")
	h.Take(h.now, "kroon", 20)
	assert.Equal(t, b.rate(), 18.0, "the lowered limit")
	grant(0, 4, true)
	assert.Equal(t, b.leased, 0.0, "a complete answer")
}

// Guards against a lease whose time is counted from the arrival of the grant, so that it overlaps with another host's
// lease.
func TestLeaseCountsFromTheDemand(t *testing.T) {
	h := NewHolder(0, "host-1", 2)
	h.Take(0, "kroon", 100)
	d := h.Demand(0)
	h.Accept(0, Grant{Customers: map[unit.CustomerID]float64{"kroon": 80}, For: LeaseTime, Sequence: d.Sequence, Full: true})
	count := func(from, until unit.Moment) (admitted int) {
		for now := from; now < until; now = now.Add(time.Millisecond) {
			if ok, _ := h.Take(now, "kroon", 100); ok {
				admitted++
			}
		}
		return admitted
	}
	assert.Assert(t, math.Abs(float64(count(0, unit.Moment(LeaseTime)))-270) < 3)
	assert.Assert(t, count(unit.Moment(LeaseTime), unit.Moment(LeaseTime+time.Second)) <= 11+7, "only the reserved 10/s and what was saved")
	h.Take(unit.Moment(LeaseTime+time.Second), "kroon", 100)
	ok, retryAfter := h.Take(unit.Moment(LeaseTime+time.Second), "kroon", 100)
	assert.Assert(t, !ok && retryAfter > 0 && retryAfter <= 20*time.Millisecond, "%v %v", ok, retryAfter)
}

// Guards against refusing the first request of a customer with a low limit after a restart.
func TestSmallCustomerIsServedAtOnce(t *testing.T) {
	h := NewHolder(0, "host-1", 7)
	ok, _ := h.Take(0, "klein", 0.1)
	assert.Assert(t, ok)
	ok, retryAfter := h.Take(0, "klein", 0.1)
	assert.Assert(t, !ok && retryAfter == maxRetryAfter)
	h.GiveBack(0, "klein")
	ok, _ = h.Take(0, "klein", 0.1)
	assert.Assert(t, ok, "the first request was refused elsewhere")
	ok, _ = h.Take(0, "none", 0)
	assert.Assert(t, !ok)
}

// BenchmarkRenewal measures a demand and the answer to it for a host with 30,000 active customers.
func BenchmarkRenewal(b *testing.B) {
	tc := newTestCluster(1, 10)
	tc.now = LeaseTime
	for i := range 60_000 {
		tc.take(0, unit.CustomerID(fmt.Sprint(i%30_000)))
	}
	for b.Loop() {
		d := tc.holders[0].Demand(tc.moment(0))
		tc.holders[0].Accept(tc.moment(0), tc.grantor.Grant(unit.Moment(tc.now), d, tc.limits))
	}
}

func BenchmarkTake(b *testing.B) {
	h := NewHolder(0, "host-1", 7)
	for now := unit.Moment(0); b.Loop(); now++ {
		h.Take(now, "kroon", 100)
	}
}
