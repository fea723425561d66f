// Package router holds the routing state of one entry host behind a lock: the roster of endpoints, the cache index, the
// placer, the ejection guard, the quarantined contents and the retry budget. These parts are deterministic and don't
// read a clock; this package passes them the current time.
package router

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/network/gossip"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/ejection"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/placement"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/retry"
)

// Options configures a Router.
type Options struct {
	Now         func() unit.Moment
	Variant     string
	IndexPieces int
	// Sample is the sampling rate of cache events: endpoints report the events of one digest in Sample.
	Sample    int
	Freshness time.Duration
	Seed      uint64
}

// Router is safe for concurrent use.
type Router struct {
	now func() unit.Moment

	mu          sync.Mutex
	roster      *endpoint.Roster
	index       *cache.Index
	guard       *ejection.Detector
	placer      *placement.Placer
	quarantines *quarantine.Register
	crashCauses *crashcause.Register
	budget      *retry.Budget
}

// Snapshot is the state that a starting host takes over from a peer.
type Snapshot struct {
	Placement     []byte                  `cbor:"1,keyasint"`
	Announcements []endpoint.Announcement `cbor:"2,keyasint"`
	Quarantines   []quarantine.Notice     `cbor:"3,keyasint"`
	Cached        []cache.EndpointPieces  `cbor:"4,keyasint"`
	CrashCauses   []crashcause.Notice     `cbor:"5,keyasint,omitempty"`
}

// maxCopiedPieces limits the cache entries in a Snapshot: about 1 MB, which a starting host receives in one message.
const maxCopiedPieces = 100_000

// New returns a router without endpoints. It fails with fault.BadSetting for an unknown placement variant.
func New(o Options) (*Router, error) {
	r := &Router{
		now:         o.Now,
		roster:      endpoint.New(o.Freshness),
		index:       cache.New(o.IndexPieces),
		guard:       ejection.New(ejection.Defaults()),
		quarantines: quarantine.New(),
		crashCauses: crashcause.New(rand.New(rand.NewPCG(o.Seed, 2)).Float64()),
		budget:      retry.New(),
	}
	r.index.SetSample(max(o.Sample, 1))
	var err error
	r.placer, err = placement.New(o.Variant, placement.Dependencies{
		Roster: r.roster, Index: r.index, Guard: r.guard, Seed: o.Seed,
	})
	return r, err
}

// ApplyAnnouncement processes an endpoint's announcement.
func (r *Router) ApplyAnnouncement(a endpoint.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.Apply(r.now(), a)
}

// ApplyEvents applies a batch of cache events to the index.
func (r *Router) ApplyEvents(batch cache.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.Apply(batch)
}

// Place chooses an endpoint for an attempt and adds the attempt to the endpoint's load. The caller must call EndAttempt when
// the attempt is over.
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

// EndAttempt removes an attempt from its endpoint's load.
func (r *Router) EndAttempt(decision placement.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.Ended(decision.Endpoint.Endpoint, decision.Chain.Tokens)
}

// Learn updates what is known about an endpoint's cache and speed with the result of an attempt.
func (r *Router) Learn(result placement.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.placer.Learn(now, result)
	duration := result.FirstToken
	if entry, ok := r.roster.Get(result.Endpoint); ok && entry.Kind == endpoint.KindEngine {
		// The time to first token depends more on the prompt and the queue than on the engine's speed.
		duration = result.Pace()
	}
	r.guard.Report(now, result.Endpoint, result.Failed, duration)
}

// CheckQuarantine fails with fault.Quarantined if the content or one of the parts of its prompt has crashed engines. The function content
// is only called if any crash is recorded.
func (r *Router) CheckQuarantine(content func() unit.Digest, parts []crashcause.PartID) error {
	if err := r.checkParts(parts); err != nil {
		return err
	}
	if r.noCrashRecorded() {
		return nil
	}
	digest := content()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	until, quarantined := r.quarantines.Check(now, digest)
	if !quarantined {
		return nil
	}
	return fault.Quarantined.New("this request has crashed two engines and isn't run for now").
		WithProperty(fault.RetryAfter, until.Sub(now))
}

func (r *Router) checkParts(parts []crashcause.PartID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	cause, blocked := r.crashCauses.Check(now, parts)
	if !blocked {
		return nil
	}
	return fault.Quarantined.New("a message of this request has crashed %d engines and isn't run for now", cause.Crashes).
		WithProperty(fault.RetryAfter, cause.Until.Sub(now))
}

// SuspectsParts reports whether a part of a prompt may have crashed several engines.
func (r *Router) SuspectsParts(parts []crashcause.PartID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashCauses.Suspects(parts)
}

func (r *Router) noCrashRecorded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantines.Empty()
}

// RecordCrash records that an endpoint broke off its answer while it ran the content with the given parts in its prompt, and reports
// whether the content is now quarantined.
func (r *Router) RecordCrash(content unit.Digest, parts []crashcause.PartID, id unit.EndpointID, incarnation unit.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(parts) > 0 {
		l := registry.Lifetime{Endpoint: id, Born: int64(incarnation)} //nolint:gosec // only compared for equality
		r.crashCauses.RecordCrash(r.now(), l, inOrder(parts))
	}
	return r.quarantines.RecordCrash(r.now(), quarantine.Notice{Content: content, Endpoint: id, Incarnation: incarnation})
}

// inOrder returns parts with their positions. Announcements name weights by texts without an order, so answers on any weights clear a
// part.
func inOrder(ids []crashcause.PartID) []crashcause.Part {
	parts := make([]crashcause.Part, 0, len(ids))
	for i, id := range ids {
		parts = append(parts, crashcause.Part{ID: id, Position: uint8(min(i, math.MaxUint8))}) //nolint:gosec // bounded
	}
	return parts
}

// RecordSuccess records that an endpoint answered the content with the given parts in its prompt, so that earlier crashes during its
// execution aren't attributed to them. The function content is only called if any crash is recorded.
func (r *Router) RecordSuccess(content func() unit.Digest, parts []crashcause.PartID) {
	r.mu.Lock()
	r.crashCauses.RecordServed(r.now(), inOrder(parts))
	r.mu.Unlock()
	if r.noCrashRecorded() {
		return
	}
	digest := content()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantines.RecordSuccess(r.now(), digest)
}

// Quarantines returns the crashes, successes and quarantines to be sent to other hosts.
func (r *Router) Quarantines() []quarantine.Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantines.Export(r.now())
}

// CrashCauses returns the recent notices of crashed and answered parts of prompts to be sent to other hosts.
func (r *Router) CrashCauses() []crashcause.Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashCauses.Recent(r.now())
}

// CountRequest counts a new request. The retry budget is a fraction of the counted requests.
func (r *Router) CountRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.CountRequest(r.now())
}

// AllowRetry decides whether another attempt may be made, and returns the reason as text.
func (r *Router) AllowRetry(attempt retry.Attempt) (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Allow(r.now(), attempt)
}

// Weights returns the weights version of a usable engine of the model, or an empty one if there is none. During a
// rollout, other engines may serve another version.
func (r *Router) Weights(model string) unit.WeightsVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.roster.Usable(r.now(), endpoint.KindEngine, model) {
		return entry.Weights
	}
	return ""
}

// Slots returns the total number of slots of all usable endpoints of one target.
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

// Drain stops sending new work from this host to an endpoint; gossip carries the order to the other hosts. It fails
// with fault.NotFound for an unknown endpoint.
func (r *Router) Drain(id unit.EndpointID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.roster.Get(id); !ok {
		return fault.NotFound.New("endpoint %q isn't announced here", id)
	}
	r.roster.Drain(id)
	return nil
}

// Compose returns the message for a peer in the exchange's current round.
func (r *Router) Compose(x *gossip.Exchange, version unit.ConfigurationVersion) gossip.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.crashCauses.Prune(now)
	message := x.Compose(now, r.roster, r.quarantines.Export(now), version)
	message.CrashCauses = r.crashCauses.Recent(now)
	return message
}

// Continue returns the next message with the state that a peer requested in its answer, and whether there is one.
func (r *Router) Continue(message gossip.Message, answer gossip.Answer) (next gossip.Message, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return gossip.FollowUp(r.now(), r.roster, message, answer)
}

// Receive applies a peer's message and returns the answer.
func (r *Router) Receive(message gossip.Message) gossip.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashCauses.Merge(r.now(), message.CrashCauses)
	return gossip.Receive(r.now(), r.roster, r.quarantines, message)
}

// Snapshot returns the state that a starting host takes over.
func (r *Router) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Snapshot{
		Placement: r.placer.Snapshot(), Announcements: r.roster.Snapshot(), Quarantines: r.quarantines.Export(r.now()),
		Cached: r.index.Export(maxCopiedPieces), CrashCauses: r.crashCauses.Export(r.now()),
	}
}

// Restore adds the state in a peer's Snapshot to this router.
func (r *Router) Restore(c Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, announcement := range c.Announcements {
		r.roster.Apply(now, announcement)
	}
	r.quarantines.Merge(now, c.Quarantines)
	r.crashCauses.Merge(now, c.CrashCauses)
	r.index.Import(c.Cached)
	return r.placer.Restore(c.Placement)
}

// IndexSize returns the number of cached pieces in the index and the number of gaps found in the event streams.
func (r *Router) IndexSize() (pieces int, gaps uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index.Len(), r.index.Gaps()
}
