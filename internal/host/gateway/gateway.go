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
)

const (
	// syncInterval is the time between two calls to a control host.
	syncInterval = 120 * time.Millisecond
	// syncTimeout bounds one of these calls; after it another control host is asked.
	syncTimeout = 350 * time.Millisecond
	// staleAfter is how long a control host may have been without a majority before another one is asked.
	staleAfter = 600 * time.Millisecond
	// sweepInterval is the time between two looks for silent attempts.
	sweepInterval = 50 * time.Millisecond
	// pruneInterval is the time between two prunings of idle connections.
	pruneInterval = time.Second
	// meteredCustomers is the number of customers with histograms of their own.
	meteredCustomers = 200
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
	Stopping  func() bool
}

// Gateway is the entry role of one process. It is safe for concurrent use.
type Gateway struct {
	Dependencies
	handler *forward.Handler
	pool    *exchange.Pool
	table   atomic.Pointer[table.Table]
	entries atomic.Int64 // entry hosts, as a control host counts them

	mu       sync.Mutex
	registry *registry.Registry
	control  []unit.HostName // as a control host told
	hub      unit.HostName   // the control host that is asked
	next     int             // which one is asked after it
	epoch    unit.Incarnation
	number   uint64
	held     uint64 // number of the last change of cached parts
	inTouch  bool
	served   atomic.Bool // an endpoint has been known
}

// New returns a gateway that knows nothing yet; Run makes it learn.
func New(d Dependencies) *Gateway {
	g := &Gateway{Dependencies: d, registry: registry.New(), pool: exchange.New(d.Timer.Now)}
	g.next = int(seedOf(d.Name))
	g.handler = forward.New(forward.Dependencies{
		Now: d.Timer.Now, Log: d.Log, Meter: meter.New(metrics.GetDefaultSet(), meteredCustomers), Wire: d.Wire, Pool: g.pool, Table: g.table.Load, Connections: g.connections,
		Allowance: d.Allowance, Assign: d.Assign,
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
	g.take(name, &answer)
	if answer.Age > staleAfter {
		g.lost(name, "the control host hears no majority for "+answer.Age.String())
	}
}

// question returns the control host to ask and what to ask it.
func (g *Gateway) question() (unit.HostName, hub.SyncRequest) {
	var request hub.SyncRequest
	g.handler.With(func(a *assign.Assigner, _ *allowance.Ledger) { request.Load = a.Own(g.Timer.Now()) })
	if t := g.table.Load(); t != nil {
		request.TableVersion = t.Version
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hub == "" {
		known := g.known()
		g.hub = known[g.next%len(known)]
		g.next++
	}
	request.Epoch, request.Number, request.Holding = g.epoch, g.number, g.held
	return g.hub, request
}

// known returns the control hosts that may be asked: the seeds and those that a control host told of. The lock must be held.
func (g *Gateway) known() []unit.HostName {
	known := slices.Concat(g.Seeds(), g.control)
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
	if len(answer.Control) > 0 {
		g.control = answer.Control
	}
	g.registry.Merge(now, answer.Update)
	g.epoch, g.number, g.held = answer.Epoch, answer.Update.Number, answer.Holding.Number
	for _, record := range answer.Update.Records {
		g.Log.Info("endpoint-known", "endpoint", string(record.ID), "service", string(record.Service), "draining", record.Draining,
			"left", record.Left, "weights", record.Weights, "report-age-ms", record.Age.Milliseconds())
		if record.Left {
			g.pool.Forget(record.ID)
		}
	}
	present := g.registry.Present()
	g.registry.Prune(now)
	g.mu.Unlock()
	g.apply(now, present, answer)
}

func (g *Gateway) apply(now unit.Moment, present []registry.Endpoint, answer *hub.SyncAnswer) {
	t := g.table.Load()
	g.handler.With(func(a *assign.Assigner, l *allowance.Ledger) {
		l.SetHosts(answer.EntryHosts)
		a.SetHosts(answer.EntryHosts)
		if t != nil {
			a.SetStore(t.Store())
		}
		a.SetNewest(now, answer.Weights)
		a.SetEndpoints(present, func(name table.ServiceName) (*table.Service, bool) {
			if t == nil {
				return nil, false
			}
			return t.Service(name)
		}, answer.Updating, answer.Upcoming)
		a.SetLoads(now, answer.Others)
		a.SetHoldings(now, answer.Holding)
		if a.Serves() {
			g.served.Store(true)
		}
	})
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
