// Package hub implements the control role of installations whose hosts discover each other. It combines the replicated state of the
// operators' decisions, the registry of endpoints, the loads that entry hosts report, and the upgrades of weights.
package hub

import (
	"context"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/citronglade/citronglade/internal/admission/usage"
	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/agreement/member"
	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/sharedread"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/control/savedstate"
	"github.com/citronglade/citronglade/internal/control/upgrade"
	"github.com/citronglade/citronglade/internal/control/versionage"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/enginespeed"
	"github.com/citronglade/citronglade/internal/routing/parttrial"
	"github.com/citronglade/citronglade/internal/routing/permit"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/sharing"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

const (
	// BookGroup is the id of the consensus group that replicates the operators' decisions.
	BookGroup = 0
	// Timing of the consensus group. A longer election timeout tolerates slower disks, a shorter one elects a new leader sooner.
	groupTick      = 25 * time.Millisecond
	groupHeartbeat = 80 * time.Millisecond
	groupElection  = 450 * time.Millisecond
	// loadSumInterval is the time between two computations of the sum of all entry hosts' loads.
	loadSumInterval = 40 * time.Millisecond
	// stateSendInterval is the time between two messages to the other control hosts.
	stateSendInterval = 50 * time.Millisecond
	// voterPlanInterval is the time between two checks whether the group's voters have to change.
	voterPlanInterval = 300 * time.Millisecond
	// upgradeInterval is the time between two steps of the upgrades.
	upgradeInterval = 50 * time.Millisecond
	// hostSilenceTimeout is how long another host may be silent before what it sent is ignored.
	hostSilenceTimeout = 1500 * time.Millisecond
	// confirmTimeout bounds how long the acknowledgement of an endpoint's departure waits for other control hosts. confirmAttempt
	// bounds one call to one of them, because its connection may be dead.
	confirmTimeout, confirmAttempt = 700 * time.Millisecond, 300 * time.Millisecond
	// saveInterval is the time between two checks whether the state has to be saved for the next start.
	saveInterval = 700 * time.Millisecond
	// confirmPause is the pause between two such calls to the same control host.
	confirmPause = 20 * time.Millisecond
	// pruneInterval is the time between two removals of outdated endpoints, shared parts, crashes and entry hosts.
	pruneInterval = 10 * time.Second
	// agesInterval is the time between two messages to the other control hosts with the ages of weights.
	agesInterval = time.Second
	// loadBytesPerSecond bounds the loads that are sent to one entry host. It is half of the 28 KB/s that a host may use for control
	// traffic.
	loadBytesPerSecond = 14_000
)

// Dependencies are the parameters of New.
type Dependencies struct {
	Name        unit.HostName
	DataCentre  unit.DataCentre
	Incarnation unit.Incarnation
	DataFolder  string
	// Seeds returns the control hosts to contact first. The list may change at run time.
	Seeds func() []unit.HostName
	// FormGroup allows this host to form the group together with the seeds. It is set only at the first start of the installation.
	FormGroup bool
	// Voters is the number of voting control hosts that the installation is designed for.
	Voters  int
	Timer   *timer.Service
	Log     *eventlog.Log
	Call    leader.Call
	Send    func(to unit.HostName, kind string, payload []byte)
	Engines Engines
	// LeaseWait is how long a new leader waits before it sends orders to replicas.
	LeaseWait time.Duration
	// ReportSilence is how long a replica's reports may be missing before the replica gets no more orders.
	ReportSilence time.Duration
	// Files are the functions with which the group's log is stored, by default the operating system's.
	Files journal.Files
}

// Hub is the control role of one process. It is safe for concurrent use.
type Hub struct {
	Dependencies
	group        *group
	leaderCaller *leader.Caller
	stateFile    *savedstate.File                   // used only by the loop that saves
	pollers      map[eventSource]context.CancelFunc // used only by the loop that runs updatePollers
	// pollerCount is the number of pollers.
	pollerCount atomic.Int64
	leaderTerm  func(unit.Moment) uint64 // heldTerm, except in tests
	tableReader *sharedread.Reader[decisions.AcceptedTable]

	mu                 sync.Mutex
	registry           *registry.Registry
	tablePage          decisions.AcceptedTable
	weights            map[unit.ModelName]decisions.WeightsNumber
	weightsHistory     *versionage.History
	agesSentAt         unit.Moment // when the ages of weights were sent to the other control hosts
	entries            map[unit.HostName]entryState
	peers              map[unit.HostName]peerState
	planner            *upgrade.Planner
	isLeader           bool
	ownHoldings        *cachedparts.Map                    // cached parts at the places that this host follows
	holdings           *cachedparts.Map                    // cached parts at all places
	peerHoldings       map[unit.HostName]*cachedparts.Map  // cached parts at the places that each other control host follows
	placeOwners        map[cachedparts.Place]unit.HostName // control host whose data are used for a place
	shared             *sharing.Filter
	newlyShared        []sharing.PartID // shared parts not yet sent to the other control hosts
	crashes            *quarantine.Register
	crashCauses        *crashcause.Register // collects and forwards evidence; the leader decides on trials by it
	trials             *parttrial.Schedule
	trialsTerm         uint64 // last term in which this host led with trials, 0 before the first one
	streams            streamRecords
	loads              loadSum
	permits            map[unit.EndpointID]*endpointPermits // of the endpoints that name limits
	usage              *usage.Ledger                        // account of the customers' limits
	usageVersion       table.Version                        // of the table whose limits are in usage
	limited            bool                                 // the table has customers with limits
	droppingUsage      bool                                 // accounts are dropped once other control hosts have read updates
	speeds             *enginespeed.Register
	speedsSentAt       unit.Moment // when the speeds of engines were last sent to the other control hosts
	leaderHeardAt      unit.Moment // when this host last knew a leader that issues permits
	storeAddress       string      // address of the store in the table with storeTableVersion
	storeTableVersion  table.Version
	relaysSentAt       unit.Moment
	savedEndpoints     uint64 // content number of the registry at the last save
	unsavedBookChanges int    // number of changes of the decisions since the last save
	// savedCrashes and savedCauses are the numbers of the last changes of crashes and crashCauses at the last save.
	savedCrashes, savedCauses uint64
}

// entryState is what an entry host sent last.
type entryState struct {
	load           tally.EndpointLoads
	loadNumber     uint64 // number that the host gave load
	includedNumber uint64 // number of the host's load that the last sum of loads includes
	loadsSentAt    unit.Moment
	heardAt        unit.Moment
	wantedPermits  map[unit.EndpointID]int
	granted        map[unit.EndpointID][]permit.Batch // not yet sent
	reach          assign.Reach
	stopping       bool
	speedsSentAt   unit.Moment
	speedsPause    time.Duration
}

// loadSum is the load of all entry hosts together, by the indexes of the registry. It is computed once for all entry hosts that ask.
type loadSum struct {
	total      tally.EndpointLoads
	packed     []byte
	urgent     []byte // packed load of urgent requests
	computedAt unit.Moment
}

// peerState is the state that another control host sent last, and how far this host has read its changes.
type peerState struct {
	State
	heardAt      unit.Moment
	numbering    *registry.Numbering
	loads        tally.EndpointLoads     // by the indexes of this host's registry
	readRegistry uint64                  // number of the peer's last change of endpoints that this host has read
	readHolding  uint64                  // number of the peer's last change of cached parts that this host has read
	readCrashes  uint64                  // number of the peer's last change of crashes that this host has read
	readCauses   uint64                  // number of the peer's last change of crashCauses that this host has read
	readUsage    uint64                  // number of the peer's last change of its usage counters that this host has read
	wanted       map[unit.EndpointID]int // permits that the peer's entry hosts want
	relays       []unit.HostName         // entry hosts that reach endpoints, as sent last, at relaysAt
	relaysAt     unit.Moment
}

// New returns a hub with the state that was saved before the last stop. Run starts it.
func New(d Dependencies) *Hub {
	h := &Hub{
		Dependencies: d, registry: registry.New(), weights: map[unit.ModelName]decisions.WeightsNumber{}, weightsHistory: versionage.New(),
		entries: map[unit.HostName]entryState{}, peers: map[unit.HostName]peerState{}, planner: upgrade.New(d.LeaseWait),
		ownHoldings: cachedparts.New(), holdings: cachedparts.New(), peerHoldings: map[unit.HostName]*cachedparts.Map{},
		placeOwners: map[cachedparts.Place]unit.HostName{}, pollers: map[eventSource]context.CancelFunc{},
		shared: sharing.New(), crashes: quarantine.New(), crashCauses: crashcause.New(0), permits: map[unit.EndpointID]*endpointPermits{},
	}
	h.usage, h.speeds = usage.NewLedger(), enginespeed.New()
	h.streams, h.trials = newStreamRecords(d.Timer.Now()), parttrial.New(d.Timer.Now())
	h.leaderTerm = h.heldTerm
	h.tableReader = sharedread.New(sharedread.Options[decisions.AcceptedTable]{Most: maxTableReads, Timeout: tableReadTimeout, Read: h.readTable})
	h.leaderCaller = leader.New(d.Call, d.Seeds())
	h.stateFile = savedstate.New(d.DataFolder)
	h.restoreState()
	h.group = &group{log: d.Log, config: h.memberConfig, machine: h.newMachine}
	return h
}

// restoreState loads the state that this host saved before it restarted.
func (h *Hub) restoreState() {
	state, ok, err := h.stateFile.Load()
	if err != nil {
		h.Log.Warn("state-not-restored", "cause", err.Error())
	}
	if !ok {
		return
	}
	for i := range state.Endpoints.Records {
		// The time since the reports isn't known. An endpoint that has gone is detected by its silence from now on.
		state.Endpoints.Records[i].Age = 0
	}
	h.registry.Merge(h.Timer.Now(), state.Endpoints, &registry.Numbering{})
	h.crashes.Merge(h.Timer.Now(), state.Crashes)
	h.crashCauses.Merge(h.Timer.Now(), state.Causes)
	h.tablePage = state.Table
	if state.Weights != nil {
		h.weights = state.Weights
		// The other control hosts know the ages. If all of them have restarted, the time begins anew.
		h.weightsHistory.Learn(h.Timer.Now(), h.weights)
	}
	h.Log.Info("state-restored", "table-version", uint64(h.tablePage.Version), "endpoints", len(state.Endpoints.Records),
		"crashes", len(state.Crashes), "causes", len(state.Causes))
}

// saveState saves what this host knows for its next start, if it has changed since it was last saved.
func (h *Hub) saveState(context.Context) {
	h.mu.Lock()
	content, book := h.registry.ContentNumber(), h.unsavedBookChanges
	crashes, causes := h.crashes.Number(), h.crashCauses.Number()
	if content == h.savedEndpoints && book == 0 && crashes == h.savedCrashes && causes == h.savedCauses {
		h.mu.Unlock()
		return
	}
	now := h.Timer.Now()
	state := savedstate.State{
		Table: h.tablePage, Weights: maps.Clone(h.weights), Endpoints: h.registry.Since(now, 0), Crashes: h.crashes.Export(now),
		Causes: h.crashCauses.Export(now),
	}
	h.mu.Unlock()
	if err := h.stateFile.Save(state); err != nil {
		h.Log.Warn("state-not-saved", "cause", err.Error())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.savedEndpoints, h.savedCrashes, h.savedCauses = content, crashes, causes
	h.unsavedBookChanges -= book
}

func (h *Hub) memberConfig() member.Config {
	peers := h.seedNames()
	form := h.FormGroup && slices.Contains(peers, string(h.Name))
	return member.Config{
		Group: BookGroup, Self: string(h.Name), Peers: peers, Join: !form, Folder: filepath.Join(h.DataFolder, "book"),
		Timer: h.Timer, Send: h.sendGroupMessage, Tick: groupTick, Heartbeat: groupHeartbeat, Election: groupElection,
		Seed: uint64(h.Incarnation), Files: h.Files,
	}
}

func (h *Hub) seedNames() []string {
	var names []string
	for _, name := range h.Seeds() {
		names = append(names, string(name))
	}
	return names
}

// newMachine returns an empty state machine that copies each change of its state to the hub.
func (h *Hub) newMachine() member.StateMachine {
	var m *decisions.Machine
	m = decisions.New(func() {
		page, weights := m.Table(), m.Weights()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.unsavedBookChanges++
		if page.Version > h.tablePage.Version {
			h.tablePage = page
			h.Log.Info("table-applied", "table-version", uint64(page.Version), "bytes", len(page.Document))
		}
		for model, number := range weights {
			if number > h.weights[model] {
				h.weights[model] = number
				h.weightsHistory.Learn(h.Timer.Now(), map[unit.ModelName]decisions.WeightsNumber{model: number})
				h.Log.Info("weights-named", "model", string(model), "weights", uint64(number))
			}
		}
	})
	return m
}

func (h *Hub) sendGroupMessage(to string, id uint32, payload []byte) {
	message, err := codec.Marshal(leader.Message{Group: id, Payload: payload})
	if err != nil {
		h.Log.Error("message-not-sent", "to", to, "cause", err.Error())
		return
	}
	h.Send(unit.HostName(to), kind.Quorum, message)
}

// Run runs the control role until ctx ends, then saves the state.
func (h *Hub) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var actors run.Group
	stop := func(error) { cancel() }
	actors.Add(func() error { return h.group.run(ctx) }, stop)
	for _, loop := range []struct {
		interval time.Duration
		step     func(context.Context)
	}{{stateSendInterval, h.sendState}, {voterPlanInterval, h.planVoters}, {upgradeInterval, h.stepUpgrades}, {pruneInterval, h.prune}, {saveInterval, h.saveState}, {followInterval, h.updatePollers}, {loadSumInterval, h.sumLoads}} {
		actors.Add(func() error { return timer.Every(ctx, h.Timer, loop.interval, loop.step) }, stop)
	}
	go h.fetchRegistry(ctx)
	err := actors.Run()
	h.saveState(ctx) // what changed since the last periodic save
	return err
}

// fetchRegistry fetches all endpoints from another control host, so that a restarted host knows them before they report again.
func (h *Hub) fetchRegistry(ctx context.Context) {
	for _, name := range h.controlHosts() {
		if name == h.Name {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, confirmTimeout)
		answer, err := h.Call(attempt, name, kind.HubFetch, nil)
		cancel()
		var update registry.Update
		if err == nil {
			err = codec.Unmarshal(answer, &update)
		}
		if err != nil {
			h.Log.Warn("registry-not-fetched", "from", string(name), "cause", err.Error())
			continue
		}
		h.mu.Lock()
		h.registry.Merge(h.Timer.Now(), update, &registry.Numbering{})
		h.mu.Unlock()
		return
	}
}

// Submit proposes a table and the document that it was read from to the group. It fails with fault.NoQuorum, fault.Unreachable and
// other retryable faults when the outcome isn't known.
func (h *Hub) Submit(ctx context.Context, t *table.Table, document []byte) error {
	encoded, err := codec.Marshal(t)
	if err != nil {
		return err
	}
	err = h.proposeCommand(ctx, decisions.Command{Table: &decisions.AcceptedTable{Version: t.Version, Table: encoded, Document: document}})
	h.logOutcome("table-submitted", err, "table-version", uint64(t.Version))
	return err
}

// SubmitWeights proposes new weights of a model to the group. Its errors are those of Submit.
func (h *Hub) SubmitWeights(ctx context.Context, model unit.ModelName, number decisions.WeightsNumber) error {
	err := h.proposeCommand(ctx, decisions.Command{Weights: &decisions.Weights{Model: model, Number: number}})
	h.logOutcome("weights-submitted", err, "model", string(model), "weights", uint64(number))
	return err
}

func (h *Hub) logOutcome(event string, err error, attributes ...any) {
	if err != nil {
		h.Log.Warn(event, append(attributes, "outcome", fault.Name(err), "cause", err.Error())...)
		return
	}
	h.Log.Info(event, append(attributes, "outcome", "accepted")...)
}

func (h *Hub) proposeCommand(ctx context.Context, c decisions.Command) error {
	payload, err := codec.Marshal(c)
	if err != nil {
		return err
	}
	_, err = h.leaderCaller.Call(ctx, BookGroup, kind.BookCommand, payload)
	return err
}

// HandleReport applies an endpoint's report. For a draining endpoint it first waits until the other control hosts that can answer know it,
// so that after the acknowledgement entry hosts learn of the departure from every control host that they may ask. It fails with fault.Overloaded if
// too many endpoints are known.
func (h *Hub) HandleReport(ctx context.Context, report registry.Report) error {
	h.mu.Lock()
	if h.registry.Full(report) {
		h.mu.Unlock()
		return fault.Overloaded.New("too many endpoints are known")
	}
	known, existed := h.registry.Endpoint(report.ID)
	changed := h.registry.ApplyReport(h.Timer.Now(), report)
	after, _ := h.registry.Endpoint(report.ID)
	h.mu.Unlock()
	if !existed || known.Born != after.Born || known.Draining != after.Draining {
		h.Log.Info("endpoint-reported", "endpoint", string(report.ID), "service", string(report.Service), "address", report.Address,
			"software", string(report.Software), "draining", report.Draining, "born", report.Born, "sequence", report.Sequence, "news", changed)
	}
	if report.Draining {
		h.confirmDeparture(ctx, report.ID)
	}
	return nil
}

// RecordDeparture records that an endpoint has left. A born of 0 means the lifetime that is known.
func (h *Hub) RecordDeparture(ctx context.Context, id unit.EndpointID, born int64) {
	h.mu.Lock()
	h.registry.MarkLeft(h.Timer.Now(), id, born)
	h.mu.Unlock()
	h.Log.Info("endpoint-left", "endpoint", string(id), "born", born)
	h.confirmDeparture(ctx, id)
}

// confirmDeparture tells every other control host about an endpoint that takes no more requests. It waits until all of them have
// answered, at most for confirmTimeout.
func (h *Hub) confirmDeparture(ctx context.Context, id unit.EndpointID) {
	h.mu.Lock()
	e, ok := h.registry.Endpoint(id)
	h.mu.Unlock()
	if !ok {
		return
	}
	update, err := codec.Marshal(registry.Update{Records: []registry.Record{{Report: e.Report, Left: e.Left}}})
	if err != nil {
		h.Log.Error("message-not-sent", "cause", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var waiting sync.WaitGroup
	for _, name := range h.controlHosts() {
		if name == h.Name {
			continue
		}
		waiting.Go(func() {
			if err := h.confirmDepartureWith(ctx, name, update); err != nil {
				h.Log.Warn("departure-not-confirmed", "endpoint", string(id), "by", string(name), "cause", err.Error())
			}
		})
	}
	waiting.Wait()
}

// confirmDepartureWith repeats the call to one control host until the host answers or ctx ends.
func (h *Hub) confirmDepartureWith(ctx context.Context, name unit.HostName, update []byte) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, confirmAttempt)
		_, err := h.Call(attempt, name, kind.HubConfirm, update)
		cancel()
		if err == nil || !timer.Sleep(ctx, confirmPause) {
			return err
		}
	}
}

// controlHosts returns all known control hosts, sorted: the seeds, the members of the group and those that have sent their state
// lately.
func (h *Hub) controlHosts() []unit.HostName {
	known := map[unit.HostName]bool{h.Name: true}
	for _, name := range h.Seeds() {
		known[name] = true
	}
	if m, err := h.group.member(); err == nil {
		status := m.Status()
		for _, names := range [][]string{status.Voters, status.Learners, status.Candidates} {
			for _, name := range names {
				known[unit.HostName(quorum.NodeID(name).Host())] = true
			}
		}
	}
	now := h.Timer.Now()
	h.mu.Lock()
	for name, peer := range h.peers {
		if now.Sub(peer.heardAt) < hostSilenceTimeout {
			known[name] = true
		}
	}
	h.mu.Unlock()
	names := make([]unit.HostName, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
