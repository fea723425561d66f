// Package gateway implements the entry role of installations whose hosts discover their control hosts from seeds. It keeps the
// routing table, the endpoints and the loads of other hosts up to date, and serves calls with them.
package gateway

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"

	"github.com/citronglade/citronglade/internal/admission/usage"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/callers/forward"
	"github.com/citronglade/citronglade/internal/callers/meter"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/host/hub"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/enginespeed"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

const (
	// syncInterval is the time between two sync calls to a control host.
	syncInterval = 50 * time.Millisecond
	// syncTimeout bounds one sync call. After a time-out, another control host is asked.
	syncTimeout = 350 * time.Millisecond
	// majorityTimeout is how long a control host may have been without a majority before another one is asked.
	majorityTimeout = 600 * time.Millisecond
	// maxViewAge is the age from which a view of the endpoints is too old to tell which software version an endpoint runs. An endpoint takes longer
	// to be replaced.
	maxViewAge = time.Second
	// sweepInterval is the time between two checks for attempts whose endpoint has fallen silent.
	sweepInterval = 50 * time.Millisecond
	// poolPruneInterval is the time between two prunings of idle connections.
	poolPruneInterval = time.Second
	// registryPruneInterval is the time between two prunings of the registry and of the quarantined contents.
	registryPruneInterval = 10 * time.Second
	// meteredCustomers is the number of customers that have their own histograms.
	meteredCustomers = 200
	// localRetryPause is how long a control host of this host's data centre isn't preferred after it didn't answer.
	localRetryPause = 5 * time.Second
	// keptSentLoads is the number of this host's last load reports that are kept. The sum of all loads includes one of them.
	keptSentLoads = 8
	// connectionShare is the fraction of an endpoint's connections that all entry hosts together may use.
	connectionShare = 0.9
)

// Dependencies are the parameters of New.
type Dependencies struct {
	Name             unit.HostName
	Seeds            func() []unit.HostName // returns the control hosts to contact first; the list may change at run time
	Timer            *timer.Service
	Log              *eventlog.Log
	Call             leader.Call
	EndpointProtocol forward.EndpointProtocol
	// Allowance and Assign are the settings of the retry budget and of the assignment of requests to endpoints.
	Allowance retrybudget.Settings
	Assign    assign.Settings
	// MaxAnswerMemory is passed on as forward.Dependencies.MaxAnswerMemory.
	MaxAnswerMemory int64
	Stopping        func() bool
	// OpenStream sends a message to another host and returns the stream with which it answers.
	OpenStream func(ctx context.Context, to unit.HostName, kind string, payload []byte) (io.ReadCloser, error)
}

// Gateway is the entry role of one process. It is safe for concurrent use.
type Gateway struct {
	Dependencies
	handler    *forward.Handler
	pool       *exchange.Pool
	table      atomic.Pointer[table.Table]
	entryHosts atomic.Int64 // number of entry hosts, as reported by a control host
	// leaderCaller sends questions to the leader of the control hosts.
	leaderCaller *leader.Caller

	mu             sync.Mutex
	registry       *registry.Registry
	numbering      *registry.Numbering           // indexes of currentHost's registry
	controlHosts   []hub.ControlHost             // as reported by a control host
	currentHost    unit.HostName                 // the control host that is asked, empty if none is chosen
	nextHost       int                           // position in the list of candidates of the next control host to try
	lostAt         map[unit.HostName]unit.Moment // when each control host last failed to answer or had no majority
	hubEpoch       unit.Incarnation              // incarnation of the control host that answered last
	registryNumber uint64                        // number of the last change of the registry that was read
	holdingNumber  uint64                        // number of the last change of cached parts that was read
	weightsRead    uint64                        // number of the last change of the ages of weights that was read
	// crashesSent is the number of the last of this host's crash notices that the control host has, and crashesRead that of the last
	// of the control host's notices that this host has read.
	crashesSent, crashesRead uint64
	causesSent, causesRead   uint64 // the same for notices of crashed and answered parts of prompts
	// streamsSent is the number of the last record of a stream that the control host has; needsStreams says whether it needs them.
	streamsSent   uint64
	needsStreams  bool
	trialAskedAt  unit.Moment     // when the leader was last asked for a trial of a blocked part
	relays        []unit.HostName // entry hosts that reach endpoints, as a control host reported last
	connected     bool            // the last sync with a control host was successful
	inStepAt      atomic.Int64    // unit.Moment of the last contact of an answering control host with a majority
	endpointsSeen atomic.Bool     // at least one endpoint has been usable since the start
	takenRelays   atomic.Int64    // number of relayed requests that this host is serving for others

	sentLoads []sentLoad   // the last load reports, used only by sync
	applied   appliedState // used only by sync
	// limitsSentAt is when limits that the control host probably knows were last sent; used only by sync.
	limitsSentAt unit.Moment
}

// sentLoad is a report of this host's own load that was sent to a control host.
type sentLoad struct {
	number uint64
	load   map[unit.EndpointID]assign.Load
}

// appliedState identifies the data from which the assigner's endpoints were last computed.
type appliedState struct {
	registryContent    uint64
	tableVersion       table.Version
	updating, upcoming []unit.EndpointID
}

// New returns a gateway without a table or endpoints; it learns them once Run runs.
func New(d Dependencies) *Gateway {
	g := &Gateway{
		Dependencies: d, registry: registry.New(), numbering: &registry.Numbering{}, pool: exchange.New(d.Timer.Now),
		lostAt: map[unit.HostName]unit.Moment{}, needsStreams: true, leaderCaller: leader.New(d.Call, d.Seeds()),
	}
	g.nextHost = int(startIndex(d.Name))
	g.handler = forward.New(forward.Dependencies{
		Now: d.Timer.Now, Log: d.Log, Meter: meter.New(metrics.GetDefaultSet(), meteredCustomers), Wire: d.EndpointProtocol, Pool: g.pool, Table: g.table.Load, Connections: g.connections,
		Allowance: d.Allowance, Assign: d.Assign, MaxAnswerMemory: d.MaxAnswerMemory, FindStream: g.findStream, TryPart: g.tryPart, InStep: g.inStep,
		Relay: g.relay,
	})
	return g
}

// startIndex returns the position in the list of candidates from which a host begins to try control hosts. It depends on the name, so
// that the entry hosts spread over the control hosts.
func startIndex(name unit.HostName) uint32 {
	sum := uint32(0)
	for _, b := range []byte(name) {
		sum = sum*31 + uint32(b)
	}
	return sum % 1024
}

// Handler returns the handler that serves calls.
func (g *Gateway) Handler() *forward.Handler {
	return g.handler
}

// Ready reports whether the host can serve: it isn't stopping, has a table and has known a usable endpoint.
func (g *Gateway) Ready() bool {
	return !g.Stopping() && g.table.Load() != nil && g.endpointsSeen.Load()
}

// Run runs the gateway's periodic tasks until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var actors run.Group
	stop := func(error) { cancel() }
	for _, loop := range []struct {
		interval time.Duration
		step     func(context.Context)
	}{
		{syncInterval, g.sync},
		{sweepInterval, g.handler.Sweep},
		{poolPruneInterval, func(context.Context) { g.pool.Prune() }},
		{registryPruneInterval, g.prune},
	} {
		actors.Add(func() error { return timer.Every(ctx, g.Timer, loop.interval, loop.step) }, stop)
	}
	return actors.Run()
}

// inStep reports whether a control host that is in contact with a majority has answered lately.
func (g *Gateway) inStep() bool {
	return g.Timer.Now().Sub(unit.Moment(g.inStepAt.Load())) < maxViewAge
}

// connections returns the number of connections that this host may open to an endpoint of the service.
func (g *Gateway) connections(s *table.Service) int {
	return int(connectionShare * float64(s.MaxConnections) / float64(max(g.entryHosts.Load(), 1)))
}

// sync sends a control host what is new at this host, such as its load, and applies the changes in the answer.
func (g *Gateway) sync(ctx context.Context) {
	sentAt := g.Timer.Now()
	name, request, streams := g.prepareRequest()
	payload, err := codec.Marshal(request)
	if err != nil {
		g.Log.Error("message-not-sent", "to", string(name), "cause", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := g.Call(ctx, name, kind.Sync, payload)
	var answer hub.SyncAnswer
	if err == nil {
		err = codec.Unmarshal(reply, &answer)
	}
	if err != nil {
		g.markLost(name, err.Error())
		return
	}
	if request.Usage != nil && answer.Usage != nil {
		g.handler.WithUsage(func(m *usage.Meter) { m.Accept(sentAt, *request.Usage, *answer.Usage) })
	}
	g.streamsReceived(&request, &answer, streams)
	g.applyCrashes(name, &request, &answer) // before the rest, because the host may become ready to serve with the rest of the answer
	g.applyAnswer(name, &answer, sentAt)
	g.resolveSuspectLifetimes()
	if answer.Age > majorityTimeout {
		g.markLost(name, "the control host has had no contact with a majority for "+answer.Age.String())
	}
}

// prepareRequest returns the control host to ask, the request to send, and the number of the last record of a stream in it.
func (g *Gateway) prepareRequest() (name unit.HostName, request hub.SyncRequest, streams uint64) {
	now := g.Timer.Now()
	var own map[unit.EndpointID]assign.Load
	var wanted map[unit.EndpointID]int
	var speeds map[unit.EndpointID]*enginespeed.Average
	resendLimits := now.Sub(g.limitsSentAt) >= limitsInterval
	if resendLimits {
		g.limitsSentAt = now
	}
	g.handler.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) {
		own, request.Shared, request.Leaving = a.OwnLoads(now), a.TakeSharedNames(), a.Leaving()
		wanted, request.Limits = a.WantedPermits(now), a.Limits(now, resendLimits)
		request.Reach, request.NeedsRelays = a.Reach(now)
		speeds = a.TakeSpeedSamples()
	})
	request.Stopping = g.Stopping()
	if t := g.table.Load(); t != nil {
		request.TableVersion = t.Version
		if len(t.Limits()) > 0 {
			g.handler.WithUsage(func(m *usage.Meter) {
				report := m.Report(now)
				request.Usage = &report
			})
		} else {
			g.handler.WithUsage(func(m *usage.Meter) { m.DropIdle(now) })
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handler.WithQuarantines(func(q *quarantine.Register) { request.Crashes = q.Since(now, g.crashesSent) })
	g.handler.WithCrashCauses(func(c *crashcause.Register) { request.Causes = c.Since(now, g.causesSent) })
	request.CrashesRead, request.CausesRead = g.crashesRead, g.causesRead
	if g.needsStreams {
		update := g.handler.StreamsSince(g.streamsSent)
		request.Streams, streams = update.Batches, update.Number
	}
	g.currentHost = g.chooseControlHost(now)
	load := tally.EndpointLoads{}
	for id, l := range own {
		if index, ok := g.numbering.Index(id); ok {
			load[index] = l
		}
	}
	request.Limits = request.Limits[:min(len(request.Limits), maxLimitedEndpoints)]
	request.WantedPermits = g.wantedPermits(wanted)
	for id, average := range speeds {
		if index, ok := g.numbering.Index(id); ok {
			request.Speeds = append(request.Speeds, average.Entry(index))
		}
	}
	number := uint64(1)
	if len(g.sentLoads) > 0 {
		number = g.sentLoads[len(g.sentLoads)-1].number + 1
	}
	g.sentLoads = append(g.sentLoads[max(0, len(g.sentLoads)+1-keptSentLoads):], sentLoad{number, own})
	request.Epoch, request.RegistryNumber, request.HoldingNumber, request.WeightsRead = g.hubEpoch, g.registryNumber, g.holdingNumber, g.weightsRead
	request.Load, request.UrgentLoad, request.LoadNumber = load.Pack(), load.PackUrgent(), number
	return g.currentHost, request, streams
}

// chooseControlHost returns the control host to ask next. It prefers the hosts of this host's data centre, because traffic to another
// data centre costs more and takes longer. Without such a host it stays with the current one, or tries all candidates in turn. The lock
// must be held, as for candidateHosts.
func (g *Gateway) chooseControlHost(now unit.Moment) unit.HostName {
	var local []unit.HostName
	for _, host := range g.controlHosts {
		lostAt, lost := g.lostAt[host.Name]
		if host.DataCentre == g.Assign.DataCentre && (!lost || now.Sub(lostAt) > localRetryPause) {
			local = append(local, host.Name)
		}
	}
	switch {
	case g.currentHost != "" && (len(local) == 0 || slices.Contains(local, g.currentHost)):
		return g.currentHost
	case len(local) > 0:
		return local[g.nextHost%len(local)]
	default:
		known := g.candidateHosts()
		g.nextHost++
		return known[(g.nextHost-1)%len(known)]
	}
}

// candidateHosts returns the control hosts that may be asked, sorted: the seeds and those that a control host has reported.
func (g *Gateway) candidateHosts() []unit.HostName {
	known := slices.Clone(g.Seeds())
	for _, host := range g.controlHosts {
		known = append(known, host.Name)
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// markLost records that a control host didn't answer or has no majority, so that another one is chosen.
func (g *Gateway) markLost(name unit.HostName, cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.currentHost == name {
		g.currentHost = ""
	}
	g.lostAt[name] = g.Timer.Now()
	if g.connected {
		g.connected = false
		g.Log.Warn("control-host-lost", "control-host", string(name), "cause", cause)
	}
}

// applyAnswer applies a control host's answer. An older table than the one in force is ignored.
func (g *Gateway) applyAnswer(name unit.HostName, answer *hub.SyncAnswer, sentAt unit.Moment) {
	now := g.Timer.Now()
	g.entryHosts.Store(int64(answer.EntryHosts))
	g.handler.WithUsage(func(m *usage.Meter) { m.ExpectHosts(answer.EntryHosts) })
	g.inStepAt.Store(max(g.inStepAt.Load(), int64(sentAt.Add(-answer.Age))))
	g.applyTable(answer.Table)
	g.mu.Lock()
	if !g.connected && answer.Age <= majorityTimeout {
		g.connected = true
		g.Log.Info("control-host-found", "control-host", string(name), "epoch", uint64(answer.Epoch))
	}
	if len(answer.ControlHosts) > 0 {
		g.controlHosts = answer.ControlHosts
	}
	g.relays = answer.Relays
	if answer.Epoch != g.hubEpoch {
		g.numbering = &registry.Numbering{}
		g.sentLoads = nil
	}
	reported := g.registry.Merge(now, answer.Update, g.numbering)
	g.hubEpoch, g.registryNumber, g.holdingNumber, g.weightsRead = answer.Epoch, answer.Update.Number, answer.Holding.Number, answer.WeightsNumber
	for _, record := range answer.Update.Records {
		g.Log.Info("endpoint-known", "endpoint", string(record.ID), "service", string(record.Service), "software", string(record.Software), "draining", record.Draining,
			"left", record.Left, "weights", record.Weights, "report-age-ms", record.Age.Milliseconds())
		if record.Left {
			g.pool.CloseIdle(record.ID)
		}
	}
	v := g.resolveAnswer(reported, answer)
	v.permits = g.grantedPermits(answer, sentAt)
	g.mu.Unlock()
	g.updateAssigner(now, sentAt, v, answer)
	if len(v.permits) > 0 {
		g.handler.PermitsArrived()
	}
}

// applyCrashes merges a control host's notices of contents and parts of prompts that crashed endpoints.
func (g *Gateway) applyCrashes(name unit.HostName, request *hub.SyncRequest, answer *hub.SyncAnswer) {
	g.mu.Lock()
	g.crashesSent, g.crashesRead = request.Crashes.Number, answer.Crashes.Number
	g.causesSent, g.causesRead = request.Causes.Number, answer.Causes.Number
	if answer.Epoch != request.Epoch {
		// The request held the notices that another control host, or this one before its restart, hadn't received yet.
		g.crashesSent, g.causesSent = 0, 0
	}
	g.mu.Unlock()
	g.handler.MergeCrashCauses(answer.Causes.Notices)
	var quarantined []unit.Digest
	g.handler.WithQuarantines(func(q *quarantine.Register) { quarantined = q.Merge(g.Timer.Now(), answer.Crashes.Notices) })
	for _, content := range quarantined {
		g.Log.Warn("content-quarantined", "content", content.String(), "told-by", string(name))
	}
}

// resolveSuspectLifetimes tells the handler whether the endpoints that broke off answers were leaving or have crashed, as soon as the
// registry shows it.
func (g *Gateway) resolveSuspectLifetimes() {
	for _, l := range g.handler.SuspectLifetimes() {
		g.mu.Lock()
		replaced := g.registry.Replaced(l)
		e, known := g.registry.Endpoint(l.Endpoint)
		g.mu.Unlock()
		switch {
		case known && e.Born == l.Born && e.Draining:
			g.handler.RecordLeaving(l)
		case replaced:
			g.handler.RecordCrash(l, "a later lifetime has reported")
		case known && e.Born == l.Born && e.Left:
			g.handler.RecordLeaving(l)
		}
	}
}

// prune removes endpoints that have been silent for long, and quarantines that have expired.
func (g *Gateway) prune(context.Context) {
	g.handler.WithQuarantines(func(q *quarantine.Register) { q.Prune(g.Timer.Now()) })
	g.handler.WithCrashCauses(func(c *crashcause.Register) { c.Prune(g.Timer.Now()) })
	g.handler.PruneStreams()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.Prune(g.Timer.Now())
	g.numbering.Prune(g.registry)
}

// applyTable puts an encoded table in force if it is newer than the current one.
func (g *Gateway) applyTable(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	var t table.Table
	err := codec.Unmarshal(encoded, &t)
	if err == nil {
		err = t.Compile()
	}
	if err != nil {
		g.Log.Error("table-not-taken", "cause", err.Error())
		return
	}
	current := g.table.Load()
	if current != nil && current.Version >= t.Version {
		return
	}
	g.table.Store(&t)
	g.Log.Info("table-in-force", "table-version", uint64(t.Version), "routes", len(t.Routes))
}
