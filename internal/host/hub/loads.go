package hub

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// sumLoads works out what all entry hosts have in hand, once for all that ask. With hundreds of entry hosts and endpoints a sum for
// each question takes most of a control host's processor time.
func (h *Hub) sumLoads(context.Context) {
	now := h.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	total := h.ownLoads(now)
	for _, other := range h.others {
		if now.Sub(other.at) < forgottenAfter {
			total.Add(other.loads)
		}
	}
	for name, entry := range h.entries {
		entry.included = entry.number
		h.entries[name] = entry
	}
	delete(total, 0) // of endpoints that have left meanwhile
	h.loads = loads{total: total, packed: total.Pack(), at: now}
}

// ownLoads returns what the entry hosts have in hand that ask this control host. The lock must be held.
func (h *Hub) ownLoads(now unit.Moment) tally.Tally {
	total := tally.Tally{}
	for _, entry := range h.entries {
		if now.Sub(entry.at) < forgottenAfter {
			total.Add(entry.load)
		}
	}
	return total
}

// pauseAfter is how long after loads of that size an entry host is told of others, so that larger installations don't cost a host
// more.
func pauseAfter(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / loadsBudget
}
