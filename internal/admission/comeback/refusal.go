// Package comeback decides when a caller whose request was refused is told to come back.
package comeback

import "time"

const (
	// leastAfter is the least time to come back after: a queue that is too long is hardly shorter sooner.
	leastAfter = 250 * time.Millisecond
	// honoured is the part of the time that a caller has left up to which it waits as told (a third on the users' platform, less a
	// margin for the way). A longer time is cut off there by all callers alike, and those come back together.
	honoured = 0.32
	// mostAfter bounds the time for callers that wait very long.
	mostAfter = 4 * time.Second
)

// Refusal is a request that wasn't sent to any endpoint.
type Refusal struct {
	Room time.Duration // until there will be room if nothing else comes, 0 if that isn't known
	Left time.Duration // until the caller gives up
	Draw float64       // random, from 0 up to 1
}

// After returns how long the caller shall wait. Callers that are refused in a burst come back evenly over the time from when there
// will be room to the longest that they wait, so that they don't make the next burst.
func (r Refusal) After() time.Duration {
	latest := min(time.Duration(honoured*float64(r.Left)), mostAfter)
	earliest := min(max(r.Room, leastAfter), max(latest, leastAfter))
	// Where the time left is short, some spread remains below the earliest.
	latest = max(latest, earliest+leastAfter/2)
	return earliest + time.Duration(r.Draw*float64(latest-earliest))
}
