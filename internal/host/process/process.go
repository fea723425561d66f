// Package process runs one host in one process: its roles, the link to the other hosts, the listeners and the planned stop.
package process

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/machine"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/api"
	"github.com/citronglade/citronglade/internal/callers/bodymemory"
	"github.com/citronglade/citronglade/internal/callers/dispatch"
	"github.com/citronglade/citronglade/internal/callers/meter"
	"github.com/citronglade/citronglade/internal/callers/request"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/endpoints/intake"
	"github.com/citronglade/citronglade/internal/host/control"
	"github.com/citronglade/citronglade/internal/host/entry"
	"github.com/citronglade/citronglade/internal/host/operators"
	"github.com/citronglade/citronglade/internal/host/settings"
	"github.com/citronglade/citronglade/internal/network/connections"
	"github.com/citronglade/citronglade/internal/network/identity"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/network/link"
)

const (
	// drainDelay is how long a stopping host still accepts requests while /readyz already fails, so that the load balancer doesn't
	// send requests to a closed port.
	drainDelay    = 2 * time.Second
	headerTimeout = 10 * time.Second
	// callersListener is the name of the listener for callers.
	callersListener = "callers"
	// bodyIdleTimeout is the longest time between two reads of an answer before its endpoint counts as failed. Tokens come every
	// 65 ms.
	bodyIdleTimeout = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	// maxHeaderBytes bounds the header size of a request on every listener. 1,000 connections take at most 80 MB with their headers.
	maxHeaderBytes = 64 << 10
	// writeTimeout bounds the time to write an answer of the listeners that callers don't use; the largest one is an export of the record.
	writeTimeout = 5 * time.Minute
	// bodyMemoryShare is the fraction of the process's memory for the bodies of requests. With a quarter, 40 clients that stop short of 4 MB
	// took up to 106 of 112 MB on a busy machine.
	bodyMemoryShare = 0.2
	// decodingMemoryShare is the fraction of the process's memory for documents that are being decoded: the longest text in a host of 88 MB.
	decodingMemoryShare = 0.25
	// messageMemoryShare is the fraction of the process's memory for messages of other hosts.
	messageMemoryShare = 0.25
	// memoryLimitShare is the fraction of the process's memory that is set as the soft memory limit of the Go runtime, above which garbage is
	// collected more often.
	memoryLimitShare = 0.7
)

// Process is one running host.
type Process struct {
	settings    *settings.Settings
	timer       *timer.Service
	incarnation unit.Incarnation
	link        *link.Link
	leaders     *leader.Caller
	control     *control.Host // nil without the control role
	entry       *entry.Host   // nil without the entry role
	requests    *request.Handler
	listeners   []*listener
	bodies      *bodymemory.Budget
	clients     *connections.Limit
	stopping    atomic.Bool
}

// listener is one HTTP server with its socket.
type listener struct {
	name   string
	server *http.Server
	socket net.Listener
	done   chan struct{} // closed when the process ends
}

// New opens the listeners and the data folder of the host's roles.
func New(s *settings.Settings) (*Process, error) {
	own, err := identity.New(s.KeysFolder, string(s.Name), time.Now)
	if err != nil {
		return nil, err
	}
	p := &Process{settings: s, timer: timer.New(), incarnation: unit.Incarnation(time.Now().UnixMilli())}
	p.link, err = link.New(link.Options{
		Name: s.Name, Listen: s.LinkListen, Peers: s.Peers, Identity: own, Handler: p.handleMessage,
		MessageMemory: int64(messageMemoryShare * float64(p.memory())), Memory: p.memory(),
	})
	if err != nil {
		return nil, err
	}
	p.limitClients()
	p.leaders = leader.New(p.link.Call, s.ControlHosts)
	if err := p.openEntry(); err != nil {
		return nil, err
	}
	if err := p.openControl(); err != nil {
		return nil, err
	}
	return p, p.openOperators(own)
}

// memory returns the memory of the process in bytes.
func (p *Process) memory() int64 {
	if p.settings.MemoryMB > 0 {
		return int64(p.settings.MemoryMB) << 20
	}
	return machine.Memory()
}

// limitClients creates the limits for the clients of all listeners together.
func (p *Process) limitClients() {
	memory := p.memory()
	if p.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	}
	p.bodies = bodymemory.New(bodymemory.Options{
		Bytes: int64(bodyMemoryShare * float64(memory)), DecodingBytes: int64(decodingMemoryShare * float64(memory)), Now: p.timer.Now,
		IdleTimeout: func() time.Duration { return bodymemory.DefaultIdleTimeout },
		Report: func(r bodymemory.Report) {
			klog.Warningf("host: bodies given up: %d for memory, %d for time; %d bytes are in use", r.ForMemory, r.ForTime, r.UsedBytes)
		},
	})
	p.clients = connections.New(connections.Options{
		Most:       connections.Most(machine.Descriptors(p.settings.MaxDescriptors), memory, maxHeaderBytes),
		HeadMemory: connections.HeadMemory(memory), Reclaim: p.bodies.GiveUpOne,
	})
}

// sweepClients gives up bodies that make no progress, and logs what was given up and closed since the last call.
func (p *Process) sweepClients(context.Context) {
	p.bodies.Sweep()
	if r := p.clients.Report(); r.Closed+r.Refused > 0 {
		klog.Warningf("host: %d connections closed and %d requests refused because of the limits, %d are open, their heads take %d bytes", r.Closed,
			r.Refused, r.Open, r.Heads)
	}
}

// Run serves until ctx ends, then stops gracefully: it reports that it isn't ready, finishes the running requests, ships the rest of
// the record, and hands over the groups that it leads.
func (p *Process) Run(ctx context.Context) error {
	var actors run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	addActor(&actors, work, "link", p.link.Run)
	addActor(&actors, work, "clients", func(ctx context.Context) error {
		return timer.Every(ctx, p.timer, bodymemory.SweepInterval, p.sweepClients)
	})
	addActor(&actors, work, "suspensions", func(ctx context.Context) error {
		return timer.ReportSuspensions(ctx, p.timer, func(d time.Duration) { klog.Warningf("host: the machine was suspended for %v", d) })
	})
	if p.control != nil {
		addActor(&actors, work, "control", p.control.Run)
	}
	if p.entry != nil {
		addActor(&actors, work, "entry", p.entry.Run)
	}
	for _, l := range p.listeners {
		actors.Add(l.serve, func(error) {
			_ = l.server.Close()
			close(l.done)
		})
	}
	actors.Add(func() error {
		select {
		case <-ctx.Done():
			p.drain()
		case <-work.Done():
		}
		return nil
	}, func(error) { stopWork() })
	klog.Infof("host: %s has started, incarnation %d", p.settings.Name, p.incarnation)
	err := actors.Run()
	klog.Infof("host: %s has stopped", p.settings.Name)
	return err
}

// addActor adds a part to the actors. Each part has its own context, which is cancelled when the first actor ends, so that all parts
// stop together.
func addActor(actors *run.Group, parent context.Context, name string, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(parent)
	actors.Add(func() error {
		err := part(ctx)
		if err != nil {
			klog.Errorf("host: %s failed: %v", name, err)
		}
		return err
	}, func(error) { cancel() })
}

// drain stops accepting requests and waits until the running ones have ended, at most for the stop's grace period.
func (p *Process) drain() {
	klog.Infof("host: %s is stopping, waiting up to %s for running requests", p.settings.Name, p.settings.StopGrace)
	p.stopping.Store(true)
	if p.entry == nil {
		return
	}
	timer.Sleep(context.Background(), drainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.StopGrace)
	defer cancel()
	for _, l := range p.listeners {
		if l.name == callersListener {
			if err := l.server.Shutdown(ctx); err != nil {
				klog.Warningf("host: requests were still running after %s", p.settings.StopGrace)
			}
		}
	}
	p.requests.Wait(ctx)
}

func (p *Process) openControl() error {
	if !p.settings.Has(settings.RoleControl) {
		return nil
	}
	d := control.Dependencies{Settings: p.settings, Timer: p.timer, WallClock: time.Now, Send: p.link.Send}
	if p.entry != nil {
		d.Endpoints = p.entry.Router().Endpoints
	}
	opened, err := control.New(d)
	p.control = opened
	return err
}

func (p *Process) openEntry() error {
	s := p.settings
	if !s.Has(settings.RoleEntry) {
		return p.listen("metrics", s.MetricsListen, p.metricsHandler(), nil)
	}
	key, err := os.ReadFile(s.AnnounceKeyFile)
	if err != nil {
		return fault.BadSetting.Wrap(err, "cannot read the announce key")
	}
	p.entry, err = entry.New(entry.Dependencies{
		Settings: s, Timer: p.timer, WallClock: time.Now, Incarnation: p.incarnation, Call: p.link.Call, Leaders: p.leaders,
		NewestVersion: p.newestVersion,
	})
	if err != nil {
		return err
	}
	p.requests = request.New(p.requestDependencies())
	callers := api.New(api.Options{
		Now: p.timer.Now, View: p.entry.Follower().View, Models: p.entry.Router().Models, Serve: p.requests.Serve,
		Ready: p.ready, Stopping: p.stopping.Load,
	})
	endpoints := intake.New(intake.Options{
		Key: strings.TrimSpace(string(key)), Sample: s.CacheEventSample, OnAnnouncement: p.entry.Router().ApplyAnnouncement, OnCacheEvents: p.entry.Router().ApplyEvents,
	})
	if err := p.listen(callersListener, s.CallerListen, callers, nil); err != nil {
		return err
	}
	if err := p.listen("endpoints", s.EndpointListen, endpoints, nil); err != nil {
		return err
	}
	return p.listen("metrics", s.MetricsListen, p.metricsHandler(), nil)
}

func (p *Process) openOperators(own *identity.Identity) error {
	options := operators.Options{Status: p.status, CallLeader: p.leaders.Call, LedgerGroups: p.settings.LedgerGroups}
	if p.entry != nil {
		options.Endpoints, options.Drain = p.endpointStatuses, p.entry.Router().Drain
	}
	if p.control != nil {
		options.Record, options.RecordHosts = p.control.Archive().Read, p.control.Archive().Hosts
	}
	return p.listen("operators", p.settings.OperatorListen, operators.New(options), own.Server("http/1.1"))
}

// listen opens a listener, with TLS unless secure is nil.
func (p *Process) listen(name, address string, handler http.Handler, secure *tls.Config) error {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fault.BadSetting.Wrap(err, "cannot listen on %s for %s", address, name)
	}
	refuse := connections.Refuse
	if name == callersListener {
		refuse = api.WriteFailure
	}
	l := &listener{name: name, socket: p.clients.Listener(socket, secure != nil), done: make(chan struct{}), server: &http.Server{
		Handler: p.bodies.Handler(p.clients.Handler(handler, refuse)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: p.clients.Track, ConnContext: connections.Context, TLSConfig: secure,
	}}
	if name != callersListener {
		l.server.WriteTimeout = writeTimeout
	}
	p.listeners = append(p.listeners, l)
	return nil
}

func (l *listener) serve() error {
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(l.socket, "", "")
	} else {
		err = l.server.Serve(l.socket)
	}
	if errors.Is(err, http.ErrServerClosed) {
		// Serve returns as soon as Shutdown is called, while requests are still running. If this actor ended now, the process would
		// end before drain has waited for the requests.
		<-l.done
		return nil
	}
	return fault.Internal.Wrap(err, "cannot serve %s", l.name)
}

// handleMessage passes a message of another host to the role that answers it. If the process has both roles, the control role reads
// the endpoints of the entry role, so that only the entry role handles gossip.
func (p *Process) handleMessage(ctx context.Context, from unit.HostName, name string, payload []byte) ([]byte, error) {
	forEntry := name == kind.Gossip || name == kind.ConfigurationConfirm || name == kind.PlacementSnapshot
	switch {
	case p.entry != nil && (forEntry || p.control == nil):
		return p.entry.Handle(ctx, from, name, payload)
	case p.control != nil:
		return p.control.Handle(ctx, from, name, payload)
	default:
		return nil, fault.Stopping.New("this host is starting")
	}
}

// callLeader returns a function that sends messages of one kind to the leader of a group.
func (p *Process) callLeader(name string) func(ctx context.Context, group uint32, payload []byte) ([]byte, error) {
	return func(ctx context.Context, group uint32, payload []byte) ([]byte, error) {
		return p.leaders.Call(ctx, group, name, payload)
	}
}

// newestVersion returns the newest configuration version that the control role in this process has applied, 0 without that role.
func (p *Process) newestVersion() unit.ConfigurationVersion {
	if p.control == nil {
		return 0
	}
	return p.control.Configuration().Version
}

func (p *Process) requestDependencies() request.Dependencies {
	s := p.settings
	return request.Dependencies{
		Host: s.Name, Incarnation: p.incarnation, Now: p.timer.Now, WallClock: time.Now, Router: p.entry.Router(),
		Record: p.entry.Writer(), Dispatcher: dispatch.New(dispatch.Options{BodyIdleTimeout: bodyIdleTimeout}), LedgerGroups: s.LedgerGroups,
		Meter:       meter.New(metrics.GetDefaultSet(), s.MetricCustomers),
		PieceTokens: s.PieceTokens, BytesPerToken: s.BytesPerToken, View: p.entry.Follower().View, Take: p.entry.Take, GiveBack: p.entry.GiveBack, Gate: p.entry.Gate,
		Ledger: p.callLeader(kind.Ledger), LedgerLookup: p.callLeader(kind.LedgerLookup), SpreadQuarantines: p.entry.SpreadQuarantines,
	}
}

// ready reports whether the load balancer may send requests to this host.
func (p *Process) ready() bool {
	switch {
	case p.stopping.Load():
		return false
	case p.entry != nil:
		return p.entry.Ready()
	default:
		return p.control.Ready()
	}
}
