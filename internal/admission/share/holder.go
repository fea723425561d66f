package share

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// idleAfter is how long a rate is demanded for a customer after its last request.
	idleAfter = 5 * time.Second
	// headroom is the ratio of the demanded to the measured rate. It allows the rate to grow between two demands.
	headroom = 1.25
	// lowWatermark is the fraction of the demanded rate below which the measured rate causes a lower demand. The measured rate
	// of a customer with few requests varies a lot, and each change of the demand costs bytes on every host.
	lowWatermark  = 0.4
	minRetryAfter = time.Millisecond
	maxRetryAfter = time.Minute
)

// Holder applies the customers' limits on one entry host, with the host's reserved and leased rates. It is a deterministic
// state machine, not safe for concurrent use. In any window of 10 s, all hosts together admit at most 10 s times the limit
// plus the larger of the burst and one request per host. Unless SetBursts gives another burst, it is 0.5 s times the limit,
// which keeps the excess at 5%.
type Holder struct {
	host             unit.HostName
	hosts            int
	started          unit.Moment
	now              unit.Moment // latest time passed to any method
	leasesUntil      unit.Moment // expiry of all leases
	leasesValid      bool        // there are leases, which expire at leasesUntil
	sequence         uint64      // sequence of the last demand
	acceptedSequence uint64      // sequence of the last accepted grant; 0 makes the next demand a complete one
	bursts           func(unit.CustomerID) float64
	customers        map[unit.CustomerID]*bucket
}

// NewHolder returns the holder of one host, where hosts is the configured number of entry hosts.
func NewHolder(now unit.Moment, host unit.HostName, hosts int) *Holder {
	return &Holder{
		host: host, hosts: max(1, hosts), started: now, now: now, customers: map[unit.CustomerID]*bucket{},
		bursts: func(unit.CustomerID) float64 { return 0 },
	}
}

// SetBursts sets the function that returns a customer's own burst, in requests for all hosts together. A result that isn't
// positive stands for the default burst.
func (h *Holder) SetBursts(bursts func(unit.CustomerID) float64) {
	h.bursts = bursts
}

// Take counts one request against this host's share of the customer's limit, which is in requests/s for all hosts together.
// If the share is used up, ok is false and retryAfter is the time after which to try again.
func (h *Holder) Take(now unit.Moment, c unit.CustomerID, limit float64) (ok bool, retryAfter time.Duration) {
	now = h.advance(now)
	b := h.customers[c]
	if b == nil {
		b = h.newBucket(limit)
		h.customers[c] = b
	}
	b.advance(now)
	b.configure(limit, h.hosts, h.bursts(c))
	b.countAttempt(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	b.refusedSinceDemand = true
	// The lease usually grows with the next demand, so the current rate alone would give a needlessly long time.
	rate := max(b.rate(), limit/float64(h.hosts))
	if rate <= 0 {
		return false, maxRetryAfter
	}
	wait := min((1-b.tokens)/rate, maxRetryAfter.Seconds())
	return false, max(time.Duration(wait*float64(time.Second)), minRetryAfter)
}

// GiveBack undoes Take for a request that was refused afterwards and didn't run.
func (h *Holder) GiveBack(now unit.Moment, c unit.CustomerID) {
	now = h.advance(now)
	if b := h.customers[c]; b != nil {
		b.advance(now)
		b.tokens = min(b.tokens+1, b.depth())
	}
}

// newBucket returns a bucket with the tokens that the reserved rate has earned since the holder started. If the limit is
// below two requests/s per host, the bucket starts with one token more; otherwise a customer with a low limit would be
// refused for minutes after a restart.
func (h *Holder) newBucket(limit float64) *bucket {
	b := &bucket{tokensUpdated: h.started}
	b.configure(limit, h.hosts, 0)
	if limit < 2*float64(h.hosts) {
		b.tokens = 1
	}
	b.advance(h.now)
	return b
}

// Demand returns the next message to the grantor. It must be sent several times per lease time, also when it is empty.
func (h *Holder) Demand(now unit.Moment) Demand {
	now = h.advance(now)
	h.sequence++
	d := Demand{Host: h.host, Sequence: h.sequence, Base: h.acceptedSequence, Customers: map[unit.CustomerID]float64{}}
	for id, b := range h.customers {
		b.advance(now)
		if wanted := b.nextDemand(now); wanted != b.demanded {
			b.demanded, b.demandedSequence = wanted, h.sequence
		}
		b.refusedSinceDemand = false
		if b.demandedSequence > h.acceptedSequence {
			d.Customers[id] = b.demanded
		}
		if b.canBeDropped(now, h.acceptedSequence) {
			delete(h.customers, id)
		}
	}
	return d
}

// Accept applies the answer to the demand that was sent at the given time. Lost, late and repeated answers are harmless.
func (h *Holder) Accept(sent unit.Moment, g Grant) {
	if g.Resync && g.Sequence > h.acceptedSequence {
		h.acceptedSequence = 0
	}
	if g.For <= 0 || g.Sequence <= h.acceptedSequence || g.Sequence > h.sequence {
		return
	}
	h.acceptedSequence = g.Sequence
	h.leasesUntil, h.leasesValid = max(h.leasesUntil, sent.Add(g.For)), true
	for id, b := range h.customers {
		if rate, ok := g.Customers[id]; ok {
			b.setLease(rate)
		} else if g.Full {
			b.setLease(0)
		}
	}
}

// advance advances the holder's time, which never goes back, and ends the leases if they have expired. It returns the new
// time.
func (h *Holder) advance(now unit.Moment) unit.Moment {
	h.now = max(h.now, now)
	if h.leasesValid && h.leasesUntil.Before(h.now) {
		h.leasesValid, h.acceptedSequence = false, 0
		for _, b := range h.customers {
			b.setLease(0)
		}
	}
	return h.now
}
