// Package permit divides the requests that an endpoint's limit allows among the hosts that want to send some. The limit holds for
// all hosts together, and is often smaller than their number, so that no host can have a rate of its own. Instead, the leader of
// the control hosts issues permits for single requests at the rate of the limit. A permit that isn't used within its lifetime is
// lost, so that the requests of any window are limited by the permits issued in that window and the lifetime before it.
package permit

import (
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

const (
	// Lifetime is how long after its issue a permit may be used. It is long enough for a permit to reach a host that has asked for
	// it and to wait there for the next request.
	Lifetime = time.Second
	// burstTime is the time for which permits that nobody wants are kept, but at least one permit is.
	burstTime = 100 * time.Millisecond
	// maxPermits limits the permits in an entry of a message from another host.
	maxPermits = 1 << 20
)

// Count is a number of permits for an endpoint, as wanted or granted in messages between hosts.
type Count struct {
	_       struct{}       `cbor:",toarray"`
	Index   registry.Index // of the control host's registry, or of the sender's if both are control hosts
	Permits uint32
	// LifetimeLeft is how much longer granted permits may be used, in milliseconds. It isn't set for wanted permits.
	LifetimeLeft uint32
}

// Batch returns the permits of a received message. sentAt is a moment that isn't after the message was sent, so that the permits end in
// time; on control hosts, the moment of its receipt stands for it.
func (c Count) Batch(sentAt unit.Moment) Batch {
	lifetime := min(time.Duration(c.LifetimeLeft)*time.Millisecond, Lifetime)
	return Batch{Permits: int(min(c.Permits, maxPermits)), Until: sentAt.Add(lifetime)}
}

// Batch is a number of permits that may be used until the same moment.
type Batch struct {
	Permits int
	Until   unit.Moment
}

// Claim is the number of permits for an endpoint that a host wants, on its own behalf or on that of hosts that ask it.
type Claim struct {
	Host   unit.HostName
	Wanted int
}

// Pool holds the permits for one endpoint that a control host may grant. It is a deterministic state machine, not safe for concurrent
// use.
type Pool struct {
	batches    []Batch // received from the leader
	accrued    float64 // permits not yet issued, on the leader
	accruedAt  unit.Moment
	isAccruing bool
}

// Accrue adds the permits that the limit, in requests per second, allows since the last call. Only the leader calls it. The first call
// after it became leader adds nothing, so that frequent changes of the leader don't raise the rate.
func (p *Pool) Accrue(now unit.Moment, perSecond float64) {
	if p.isAccruing {
		p.accrued = min(p.accrued+perSecond*now.Sub(p.accruedAt).Seconds(), max(1, perSecond*burstTime.Seconds()))
	}
	p.isAccruing, p.accruedAt = true, now
}

// StopAccruing ends the issue of permits on a host that isn't the leader any more.
func (p *Pool) StopAccruing() {
	p.isAccruing, p.accrued = false, 0
}

// Receive adds permits that the leader granted to this host.
func (p *Pool) Receive(b Batch) {
	p.batches = append(p.batches, b)
}

// Left returns the number of permits that could be granted now.
func (p *Pool) Left(now unit.Moment) int {
	p.batches = slices.DeleteFunc(p.batches, func(b Batch) bool { return b.Until <= now })
	left := int(p.accrued)
	for _, b := range p.batches {
		left += b.Permits
	}
	return left
}

// Grant divides the permits among the claims, and returns what each host gets. If there are too few, hosts get permits with a
// probability in proportion to what they want. It counts the claims down by what it grants. draw returns random numbers in [0, 1).
func (p *Pool) Grant(now unit.Moment, claims []Claim, draw func() float64) map[unit.HostName][]Batch {
	granted := map[unit.HostName][]Batch{}
	wanted := 0
	for _, c := range claims {
		wanted += c.Wanted
	}
	for left := p.Left(now); left > 0 && wanted > 0; left-- {
		position := int(draw() * float64(wanted))
		i := 0
		for i < len(claims)-1 && position >= claims[i].Wanted {
			position -= claims[i].Wanted
			i++
		}
		claims[i].Wanted--
		wanted--
		until := p.take(now)
		given := granted[claims[i].Host]
		if last := len(given) - 1; last >= 0 && given[last].Until == until {
			given[last].Permits++
		} else {
			given = append(given, Batch{Permits: 1, Until: until})
		}
		granted[claims[i].Host] = given
	}
	return granted
}

// take removes one permit, the one that ends first, and returns the moment at which it ends.
func (p *Pool) take(now unit.Moment) unit.Moment {
	if len(p.batches) == 0 {
		p.accrued--
		return now.Add(Lifetime)
	}
	first := 0
	for i, b := range p.batches {
		if b.Until < p.batches[first].Until {
			first = i
		}
	}
	until := p.batches[first].Until
	if p.batches[first].Permits--; p.batches[first].Permits == 0 {
		p.batches = slices.Delete(p.batches, first, first+1)
	}
	return until
}

// Total returns the number of permits in the batches, at most what fits into a message.
func Total(batches []Batch) uint32 {
	total := 0
	for _, b := range batches {
		total += b.Permits
	}
	return uint32(min(total, math.MaxUint32)) //nolint:gosec // bounded
}
