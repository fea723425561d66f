package assign

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// brittleLifetime is how long the endpoints of a service count as brittle after one of them said so. An answer of the same endpoint
	// that doesn't say so ends it.
	brittleLifetime = 10 * time.Second
	// rejectedShare is the share of the rejections that a brittle endpoint survives which all hosts together may cause.
	rejectedShare = 0.08
	// minRejections replaces a smaller number of rejections that a brittle endpoint says that it survives.
	minRejections = 0.5
	// maxBrittleRest limits how long a host sends nothing to a brittle endpoint after a rejection there.
	maxBrittleRest = 30 * time.Second
	// drawFactor makes another random number of the one that chooses the endpoint.
	drawFactor = 1009
	// maxErlangSlots limits the number of places for which the loss is computed.
	maxErlangSlots = 512
)

// brittleness is what the endpoints of a service say about the requests that they may reject. An endpoint that has to reject more of them in
// a second falls over.
type brittleness struct {
	perSecond float64 // rejections that an endpoint survives, of all hosts
	namedBy   unit.EndpointID
	namedAt   unit.Moment
}

// NamedBrittle records whether an answer of the attempt's endpoint said that the endpoint is brittle, and how many rejections a second it
// survives. It reports whether that is new for the service.
func (a *Assigner) NamedBrittle(now unit.Moment, f *Attempt, brittle bool, perSecond float64) (changed bool) {
	if f == nil {
		return false
	}
	service := f.replica.Service
	known, was := a.brittleness(now, service)
	switch {
	case brittle:
		a.brittle[service] = brittleness{perSecond: max(perSecond, minRejections), namedBy: f.replica.ID, namedAt: now}
		return !was
	case was && known.namedBy == f.replica.ID:
		delete(a.brittle, service)
		return true
	default:
		return false
	}
}

// Brittle reports whether an endpoint of the service has lately said that it is brittle.
func (a *Assigner) Brittle(now unit.Moment, service table.ServiceName) bool {
	_, ok := a.brittleness(now, service)
	return ok
}

func (a *Assigner) brittleness(now unit.Moment, service table.ServiceName) (brittleness, bool) {
	b, ok := a.brittle[service]
	return b, ok && now.Sub(b.namedAt) <= brittleLifetime
}

// noRoom reports whether a brittle endpoint might reject the request. Where there are as many places as hosts, each host keeps to its share of
// the places, so that no request is rejected. Otherwise the hosts let so few requests pass that the expected rejections are far below what
// the endpoints survive.
func (a *Assigner) noRoom(now unit.Moment, r *replica, w *Request) bool {
	switch {
	case !a.Brittle(now, r.Service):
		return false
	case a.places(r) >= a.hosts:
		return !a.withinShare(r, w)
	default:
		return now < r.restsUntil
	}
}

// mayPass reports whether a request may be sent to a service whose endpoints are brittle and have fewer places than there are hosts. Each host
// lets a share of its requests pass, drawn at random, so that all hosts together send no more than the endpoints can take. It is called
// once for each request.
func (a *Assigner) mayPass(now unit.Moment, w *Request) bool {
	b, ok := a.brittleness(now, w.Service)
	if !ok {
		return true
	}
	allowed, places, rate := 0.0, 0, 0.0
	for _, r := range a.services[w.Service] {
		if a.places(r) >= a.hosts {
			return true
		}
		if !r.acceptsRequests(now) || r.pausedUntil > now || a.suspected(now, r) {
			continue
		}
		if a.places(r) != places { // endpoints of a service mostly have the same number of places
			places = a.places(r)
			rate = b.sendRate(places, a.serviceStat(w.statKey()).meanDuration)
		}
		allowed += rate / float64(a.hosts)
	}
	demand, ok := a.demands[w.Service]
	if !ok {
		demand = &decayingRate{}
		a.demands[w.Service] = demand
	}
	demand.add(now, 1)
	_, draw := math.Modf(w.Random * drawFactor)
	return draw*demand.rateSinceStart(now) < allowed
}

// places returns the number of requests that an endpoint runs at a time.
func (a *Assigner) places(r *replica) int {
	if r.engine != nil && r.engine.Slots > 0 {
		return r.engine.Slots
	}
	return max(r.Slots, 1)
}

// withinShare reports whether the request and this host's running ones take no more than this host's share of the endpoint's places and
// memory. A single request may take more memory.
func (a *Assigner) withinShare(r *replica, w *Request) bool {
	if r.own.Requests+1 > a.places(r)/a.hosts {
		return false
	}
	return r.own.Requests == 0 || r.engine == nil || !w.HasPrompt || r.own.Tokens+w.memoryTokens() <= r.engine.CacheTokens/unit.Tokens(a.hosts)
}

// rejected records that an endpoint rejected a request. A brittle one gets no more from this host until all hosts could have had one
// rejection each without harm.
func (a *Assigner) rejected(now unit.Moment, r *replica) {
	if b, ok := a.brittleness(now, r.Service); ok {
		rest := time.Duration(float64(a.hosts) / b.perSecond * float64(time.Second))
		r.restsUntil = max(r.restsUntil, now.Add(min(rest, maxBrittleRest)))
	}
}

// sendRate returns how many requests a second all hosts together may send to an endpoint with the given number of places so that at most
// rejectedShare of the rejections that it survives are expected. Requests arrive at random and take the mean duration (Erlang's loss
// formula).
func (b brittleness) sendRate(places int, duration time.Duration) float64 {
	if duration <= 0 {
		duration = defaultDuration
	}
	places = min(places, maxErlangSlots)
	low, high := 0.0, float64(places)
	for range 12 {
		middle := (low + high) / 2
		if middle/duration.Seconds()*lossShare(middle, places) <= rejectedShare*b.perSecond {
			low = middle
		} else {
			high = middle
		}
	}
	return low / duration.Seconds()
}

// lossShare returns the share of requests that find all places taken, where offered is the mean number of places that would be taken if
// there were enough.
func lossShare(offered float64, places int) float64 {
	loss := 1.0
	for n := 1; n <= places; n++ {
		loss = offered * loss / (float64(n) + offered*loss)
	}
	return loss
}
