// Package process runs the roles of one host in one process: its link to the other hosts, its listeners and its planned
// stop.
package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/api"
	"github.com/citronglade/citronglade/internal/callers/dispatch"
	"github.com/citronglade/citronglade/internal/callers/meter"
	"github.com/citronglade/citronglade/internal/callers/request"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/endpoints/intake"
	"github.com/citronglade/citronglade/internal/host/control"
	"github.com/citronglade/citronglade/internal/host/entry"
	"github.com/citronglade/citronglade/internal/host/operators"
	"github.com/citronglade/citronglade/internal/host/settings"
	"github.com/citronglade/citronglade/internal/network/identity"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/network/link"
)

const (
	// stopNotice is how long a stopping host still takes requests while /readyz already fails, so that the balancer sends
	// no request to a closed port.
	stopNotice    = 2 * time.Second
	headerTimeout = 10 * time.Second
	// chunkIdle is how long a begun answer may stay silent before its endpoint counts as failed. Tokens come every 65 ms.
	chunkIdle   = 10 * time.Second
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request on every listener.
	maxHeaderBytes = 256 << 10
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
	stopping    atomic.Bool
}

// listener is one HTTP server with its socket.
type listener struct {
	name   string
	server *http.Server
	socket net.Listener
	tls    bool
	done   chan struct{} // closed when the process ends
}

// New binds all sockets and opens the data folder.
func New(s *settings.Settings) (*Process, error) {
	own, err := identity.New(s.KeysFolder, string(s.Name), time.Now)
	if err != nil {
		return nil, err
	}
	p := &Process{settings: s, timer: timer.New(), incarnation: unit.Incarnation(time.Now().UnixMilli())}
	p.link, err = link.New(link.Options{
		Name: s.Name, Listen: s.LinkListen, Peers: s.Peers, Identity: own, Handler: p.handle,
	})
	if err != nil {
		return nil, err
	}
	p.leaders = leader.New(p.link.Call, s.ControlHosts)
	if err := p.openEntry(); err != nil {
		return nil, err
	}
	if err := p.openControl(); err != nil {
		return nil, err
	}
	return p, p.openOperators(own)
}

// Run serves until ctx ends, then stops gracefully: it announces the stop, finishes the requests that are running, ships
// the rest of the record, and hands over the groups that it leads.
func (p *Process) Run(ctx context.Context) error {
	var actors run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	addActor(&actors, work, "link", p.link.Run)
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
	klog.Infof("host: %s is up, incarnation %d", p.settings.Name, p.incarnation)
	err := actors.Run()
	klog.Infof("host: %s has stopped", p.settings.Name)
	return err
}

// addActor runs one part until the group stops. Each part has a context of its own, so that the parts stop together.
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

// drain ends the host's work without cutting a request.
func (p *Process) drain() {
	klog.Infof("host: %s stops, running requests have %s", p.settings.Name, p.settings.StopGrace)
	p.stopping.Store(true)
	if p.entry == nil {
		return
	}
	timer.Sleep(context.Background(), stopNotice)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.StopGrace)
	defer cancel()
	for _, l := range p.listeners {
		if l.name == "callers" {
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
		return p.listen("metrics", s.MetricsListen, p.metrics())
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
		Key: strings.TrimSpace(string(key)), Sample: s.CacheEventSample, Hear: p.entry.Router().Hear, Events: p.entry.Router().Events,
	})
	if err := p.listen("callers", s.CallerListen, callers); err != nil {
		return err
	}
	if err := p.listen("endpoints", s.EndpointListen, endpoints); err != nil {
		return err
	}
	return p.listen("metrics", s.MetricsListen, p.metrics())
}

func (p *Process) openOperators(own *identity.Identity) error {
	options := operators.Options{Status: p.status, Lead: p.leaders.Call, LedgerGroups: p.settings.LedgerGroups}
	if p.entry != nil {
		options.Endpoints, options.Drain = p.endpoints, p.entry.Router().Drain
	}
	if p.control != nil {
		options.Record, options.RecordHosts = p.control.Archive().Read, p.control.Archive().Hosts
	}
	if err := p.listen("operators", p.settings.OperatorListen, operators.New(options)); err != nil {
		return err
	}
	last := p.listeners[len(p.listeners)-1]
	last.server.TLSConfig = own.Server("http/1.1")
	last.tls = true
	return nil
}

func (p *Process) listen(name, address string, handler http.Handler) error {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fault.BadSetting.Wrap(err, "cannot listen on %s for %s", address, name)
	}
	p.listeners = append(p.listeners, &listener{name: name, socket: socket, done: make(chan struct{}), server: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}})
	return nil
}

func (l *listener) serve() error {
	var err error
	if l.tls {
		err = l.server.ServeTLS(l.socket, "", "")
	} else {
		err = l.server.Serve(l.socket)
	}
	if errors.Is(err, http.ErrServerClosed) {
		// Serve returns as soon as Shutdown is called, while requests are still running. Ending this actor now would end the
		// process before drain has waited for them.
		<-l.done
		return nil
	}
	return fault.Internal.Wrap(err, "cannot serve %s", l.name)
}

// handle passes a message of another host to the role that answers it. A control role beside an entry role reads that
// one's endpoints, so that gossip needs to arrive once only.
func (p *Process) handle(ctx context.Context, from unit.HostName, name string, payload []byte) ([]byte, error) {
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

// lead returns a function that sends one kind of message to the leader of a group.
func (p *Process) lead(name string) func(ctx context.Context, group uint32, payload []byte) ([]byte, error) {
	return func(ctx context.Context, group uint32, payload []byte) ([]byte, error) {
		return p.leaders.Call(ctx, group, name, payload)
	}
}

// newestVersion returns the newest configuration that the control role here has applied, 0 without that role.
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
		Record: p.entry.Writer(), Dispatcher: dispatch.New(dispatch.Options{ChunkIdle: chunkIdle}), LedgerGroups: s.LedgerGroups,
		Meter:       meter.New(metrics.GetDefaultSet(), s.MetricCustomers),
		PieceTokens: s.PieceTokens, BytesPerToken: s.BytesPerToken, View: p.entry.Follower().View, Take: p.entry.Take, GiveBack: p.entry.GiveBack, Gate: p.entry.Gate,
		Ledger: p.lead(kind.Ledger), LedgerLookup: p.lead(kind.LedgerLookup), SpreadQuarantines: p.entry.SpreadQuarantines,
	}
}

// ready reports whether the balancer may send requests here.
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
