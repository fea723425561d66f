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
		h.registry.Merge(h.Timer.Now(), update)
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
	control := h.controlHosts()
	now := h.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries[from] = entryState{load: request.Load, at: now}
	answer := SyncAnswer{
		Age: now.Sub(m.Status().HeardAt), Weights: h.weights, Epoch: h.Incarnation, Others: h.loadsWithout(from, now),
		EntryHosts: h.entryHosts(now), Control: control,
	}
	answer.Updating, answer.Upcoming = h.updating(now)
	since, held := request.Number, request.Holding
	if request.Epoch != h.Incarnation {
		since, held = 0, ^uint64(0)
	}
	answer.Update = h.registry.Since(now, since)
	answer.Holding = h.holdings.Since(held)
	if h.page.Version > request.TableVersion {
		answer.Table = h.page.Table
	}
	return codec.Marshal(answer)
}

// loadsWithout returns what all entry hosts but one have in hand. The lock must be held, as for the methods below.
func (h *Hub) loadsWithout(from unit.HostName, now unit.Moment) Loads {
	total := Loads{}
	for name, entry := range h.entries {
		if name != from && now.Sub(entry.at) < forgottenAfter {
			total.add(entry.load)
		}
	}
	for _, other := range h.others {
		if now.Sub(other.at) < forgottenAfter {
			total.add(other.Loads)
		}
	}
	return total
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
func (h *Hub) updating(now unit.Moment) (current, next []unit.EndpointID) {
	if h.leads {
		return h.planner.Updating(), h.planner.Upcoming()
	}
	for _, other := range h.others {
		if other.Leader && now.Sub(other.at) < forgottenAfter {
			return other.Updating, other.Upcoming
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
	if known.Epoch != state.Epoch {
		delete(h.mirrors, from)
		h.Log.Info("control-host-heard", "control-host", string(from), "epoch", uint64(state.Epoch))
	}
	h.registry.Merge(now, state.Update)
	h.mergeHoldings(from, state.Holding)
	heard := otherState{at: now, readRegistry: state.Update.Number, read: state.Holding.Number}
	state.Update, state.Holding = registry.Update{}, holding.Update{}
	heard.State = state
	h.others[from] = heard
	return nil
}
