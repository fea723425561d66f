package hub

import (
	"context"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/control/versionage"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/sharing"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// Handle answers one message of another host; name is the kind of the message. It fails with fault.NotFound for a kind that control
// hosts don't answer.
func (h *Hub) Handle(ctx context.Context, from unit.HostName, name string, payload []byte) ([]byte, error) {
	switch name {
	case kind.Quorum, kind.BookCommand, kind.BookRead, kind.PartTrial:
		return h.handleGroup(ctx, from, name, payload)
	case kind.Sync:
		return h.sync(from, payload)
	case kind.HubState:
		return nil, h.receiveState(from, payload)
	case kind.HubConfirm:
		var update registry.Update
		if err := codec.Unmarshal(payload, &update); err != nil {
			return nil, err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.registry.Merge(h.Timer.Now(), update, &registry.Numbering{})
		return nil, nil
	case kind.StreamOrigin:
		return h.answerStreamQuery(payload)
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
		m.HandleMessage(string(from), message.Payload)
		return nil, nil
	case kind.BookCommand:
		return m.Propose(ctx, message.Payload)
	case kind.PartTrial:
		return h.answerPartTrial(from, m.Status().Leader, message.Payload)
	default:
		if err := m.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		h.mu.Lock()
		page := h.tablePage
		h.mu.Unlock()
		return codec.Marshal(page)
	}
}

// answerStreamQuery answers a streamorigin.Query.
func (h *Hub) answerStreamQuery(payload []byte) ([]byte, error) {
	var query streamorigin.Query
	if err := codec.Unmarshal(payload, &query); err != nil {
		return nil, err
	}
	m, err := h.group.member()
	if err != nil {
		return nil, err
	}
	now := h.Timer.Now()
	leads := h.leads(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	answer := h.findStream(now, query, now.Sub(m.Status().LastContactAt) < hostSilenceTimeout)
	answer.Leads = leads
	return codec.Marshal(answer)
}

// sync answers the regular SyncRequest of an entry host.
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
	if err := load.UnpackUrgent(request.UrgentLoad); err != nil {
		return nil, err
	}
	control := h.controlHosts()
	now := h.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	answer := h.syncAnswer(from, now, request, load)
	answer.Age, answer.ControlHosts = now.Sub(m.Status().LastContactAt), h.withDataCentres(now, control)
	return codec.Marshal(answer)
}

// syncAnswer applies what an entry host sent and returns the changes that the host hasn't read yet. The lock must be held, as for the
// methods below.
func (h *Hub) syncAnswer(from unit.HostName, now unit.Moment, request SyncRequest, load tally.EndpointLoads) SyncAnswer {
	entry := h.entries[from]
	entry.heardAt, entry.load, entry.loadNumber = now, load, request.LoadNumber
	entry.reach, entry.stopping = request.Reach, request.Stopping
	entry.wantedPermits = h.endpointCounts(request.WantedPermits, h.registry.ID)
	since, holdingNumber, crashes, causes := request.RegistryNumber, request.HoldingNumber, request.CrashesRead, request.CausesRead
	if request.Epoch != h.Incarnation {
		// The request's numbers and indexes refer to another hub, or to this one before it restarted.
		since, holdingNumber, crashes, causes = 0, ^uint64(0), 0, 0
		entry.load, entry.loadNumber, entry.includedNumber = nil, 0, 0
		entry.wantedPermits, entry.granted = nil, nil
	}
	h.addShared(now, request.Shared)
	h.mergeCrashes(now, from, request.Crashes)
	h.crashCauses.Merge(now, request.Causes.Notices)
	h.streams.own.Merge(now, request.Streams)
	for _, l := range request.Leaving {
		h.markLeaving(l, string(from))
	}
	for _, l := range request.Limits {
		h.learnLimit(l.Lifetime, l.Limit, from)
	}
	answer := SyncAnswer{
		Weights: h.weights, Epoch: h.Incarnation, Update: h.registry.Since(now, since), Holding: h.holdings.ChangesSince(holdingNumber),
		Crashes: h.crashes.Since(now, crashes), Causes: h.crashCauses.Since(now, causes), NeedsStreams: h.needsStreamRecords(now),
	}
	if h.loads.computedAt > entry.loadsSentAt && now.Sub(entry.loadsSentAt) >= loadsPause(len(h.loads.packed)+len(h.loads.urgent)) {
		answer.UrgentLoads = h.loads.urgent
		answer.Loads, answer.LoadsAge, answer.IncludedLoadNumber, answer.HasLoads = h.loads.packed, now.Sub(h.loads.computedAt), entry.includedNumber, true
		entry.loadsSentAt = now
	}
	answer.Usage = h.receiveUsage(now, from, request.Usage)
	if request.Epoch == h.Incarnation {
		h.addSpeeds(now, request.Speeds)
	}
	answer.Speeds = h.speedsFor(now, &entry)
	answer.Permits, answer.PermitsAge = h.takePermits(now, &entry), now.Sub(h.leaderHeardAt)
	h.entries[from] = entry
	if request.NeedsRelays {
		answer.Relays = h.relaysFor(now, from)
	}
	answer.EntryHosts = h.entryHostCount(now)
	answer.Updating, answer.Upcoming = h.updating(now)
	answer.WeightsAges, answer.WeightsNumber = h.agesFor(now, request), h.weightsHistory.Number()
	if h.tablePage.Version > request.TableVersion {
		answer.Table = h.tablePage.Table
	}
	return answer
}

// agesFor returns the ages of weights if an entry host hasn't read them yet. Hosts that don't read them get them in the first answer only.
func (h *Hub) agesFor(now unit.Moment, request SyncRequest) versionage.Ages {
	if request.Epoch == h.Incarnation && (request.WeightsRead == 0 || request.WeightsRead == h.weightsHistory.Number()) {
		return nil
	}
	return h.weightsHistory.Ages(now)
}

// agesToSend returns the ages of weights if they are due to be sent to the other control hosts.
func (h *Hub) agesToSend(now unit.Moment) versionage.Ages {
	if now.Sub(h.agesSentAt) < agesInterval {
		return nil
	}
	h.agesSentAt = now
	return h.weightsHistory.Ages(now)
}

// withDataCentres returns the named control hosts, with the data centre of those that have sent their state lately.
func (h *Hub) withDataCentres(now unit.Moment, names []unit.HostName) []ControlHost {
	located := make([]ControlHost, 0, len(names))
	for _, name := range names {
		host := ControlHost{Name: name}
		if name == h.Name {
			host.DataCentre = h.DataCentre
		} else if peer, ok := h.peers[name]; ok && now.Sub(peer.heardAt) < hostSilenceTimeout {
			host.DataCentre = peer.DataCentre
		}
		located = append(located, host)
	}
	return located
}

// addShared adds the shared parts that an entry host reported.
func (h *Hub) addShared(now unit.Moment, names []sharing.PartID) {
	h.newlyShared = append(h.newlyShared, h.shared.AddShared(now, names)...)
}

// mergeCrashes merges another host's notices of contents that crashed endpoints. The lock must be held.
func (h *Hub) mergeCrashes(now unit.Moment, from unit.HostName, update quarantine.Update) {
	for _, content := range h.crashes.Merge(now, update.Notices) {
		h.Log.Warn("content-quarantined", "content", content.String(), "told-by", string(from))
	}
}

// markLeaving marks an endpoint as draining after it has announced in an answer that it is leaving. It applies to the given lifetime
// only. The lock must be held.
func (h *Hub) markLeaving(l registry.Lifetime, from string) {
	if h.registry.MarkDraining(l) {
		h.Log.Info("endpoint-leaving", "endpoint", string(l.Endpoint), "lifetime", l.Born, "told-by", from)
	}
}

// entryHostCount returns the number of entry hosts that sync with any control host. The lock must be held.
func (h *Hub) entryHostCount(now unit.Moment) int {
	count := h.ownEntryHostCount(now)
	for _, peer := range h.peers {
		if now.Sub(peer.heardAt) < hostSilenceTimeout {
			count += peer.EntryHosts
		}
	}
	return count
}

// ownEntryHostCount returns the number of entry hosts that sync with this control host. The lock must be held.
func (h *Hub) ownEntryHostCount(now unit.Moment) int {
	count := 0
	for _, entry := range h.entries {
		if now.Sub(entry.heardAt) < hostSilenceTimeout {
			count++
		}
	}
	return count
}

// updating returns the replicas whose weights are being changed and those that are next, as reported by the leader of the control
// group.
func (h *Hub) updating(now unit.Moment) (current, next []registry.Index) {
	if h.isLeader {
		return h.registry.Indexes(h.planner.Updating()), h.registry.Indexes(h.planner.Upcoming())
	}
	for _, peer := range h.peers {
		if peer.Leader && now.Sub(peer.heardAt) < hostSilenceTimeout {
			return h.registry.Indexes(peer.numbering.IDs(peer.Updating)), h.registry.Indexes(peer.numbering.IDs(peer.Upcoming))
		}
	}
	return nil, nil
}

// receiveState applies the state of another control host. An update that begins after changes that this host hasn't read is
// skipped; the sender repeats it from the number that this host reports as read.
func (h *Hub) receiveState(from unit.HostName, payload []byte) error {
	var state State
	if err := codec.Unmarshal(payload, &state); err != nil {
		return err
	}
	now := h.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.peers[from]
	if known.Epoch != state.Epoch || known.numbering == nil {
		delete(h.peerHoldings, from)
		known = peerState{numbering: &registry.Numbering{}}
		h.Log.Info("control-host-heard", "control-host", string(from), "epoch", uint64(state.Epoch))
	}
	loads, err := tally.Unpack(state.Loads)
	if err != nil {
		return err
	}
	if err := loads.UnpackUrgent(state.UrgentLoads); err != nil {
		return err
	}
	updated := peerState{heardAt: now, numbering: known.numbering, readRegistry: known.readRegistry, readHolding: known.readHolding, readCrashes: known.readCrashes, readCauses: known.readCauses, readUsage: known.readUsage, loads: tally.EndpointLoads{}, relays: known.relays, relaysAt: known.relaysAt}
	if len(state.Relays) > 0 {
		updated.relays, updated.relaysAt = state.Relays, now
	}
	if state.Leader {
		h.leaderHeardAt = now
	}
	updated.wanted = h.endpointCounts(state.WantedPermits, known.numbering.ID)
	if state.RegistryAfter <= known.readRegistry && state.Update.Number >= known.readRegistry {
		h.registry.Merge(now, state.Update, known.numbering)
		updated.readRegistry = state.Update.Number
	}
	if state.Holding.Full || state.HoldingAfter <= known.readHolding && state.Holding.Number >= known.readHolding {
		h.mergeHoldings(from, state.Holding)
		updated.readHolding = state.Holding.Number
	}
	h.mergeCrashes(now, from, state.Crashes)
	if state.CrashesAfter <= known.readCrashes && state.Crashes.Number >= known.readCrashes {
		updated.readCrashes = state.Crashes.Number
	}
	h.streams.copies.Merge(now, state.Streams)
	h.crashCauses.Merge(now, state.Causes.Notices)
	if state.CausesAfter <= known.readCauses && state.Causes.Number >= known.readCauses {
		updated.readCauses = state.Causes.Number
	}
	h.shared.AddShared(now, state.Shared)
	for index, load := range loads {
		if id, ok := known.numbering.ID(index); ok {
			updated.loads[h.registry.Index(id)] = load
		}
	}
	h.weightsHistory.Merge(now, state.WeightsAges)
	if state.Usage != nil {
		updated.readUsage = h.usage.Merge(now, from, state.Epoch, *state.Usage)
	}
	h.receivePermits(now, state.Permits, known.numbering)
	h.receiveSpeeds(now, from, state.Speeds, known.numbering)
	state.Update, state.Holding, state.Loads, state.UrgentLoads, state.Shared, state.Crashes = registry.Update{}, cachedparts.Update{}, nil, nil, nil, quarantine.Update{}
	state.WantedPermits, state.Permits, state.Causes, state.Streams, state.Relays, state.WeightsAges, state.Usage, state.Speeds = nil, nil, crashcause.Update{}, nil, nil, nil, nil, nil
	updated.State = state
	h.peers[from] = updated
	return nil
}
