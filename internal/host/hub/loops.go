package hub

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/upgrade"
	"github.com/citronglade/citronglade/internal/control/voters"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/network/kind"
)

// silentMembers is the number of members that don't answer this host; 0 unless it leads the group.
var silentMembers = metrics.NewGauge("citronglade_group_silent_members", nil)

const (
	// changeTimeout bounds a change of the group's members.
	changeTimeout = 2 * time.Second
	// orderTimeout bounds one call to a replica.
	orderTimeout = 800 * time.Millisecond
)

// sendState sends this host's state to the other control hosts.
func (h *Hub) sendState(context.Context) {
	control := h.controlHosts()
	h.leaderCaller.SetHosts(control)
	h.setMemberPeers(control)
	now := h.Timer.Now()
	h.mu.Lock()
	issues := h.updateTrials(now)
	granted := h.grantPermits(now, issues)
	own := h.ownLoads(now)
	state := State{
		Epoch: h.Incarnation, Loads: own.Pack(), UrgentLoads: own.PackUrgent(), EntryHosts: h.ownEntryHostCount(now), Leader: h.isLeader, DataCentre: h.DataCentre, Shared: h.newlyShared,
		WantedPermits: h.unmetPermits(now), Relays: h.relaysToSend(now), WeightsAges: h.agesToSend(now), Speeds: h.speedsToSend(now),
	}
	h.newlyShared = nil
	if h.isLeader {
		state.Updating, state.Upcoming = h.registry.Indexes(h.planner.Updating()), h.registry.Indexes(h.planner.Upcoming())
	}
	h.choosePartner(now)
	messages := map[unit.HostName]State{}
	for _, name := range control {
		if name == h.Name {
			continue
		}
		peer := h.peers[name]
		registryRead, holdingRead, crashesRead, causesRead, usageRead := peer.ReadRegistry, peer.ReadHolding, peer.ReadCrashes, peer.ReadCauses, peer.ReadUsage
		if peer.ReadEpoch != h.Incarnation {
			registryRead, holdingRead, crashesRead, causesRead, usageRead = 0, 0, 0, 0, 0
		}
		state.Update, state.Holding = h.registry.Since(now, registryRead), h.ownHoldings.ChangesSince(holdingRead)
		state.Crashes, state.Causes = h.crashes.Since(now, crashesRead), h.crashCauses.Since(now, causesRead)
		state.RegistryAfter, state.HoldingAfter, state.CrashesAfter, state.CausesAfter = registryRead, holdingRead, crashesRead, causesRead
		state.ReadEpoch, state.ReadRegistry, state.ReadHolding, state.ReadCrashes, state.ReadCauses = peer.Epoch, peer.readRegistry, peer.readHolding, peer.readCrashes, peer.readCauses
		state.Permits, state.Streams = h.countPermits(now, granted[name]), h.streamCopies(name)
		state.Usage, state.ReadUsage = h.usageUpdate(now, name, usageRead), peer.readUsage
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

// setMemberPeers passes the known control hosts to a member that hasn't joined a group yet, so that it can ask them.
func (h *Hub) setMemberPeers(control []unit.HostName) {
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

// planVoters adds or removes one member of the group if that is due and this host is the group's leader.
func (h *Hub) planVoters(ctx context.Context) {
	m, err := h.group.member()
	if err != nil {
		h.setLeadership(false, "", 0)
		silentMembers.Set(0)
		return
	}
	status := m.Status()
	h.setLeadership(status.IsLeader && status.LeaseValid, status.Leader, status.Term)
	silentMembers.Set(float64(len(status.Silent)))
	if !status.IsLeader {
		return
	}
	plan := voters.NextChange(voters.State{
		Self: string(h.Name), Voters: hostsOf(status.Voters), Learners: hostsOf(status.Learners), Candidates: status.Candidates,
		Silent: status.Silent, Target: h.Voters,
	})
	if plan == (voters.Change{}) {
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

// setLeadership records whether this host is the leader, and logs each change.
func (h *Hub) setLeadership(leads bool, current string, term uint64) {
	h.mu.Lock()
	changed := leads != h.isLeader
	h.isLeader = leads
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

// stepUpgrades runs one step of the upgrade planner and carries out its actions. The planner acts only if this host is the leader.
func (h *Hub) stepUpgrades(ctx context.Context) {
	m, err := h.group.member()
	if err != nil {
		return
	}
	now := h.Timer.Now()
	input := upgrade.Input{}
	if status := m.Status(); m.HoldsLeaderLease(now) {
		input.Term = status.Term
	}
	h.mu.Lock()
	input.Newest = h.weights
	busy := h.loads.total
	for _, e := range h.registry.Present() {
		if len(e.Weights) > 0 {
			load := busy[h.registry.Index(e.ID)]
			input.Replicas = append(input.Replicas, upgrade.Replica{
				ID: e.ID, Service: e.Service, Born: e.Born, Leaving: e.Draining || now.Sub(e.HeardAt) > h.ReportSilence, Weights: e.Weights, RunningRequests: load.Requests, LongRequests: load.Long,
			})
		}
	}
	actions := h.planner.Step(now, input)
	h.mu.Unlock()
	for _, action := range actions {
		go h.runAction(ctx, m.HoldsLeaderLease, action)
	}
}

// runAction carries out one action of the planner, if this host is still the leader, and reports the result to the planner.
func (h *Hub) runAction(ctx context.Context, leads func(unit.Moment) bool, action upgrade.Action) {
	h.mu.Lock()
	e, ok := h.registry.Endpoint(action.Replica)
	h.mu.Unlock()
	if !ok || !leads(h.Timer.Now()) {
		h.applyStatus(action, nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if action.Order == nil {
		h.applyStatus(action, h.Engines.Status(ctx, e))
		return
	}
	reply := h.Engines.Order(ctx, e, *action.Order)
	h.Log.Info("weights-ordered", "endpoint", string(e.ID), "model", string(action.Order.Model), "weights", uint64(action.Order.Number),
		"fencing", action.Order.Fencing, "expected", action.Order.Expected, "go-on", action.Order.KeepRequests, "reply", reply.String())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.HandleReply(h.Timer.Now(), action, reply)
	h.updateWeights(e)
}

// applyStatus passes the status that a replica returned to the planner and the registry. A nil status means no usable answer.
func (h *Hub) applyStatus(action upgrade.Action, status *upgrade.Status) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.HandleStatus(h.Timer.Now(), action, status)
	if e, ok := h.registry.Endpoint(action.Replica); ok {
		if status != nil && status.Leaving {
			h.markLeaving(registry.Lifetime{Endpoint: e.ID, Born: e.Born}, string(e.ID))
		}
		h.updateWeights(e)
	}
}

// updateWeights stores the weights that a replica returned in the registry, without waiting for its next report. The lock must be
// held.
func (h *Hub) updateWeights(e registry.Endpoint) {
	status, ok := h.planner.FinalStatus(e.ID)
	if !ok {
		return
	}
	if h.registry.LearnWeights(e.ID, e.Born, status.Weights) {
		h.Log.Info("weights-loaded", "endpoint", string(e.ID), "weights", status.Weights)
	}
}

// prune removes outdated endpoints, shared parts, crashes and entry hosts.
func (h *Hub) prune(context.Context) {
	now := h.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registry.Prune(now)
	h.shared.Prune(now)
	h.crashes.Prune(now)
	h.crashCauses.Prune(now)
	h.streams.own.Prune(now)
	h.streams.copies.Prune(now)
	for name, entry := range h.entries {
		if now.Sub(entry.heardAt) > pruneInterval {
			delete(h.entries, name)
		}
	}
}
