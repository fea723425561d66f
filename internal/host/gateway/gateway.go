// Package gateway assembles the entry role of hosts that find their control hosts from seeds: it keeps the routing table,
// the endpoints and the loads of other hosts up to date and serves calls with them.
package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"

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
	"github.com/citronglade/citronglade/internal/routing/allowance"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

const (
	// syncInterval is the time between two calls to a control host.
	syncInterval = 50 * time.Millisecond
	// syncTimeout bounds one of these calls; after it another control host is asked.
	syncTimeout = 350 * time.Millisecond
	// staleAfter is how long a control host may have been without a majority before another one is asked.
	staleAfter = 600 * time.Millisecond
	// sweepInterval is the time between two looks for silent attempts.
	sweepInterval = 50 * time.Millisecond
	// pruneInterval is the time between two prunings of idle connections.
	pruneInterval = time.Second
	// forgetInterval is the time between two prunings of the endpoints.
	forgetInterval = 10 * time.Second
	// meteredCustomers is the number of customers with histograms of their own.
	meteredCustomers = 200
	// nearAfter is how long a control host of the own data centre that didn't answer isn't preferred.
	nearAfter = 5 * time.Second
	// keptTold is the number of the last loads told of which the sum of all loads may hold one.
	keptTold = 8
	// connectionShare is the part of an endpoint's connections that all entry hosts together use.
	connectionShare = 0.9
)

// Dependencies are what New needs.
type Dependencies struct {
	Name  unit.HostName
	Seeds func() []unit.HostName // control hosts to begin with; they may change
	Timer *timer.Service
	Log   *eventlog.Log
	Call  leader.Call
	Wire  forward.Wire
	// Allowance and Assign are the limits of retries and of the assignment of endpoints.
	Allowance allowance.Settings
	Assign    assign.Settings
	// AnswerBytes is forward.Dependencies.AnswerBytes.
	AnswerBytes int64
	Stopping    func() bool
}

// Gateway is the entry role of one process. It is safe for concurrent use.
type Gateway struct {
	Dependencies
	handler *forward.Handler
	pool    *exchange.Pool
	table   atomic.Pointer[table.Table]
	entries atomic.Int64 // entry hosts, as a control host counts them

	mu        sync.Mutex
	registry  *registry.Registry
	numbering *registry.Numbering // of the control host that is asked
	control   []hub.ControlHost   // as a control host told
	hub       unit.HostName       // the control host that is asked
	next      int                 // which one is asked after it
	lostAt    map[unit.HostName]unit.Moment
	epoch     unit.Incarnation
	number    uint64
	held      uint64 // number of the last change of cached parts
	// crashesTold is the number of the last change of this host's crashes that the control host has, and crashesRead that of the
	// control host's that was read.
	crashesTold, crashesRead uint64
	inTouch                  bool
	served                   atomic.Bool // an endpoint has been known

	told    []toldLoad // the last ones, used by sync only
	applied applied    // used by sync only
}

// toldLoad is what this host has told of its own load.
type toldLoad struct {
	number uint64
	load   map[unit.EndpointID]assign.Load
}

// applied says what the assigner's endpoints were made of.
type applied struct {
	content            uint64
	table              table.Version
	updating, upcoming []unit.EndpointID
}

// New returns a gateway that knows nothing yet; Run makes it learn.
func New(d Dependencies) *Gateway {
	g := &Gateway{
		Dependencies: d, registry: registry.New(), numbering: &registry.Numbering{}, pool: exchange.New(d.Timer.Now),
		lostAt: map[unit.HostName]unit.Moment{},
	}
	g.next = int(seedOf(d.Name))
	g.handler = forward.New(forward.Dependencies{
		Now: d.Timer.Now, Log: d.Log, Meter: meter.New(metrics.GetDefaultSet(), meteredCustomers), Wire: d.Wire, Pool: g.pool, Table: g.table.Load, Connections: g.connections,
		Allowance: d.Allowance, Assign: d.Assign, AnswerBytes: d.AnswerBytes,
	})
	return g
}

// seedOf spreads the entry hosts over the control hosts.
func seedOf(name unit.HostName) uint32 {
	sum := uint32(0)
	for _, b := range []byte(name) {
		sum = sum*31 + uint32(b)
	}
	return sum % 1024
}

// Handler returns what serves calls.
func (g *Gateway) Handler() *forward.Handler {
	return g.handler
}

// Ready reports whether the host can serve.
func (g *Gateway) Ready() bool {
	return !g.Stopping() && g.table.Load() != nil && g.served.Load()
}

// Run keeps the host up to date until ctx ends.
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
		{pruneInterval, func(context.Context) { g.pool.Prune() }},
		{forgetInterval, g.forget},
	} {
		actors.Add(func() error { return timer.Every(ctx, g.Timer, loop.interval, loop.step) }, stop)
	}
	return actors.Run()
}

// connections is this host's part of the connections that an endpoint takes from all hosts together.
func (g *Gateway) connections(s *table.Service) int {
	return int(connectionShare * float64(s.MaxConnections) / float64(max(g.entries.Load(), 1)))
}

// sync tells a control host this host's load and takes what has changed.
func (g *Gateway) sync(ctx context.Context) {
	name, request := g.question()
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
		g.lost(name, err.Error())
		return
	}
	g.takeCrashes(name, &request, &answer) // first, as the host may begin to serve with what it takes next
	g.take(name, &answer)
	g.judgeLifetimes()
	if answer.Age > staleAfter {
		g.lost(name, "the control host hears no majority for "+answer.Age.String())
	}
}

// question returns the control host to ask and what to ask it.
func (g *Gateway) question() (unit.HostName, hub.SyncRequest) {
	now := g.Timer.Now()
	var request hub.SyncRequest
	var own map[unit.EndpointID]assign.Load
	g.handler.With(func(a *assign.Assigner, _ *allowance.Ledger) {
		own, request.Shared, request.Leaving = a.Own(now), a.Shared(), a.Leaving()
	})
	if t := g.table.Load(); t != nil {
		request.TableVersion = t.Version
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handler.WithRegister(func(q *quarantine.Register) { request.Crashes = q.Since(now, g.crashesTold) })
	request.CrashesRead = g.crashesRead
	g.hub = g.preferred(now)
	load := tally.Tally{}
	for id, l := range own {
		if index, ok := g.numbering.Index(id); ok {
			load[index] = l
		}
	}
	number := uint64(1)
	if len(g.told) > 0 {
		number = g.told[len(g.told)-1].number + 1
	}
	g.told = append(g.told[max(0, len(g.told)+1-keptTold):], toldLoad{number, own})
	request.Epoch, request.RegistryNumber, request.HoldingNumber, request.Load, request.LoadNumber = g.epoch, g.number, g.held, load.Pack(), number
	return g.hub, request
}

// preferred returns the control host that is asked next: one of the own data centre where one is heard, as what goes to another
// data centre costs more and takes longer. Where none is known the hosts go round. The lock must be held, as for known.
func (g *Gateway) preferred(now unit.Moment) unit.HostName {
	var near []unit.HostName
	for _, host := range g.control {
		lostAt, lost := g.lostAt[host.Name]
		if host.DataCentre == g.Assign.DataCentre && (!lost || now.Sub(lostAt) > nearAfter) {
			near = append(near, host.Name)
		}
	}
	switch {
	case g.hub != "" && (len(near) == 0 || slices.Contains(near, g.hub)):
		return g.hub
	case len(near) > 0:
		return near[g.next%len(near)]
	default:
		known := g.known()
		g.next++
		return known[(g.next-1)%len(known)]
	}
}

// known returns the control hosts that may be asked: the seeds and those that a control host told of.
func (g *Gateway) known() []unit.HostName {
	known := slices.Clone(g.Seeds())
	for _, host := range g.control {
		known = append(known, host.Name)
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// lost turns to another control host.
func (g *Gateway) lost(name unit.HostName, cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hub == name {
		g.hub = ""
	}
	g.lostAt[name] = g.Timer.Now()
	if g.inTouch {
		g.inTouch = false
		g.Log.Warn("control-host-lost", "control-host", string(name), "cause", cause)
	}
}

// take applies what a control host answered. A host never goes back to an older table.
func (g *Gateway) take(name unit.HostName, answer *hub.SyncAnswer) {
	now := g.Timer.Now()
	g.entries.Store(int64(answer.EntryHosts))
	g.takeTable(answer.Table)
	g.mu.Lock()
	if !g.inTouch && answer.Age <= staleAfter {
		g.inTouch = true
		g.Log.Info("control-host-found", "control-host", string(name), "epoch", uint64(answer.Epoch))
	}
	if len(answer.ControlHosts) > 0 {
		g.control = answer.ControlHosts
	}
	if answer.Epoch != g.epoch {
		g.numbering = &registry.Numbering{}
		g.told = nil
	}
	heard := g.registry.Merge(now, answer.Update, g.numbering)
	g.epoch, g.number, g.held = answer.Epoch, answer.Update.Number, answer.Holding.Number
	for _, record := range answer.Update.Records {
		g.Log.Info("endpoint-known", "endpoint", string(record.ID), "service", string(record.Service), "draining", record.Draining,
			"left", record.Left, "weights", record.Weights, "report-age-ms", record.Age.Milliseconds())
		if record.Left {
			g.pool.Forget(record.ID)
		}
	}
	v := g.view(heard, answer)
	g.mu.Unlock()
	g.apply(now, v, answer)
}

// takeCrashes takes what a control host told of contents that crashed endpoints.
func (g *Gateway) takeCrashes(name unit.HostName, request *hub.SyncRequest, answer *hub.SyncAnswer) {
	g.mu.Lock()
	g.crashesTold, g.crashesRead = request.Crashes.Number, answer.Crashes.Number
	if answer.Epoch != request.Epoch {
		// The question held what another control host lacked.
		g.crashesTold = 0
	}
	g.mu.Unlock()
	var quarantined []unit.Digest
	g.handler.WithRegister(func(q *quarantine.Register) { quarantined = q.Merge(g.Timer.Now(), answer.Crashes.Notices) })
	for _, content := range quarantined {
		g.Log.Warn("content-quarantined", "content", content.String(), "told-by", string(name))
	}
}

// judgeLifetimes tells the handler what became of endpoints that broke off answers.
func (g *Gateway) judgeLifetimes() {
	for _, l := range g.handler.Lifetimes() {
		g.mu.Lock()
		replaced := g.registry.Replaced(l)
		e, known := g.registry.Endpoint(l.Endpoint)
		g.mu.Unlock()
		switch {
		case known && e.Born == l.Born && e.Draining:
			g.handler.Leaves(l)
		case replaced:
			g.handler.Crashed(l, "a later lifetime has reported")
		case known && e.Born == l.Born && e.Left:
			g.handler.Leaves(l)
		}
	}
}

// view is what one answer says of the endpoints.
type view struct {
	changed            bool
	present            []registry.Endpoint // if changed, all of them, otherwise those that reported again
	updating, upcoming []unit.EndpointID
	others             map[unit.EndpointID]assign.Load // nil if nothing newer was told
}

// view resolves the indexes of an answer. The lock must be held.
func (g *Gateway) view(heard []unit.EndpointID, answer *hub.SyncAnswer) view {
	v := view{updating: g.numbering.IDs(answer.Updating), upcoming: g.numbering.IDs(answer.Upcoming), others: g.others(answer)}
	next := applied{content: g.registry.ContentNumber(), updating: v.updating, upcoming: v.upcoming}
	if t := g.table.Load(); t != nil {
		next.table = t.Version
	}
	v.changed = next.content != g.applied.content || next.table != g.applied.table || !slices.Equal(next.updating, g.applied.updating) ||
		!slices.Equal(next.upcoming, g.applied.upcoming)
	if v.changed {
		g.applied, v.present = next, g.registry.Present()
		return v
	}
	for _, id := range heard {
		if e, ok := g.registry.Endpoint(id); ok {
			v.present = append(v.present, e)
		}
	}
	return v
}

// others returns what other entry hosts have in hand: the sum of all less what this host told of it.
func (g *Gateway) others(answer *hub.SyncAnswer) map[unit.EndpointID]assign.Load {
	if !answer.HasLoads {
		return nil
	}
	total, err := tally.Unpack(answer.Loads)
	if err != nil {
		g.Log.Error("loads-not-taken", "cause", err.Error())
		return nil
	}
	others := make(map[unit.EndpointID]assign.Load, len(total))
	for index, load := range total {
		if id, ok := g.numbering.ID(index); ok {
			others[id] = load
		}
	}
	for _, told := range g.told {
		if told.number != answer.IncludedLoadNumber {
			continue
		}
		for id, load := range told.load {
			if other, ok := others[id]; ok {
				others[id] = other.Sub(load)
			}
		}
	}
	return others
}

func (g *Gateway) apply(now unit.Moment, v view, answer *hub.SyncAnswer) {
	t := g.table.Load()
	g.handler.With(func(a *assign.Assigner, l *allowance.Ledger) {
		l.SetHosts(answer.EntryHosts)
		a.SetHosts(answer.EntryHosts)
		if t != nil {
			a.SetStore(t.Store())
		}
		a.SetNewest(now, answer.Weights)
		if v.changed {
			a.SetEndpoints(v.present, func(name table.ServiceName) (*table.Service, bool) {
				if t == nil {
					return nil, false
				}
				return t.Service(name)
			}, v.updating, v.upcoming)
		} else {
			a.SetHeard(v.present)
		}
		if v.others != nil {
			a.SetLoads(now.Add(-answer.LoadsAge), v.others)
		}
		a.SetHoldings(now, answer.Holding)
		if a.Serves() {
			g.served.Store(true)
		}
	})
}

// forget drops endpoints of which nothing has been heard for long, and crashes that are over.
func (g *Gateway) forget(context.Context) {
	g.handler.WithRegister(func(q *quarantine.Register) { q.Prune(g.Timer.Now()) })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.Prune(g.Timer.Now())
	g.numbering.Prune(g.registry)
}

func (g *Gateway) takeTable(encoded []byte) {
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
