package hub

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/upgrade"
	"github.com/citronglade/citronglade/internal/control/voters"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/network/kind"
)

const (
	// changeTimeout bounds a change of the group's members.
	changeTimeout = 2 * time.Second
	// orderTimeout bounds one call to a replica.
	orderTimeout = 800 * time.Millisecond
)

// tellOthers sends this host's state to the other control hosts.
func (h *Hub) tellOthers(context.Context) {
	control := h.controlHosts()
	h.leaders.SetHosts(control)
	h.announce(control)
	now := h.Timer.Now()
	h.mu.Lock()
	state := State{
		Epoch: h.Incarnation, Loads: h.ownLoads(now).Pack(), Entries: h.ownEntries(now), Leader: h.leads, DataCentre: h.DataCentre, Shared: h.newlyShared,
	}
	h.newlyShared = nil
	if h.leads {
		state.Updating, state.Upcoming = h.registry.Indexes(h.planner.Updating()), h.registry.Indexes(h.planner.Upcoming())
	}
	messages := map[unit.HostName]State{}
	for _, name := range control {
		if name == h.Name {
			continue
		}
		other := h.others[name]
		registryRead, holdingRead, crashesRead := other.ReadRegistry, other.Read, other.ReadCrashes
		if other.ReadEpoch != h.Incarnation {
			registryRead, holdingRead, crashesRead = 0, 0, 0
		}
		state.Update, state.Holding = h.registry.Since(now, registryRead), h.own.Since(holdingRead)
		state.Crashes = h.crashes.Since(now, crashesRead)
		state.RegistryAfter, state.HoldingAfter, state.CrashesAfter = registryRead, holdingRead, crashesRead
		state.ReadEpoch, state.ReadRegistry, state.Read, state.ReadCrashes = other.Epoch, other.readRegistry, other.read, other.readCrashes
		messages[name] = state
	}
	h.mu.Unlock()
	for name, message := range messages {
		payload, err := codec.Marshal(message)
		if err != nil {
			h.Log.Error("message-not-sent", "to", string(name), "cause", err.Error())
			continue
		}
		h.Send(name, kind.HubState, payload)
	}
}

// announce tells a member that isn't in the group yet whom to ask.
func (h *Hub) announce(control []unit.HostName) {
	m, err := h.group.member()
	if err != nil || m.Status().Group != "" {
		return
	}
	var names []string
	for _, name := range control {
		names = append(names, string(name))
	}
	m.SetPeers(names)
}

// planVoters changes the group's members where this host leads it.
func (h *Hub) planVoters(ctx context.Context) {
	m, err := h.group.member()
	if err != nil {
		return
	}
	status := m.Status()
	h.noteLeadership(status.IsLeader && status.LeaseValid, status.Leader, status.Term)
	if !status.IsLeader {
		return
	}
	plan := voters.New(voters.State{
		Self: string(h.Name), Voters: hostsOf(status.Voters), Learners: hostsOf(status.Learners), Candidates: status.Candidates,
		Silent: status.Silent, Target: h.Voters,
	})
	if plan == (voters.Plan{}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if plan.Add != "" {
		err = m.AddHost(ctx, plan.Add)
	} else {
		err = m.RemoveHost(ctx, plan.Remove)
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	h.Log.Info("group-changed", "add", plan.Add, "remove", plan.Remove, "voters", status.Voters, "candidates", status.Candidates,
		"silent", status.Silent, "cause", cause)
}

func (h *Hub) noteLeadership(leads bool, current string, term uint64) {
	h.mu.Lock()
	changed := leads != h.leads
	h.leads = leads
	h.mu.Unlock()
	if changed {
		h.Log.Info("leadership-changed", "leads", leads, "leader", current, "term", term)
	}
}

func hostsOf(identities []string) []string {
	hosts := make([]string, 0, len(identities))
	for _, identity := range identities {
		hosts = append(hosts, quorum.NodeID(identity).Host())
	}
	return hosts
}

// stepUpgrades lets the planner act where this host leads the group.
func (h *Hub) stepUpgrades(ctx context.Context) {
	m, err := h.group.member()
	if err != nil {
		return
	}
	now := h.Timer.Now()
	input := upgrade.Input{}
	if status := m.Status(); m.LeaderLease(now) {
		input.Term = status.Term
	}
	h.mu.Lock()
	input.Newest = h.weights
	busy := h.loads.total
	for _, e := range h.registry.Present() {
		if len(e.Weights) > 0 {
			load := busy[h.registry.Index(e.ID)]
			input.Replicas = append(input.Replicas, upgrade.Replica{
				ID: e.ID, Service: e.Service, Born: e.Born, Leaving: e.Draining || now.Sub(e.HeardAt) > h.ReportSilence, Weights: e.Weights, Busy: load.Requests, Long: load.Long,
			})
		}
	}
	actions := h.planner.Step(now, input)
	h.mu.Unlock()
	for _, action := range actions {
		go h.act(ctx, m.LeaderLease, action)
	}
}

// act carries out one action of the planner.
func (h *Hub) act(ctx context.Context, leads func(unit.Moment) bool, action upgrade.Action) {
	h.mu.Lock()
	e, ok := h.registry.Endpoint(action.Replica)
	h.mu.Unlock()
	if !ok || !leads(h.Timer.Now()) {
		h.reported(action, nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if action.Order == nil {
		h.reported(action, h.Engines.Status(ctx, e))
		return
	}
	reply := h.Engines.Order(ctx, e, *action.Order)
	h.Log.Info("weights-ordered", "endpoint", string(e.ID), "model", string(action.Order.Model), "weights", uint64(action.Order.Number),
		"fencing", action.Order.Fencing, "expected", action.Order.Expected, "go-on", action.Order.GoOn, "reply", reply.String())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.Answered(h.Timer.Now(), action, reply)
	h.learn(e)
}

func (h *Hub) reported(action upgrade.Action, status *upgrade.Status) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.Reported(h.Timer.Now(), action, status)
	if e, ok := h.registry.Endpoint(action.Replica); ok {
		if status != nil && status.Leaves {
			h.hearLeaving(registry.Lifetime{Endpoint: e.ID, Born: e.Born}, string(e.ID))
		}
		h.learn(e)
	}
}

// learn puts what a replica said of its weights into the registry, ahead of its next report. The lock must be held.
func (h *Hub) learn(e registry.Endpoint) {
	status, ok := h.planner.Learned(e.ID)
	if !ok {
		return
	}
	if h.registry.LearnWeights(e.ID, e.Born, status.Weights) {
		h.Log.Info("weights-loaded", "endpoint", string(e.ID), "weights", status.Weights)
	}
}

func (h *Hub) prune(context.Context) {
	now := h.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registry.Prune(now)
	h.shared.Prune(now)
	h.crashes.Prune(now)
	for name, entry := range h.entries {
		if now.Sub(entry.at) > pruneInterval {
			delete(h.entries, name)
		}
	}
}
