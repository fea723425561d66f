package hub

import (
	"context"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/routing/holding"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/sharing"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// Handle answers one message of another host. It fails with fault.NotFound for a kind that isn't a hub's.
func (h *Hub) Handle(ctx context.Context, from unit.HostName, name string, payload []byte) ([]byte, error) {
	switch name {
	case kind.Quorum, kind.BookCommand, kind.BookRead:
		return h.handleGroup(ctx, from, name, payload)
	case kind.Sync:
		return h.sync(from, payload)
	case kind.HubState:
		return nil, h.hearOther(from, payload)
	case kind.HubConfirm:
		var update registry.Update
		if err := codec.Unmarshal(payload, &update); err != nil {
			return nil, err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.registry.Merge(h.Timer.Now(), update, &registry.Numbering{})
		return nil, nil
	case kind.HubFetch:
		h.mu.Lock()
		defer h.mu.Unlock()
		return codec.Marshal(h.registry.Since(h.Timer.Now(), 0))
	default:
		return nil, fault.NotFound.New("a control host doesn't answer %q", name)
	}
}

func (h *Hub) handleGroup(ctx context.Context, from unit.HostName, name string, payload []byte) ([]byte, error) {
	var message leader.Message
	if err := codec.Unmarshal(payload, &message); err != nil {
		return nil, err
	}
	m, err := h.group.member()
	if err != nil {
		return nil, err
	}
	switch name {
	case kind.Quorum:
		m.Deliver(string(from), message.Payload)
		return nil, nil
	case kind.BookCommand:
		return m.Propose(ctx, message.Payload)
	default:
		if err := m.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		h.mu.Lock()
		page := h.page
		h.mu.Unlock()
		return codec.Marshal(page)
	}
}

// sync answers an entry host.
func (h *Hub) sync(from unit.HostName, payload []byte) ([]byte, error) {
	var request SyncRequest
	if err := codec.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	m, err := h.group.member()
	if err != nil {
		return nil, err
	}
	load, err := tally.Unpack(request.Load)
	if err != nil {
		return nil, err
	}
	control := h.controlHosts()
	now := h.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	answer := h.answer(from, now, request, load)
	answer.Age, answer.Control = now.Sub(m.Status().HeardAt), h.located(now, control)
	return codec.Marshal(answer)
}

// answer takes what an entry host told and returns what it lacks. The lock must be held, as for the methods below.
func (h *Hub) answer(from unit.HostName, now unit.Moment, request SyncRequest, load tally.Tally) SyncAnswer {
	entry := h.entries[from]
	entry.at, entry.load, entry.number = now, load, request.LoadNumber
	since, held, crashes := request.Number, request.Holding, request.CrashesRead
	if request.Epoch != h.Incarnation {
		// The indexes are those of another hub.
		since, held, crashes = 0, ^uint64(0), 0
		entry.load, entry.number, entry.included = nil, 0, 0
	}
	h.hearShared(now, request.Shared)
	h.hearCrashes(now, from, request.Crashes)
	for _, l := range request.Leaving {
		h.hearLeaving(l, string(from))
	}
	answer := SyncAnswer{Weights: h.weights, Epoch: h.Incarnation, Update: h.registry.Since(now, since), Holding: h.holdings.Since(held), Crashes: h.crashes.Since(now, crashes)}
	if h.loads.at > entry.toldAt && now.Sub(entry.toldAt) >= pauseAfter(len(h.loads.packed)) {
		answer.Loads, answer.LoadsAge, answer.Included, answer.HasLoads = h.loads.packed, now.Sub(h.loads.at), entry.included, true
		entry.toldAt = now
	}
	h.entries[from] = entry
	answer.EntryHosts = h.entryHosts(now)
	answer.Updating, answer.Upcoming = h.updating(now)
	if h.page.Version > request.TableVersion {
		answer.Table = h.page.Table
	}
	return answer
}

// located returns control hosts with the data centres of those that are heard.
func (h *Hub) located(now unit.Moment, names []unit.HostName) []ControlHost {
	located := make([]ControlHost, 0, len(names))
	for _, name := range names {
		host := ControlHost{Name: name}
		if name == h.Name {
			host.DataCentre = h.DataCentre
		} else if other, ok := h.others[name]; ok && now.Sub(other.at) < forgottenAfter {
			host.DataCentre = other.DataCentre
		}
		located = append(located, host)
	}
	return located
}

// hearShared takes names of shared parts from an entry host.
func (h *Hub) hearShared(now unit.Moment, names []sharing.Name) {
	h.newlyShared = append(h.newlyShared, h.shared.Hear(now, names)...)
}

// hearCrashes takes contents that crashed endpoints from another host. The lock must be held.
func (h *Hub) hearCrashes(now unit.Moment, from unit.HostName, update quarantine.Update) {
	for _, content := range h.crashes.Merge(now, update.Notices) {
		h.Log.Warn("content-quarantined", "content", content.String(), "told-by", string(from))
	}
}

// hearLeaving takes a lifetime that said in an answer that it leaves. The lock must be held.
func (h *Hub) hearLeaving(l registry.Lifetime, from string) {
	if h.registry.Drain(l) {
		h.Log.Info("endpoint-leaving", "endpoint", string(l.Endpoint), "lifetime", l.Born, "told-by", from)
	}
}

func (h *Hub) entryHosts(now unit.Moment) int {
	count := h.ownEntries(now)
	for _, other := range h.others {
		if now.Sub(other.at) < forgottenAfter {
			count += other.Entries
		}
	}
	return count
}

func (h *Hub) ownEntries(now unit.Moment) int {
	count := 0
	for _, entry := range h.entries {
		if now.Sub(entry.at) < forgottenAfter {
			count++
		}
	}
	return count
}

// updating returns the replicas whose weights are being changed and those that are next, as the leader told.
func (h *Hub) updating(now unit.Moment) (current, next []registry.Index) {
	if h.leads {
		return h.registry.Indexes(h.planner.Updating()), h.registry.Indexes(h.planner.Upcoming())
	}
	for _, other := range h.others {
		if other.Leader && now.Sub(other.at) < forgottenAfter {
			return h.registry.Indexes(other.numbering.IDs(other.Updating)), h.registry.Indexes(other.numbering.IDs(other.Upcoming))
		}
	}
	return nil, nil
}

// hearOther takes the state of another control host.
func (h *Hub) hearOther(from unit.HostName, payload []byte) error {
	var state State
	if err := codec.Unmarshal(payload, &state); err != nil {
		return err
	}
	now := h.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.others[from]
	if known.Epoch != state.Epoch || known.numbering == nil {
		delete(h.mirrors, from)
		known = otherState{numbering: &registry.Numbering{}}
		h.Log.Info("control-host-heard", "control-host", string(from), "epoch", uint64(state.Epoch))
	}
	told, err := tally.Unpack(state.Loads)
	if err != nil {
		return err
	}
	heard := otherState{at: now, numbering: known.numbering, readRegistry: known.readRegistry, read: known.read, readCrashes: known.readCrashes, loads: tally.Tally{}}
	if state.RegistryAfter <= known.readRegistry && state.Update.Number >= known.readRegistry {
		h.registry.Merge(now, state.Update, known.numbering)
		heard.readRegistry = state.Update.Number
	}
	if state.Holding.Whole || state.HoldingAfter <= known.read && state.Holding.Number >= known.read {
		h.mergeHoldings(from, state.Holding)
		heard.read = state.Holding.Number
	}
	h.hearCrashes(now, from, state.Crashes)
	if state.CrashesAfter <= known.readCrashes && state.Crashes.Number >= known.readCrashes {
		heard.readCrashes = state.Crashes.Number
	}
	h.shared.Hear(now, state.Shared)
	for index, load := range told {
		if id, ok := known.numbering.ID(index); ok {
			heard.loads[h.registry.Index(id)] = load
		}
	}
	state.Update, state.Holding, state.Loads, state.Shared, state.Crashes = registry.Update{}, holding.Update{}, nil, nil, quarantine.Update{}
	heard.State = state
	h.others[from] = heard
	return nil
}
