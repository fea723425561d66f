// Package entry implements the entry role: routing, admission, and the loops that keep a host's configuration, limits and
// endpoints up to date.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/run"
	"golang.org/x/sync/singleflight"

	"github.com/citronglade/citronglade/internal/admission/gate"
	"github.com/citronglade/citronglade/internal/admission/queue"
	"github.com/citronglade/citronglade/internal/admission/share"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/host/settings"
	"github.com/citronglade/citronglade/internal/network/gossip"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/record/chain"
	"github.com/citronglade/citronglade/internal/record/shipper"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/router"
)

// Dependencies are the parameters of New.
type Dependencies struct {
	Settings    *settings.Settings
	Timer       *timer.Service
	WallClock   func() time.Time
	Incarnation unit.Incarnation
	Call        leader.Call
	Leaders     *leader.Caller
	// NewestVersion returns the newest configuration version that the control role in the same process has applied. It is nil without
	// that role.
	NewestVersion func() unit.ConfigurationVersion
}

// Host is the entry role of one process. It is safe for concurrent use.
type Host struct {
	Dependencies
	router   *router.Router
	follower *follower.Follower
	writer   *chain.Writer
	shipper  *shipper.Shipper
	peers    []unit.HostName // entry and control hosts without this one

	mu        sync.Mutex
	holder    *share.Holder
	exchange  *gossip.Exchange
	gates     map[target]*gate.Gate
	newerPeer unit.HostName // a peer that has a newer configuration, empty if none is known
	// sharesRequestedAt is when the last renewal of the shares was sent.
	sharesRequestedAt unit.Moment
	renewalGroup      singleflight.Group
	restoreDone       bool           // the host has restored a peer's routing state or has stopped trying
	restoredOwn       bool           // the host has restored the routing state that it had saved
	leaderUnreachable bool           // the leader didn't answer the last configuration request
	peersAsked        int            // number of configuration requests sent to peers, to ask them in turn
	confirmedBy       unit.HostName  // the peer that last confirmed the configuration, empty if none has
	confirmations     sync.WaitGroup // requests to peers to confirm the configuration
}

// target identifies a model or a service.
type target struct {
	kind endpoint.Kind
	name string
}

// New returns a host without a configuration or endpoints; it learns them once Run runs. It fails with fault.BadSetting.
func New(d Dependencies) (*Host, error) {
	s := d.Settings
	routing, err := router.New(router.Options{
		Now: d.Timer.Now, Variant: s.Placement, IndexPieces: s.IndexPieces, Sample: s.CacheEventSample, Freshness: s.Freshness, Seed: uint64(d.Incarnation),
	})
	if err != nil {
		return nil, err
	}
	h := &Host{
		Dependencies: d,
		router:       routing,
		follower:     follower.New(s.ServeStale, nil),
		writer:       chain.New(s.Name, d.Incarnation, chain.DefaultLimits()),
		holder:       share.NewHolder(d.Timer.Now(), s.Name, len(s.EntryHosts)),
		gates:        map[target]*gate.Gate{},
		peers:        otherHosts(s),
	}
	h.holder.SetBursts(h.burstLimit)
	h.exchange = gossip.New(s.Name, h.peers, uint64(d.Incarnation))
	h.shipper = shipper.New(s.Name, h.writer, s.ControlHosts, func(ctx context.Context, to unit.HostName, payload []byte) ([]byte, error) {
		return d.Call(ctx, to, kind.RecordBatch, payload)
	}, s.RecordInterval)
	return h, nil
}

// Run restores the state that this host saved before it stopped, and runs the host's loops until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.loadSnapshot()
	defer h.confirmations.Wait()
	var actors run.Group
	stop := func(error) { cancel() }
	for _, loop := range h.loops() {
		actors.Add(func() error { return timer.Every(ctx, h.Timer, loop.interval, loop.step) }, stop)
	}
	actors.Add(func() error { return h.shipper.Run(ctx) }, stop)
	return actors.Run()
}

// Router returns the routing state.
func (h *Host) Router() *router.Router { return h.router }

// Follower returns the configuration in force.
func (h *Host) Follower() *follower.Follower { return h.follower }

// Writer returns the writer of this incarnation's record.
func (h *Host) Writer() *chain.Writer { return h.writer }

// Ready reports whether the host can serve: it has a confirmed configuration and has finished its attempts to restore a peer's
// routing state.
func (h *Host) Ready() bool {
	h.mu.Lock()
	restored := h.restoreDone
	h.mu.Unlock()
	_, err := h.follower.View(h.Timer.Now())
	return restored && err == nil
}

// Take counts a request against the customer's limit. When this host's share of the limit has run out, Take renews the shares once and
// tries again.
func (h *Host) Take(customer unit.CustomerID, limit float64) (ok bool, retryAfter time.Duration) {
	ok, retryAfter = h.take(customer, limit)
	if ok || !h.renewSharesEarly() {
		return ok, retryAfter
	}
	return h.take(customer, limit)
}

func (h *Host) take(customer unit.CustomerID, limit float64) (ok bool, retryAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Take(h.Timer.Now(), customer, limit)
}

// GiveBack returns what Take counted for a request that wasn't admitted after all.
func (h *Host) GiveBack(customer unit.CustomerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.GiveBack(h.Timer.Now(), customer)
}

// burstLimit returns the customer's burst in the sheet in force, 0 if there is none.
func (h *Host) burstLimit(id unit.CustomerID) float64 {
	view, err := h.follower.View(h.Timer.Now())
	if err != nil {
		return 0
	}
	customer, _ := view.Sheet.Customer(id)
	return customer.Burst
}

// Gate returns the admission gate of one target and creates it on first use.
func (h *Host) Gate(k endpoint.Kind, name string) *gate.Gate {
	key := target{k, name}
	h.mu.Lock()
	g, ok := h.gates[key]
	if !ok {
		g = gate.New(h.Timer.Now, queue.New(0))
		h.gates[key] = g
	}
	h.mu.Unlock()
	if !ok {
		g.Resize(h.router.Slots(k, name), len(h.Settings.EntryHosts))
	}
	return g
}

// Load returns the running and waiting requests of all targets.
func (h *Host) Load() (running, waiting int) {
	for _, g := range h.allGates() {
		r, w := g.Load()
		running, waiting = running+r, waiting+w
	}
	return running, waiting
}

func (h *Host) allGates() map[target]*gate.Gate {
	h.mu.Lock()
	defer h.mu.Unlock()
	gates := make(map[target]*gate.Gate, len(h.gates))
	for key, g := range h.gates {
		gates[key] = g
	}
	return gates
}

func otherHosts(s *settings.Settings) []unit.HostName {
	seen := map[unit.HostName]bool{s.Name: true}
	var others []unit.HostName
	for _, names := range [][]unit.HostName{s.EntryHosts, s.ControlHosts} {
		for _, name := range names {
			if !seen[name] {
				seen[name] = true
				others = append(others, name)
			}
		}
	}
	return others
}
