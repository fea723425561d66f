package hub

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/enginespeed"
)

const (
	// speedsInterval is the time between two messages with the speeds of engines to another control host.
	speedsInterval = 500 * time.Millisecond
	// speedEntryBytes is the size of one engine's speed in an answer, and speedBytesPerSecond what these take of an entry host's link. At 600 engines a
	// host then hears of them every 6 s.
	speedEntryBytes, speedBytesPerSecond = 6, 600
)

// addSpeeds adds the samples of an entry host. The lock must be held, as for all functions below.
func (h *Hub) addSpeeds(now unit.Moment, samples []enginespeed.Entry) {
	for _, s := range samples {
		id, ok := h.registry.ID(s.Engine)
		if !ok {
			continue
		}
		if e, known := h.registry.Endpoint(id); known {
			mean, weight := s.Values()
			h.speeds.Add(now, registry.Lifetime{Endpoint: id, Born: e.Born}, mean, weight)
		}
	}
}

// speedsToSend returns this host's averages if they are due to be sent to the other control hosts.
func (h *Hub) speedsToSend(now unit.Moment) []enginespeed.Entry {
	if now.Sub(h.speedsSentAt) < speedsInterval {
		return nil
	}
	h.speedsSentAt = now
	var entries []enginespeed.Entry
	for engine, average := range h.speeds.Own(now) {
		if index := h.currentIndex(engine); index != 0 {
			entries = append(entries, average.Entry(index))
		}
	}
	return entries
}

// currentIndex returns the index of an endpoint, 0 if it has a later lifetime.
func (h *Hub) currentIndex(l registry.Lifetime) registry.Index {
	if e, ok := h.registry.Endpoint(l.Endpoint); !ok || e.Born != l.Born {
		return 0
	}
	return h.registry.Index(l.Endpoint)
}

// receiveSpeeds stores the averages of another control host.
func (h *Hub) receiveSpeeds(now unit.Moment, from unit.HostName, entries []enginespeed.Entry, sender *registry.Numbering) {
	if len(entries) == 0 {
		return
	}
	engines := make(map[registry.Lifetime]enginespeed.Entry, len(entries))
	for _, entry := range entries {
		id, ok := sender.ID(entry.Engine)
		if !ok {
			continue
		}
		if e, known := h.registry.Endpoint(id); known {
			engines[registry.Lifetime{Endpoint: id, Born: e.Born}] = entry
		}
	}
	h.speeds.SetPeer(now, from, engines)
}

// speedsFor returns the relative times of engines if they are due for an entry host.
func (h *Hub) speedsFor(now unit.Moment, entry *entryState) []enginespeed.Entry {
	if now.Sub(entry.speedsSentAt) < entry.speedsPause {
		return nil
	}
	var entries []enginespeed.Entry
	for engine, factor := range h.speeds.Factors(now) {
		if index := h.currentIndex(engine); index != 0 {
			entries = append(entries, enginespeed.FactorEntry(index, factor))
		}
	}
	entry.speedsSentAt, entry.speedsPause = now, max(speedsInterval, time.Duration(len(entries)*speedEntryBytes)*time.Second/speedBytesPerSecond)
	return entries
}
