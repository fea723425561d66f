package assign

import (
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/permit"
)

const (
	// permitOutage is how long no leader that issues permits is known before hosts use shares of their own instead.
	permitOutage = 2 * time.Second
	// ownShare is the part of an endpoint's limit that all hosts together may use without permits. It is small, because other
	// hosts may still get permits for the whole limit.
	ownShare = 0.25
	// hostPeakTime is the time over which the largest number of hosts determines a host's own share. The number falls for a
	// moment when control hosts restart.
	hostPeakTime = time.Minute
	// minDemand is the rate, in requests per second, below which no permit is wanted.
	minDemand = 0.1
	// An endpoint whose limit is at most maxProbedRate requests per second gets what it takes, if that costs a request no more than
	// maxProbeCost of its value: only its answers show that the limit has ended.
	maxProbedRate, maxProbeCost = 2.0, 0.1
	// maxWantedPermits limits the permits that a host asks for at once.
	maxWantedPermits = 1000
	// randomStride is the factor by which the digits of a random number are moved to draw once more.
	randomStride = 1 << 20
)

// LifetimeLimit is the limit that a lifetime of an endpoint named.
type LifetimeLimit struct {
	Lifetime registry.Lifetime  `cbor:"1,keyasint"`
	Limit    requestlimit.Limit `cbor:"2,keyasint"`
}

// NamedLimit records the limit in an answer, in requests per second, requestlimit.None for an answer that names none. It reports
// whether this changes what is known of the endpoint.
func (a *Assigner) NamedLimit(now unit.Moment, f *Attempt, perSecond float64) bool {
	if f == nil {
		return false
	}
	r := f.replica
	if r.limit.Loosens(perSecond) && f.sentAt <= r.limitKnownAt {
		return false // the answer may be older than the limit
	}
	return r.setLimit(now, r.limit.Changed(perSecond))
}

// LearnLimits merges the limits of endpoints that other hosts have learned.
func (a *Assigner) LearnLimits(now unit.Moment, endpoints []registry.Endpoint) {
	for _, e := range endpoints {
		if r, ok := a.replicas[e.ID]; ok && r.Born == e.Born {
			r.publishedLimit = e.Limit
			r.setLimit(now, r.limit.Merge(e.Limit))
		}
	}
}

// setLimit puts a limit in force, and reports whether it differs from the current one. After a lower limit the permits that were
// granted before are dropped.
func (r *replica) setLimit(now unit.Moment, l requestlimit.Limit) bool {
	if l == r.limit {
		return false
	}
	if l.Rate() < r.limit.Rate() {
		r.permits = nil
	}
	r.limit, r.limitKnownAt, r.ownTurn = l, now, 0
	return true
}

// Limits returns the limits that endpoints named to this host and that the control host doesn't know yet. If resend is set, it also
// returns those of the endpoints for which this host wants permits.
func (a *Assigner) Limits(now unit.Moment, resend bool) []LifetimeLimit {
	var limits []LifetimeLimit
	for _, r := range a.replicas {
		if r.limit.Version > 0 && (r.limit != r.publishedLimit || resend && r.wantsPermits(now)) {
			limits = append(limits, LifetimeLimit{registry.Lifetime{Endpoint: r.ID, Born: r.Born}, r.limit})
		}
	}
	return limits
}

// WantedPermits returns the number of permits that this host wants for each endpoint that names a limit, beyond those that it has.
func (a *Assigner) WantedPermits(now unit.Moment) map[unit.EndpointID]int {
	wanted := map[unit.EndpointID]int{}
	for id, r := range a.replicas {
		if !r.wantsPermits(now) {
			continue
		}
		needed := int(math.Ceil(r.demand.rate(now) * permit.Lifetime.Seconds()))
		if missing := min(needed, maxWantedPermits) - r.usablePermits(now); missing > 0 {
			wanted[id] = missing
		}
	}
	return wanted
}

func (r *replica) wantsPermits(now unit.Moment) bool {
	return r.limit.InForce() && r.acceptsRequests(now) && r.demand.rate(now) >= minDemand
}

// AddPermits adds permits that a control host granted for an endpoint.
func (a *Assigner) AddPermits(id unit.EndpointID, granted permit.Batch) {
	if r, ok := a.replicas[id]; ok && r.limit.InForce() {
		r.permits = append(r.permits, granted)
	}
}

// SetPermitsAge records how long ago a leader that issues permits was last known. SetHosts must be called before.
func (a *Assigner) SetPermitsAge(now unit.Moment, age time.Duration) {
	a.permitsAt = max(a.permitsAt, now.Add(-age))
	if a.hosts >= a.hostPeak || now.Sub(a.hostPeakAt) > hostPeakTime {
		a.hostPeak, a.hostPeakAt = a.hosts, now
	}
}

// UntilPermit returns the mean time between two requests that the limits of the service's endpoints allow to all hosts together, and
// whether there are such limits.
func (a *Assigner) UntilPermit(service table.ServiceName) (time.Duration, bool) {
	rate := 0.0
	for _, r := range a.services[service] {
		if r.limit.InForce() && !r.Draining && !r.leaving {
			rate += r.limit.Rate()
		}
	}
	if rate == 0 {
		return 0, false
	}
	return time.Duration(float64(time.Second) / rate), true
}

// usablePermits drops the permits that have ended and returns the number of the others.
func (r *replica) usablePermits(now unit.Moment) int {
	r.permits = slices.DeleteFunc(r.permits, func(b permit.Batch) bool { return b.Until <= now || b.Permits <= 0 })
	count := 0
	for _, b := range r.permits {
		count += b.Permits
	}
	return count
}

// withinLimit reports whether this host may send the endpoint a request now.
func (a *Assigner) withinLimit(now unit.Moment, r *replica, draw float64) bool {
	return !r.limit.InForce() || r.usablePermits(now) > 0 || a.mayUseOwnShare(now, r, draw)
}

// mayUseOwnShare reports whether this host may send a request without a permit, because there is no leader to issue any. Each host
// then has turns at random moments, so that the hosts' turns don't coincide. A turn lasts as long as a permit.
func (a *Assigner) mayUseOwnShare(now unit.Moment, r *replica, draw float64) bool {
	if now.Sub(max(a.permitsAt, r.limitKnownAt)) < permitOutage {
		r.ownTurn = 0
		return false
	}
	if r.ownTurn == 0 || now.Sub(r.ownTurn) > permit.Lifetime {
		r.ownTurn = a.nextOwnTurn(now, r, draw)
	}
	return r.ownTurn <= now
}

func (a *Assigner) nextOwnTurn(now unit.Moment, r *replica, draw float64) unit.Moment {
	interval := float64(max(a.hostPeak, 1)) / (ownShare * r.limit.Rate())
	// On average a draw is half of the range, and turns must not come more often than once in the interval.
	return now.Add(max(time.Duration(2*draw*interval*float64(time.Second)), time.Millisecond))
}

// spendPermit takes a permit or the host's own turn for a request that is sent to the endpoint.
func (a *Assigner) spendPermit(now unit.Moment, r *replica, w *Request) {
	if !r.limit.InForce() {
		return
	}
	if !w.WaitsForPermit {
		r.demand.add(now, 1)
	}
	if r.usablePermits(now) == 0 {
		r.ownTurn = a.nextOwnTurn(now, r, redraw(w.Random))
		return
	}
	first := 0
	for i, b := range r.permits {
		if b.Until < r.permits[first].Until {
			first = i
		}
	}
	r.permits[first].Permits--
}

// pickAllowed picks an endpoint to which this host may send now. It counts in limited the endpoints that would have been picked if they
// weren't at their limit; what the limits leave over goes to the next best endpoints.
func (a *Assigner) pickAllowed(now unit.Moment, w *Request, considered []candidate, limited *int) (candidate, bool) {
	pick, random := highestValue, w.Random
	if !w.HasPrompt {
		pick = weightedRandom
	}
	for {
		picked, ok := pick(random, considered)
		if !ok {
			return picked, false
		}
		if probed, found := probedEndpoint(now, picked, considered); found {
			return probed, true
		}
		random = redraw(random)
		if a.withinLimit(now, picked.replica, random) {
			return picked, true
		}
		*limited++
		if !w.WaitsForPermit {
			picked.replica.demand.add(now, 1)
		}
		considered = slices.DeleteFunc(considered, func(c candidate) bool { return c.replica == picked.replica })
	}
}

// redraw returns a random number in [0, 1) made of the lower digits of another one, which don't depend on what its upper digits decided.
func redraw(random float64) float64 {
	return math.Mod(random*randomStride, 1)
}

// probedEndpoint returns a candidate for which this host has a permit and that gets the request instead of the picked one, because its
// limit is so low that otherwise hardly any answer would show its end.
func probedEndpoint(now unit.Moment, picked candidate, considered []candidate) (candidate, bool) {
	for _, c := range considered {
		if c.replica.limit.InForce() && c.replica.limit.Rate() <= maxProbedRate && c.tier == picked.tier && c.value >= picked.value-maxProbeCost &&
			c.replica.usablePermits(now) > 0 {
			return c, true
		}
	}
	return candidate{}, false
}
