package hub

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// sumLoads computes the load of all entry hosts together, once for all entry hosts that ask. With hundreds of entry hosts and
// endpoints, a sum for each request would take most of a control host's processor time.
func (h *Hub) sumLoads(context.Context) {
	now := h.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyUsageLimits(now)
	total := h.ownLoads(now)
	for _, peer := range h.peers {
		if now.Sub(peer.heardAt) < hostSilenceTimeout {
			total.Add(peer.loads)
		}
	}
	for name, entry := range h.entries {
		entry.includedNumber = entry.loadNumber
		h.entries[name] = entry
	}
	delete(total, 0) // loads of endpoints that have left meanwhile
	h.loads = loadSum{total: total, packed: total.Pack(), urgent: total.PackUrgent(), computedAt: now}
}

// ownLoads returns the load of the entry hosts that sync with this control host. The lock must be held.
func (h *Hub) ownLoads(now unit.Moment) tally.EndpointLoads {
	total := tally.EndpointLoads{}
	for _, entry := range h.entries {
		if now.Sub(entry.heardAt) < hostSilenceTimeout {
			total.Add(entry.load)
		}
	}
	return total
}

// loadsPause returns the pause after sending an entry host packed loads of the given size. It keeps the traffic within
// loadBytesPerSecond also in larger installations.
func loadsPause(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / loadBytesPerSecond
}
