// Package room decides which requests are sent to endpoints that can't serve all of them in time. Requests are divided into classes of
// urgency; endpoints serve more urgent ones first. The decision depends on its arguments only.
package room

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// maxWaitShare is the longest time that a request may wait for others, as a share of its objective. The rest is left for the request
	// itself and for the error of the estimate.
	maxWaitShare = 0.6
	// returnedWaitFactor multiplies the wait that is allowed to a request whose caller was refused before, so that it isn't refused again
	// while a host with somewhat newer or older loads admits new ones.
	returnedWaitFactor = 1.2
	// maxKeptShare limits the share of the endpoints' time that is kept for requests that go first, so that the others don't wait
	// for ever for time that isn't used.
	maxKeptShare = 0.9
)

// Kept is what the endpoints need for requests that go before the one to decide on and will arrive while it waits.
type Kept struct {
	Share  float64     // of the time of the endpoints, 0 to 1
	Memory unit.Tokens // of each endpoint, including that of such requests that it runs now
}

// Queue is what goes first when there is room again after a refusal.
type Queue struct {
	// Returning is the time that the endpoints need for requests of the class that were refused and haven't returned yet.
	Returning time.Duration
	// ClosedFor is how much longer new requests of the class are refused, because one that had returned was.
	ClosedFor time.Duration
}

// Request is a request to decide on, at the endpoint that suits it best.
type Request struct {
	// Objectives are the shortest objectives of the classes up to that of the request, the most urgent first; 0 means none.
	Objectives []time.Duration
	// Waits are the times that a request of each of these classes would wait for others at the endpoint.
	Waits []time.Duration
	// MemoryWait is the time, included in the last of Waits, until the endpoint has memory for the request.
	MemoryWait time.Duration
	// Objective is that of the request's route; 0 means none.
	Objective time.Duration
	// Returned says that the caller was refused before. Such requests go before new ones of their class.
	Returned bool
	Kept     Kept
	Queue    Queue
}

// Decision says whether a request is sent.
type Decision struct {
	Admitted bool
	Wait     time.Duration // time that the request would wait for others
	Limit    time.Duration // longest Wait with which it is admitted; 0 if it has no objective
	// Until is the time until there is room for the class, 0 if the request is admitted.
	Until time.Duration
	Kept  Kept
}

// Decide decides on a request. It is refused if it would wait for longer than its limit, or for memory, or if a request of a more urgent class
// would nearly have to be refused at the endpoint: a less urgent class is refused first. Each limit is reduced by the time that requests
// which go first will take, so that the wait that is left is what the request really waits.
func Decide(r Request) Decision {
	last := len(r.Waits) - 1
	left := 1 - min(max(r.Kept.Share, 0), maxKeptShare)
	objective := r.Objectives[last]
	if r.Objective > 0 && (objective <= 0 || r.Objective < objective) {
		objective = r.Objective
	}
	d := Decision{Admitted: true, Wait: r.Waits[last], Limit: limit(objective, left), Kept: r.Kept}
	if r.Returned {
		d.Limit = time.Duration(returnedWaitFactor * float64(d.Limit))
	}
	if objective <= 0 {
		return d
	}
	excess := max(d.Wait-d.Limit, r.MemoryWait)
	for class, wait := range r.Waits[:last] {
		if r.Objectives[class] > 0 {
			excess = max(excess, wait-limit(r.Objectives[class], left))
		}
	}
	switch {
	case excess > 0 && r.Returned:
		// What goes first takes its share of the time in which the wait falls.
		d.Admitted, d.Until = false, time.Duration(float64(excess)/left)
	case excess > 0:
		d.Admitted, d.Until = false, max(time.Duration(float64(excess+r.Queue.Returning)/left), r.Queue.ClosedFor)
	case !r.Returned && r.Queue.ClosedFor > 0:
		d.Admitted, d.Until = false, r.Queue.ClosedFor
	}
	return d
}

func limit(objective time.Duration, left float64) time.Duration {
	return time.Duration(maxWaitShare * float64(objective) * left)
}
