package share

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// rateWindow is the time constant of the exponential average by which the rate of requests is measured.
const rateWindow = 2 * time.Second

// bucket is the token bucket of one customer on one host.
type bucket struct {
	limit, reserved float64 // requests/s
	extraBurst      float64 // burst of all hosts together, in requests, minus one request per host
	leased          float64 // requests/s
	pendingLease    float64 // requests/s; a higher lease takes effect at the next advance
	tokens          float64
	tokensUpdated   unit.Moment // time of the last change of tokens by advance

	refusedSinceDemand bool    // a request was refused since the last demand
	recentAttempts     float64 // requests within rateWindow, as of lastAttempt
	lastAttempt        unit.Moment
	demanded           float64 // requests/s, as computed for the last demand
	demandedSequence   uint64  // sequence of the demand that changed demanded
}

// configure sets the customer's limit in requests/s and the burst of all hosts together in requests. Without a positive
// burst, the burst is burstPart of the limit.
func (b *bucket) configure(limit float64, hosts int, burst float64) {
	if burst <= 0 {
		burst = burstPart * limit
	}
	b.limit = max(0, limit)
	b.reserved = reservedRate(b.limit, hosts)
	b.extraBurst = max(0, burst-float64(hosts))
	b.tokens = min(b.tokens, b.depth())
}

// rate returns the host's part of the limit in requests/s. A lease that was granted before the limit was lowered counts
// only up to the leasable rate of the new limit.
func (b *bucket) rate() float64 {
	return b.reserved + min(b.leased, leasableRate(b.limit))
}

// depth returns the largest number of tokens: one, without which no request could ever be admitted, plus this host's part
// of the burst. The depths of all hosts add up to the burst, or to one request per host if that is more.
func (b *bucket) depth() float64 {
	if b.limit <= 0 {
		return 0
	}
	return 1 + b.extraBurst*b.rate()/b.limit
}

// advance adds the tokens since the last call at the rate that was in effect, and puts a pending higher lease into effect.
func (b *bucket) advance(now unit.Moment) {
	if b.tokensUpdated.Before(now) {
		b.tokens = min(b.tokens+b.rate()*now.Sub(b.tokensUpdated).Seconds(), b.depth())
		b.tokensUpdated = now
	}
	b.leased = max(b.leased, b.pendingLease)
}

// setLease sets the leased rate. A lower rate applies to the whole time since the last advance, a higher one only from the
// next advance on: Accept doesn't know the current time and must not add tokens for a time when another host may have had
// the lease.
func (b *bucket) setLease(rate float64) {
	b.leased = min(b.leased, rate)
	b.pendingLease = rate
}

func (b *bucket) countAttempt(now unit.Moment) {
	b.recentAttempts = b.decayedAttempts(now) + 1
	b.lastAttempt = now
}

func (b *bucket) decayedAttempts(now unit.Moment) float64 {
	return b.recentAttempts * math.Exp(-now.Sub(b.lastAttempt).Seconds()/rateWindow.Seconds())
}

// nextDemand returns the rate to demand, in requests/s. It stays the same while the measured rate is close to it. After a
// refusal it is the whole limit, because the measured rate lags behind a sudden rise; the grantor divides the limit between
// the hosts.
func (b *bucket) nextDemand(now unit.Moment) float64 {
	if now.Sub(b.lastAttempt) > idleAfter {
		return 0
	}
	if b.refusedSinceDemand {
		return b.limit
	}
	measured := min(b.decayedAttempts(now)/rateWindow.Seconds(), b.limit)
	switch {
	case measured <= b.demanded && measured >= lowWatermark*b.demanded:
		return b.demanded
	case b.demanded == 0 && (measured <= b.reserved || b.recentAttempts <= 1):
		// A single request needs no lease, because each bucket holds at least one token.
		return 0
	default:
		return min(measured*headroom, b.limit)
	}
}

// canBeDropped reports whether the bucket can be deleted without changing what the host admits: it is full, idle and
// without a lease, and the grantor knows that nothing is demanded.
func (b *bucket) canBeDropped(now unit.Moment, accepted uint64) bool {
	return b.demanded == 0 && b.demandedSequence <= accepted && b.leased == 0 && b.tokens >= b.depth() && now.Sub(b.lastAttempt) > idleAfter
}
