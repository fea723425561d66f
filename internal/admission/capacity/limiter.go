// Package capacity limits how many requests an entry host may have running on the endpoints of one target at a time. The
// hosts don't coordinate their limits: each host adapts its own limit to the queue waits that the endpoints report.
// Together they keep the endpoints busy, while most requests wait in the queues of the hosts, which order them by urgency
// and fairness.
package capacity

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// targetWait is the longest queue wait at an endpoint that doesn't count as congestion. It is enough to keep the
	// endpoints' batches full between load reports.
	targetWait = 20 * time.Millisecond
	// growthPerSecond is the number of slots by which the limit grows per second without congestion.
	growthPerSecond = 8.0
	// decreaseFactor is the factor by which congestion lowers the limit, at most once in every decreaseInterval.
	decreaseFactor   = 0.85
	decreaseInterval = 200 * time.Millisecond
	// minShare is the smallest limit of a host, as a fraction of an equal share of all slots.
	minShare = 0.5
)

// Limiter computes the limit of running requests of one host for one target. It is a deterministic state machine and not
// safe for concurrent use.
type Limiter struct {
	limit              float64
	minLimit, maxLimit float64
	lastGrowth         unit.Moment
	lastDecrease       unit.Moment
	congested          bool
}

// New returns a limiter with the limit 0, until SetRange is called.
func New(now unit.Moment) *Limiter {
	return &Limiter{lastGrowth: now, lastDecrease: now}
}

// SetRange sets the range of the limit from the total number of slots of the endpoints and the number of entry hosts. While
// the limit is 0, it becomes an equal share of the slots.
func (l *Limiter) SetRange(slots, hosts int) {
	share := float64(slots) / float64(max(hosts, 1))
	l.minLimit = math.Ceil(share * minShare)
	l.maxLimit = float64(slots)
	if l.limit == 0 {
		l.limit = math.Ceil(share)
	}
	l.limit = min(max(l.limit, l.minLimit), l.maxLimit)
}

// Observe lowers the limit if the queue wait that an endpoint reported for one request exceeds targetWait.
func (l *Limiter) Observe(now unit.Moment, wait time.Duration) {
	if wait <= targetWait {
		return
	}
	l.congested = true
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = max(l.limit*decreaseFactor, l.minLimit)
}

// Slots returns the number of requests that may run now. The limit grows only while at least 80% of it is in use, so that
// an idle host doesn't build up a high limit that it would use in one burst.
func (l *Limiter) Slots(now unit.Moment, running int) int {
	elapsed := now.Sub(l.lastGrowth)
	l.lastGrowth = now
	inUse := float64(running) >= l.limit*0.8
	if !l.congested && inUse {
		l.limit = min(l.limit+growthPerSecond*elapsed.Seconds(), l.maxLimit)
	}
	if now.Sub(l.lastDecrease) >= decreaseInterval {
		l.congested = false
	}
	return int(l.limit)
}
