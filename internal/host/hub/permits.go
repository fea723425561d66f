package hub

import (
	"math/rand/v2"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/routing/permit"
)

// pollShare is the part of the limit of an engine that is kept for the control host that polls it for cache events. Permits are issued
// for the rest.
const pollShare = 0.1

// endpointPermits are the permits for one endpoint that this host may grant.
type endpointPermits struct {
	permit.Pool
	born int64   // lifetime that named the limit
	rate float64 // requests per second that the limit allows
}

// leads reports whether this host is the leader. Only the leader issues permits.
func (h *Hub) leads(now unit.Moment) bool {
	return h.leaderTerm(now) != 0
}

// heldTerm returns the term in which this host holds the leader lease, or 0 without the lease.
func (h *Hub) heldTerm(now unit.Moment) uint64 {
	m, err := h.group.member()
	if err != nil {
		return 0
	}
	term := m.Status().Term
	if !m.HoldsLeaderLease(now) || m.Status().Term != term { // the term may change between the calls
		return 0
	}
	return term
}

// learnLimit applies a limit that an endpoint named in an answer to an entry host. The lock must be held, as for all functions below.
func (h *Hub) learnLimit(l registry.Lifetime, limit requestlimit.Limit, from unit.HostName) {
	if h.registry.LearnLimit(l, limit) {
		h.Log.Info("endpoint-limited", "endpoint", string(l.Endpoint), "lifetime", l.Born, "told-by", string(from), "in-force", limit.InForce(),
			"per-second", limit.PerSecond, "limit-version", limit.Version)
	}
}

// grantPermits divides the available permits of all endpoints among the entry hosts that sync with this host and, on the leader, the
// other control hosts. It returns the permits of the control hosts.
func (h *Hub) grantPermits(now unit.Moment, issues bool) map[unit.HostName]map[unit.EndpointID][]permit.Batch {
	if issues {
		h.leaderHeardAt = now
	}
	permits := map[unit.EndpointID]*endpointPermits{}
	granted := map[unit.HostName]map[unit.EndpointID][]permit.Batch{}
	claims := h.claims(now, issues)
	for _, e := range h.registry.Limited() {
		p := h.permits[e.ID]
		if p == nil || p.born != e.Born || e.Limit.Rate() < p.rate {
			p = &endpointPermits{born: e.Born} // without the permits that an earlier limit allowed
			h.dropGranted(e.ID)
		}
		permits[e.ID], p.rate = p, e.Limit.Rate()
		if issues {
			p.Accrue(now, permitRate(e))
		} else {
			p.StopAccruing()
		}
		if p.Left(now) == 0 {
			continue
		}
		for host, batches := range p.Grant(now, claims[e.ID], rand.Float64) {
			h.recordGrant(host, e.ID, batches, granted)
		}
	}
	h.permits = permits
	return granted
}

// dropGranted drops the permits for an endpoint that entry hosts haven't been sent yet.
func (h *Hub) dropGranted(id unit.EndpointID) {
	for _, entry := range h.entries {
		delete(entry.granted, id)
	}
}

// permitRate returns the number of permits that are issued per second for an endpoint.
func permitRate(e registry.Endpoint) float64 {
	if len(e.Weights) > 0 {
		return (1 - pollShare) * e.Limit.Rate()
	}
	return e.Limit.Rate()
}

// claims returns by endpoint the permits that are wanted by the entry hosts that sync with this host and, if peers is set, by the other
// control hosts.
func (h *Hub) claims(now unit.Moment, peers bool) map[unit.EndpointID][]permit.Claim {
	claims := map[unit.EndpointID][]permit.Claim{}
	add := func(host unit.HostName, heardAt unit.Moment, wanted map[unit.EndpointID]int) {
		if now.Sub(heardAt) >= hostSilenceTimeout {
			return
		}
		for id, permits := range wanted {
			if permits > 0 {
				claims[id] = append(claims[id], permit.Claim{Host: host, Wanted: permits})
			}
		}
	}
	for name, entry := range h.entries {
		add(name, entry.heardAt, entry.wantedPermits)
	}
	if peers {
		for name, peer := range h.peers {
			add(name, peer.heardAt, peer.wanted)
		}
	}
	return claims
}

// recordGrant stores what an entry host gets until its next sync, or adds what another control host gets to granted. Until the host
// asks again, it wants that much less.
func (h *Hub) recordGrant(host unit.HostName, id unit.EndpointID, batches []permit.Batch, granted map[unit.HostName]map[unit.EndpointID][]permit.Batch) {
	total := int(permit.Total(batches))
	if entry, ok := h.entries[host]; ok {
		entry.wantedPermits[id] -= total
		if entry.granted == nil {
			entry.granted = map[unit.EndpointID][]permit.Batch{}
		}
		entry.granted[id] = append(entry.granted[id], batches...)
		h.entries[host] = entry
		return
	}
	h.peers[host].wanted[id] -= total
	if granted[host] == nil {
		granted[host] = map[unit.EndpointID][]permit.Batch{}
	}
	granted[host][id] = batches
}

// unmetPermits returns the permits that the entry hosts which sync with this host want and that it can't grant.
func (h *Hub) unmetPermits(now unit.Moment) []permit.Count {
	var counts []permit.Count
	for id, claims := range h.claims(now, false) {
		wanted := 0
		for _, c := range claims {
			wanted += c.Wanted
		}
		if index := h.registry.Index(id); index != 0 {
			counts = append(counts, permit.Count{Index: index, Permits: uint32(wanted)}) //nolint:gosec // positive, and bounded by the hosts' demand
		}
	}
	return counts
}

// takePermits returns the permits that were granted to an entry host since its last sync.
func (h *Hub) takePermits(now unit.Moment, entry *entryState) []permit.Count {
	counts := h.countPermits(now, entry.granted)
	for id, batches := range entry.granted {
		entry.wantedPermits[id] -= int(permit.Total(batches)) // the host asked for them before it had them
	}
	entry.granted = nil
	return counts
}

// countPermits returns the permits that haven't ended as they are sent to another host.
func (h *Hub) countPermits(now unit.Moment, granted map[unit.EndpointID][]permit.Batch) []permit.Count {
	var counts []permit.Count
	for id, batches := range granted {
		index := h.registry.Index(id)
		for _, b := range batches {
			if left := b.Until.Sub(now); left > 0 && index != 0 {
				counts = append(counts, permit.Count{Index: index, Permits: uint32(b.Permits), LifetimeLeft: uint32(left / time.Millisecond)}) //nolint:gosec // both positive
			}
		}
	}
	return counts
}

// receivePermits stores the permits that the leader granted to this host, until they are granted to entry hosts.
func (h *Hub) receivePermits(now unit.Moment, granted []permit.Count, sender *registry.Numbering) {
	for _, c := range granted {
		id, ok := sender.ID(c.Index)
		if p := h.permits[id]; ok && p != nil {
			p.Receive(c.Batch(now))
		}
	}
}

// endpointCounts returns wanted permits by endpoint, without those of unknown endpoints.
func (h *Hub) endpointCounts(counts []permit.Count, endpoint func(registry.Index) (unit.EndpointID, bool)) map[unit.EndpointID]int {
	wanted := make(map[unit.EndpointID]int, len(counts))
	for _, c := range counts {
		if id, ok := endpoint(c.Index); ok {
			wanted[id] = int(c.Permits)
		}
	}
	return wanted
}
