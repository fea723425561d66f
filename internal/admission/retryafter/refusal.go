// Package retryafter computes the Retry-After time of refused requests.
package retryafter

import "time"

const (
	// minRetryAfter is the shortest time returned by After. A queue that is too long is hardly shorter before that.
	minRetryAfter = 250 * time.Millisecond
	// honouredFraction is the fraction of a caller's remaining time up to which the caller honours Retry-After: a third on the
	// users' platform, less a margin for the network. Callers cut a longer time down to that fraction, so they would all retry
	// at the same time.
	honouredFraction = 0.32
	// maxRetryAfter bounds the time for callers with much remaining time, apart from the smallest spread (see After).
	maxRetryAfter = 4 * time.Second
)

// Refusal describes a request that was refused without being sent to an endpoint.
type Refusal struct {
	UntilCapacity time.Duration // expected time until there is capacity if no other requests arrive, 0 if unknown
	Remaining     time.Duration // time until the caller gives up
	Draw          float64       // random number in [0, 1), which spreads the retries
}

// After returns how long the caller should wait before it retries. The retries of callers that are refused in a burst are
// spread evenly between the time when capacity is expected and the longest time that the callers honour, so that they don't
// cause another burst.
func (r Refusal) After() time.Duration {
	latest := min(time.Duration(honouredFraction*float64(r.Remaining)), maxRetryAfter)
	earliest := min(max(r.UntilCapacity, minRetryAfter), max(latest, minRetryAfter))
	// Retries are spread over at least half of minRetryAfter, also if the caller has little time left.
	latest = max(latest, earliest+minRetryAfter/2)
	return earliest + time.Duration(r.Draw*float64(latest-earliest))
}
