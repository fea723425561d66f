// Package hub assembles the control role of hosts that find each other: the replicated book of the operators' decisions,
// the registry of endpoints, the loads that entry hosts tell, and the upgrades of weights.
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

	"github.com/citronglade/citronglade/internal/agreement/member"
	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/control/recall"
	"github.com/citronglade/citronglade/internal/control/upgrade"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/holding"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/sharing"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

const (
	// bookGroup is the group of the replicated book.
	bookGroup = 0
	// The clock of the group. A longer election timeout bears slower disks, a shorter one elects a new leader sooner.
	groupTick      = 25 * time.Millisecond
	groupHeartbeat = 80 * time.Millisecond
	groupElection  = 450 * time.Millisecond
	// loadsInterval is the time between two sums of the loads.
	loadsInterval = 40 * time.Millisecond
	// stateInterval is the time between two messages to the other control hosts.
	stateInterval = 50 * time.Millisecond
	// planInterval is the time between two looks at the voters.
	planInterval = 300 * time.Millisecond
	// upgradeInterval is the time between two steps of the upgrades.
	upgradeInterval = 50 * time.Millisecond
	// forgottenAfter is the silence after which what another host told counts no more.
	forgottenAfter = 1500 * time.Millisecond
	// confirmTimeout bounds how long the acknowledgement of a departure waits for other control hosts, and confirmAttempt
	// one call to one of them, which may meet a connection that is dead.
	confirmTimeout, confirmAttempt = 700 * time.Millisecond, 300 * time.Millisecond
	// saveInterval is the time between two looks at whether there is something to save for the next start.
	saveInterval = 700 * time.Millisecond
	// confirmPause is the pause between two of these calls.
	confirmPause = 20 * time.Millisecond
	// pruneInterval is the time between two prunings of the registry.
	pruneInterval = 10 * time.Second
	// loadsBudget bounds what an entry host is told of loads, in bytes a second: half of the 28 KB/s that a host may
	// spend on control.
	loadsBudget = 14_000
)

// Dependencies are what New needs.
type Dependencies struct {
	Name        unit.HostName
	DataCentre  unit.DataCentre
	Incarnation unit.Incarnation
	DataFolder  string
	// Seeds are control hosts to begin with; they may change.
	Seeds func() []unit.HostName
	// Form allows this host to form the group together with the seeds, at the first start of the installation only.
	Form bool
	// Voters is the number of voting hosts that the installation is built for.
	Voters  int
	Timer   *timer.Service
	Log     *eventlog.Log
	Call    leader.Call
	Send    func(to unit.HostName, kind string, payload []byte)
	Engines Engines
	// LeaseWait is how long a new leader sends no orders to replicas.
	LeaseWait time.Duration
	// ReportSilence is how long reports of a replica may be missing before it gets no orders.
	ReportSilence time.Duration
}

// Hub is the control role of one process. It is safe for concurrent use.
type Hub struct {
	Dependencies
	group   *group
	leaders *leader.Caller
	recall  *recall.File                     // used by the loop that saves only
	feeds   map[feedPlace]context.CancelFunc // used by the loop that follows only
	// following is the number of places in feeds.
	following atomic.Int64

	mu          sync.Mutex
	registry    *registry.Registry
	page        book.Page
	weights     map[unit.ModelName]book.WeightsNumber
	entries     map[unit.HostName]entryState
	others      map[unit.HostName]otherState
	planner     *upgrade.Planner
	leads       bool
	own         *holding.Map                   // cached parts at the places that this host follows
	holdings    *holding.Map                   // at all places
	mirrors     map[unit.HostName]*holding.Map // what the other control hosts follow
	owners      map[holding.Place]unit.HostName
	shared      *sharing.Filter
	newlyShared []sharing.Name // shared parts of which the other control hosts aren't told yet
	crashes     *quarantine.Register
	loads       loads
	store       string // address of the table's store
	storeOf     table.Version
	saved       uint64 // number of the registry's content that was saved last
	changes     int    // of the book that aren't saved
	// savedCrashes is the number of the last change of crashes that was saved.
	savedCrashes uint64
}

// entryState is what an entry host told last.
type entryState struct {
	load     tally.Tally
	number   uint64 // of load
	included uint64 // number of the load that is part of loads
	toldAt   unit.Moment
	at       unit.Moment
}

// loads is what all entry hosts together have in hand, by the indexes of the registry. It is worked out once for all readers.
type loads struct {
	total  tally.Tally
	packed []byte
	at     unit.Moment
}

// otherState is what another control host told last.
type otherState struct {
	State
	at           unit.Moment
	numbering    *registry.Numbering
	loads        tally.Tally // by the indexes of the registry here
	readRegistry uint64      // number of its last change of endpoints that was read here
	read         uint64      // number of its last change of cached parts that was read here
	readCrashes  uint64      // number of its last change of crashes that was read here
}

// New returns a hub that Run starts.
func New(d Dependencies) *Hub {
	h := &Hub{
		Dependencies: d, registry: registry.New(), weights: map[unit.ModelName]book.WeightsNumber{},
		entries: map[unit.HostName]entryState{}, others: map[unit.HostName]otherState{}, planner: upgrade.New(d.LeaseWait),
		own: holding.New(), holdings: holding.New(), mirrors: map[unit.HostName]*holding.Map{},
		owners: map[holding.Place]unit.HostName{}, feeds: map[feedPlace]context.CancelFunc{},
		shared: sharing.New(), crashes: quarantine.New(),
	}
	h.leaders = leader.New(d.Call, d.Seeds())
	h.recall = recall.New(d.DataFolder)
	h.restore()
	h.group = &group{log: d.Log, config: h.memberConfig, machine: h.newMachine}
	return h
}

// restore takes over what this host knew before it restarted.
func (h *Hub) restore() {
	state, ok, err := h.recall.Load()
	if err != nil {
		h.Log.Warn("state-not-restored", "cause", err.Error())
	}
	if !ok {
		return
	}
	for i := range state.Endpoints.Records {
		// The time that has passed isn't known; an endpoint that is gone falls silent from now on.
		state.Endpoints.Records[i].Age = 0
	}
	h.registry.Merge(h.Timer.Now(), state.Endpoints, &registry.Numbering{})
	h.crashes.Merge(h.Timer.Now(), state.Crashes)
	h.page = state.Page
	if state.Weights != nil {
		h.weights = state.Weights
	}
	h.Log.Info("state-restored", "table-version", uint64(h.page.Version), "endpoints", len(state.Endpoints.Records),
		"crashes", len(state.Crashes))
}

// save keeps what this host knows for its next start, if it has changed.
func (h *Hub) save(context.Context) {
	h.mu.Lock()
	content := h.registry.ContentNumber()
	crashes := h.crashes.Number()
	if content == h.saved && h.changes == 0 && crashes == h.savedCrashes {
		h.mu.Unlock()
		return
	}
	now := h.Timer.Now()
	state := recall.State{
		Page: h.page, Weights: maps.Clone(h.weights), Endpoints: h.registry.Since(now, 0), Crashes: h.crashes.Export(now),
	}
	h.saved, h.changes, h.savedCrashes = content, 0, crashes
	h.mu.Unlock()
	if err := h.recall.Save(state); err != nil {
		h.Log.Warn("state-not-saved", "cause", err.Error())
	}
}

func (h *Hub) memberConfig() member.Config {
	peers := h.seedNames()
	form := h.Form && slices.Contains(peers, string(h.Name))
	return member.Config{
		Group: bookGroup, Self: string(h.Name), Peers: peers, Join: !form, Folder: filepath.Join(h.DataFolder, "book"),
		Timer: h.Timer, Send: h.sendGroup, Tick: groupTick, Heartbeat: groupHeartbeat, Election: groupElection,
		Seed: uint64(h.Incarnation),
	}
}

func (h *Hub) seedNames() []string {
	var names []string
	for _, name := range h.Seeds() {
		names = append(names, string(name))
	}
	return names
}

// newMachine returns an empty state machine that publishes each change of its state.
func (h *Hub) newMachine() member.StateMachine {
	var m *book.Machine
	m = book.New(func() {
		page, weights := m.Page(), m.Weights()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.changes++
		if page.Version > h.page.Version {
			h.page = page
			h.Log.Info("table-applied", "table-version", uint64(page.Version), "bytes", len(page.Document))
		}
		for model, number := range weights {
			if number > h.weights[model] {
				h.weights[model] = number
				h.Log.Info("weights-named", "model", string(model), "weights", uint64(number))
			}
		}
	})
	return m
}

func (h *Hub) sendGroup(to string, id uint32, payload []byte) {
	message, err := codec.Marshal(leader.Message{Group: id, Payload: payload})
	if err != nil {
		h.Log.Error("message-not-sent", "to", to, "cause", err.Error())
		return
	}
	h.Send(unit.HostName(to), kind.Quorum, message)
}

// Run runs the role until ctx ends.
func (h *Hub) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var actors run.Group
	stop := func(error) { cancel() }
	actors.Add(func() error { return h.group.run(ctx) }, stop)
	for _, loop := range []struct {
		interval time.Duration
		step     func(context.Context)
	}{{stateInterval, h.tellOthers}, {planInterval, h.planVoters}, {upgradeInterval, h.stepUpgrades}, {pruneInterval, h.prune}, {saveInterval, h.save}, {feedInterval, h.follow}, {loadsInterval, h.sumLoads}} {
		actors.Add(func() error { return timer.Every(ctx, h.Timer, loop.interval, loop.step) }, stop)
	}
	go h.fetchRegistry(ctx)
	err := actors.Run()
	h.save(ctx) // what came since the last interval
	return err
}

// fetchRegistry asks another control host for all endpoints, so that a restarted host knows them before they report again.
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

// Submit accepts a table and the document that it was read from. It fails with fault.NoQuorum, fault.Unreachable and other
// retryable faults when the outcome isn't known.
func (h *Hub) Submit(ctx context.Context, t *table.Table, document []byte) error {
	encoded, err := codec.Marshal(t)
	if err != nil {
		return err
	}
	err = h.command(ctx, book.Command{Page: &book.Page{Version: t.Version, Table: encoded, Document: document}})
	h.logOutcome("table-submitted", err, "table-version", uint64(t.Version))
	return err
}

// NameWeights accepts new weights of a model.
func (h *Hub) NameWeights(ctx context.Context, model unit.ModelName, number book.WeightsNumber) error {
	err := h.command(ctx, book.Command{Weights: &book.Weights{Model: model, Number: number}})
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

func (h *Hub) command(ctx context.Context, c book.Command) error {
	payload, err := codec.Marshal(c)
	if err != nil {
		return err
	}
	_, err = h.leaders.Call(ctx, bookGroup, kind.BookCommand, payload)
	return err
}

// Page returns the newest accepted table, nothing older than the moment of the call.
func (h *Hub) Page(ctx context.Context) (book.Page, error) {
	var page book.Page
	answer, err := h.leaders.Call(ctx, bookGroup, kind.BookRead, nil)
	if err != nil {
		return page, err
	}
	return page, codec.Unmarshal(answer, &page)
}

// Hear takes an endpoint's report. It returns once the report has the effect that its acknowledgement promises: entry hosts
// learn of a departure from every control host that they may ask.
func (h *Hub) Hear(ctx context.Context, report registry.Report) {
	h.mu.Lock()
	known, existed := h.registry.Endpoint(report.ID)
	news := h.registry.Hear(h.Timer.Now(), report)
	after, _ := h.registry.Endpoint(report.ID)
	h.mu.Unlock()
	if !existed || known.Born != after.Born || known.Draining != after.Draining {
		h.Log.Info("endpoint-reported", "endpoint", string(report.ID), "service", string(report.Service), "address", report.Address,
			"draining", report.Draining, "born", report.Born, "sequence", report.Sequence, "news", news)
	}
	if report.Draining {
		h.confirm(ctx, report.ID)
	}
}

// Leave notes that an endpoint has left. A born of 0 means the lifetime that is known.
func (h *Hub) Leave(ctx context.Context, id unit.EndpointID, born int64) {
	h.mu.Lock()
	h.registry.Leave(h.Timer.Now(), id, born)
	h.mu.Unlock()
	h.Log.Info("endpoint-left", "endpoint", string(id), "born", born)
	h.confirm(ctx, id)
}

// confirm tells every control host about an endpoint that takes no more requests, and waits until all that can answer have
// done so.
func (h *Hub) confirm(ctx context.Context, id unit.EndpointID) {
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
			if err := h.confirmBy(ctx, name, update); err != nil {
				h.Log.Warn("departure-not-confirmed", "endpoint", string(id), "by", string(name), "cause", err.Error())
			}
		})
	}
	waiting.Wait()
}

// confirmBy repeats the call to one control host until it answers or ctx ends.
func (h *Hub) confirmBy(ctx context.Context, name unit.HostName, update []byte) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, confirmAttempt)
		_, err := h.Call(attempt, name, kind.HubConfirm, update)
		cancel()
		if err == nil || !timer.Sleep(ctx, confirmPause) {
			return err
		}
	}
}

// controlHosts returns all known control hosts, sorted: seeds, members of the group and those that were heard lately.
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
	for name, other := range h.others {
		if now.Sub(other.at) < forgottenAfter {
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
