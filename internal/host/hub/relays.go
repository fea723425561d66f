package hub

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

const (
	// maxRelays is the number of entry hosts that a host is told to which it may hand requests.
	maxRelays = 8
	// relaysInterval is the time between two lists of such hosts that control hosts send each other, and relaysLifetime is how long a list
	// is used.
	relaysInterval, relaysLifetime = time.Second, 3 * time.Second
)

// relaysFor returns entry hosts to which the named host may hand requests. Different hosts get different ones where there are many. The
// lock must be held, as for the methods below.
func (h *Hub) relaysFor(now unit.Moment, name unit.HostName) []unit.HostName {
	hosts := h.reachingEntries(now, name)
	for _, peer := range h.peers {
		if now.Sub(peer.heardAt) < hostSilenceTimeout && now.Sub(peer.relaysAt) < relaysLifetime {
			hosts = append(hosts, peer.relays...)
		}
	}
	slices.Sort(hosts)
	hosts = slices.DeleteFunc(slices.Compact(hosts), func(other unit.HostName) bool {
		// A list of another control host may name a host that has reported here since.
		entry, own := h.entries[other]
		return other == name || own && now.Sub(entry.heardAt) < hostSilenceTimeout && entry.reach == assign.ReachesNone
	})
	return pickRelays(hosts, string(name))
}

// reachingEntries returns the entry hosts that sync with this control host, other than the named one, and reach all services; if there are
// none, those that reach some.
func (h *Hub) reachingEntries(now unit.Moment, except unit.HostName) []unit.HostName {
	var all, some []unit.HostName
	for name, entry := range h.entries {
		if name == except || entry.stopping || now.Sub(entry.heardAt) >= hostSilenceTimeout {
			continue
		}
		switch entry.reach {
		case assign.ReachesAll:
			all = append(all, name)
		case assign.ReachesSome:
			some = append(some, name)
		case assign.ReachesNone:
		}
	}
	if len(all) == 0 {
		return some
	}
	return all
}

// pickRelays returns up to maxRelays of the sorted hosts, starting at a position that depends on the seed.
func pickRelays(hosts []unit.HostName, seed string) []unit.HostName {
	if len(hosts) <= maxRelays {
		return hosts
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(seed))
	start := int(hash.Sum32() % uint32(len(hosts)))
	picked := make([]unit.HostName, 0, maxRelays)
	for i := range maxRelays {
		picked = append(picked, hosts[(start+i)%len(hosts)])
	}
	return picked
}

// relaysToSend returns the list for the other control hosts, nil if the last one was sent less than relaysInterval ago.
func (h *Hub) relaysToSend(now unit.Moment) []unit.HostName {
	if now.Sub(h.relaysSentAt) < relaysInterval {
		return nil
	}
	h.relaysSentAt = now
	hosts := h.reachingEntries(now, "")
	slices.Sort(hosts)
	return pickRelays(hosts, now.Sub(0).String())
}
