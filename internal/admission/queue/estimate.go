package queue

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// expectedWait estimates the time until the last waiter of a flow is admitted after added more have joined the flow. The
// flow may be nil for a customer without work in this level; weight is the customer's weight. The result is 0 while a slot
// is free, since nothing waits then.
//
// The wait is the work ahead divided by the capacity of this level. The capacity is what remains of the slots after more
// urgent arrivals and the guaranteed shares of less urgent levels. The work ahead is that of all more urgent waiters and,
// within the level, what fair queueing serves before the flow's last waiter: the flow's own waiters, and those of the other
// flows in proportion to their weights.
func (q *Queue) expectedWait(now unit.Moment, l *level, f *flow, weight int64, added int) time.Duration {
	if len(q.running) < q.slots {
		return 0
	}
	if q.slots == 0 {
		return math.MaxInt64
	}
	slots := float64(q.slots)
	ahead, busy := 0.0, 0.0
	for _, other := range q.levels {
		switch {
		case other.urgency < l.urgency:
			ahead += float64(other.waitingWork())
			busy += other.slotsNeeded(now)
		case other.urgency > l.urgency && other.waiting > 0:
			busy += GuaranteedShare * slots
		}
	}
	ahead += float64(l.serviceTime.value) * q.aheadInLevel(l, f, weight, added)
	// The running requests end at random times, so the first of n requests ends after about 1/(n+1) of a service time.
	wait := float64(q.runningService())/(slots+1) + ahead/max(slots-busy, GuaranteedShare*slots)
	return time.Duration(min(wait, math.MaxInt64/2))
}

// aheadInLevel returns how many waiters of the level are served before the flow's last waiter.
func (q *Queue) aheadInLevel(l *level, f *flow, weight int64, added int) float64 {
	own, weights := added, l.activeWeight
	if f != nil {
		own += f.waiters.Len()
	}
	if f == nil || f.waiters.Len() == 0 {
		weights += weight
	}
	total := float64(l.waiting + added - 1)
	return min(total, float64(own)*float64(weights)/float64(weight)-1)
}

// runningService returns the mean service time of the running requests.
func (q *Queue) runningService() time.Duration {
	var sum time.Duration
	count := 0
	for _, l := range q.levels {
		sum += time.Duration(l.running) * l.serviceTime.value
		count += l.running
	}
	return sum / time.Duration(max(1, count))
}
