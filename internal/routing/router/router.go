// Package router holds the routing state of one entry host behind a lock: the roster, the cache index, the placer, the
// ejection guard, the quarantine and the retry budget. The parts are deterministic; this package gives them the time.
package router

import (
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/network/gossip"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/ejection"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/placement"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/retry"
)

// Options are what New needs.
type Options struct {
	Now         func() unit.Moment
	Variant     string
	IndexPieces int
	// Sample says that endpoints report the events of one digest in so many.
	Sample    int
	Freshness time.Duration
	Seed      uint64
}

// Router is safe for concurrent use.
type Router struct {
	now func() unit.Moment

	mu       sync.Mutex
	roster   *endpoint.Roster
	index    *cache.Index
	guard    *ejection.Guard
	placer   *placement.Placer
	register *quarantine.Register
	budget   *retry.Budget
}

// Copy is what a starting host takes over from a peer.
type Copy struct {
	Placement     []byte                  `cbor:"1,keyasint"`
	Announcements []endpoint.Announcement `cbor:"2,keyasint"`
	Quarantines   []quarantine.Notice     `cbor:"3,keyasint"`
	Cached        []cache.Holding         `cbor:"4,keyasint"`
}

// maxCopiedPieces bounds the cache entries in a copy: about 1 MB, which a starting host gets in one message.
const maxCopiedPieces = 100_000

// New returns a router without endpoints. It fails with fault.BadSetting for an unknown placement variant.
func New(o Options) (*Router, error) {
	r := &Router{
		now:      o.Now,
		roster:   endpoint.New(o.Freshness),
		index:    cache.New(o.IndexPieces),
		guard:    ejection.New(ejection.Defaults()),
		register: quarantine.New(),
		budget:   retry.New(),
	}
	r.index.SetSample(max(o.Sample, 1))
	var err error
	r.placer, err = placement.New(o.Variant, placement.Dependencies{
		Roster: r.roster, Index: r.index, Guard: r.guard, Seed: o.Seed,
	})
	return r, err
}

// Hear takes an endpoint's announcement.
func (r *Router) Hear(a endpoint.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.Hear(r.now(), a)
}

// Events takes a batch of cache events.
func (r *Router) Events(batch cache.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.Apply(batch)
}

// Place chooses an endpoint for an attempt and counts it there. The caller ends the attempt with Ended.
func (r *Router) Place(request placement.Request) (placement.Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	decision, err := r.placer.Place(r.now(), request)
	if err != nil {
		return decision, err
	}
	r.roster.Began(decision.Endpoint.Endpoint, decision.Chain.Tokens)
	return decision, nil
}

// Ended takes an attempt off its endpoint's load.
func (r *Router) Ended(decision placement.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.Ended(decision.Endpoint.Endpoint, decision.Chain.Tokens)
}

// Learn takes what an attempt showed about an endpoint's cache and speed.
func (r *Router) Learn(result placement.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.placer.Learn(now, result)
	took := result.FirstToken
	if entry, ok := r.roster.Get(result.Endpoint); ok && entry.Kind == endpoint.KindEngine {
		// The time to the first token says more about the prompt and the queue than about the engine.
		took = result.Pace()
	}
	r.guard.Report(now, result.Endpoint, result.Failed, took)
}

// Check fails with fault.Quarantined if the content has crashed engines. The content is only asked for when there is
// anything to compare it with.
func (r *Router) Check(content func() unit.Digest) error {
	if r.nothingQuarantined() {
		return nil
	}
	digest := content()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	until, quarantined := r.register.Check(now, digest)
	if !quarantined {
		return nil
	}
	return fault.Quarantined.New("this request has crashed two engines and isn't run for now").
		WithProperty(fault.RetryAfter, until.Sub(now))
}

func (r *Router) nothingQuarantined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.Empty()
}

// Crashed notes that an endpoint broke off while it ran the content, and reports whether the content is quarantined now.
func (r *Router) Crashed(content unit.Digest, id unit.EndpointID, incarnation unit.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.Crashed(r.now(), quarantine.Notice{Content: content, Endpoint: id, Incarnation: incarnation})
}

// Served notes that an endpoint answered the content, so that crashes while it ran weren't of its making. The content is only asked
// for when something is held against one.
func (r *Router) Served(content func() unit.Digest) {
	if r.nothingQuarantined() {
		return
	}
	digest := content()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.register.Served(r.now(), digest)
}

// Quarantines returns the crashes and quarantines that other hosts should know.
func (r *Router) Quarantines() []quarantine.Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.Export(r.now())
}

// CountRequest adds a request to the base that the retry budget is a part of.
func (r *Router) CountRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Began(r.now())
}

// AllowRetry decides whether another attempt may be made, and says why or why not.
func (r *Router) AllowRetry(attempt retry.Attempt) (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Allow(r.now(), attempt)
}

// Weights returns the weights version that an engine of the model serves, empty without one. While a rollout is under way
// other engines have another one.
func (r *Router) Weights(model string) unit.WeightsVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.roster.Usable(r.now(), endpoint.KindEngine, model) {
		return entry.Weights
	}
	return ""
}

// Slots returns the slots of all usable endpoints of one target.
func (r *Router) Slots(kind endpoint.Kind, name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := 0
	for _, entry := range r.roster.Usable(r.now(), kind, name) {
		slots += max(entry.Slots, 1)
	}
	return slots
}

// Models returns the names of the models that have a usable engine, and the services that have a usable replica.
func (r *Router) Models() (models, services []string) {
	seen := map[string]bool{}
	for _, entry := range r.Endpoints() {
		name := entry.Name()
		if seen[string(entry.Kind)+name] || name == "" {
			continue
		}
		seen[string(entry.Kind)+name] = true
		if entry.Kind == endpoint.KindEngine {
			models = append(models, name)
		} else {
			services = append(services, name)
		}
	}
	return models, services
}

// Endpoints returns copies of all known endpoints, sorted by id.
func (r *Router) Endpoints() []endpoint.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []endpoint.Entry
	for _, entry := range r.roster.All() {
		entries = append(entries, *entry)
	}
	return entries
}

// Drain stops new work for an endpoint on this host; gossip carries the order to the others. It fails with
// fault.NotFound.
func (r *Router) Drain(id unit.EndpointID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.roster.Get(id); !ok {
		return fault.NotFound.New("endpoint %q isn't announced here", id)
	}
	r.roster.Drain(id)
	return nil
}

// Compose returns the news for a peer of the exchange's current round.
func (r *Router) Compose(x *gossip.Exchange, version unit.ConfigurationVersion) gossip.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return x.Compose(now, r.roster, r.register.Export(now), version)
}

// Continue returns what a peer asked for in its answer to a message.
func (r *Router) Continue(message gossip.Message, answer gossip.Answer) (next gossip.Message, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return gossip.Continue(r.now(), r.roster, message, answer)
}

// Receive takes a peer's news.
func (r *Router) Receive(message gossip.Message) gossip.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return gossip.Receive(r.now(), r.roster, r.register, message)
}

// Copy returns what a starting host takes over.
func (r *Router) Copy() Copy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Copy{
		Placement: r.placer.Snapshot(), Announcements: r.roster.Snapshot(), Quarantines: r.register.Export(r.now()),
		Cached: r.index.Export(maxCopiedPieces),
	}
}

// Restore takes over a peer's copy.
func (r *Router) Restore(c Copy) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, announcement := range c.Announcements {
		r.roster.Hear(now, announcement)
	}
	r.register.Merge(now, c.Quarantines)
	r.index.Import(c.Cached)
	return r.placer.Restore(c.Placement)
}

// IndexSize returns the number of cached pieces that the host knows of, and the gaps seen in the event streams.
func (r *Router) IndexSize() (pieces int, gaps uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index.Len(), r.index.Gaps()
}
