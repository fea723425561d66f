// Package platformhost runs one host of an installation whose hosts discover each other: the link to the other hosts, the entry or the
// control role, the listeners and the planned stop.
package platformhost

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"

	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/machine"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/bodymemory"
	"github.com/citronglade/citronglade/internal/callers/forward"
	"github.com/citronglade/citronglade/internal/host/gateway"
	"github.com/citronglade/citronglade/internal/host/hub"
	"github.com/citronglade/citronglade/internal/host/metricspage"
	"github.com/citronglade/citronglade/internal/network/connections"
	"github.com/citronglade/citronglade/internal/network/httpserver"
	"github.com/citronglade/citronglade/internal/network/identity"
	"github.com/citronglade/citronglade/internal/network/keys"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/network/link"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// linkIdleTimeout is the silence after which a link to another host is closed, for example during a network partition. Hosts
	// that are connected send each other messages several times a second.
	linkIdleTimeout = 1500 * time.Millisecond
	// drainPollInterval is the time between two checks whether requests are still running while the host stops.
	drainPollInterval = 20 * time.Millisecond
	// drainShare is the fraction of the stop's grace period in which a host that reports that it isn't ready still accepts requests,
	// so that the load balancer has noticed before connections are refused.
	drainShare = 0.3
	// answerShare is the fraction of the stop's grace period after which requests that are still running are ended with an answer.
	answerShare = 0.92
	// shutdownShare is the fraction of the stop's grace period after which connections are closed whose requests haven't ended yet.
	shutdownShare = 0.94
	// headerTimeout bounds the time to send a request's header, unless the routing table states a time for callers, and idleTimeout the
	// lifetime of an idle connection.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// maxHeaderBytes bounds the size of a request's header, unless the routing table states a size for callers; net/http accepts 4 KiB more.
	maxHeaderBytes = 20 << 10
	// writeTimeout bounds the time to write an answer of the listeners that callers don't use. The largest ones, the table and the metrics,
	// take milliseconds. The handler for callers has its own limits.
	writeTimeout = time.Minute
	// memoryLimitShare is the fraction of the process's memory that is set as the soft memory limit of the Go runtime, above which
	// garbage is collected more often.
	memoryLimitShare = 0.7
	// bodyMemoryShare is the fraction of the process's memory for the bodies of requests: four of the largest in an entry host of 112 MB,
	// beside small ones. With a quarter, 40 clients that stop short of 4 MB took up to 107 of 112 MB on a busy machine, when the memory of bodies
	// that were given up still counted as free before their buffers were dropped.
	bodyMemoryShare = 0.2
	// decodingMemoryShare is the fraction of the process's memory for documents that are being decoded: a table of 30,000 customers in a
	// control host of 256 MB.
	decodingMemoryShare = 0.25
	// messageMemoryShare is the fraction of the process's memory for messages of other hosts.
	messageMemoryShare = 0.25
	// answerMemoryShare is the fraction of the process's memory for answers that are buffered before they are passed on.
	answerMemoryShare = 0.2
)

// Protocol is the protocol between the installation and its callers, operators, endpoints and replicas.
type Protocol struct {
	EndpointProtocol forward.EndpointProtocol
	// Callers returns the HTTP handler for callers. It passes calls to h.
	Callers func(h *forward.Handler, stopping func() bool, now func() unit.Moment) http.Handler
	// Control returns the HTTP handler for operators and endpoints. It passes requests to h.
	Control func(h *hub.Hub, log *eventlog.Log) http.Handler
	// Engines returns the protocol for orders to replicas and for the events of engines and stores.
	Engines func(now func() unit.Moment, holder unit.HostName, log *eventlog.Log) hub.Engines
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
}

// Process is one running host.
type Process struct {
	settings Settings
	log      *eventlog.Log
	timer    *timer.Service
	link     *link.Link
	gateway  *gateway.Gateway // nil without the entry role
	hub      *hub.Hub         // nil without the control role
	servers  []*server
	bodies   *bodymemory.Budget
	clients  *connections.Limit
	stopping atomic.Bool
}

// server is the HTTP server of one listener.
type server struct {
	*httpserver.Server
	servesCallers bool // drain closes only these servers
}

// New opens the listeners of the host's roles. It fails with fault.BadSetting.
func New(s Settings, protocol Protocol) (*Process, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	authority, err := keys.Open(s.KeysFolder)
	if err != nil {
		return nil, fault.BadSetting.Wrap(err, "cannot open the certificate authority of the hosts")
	}
	own, err := identity.Issue(authority, string(s.Name))
	if err != nil {
		return nil, err
	}
	p := &Process{settings: s, log: eventlog.New("host", s.Label), timer: timer.New()}
	p.link, err = link.New(link.Options{
		Name: s.Name, Listen: p.linkAddress(s.Name), Identity: own, Handler: p.handleMessage, IdleTimeout: linkIdleTimeout,
		MessageMemory: int64(messageMemoryShare * float64(s.MemoryBytes)), Memory: s.MemoryBytes,
		Resolve: func(name unit.HostName) (string, bool) { return p.linkAddress(name), net.ParseIP(string(name)) != nil },
		Streams: map[string]link.StreamHandler{kind.Relay: p.serveRelayed},
	})
	if err != nil {
		return nil, err
	}
	p.limitClients()
	return p, p.openRoles(protocol)
}

// limitClients creates the limits for the clients of all listeners together.
func (p *Process) limitClients() {
	s := p.settings
	p.bodies = bodymemory.New(bodymemory.Options{
		Bytes: int64(bodyMemoryShare * float64(s.MemoryBytes)), DecodingBytes: int64(decodingMemoryShare * float64(s.MemoryBytes)),
		Now: p.timer.Now, IdleTimeout: p.bodyTimeout,
		Report: func(r bodymemory.Report) {
			p.log.Warn("bodies-given-up", "for-memory", r.ForMemory, "for-time", r.ForTime, "used-bytes", r.UsedBytes)
		},
	})
	p.clients = connections.New(connections.Options{
		Most: p.maxConnections(maxHeaderBytes), HeadMemory: connections.HeadMemory(s.MemoryBytes), Reclaim: p.bodies.GiveUpOne,
	})
}

// maxConnections returns the limit of connections whose clients send headers of at most the given size.
func (p *Process) maxConnections(headerBytes int64) int {
	return connections.Most(machine.Descriptors(p.settings.Descriptors), p.settings.MemoryBytes, max(headerBytes, maxHeaderBytes))
}

// callerTable returns the routing table of the entry role, nil without one.
func (p *Process) callerTable() *table.Table {
	if p.gateway == nil {
		return nil
	}
	return p.gateway.Handler().Table()
}

// bodyTimeout returns the time without progress after which a body is given up.
func (p *Process) bodyTimeout() time.Duration {
	if t := p.callerTable(); t != nil {
		return max(t.IdleTimeout, bodymemory.DefaultIdleTimeout)
	}
	return bodymemory.DefaultIdleTimeout
}

// defaultHeaderLimits returns the limits for headers where no routing table states others.
func defaultHeaderLimits() httpserver.Limits {
	return httpserver.Limits{Bytes: maxHeaderBytes, Timeout: headerTimeout}
}

// callerHeaderLimits returns the limits for the headers of callers.
func (p *Process) callerHeaderLimits() httpserver.Limits {
	limits := defaultHeaderLimits()
	t := p.callerTable()
	if t == nil {
		return limits
	}
	if t.MaxHeader > 0 {
		limits.Bytes = int(min(t.MaxHeader, connections.MaxHeaderBytes(p.settings.MemoryBytes)))
	}
	if t.HeaderTimeout > 0 {
		limits.Timeout = t.HeaderTimeout
	}
	return limits
}

// sweepClients gives up bodies that make no progress, and logs what was given up and closed since the last call.
func (p *Process) sweepClients(context.Context) {
	p.bodies.Sweep()
	if r := p.clients.Report(); r.Closed+r.Refused > 0 {
		p.log.Warn("connections-closed", "closed", r.Closed, "open", r.Open, "refused", r.Refused, "head-bytes", r.Heads)
	}
}

func (p *Process) linkAddress(name unit.HostName) string {
	return net.JoinHostPort(string(name), strconv.Itoa(p.settings.LinkPort))
}

func (p *Process) openRoles(protocol Protocol) error {
	s := p.settings
	if s.CallerAddress != "" {
		p.gateway = gateway.New(gateway.Dependencies{
			Name: s.Name, Seeds: s.Seeds.Names, Timer: p.timer, Log: p.log, Call: p.link.Call, EndpointProtocol: protocol.EndpointProtocol,
			Allowance: s.Allowance, Assign: s.Assign, MaxAnswerMemory: int64(answerMemoryShare * float64(s.MemoryBytes)), Stopping: p.stopping.Load,
			OpenStream: p.link.OpenStream,
		})
		if err := p.listen(s.CallerAddress, protocol.Callers(p.gateway.Handler(), p.stopping.Load, p.timer.Now), true); err != nil {
			return err
		}
		if err := p.listen(s.ReadyAddress, p.readinessHandler(protocol.ReadyPath), false); err != nil {
			return err
		}
	}
	if s.ControlAddress != "" {
		p.hub = hub.New(hub.Dependencies{
			Name: s.Name, DataCentre: s.DataCentre, Incarnation: unit.Incarnation(time.Now().UnixNano()), DataFolder: s.DataFolder, Seeds: s.Seeds.Names,
			FormGroup: s.FormGroup, Voters: s.Voters, Timer: p.timer, Log: p.log, Call: p.link.Call, Send: p.link.Send,
			Engines: protocol.Engines(p.timer.Now, s.Name, p.log), LeaseWait: s.LeaseWait, ReportSilence: s.Assign.ReportSilence,
		})
		if err := p.listen(s.ControlAddress, protocol.Control(p.hub, p.log), false); err != nil {
			return err
		}
	}
	if s.MetricsAddress == "" {
		return nil
	}
	page := metricspage.New(p.timer.Now, func(w io.Writer) { metrics.WritePrometheus(w, true) })
	return p.listen(s.MetricsAddress, page, false)
}

func (p *Process) listen(address string, handler http.Handler, servesCallers bool) error {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fault.BadSetting.Wrap(err, "cannot listen on %s", address)
	}
	counted := p.bodies.Handler(p.clients.Handler(handler, connections.Refuse))
	options := httpserver.Options{Limits: defaultHeaderLimits, Track: p.clients.Track, Configure: func(httpserver.Limits) *http.Server {
		return &http.Server{
			Handler: counted, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, ConnContext: connections.Context,
		}
	}}
	if servesCallers {
		options.Limits = p.callerHeaderLimits
		options.Configure = func(limits httpserver.Limits) *http.Server {
			p.clients.SetMost(p.maxConnections(int64(limits.Bytes)))
			return &http.Server{Handler: counted, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: connections.Context}
		}
	}
	p.servers = append(p.servers, &server{Server: httpserver.New(p.clients.Listener(socket, false), options), servesCallers: servesCallers})
	return nil
}

// readinessHandler returns the handler of the load balancer's readiness check.
func (p *Process) readinessHandler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		if !p.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// handleMessage passes a message of another host to the control role. Without that role it fails with fault.NotFound.
func (p *Process) handleMessage(ctx context.Context, from unit.HostName, name string, payload []byte) ([]byte, error) {
	if p.hub == nil {
		return nil, fault.NotFound.New("an entry host doesn't answer %q", name)
	}
	return p.hub.Handle(ctx, from, name, payload)
}

// serveRelayed passes a request that another entry host handed over to the entry role. Without that role it fails with fault.NotFound.
func (p *Process) serveRelayed(ctx context.Context, from unit.HostName, payload []byte, answer link.StreamWriter) error {
	if p.gateway == nil {
		return fault.NotFound.New("a control host takes no callers' requests")
	}
	return p.gateway.ServeRelayed(ctx, from, payload, answer)
}

// Run serves until ctx ends, then stops after the running requests have ended, or aborts them when the stop's grace period is nearly
// over.
func (p *Process) Run(ctx context.Context) error {
	var actors run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	logContext, stopLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		_ = p.log.Run(logContext, os.Stdout) // never fails
	}()
	defer func() {
		stopLog()
		<-logged
	}()
	p.addActor(&actors, work, "link", p.link.Run)
	p.addActor(&actors, work, "clients", func(ctx context.Context) error {
		return timer.Every(ctx, p.timer, bodymemory.SweepInterval, p.sweepClients)
	})
	p.addActor(&actors, work, "suspensions", func(ctx context.Context) error {
		return timer.ReportSuspensions(ctx, p.timer, func(d time.Duration) { p.log.Warn("machine-suspended", "ms", d.Milliseconds()) })
	})
	if p.gateway != nil {
		p.addActor(&actors, work, "entry", p.gateway.Run)
	}
	if p.hub != nil {
		p.addActor(&actors, work, "control", p.hub.Run)
	}
	for _, s := range p.servers {
		actors.Add(func() error { return s.serve(work) }, func(error) { _ = s.Close() })
	}
	actors.Add(func() error {
		select {
		case <-ctx.Done():
			p.drain()
		case <-work.Done():
		}
		return nil
	}, func(error) { stopWork() })
	p.log.Info("started", "name", string(p.settings.Name), "entry", p.gateway != nil, "control", p.hub != nil, "seeds", p.settings.Seeds.Names(),
		"form", p.settings.FormGroup, "voters", p.settings.Voters)
	err := actors.Run()
	p.log.Info("stopped")
	return err
}

// LogReload logs that the settings were read again.
func (p *Process) LogReload() {
	p.log.Info("reloaded", "seeds", p.settings.Seeds.Names())
}

// addActor adds a part to the actors. Each part has its own context, which is cancelled when the first actor ends.
func (p *Process) addActor(actors *run.Group, parent context.Context, name string, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(parent)
	actors.Add(func() error {
		err := part(ctx)
		if err != nil {
			p.log.Error("part-failed", "part", name, "cause", err.Error())
		}
		return err
	}, func(error) { cancel() })
}

func (s *server) serve(work context.Context) error {
	err := s.Serve()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		// Serve returns as soon as the listener is closed, while requests are still running. This actor must not end before them.
		<-work.Done()
		return nil
	}
	return fault.Internal.Wrap(err, "cannot serve")
}

// drain waits for the running requests of an entry host, at most for the stop's grace period. The readiness check fails first; the host
// accepts requests until the load balancer has noticed, and refuses those that come later on open connections.
func (p *Process) drain() {
	began := p.timer.Now()
	p.stopping.Store(true)
	grace := p.settings.StopGrace
	p.log.Info("stopping", "grace-ms", grace.Milliseconds())
	if p.gateway == nil {
		return
	}
	timer.Sleep(context.Background(), time.Duration(drainShare*float64(grace)))
	handler := p.gateway.Handler()
	handler.StopAccepting()
	passed := p.timer.Now().Sub(began)
	defer time.AfterFunc(time.Duration(answerShare*float64(grace))-passed, func() {
		if running := handler.Running(); running > 0 {
			p.log.Warn("requests-ended", "running", running)
		}
		handler.EndRequests()
	}).Stop()
	left := time.Duration(shutdownShare*float64(grace)) - passed
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	connections := func() (open int64) {
		for _, s := range p.servers {
			if s.servesCallers {
				open += s.Connections()
			}
		}
		return open
	}
	for _, s := range p.servers {
		if !s.servesCallers {
			continue
		}
		if err := s.StopListening(); err != nil {
			p.log.Warn("listener-not-closed", "cause", err.Error())
		}
	}
	// Requests that other hosts have handed over have no connection here.
	for connections() > 0 || handler.Running() > 0 {
		if !timer.Sleep(ctx, drainPollInterval) {
			p.log.Warn("requests-cut", "running", handler.Running(), "connections", connections())
			return
		}
	}
}

// LogReloadFailure logs that the changed settings can't be used. The previous settings stay in force.
func (p *Process) LogReloadFailure(err error) {
	p.log.Error("reload-failed", "cause", err.Error())
}
