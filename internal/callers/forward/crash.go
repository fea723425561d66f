package forward

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
)

// maxOthersChecked is the number of other endpoints to which a host tries to connect before it takes itself for partitioned.
const maxOthersChecked = 3

// doubtfulRetryAfter is the least time after which a caller may try again a request with a blocked part that may be harmless.
const doubtfulRetryAfter = 2 * time.Second

var (
	endpointsDown       = metrics.NewCounter("citronglade_endpoints_found_down_total")
	contentsQuarantined = metrics.NewCounter("citronglade_contents_quarantined_total")
	partsBlocked        = metrics.NewCounter("citronglade_prompt_parts_blocked_total")
	partTrials          = metrics.NewCounter("citronglade_prompt_part_trials_total")
)

// contentDigest returns a digest of what an endpoint is asked: customer, method, host, path without its query, and body. The
// request id isn't included, because a caller that sends the same request again uses another one.
func (r *request) contentDigest() unit.Digest {
	if !r.digest.IsZero() {
		return r.digest
	}
	hash := sha256.New()
	customer := unit.CustomerID("")
	if r.customer != nil {
		customer = r.customer.Name
	}
	var length [8]byte
	for _, field := range [][]byte{[]byte(customer), []byte(r.call.Method), []byte(r.call.Host), []byte(r.call.Path), r.body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write(field)
	}
	copy(r.digest[:], hash.Sum(nil))
	return r.digest
}

// WithQuarantines calls use with the register of contents that have crashed endpoints, while it holds the handler's lock.
func (h *Handler) WithQuarantines(use func(*quarantine.Register)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	use(h.quarantines)
}

// WithCrashCauses calls use with the register of parts of prompts that crash endpoints, while it holds the handler's lock.
func (h *Handler) WithCrashCauses(use func(*crashcause.Register)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	use(h.crashCauses)
}

// sharedParts returns the parts of the prompt that other requests may share: all but the last one.
func (r *request) sharedParts() []crashcause.PartID {
	if r.call.Prompt == nil {
		return nil
	}
	var parts []crashcause.PartID
	for _, part := range r.call.Prompt.Parts[:max(len(r.call.Prompt.Parts)-1, 0)] {
		parts = append(parts, crashcause.NewPartID(r.call.Prompt.Model, part.ID))
	}
	return parts
}

// partsAt returns the shared parts of the prompt as they were sent to an endpoint.
func (r *request) partsAt(choice assign.Choice) []crashcause.Part {
	parts := make([]crashcause.Part, 0, len(r.parts))
	for i, id := range r.parts {
		parts = append(parts, crashcause.Part{ID: id, Position: uint8(min(i, math.MaxUint8)), Weights: choice.Weights}) //nolint:gosec // bounded
	}
	return parts
}

// suspectsParts reports whether a part of the request's prompt may have crashed several endpoints.
func (r *request) suspectsParts() bool {
	suspected := false
	r.h.WithCrashCauses(func(c *crashcause.Register) { suspected = c.Suspects(r.parts) })
	return suspected
}

// checkParts fails with fault.Quarantined if a part of the request's prompt is blocked because it crashes endpoints, unless this request is
// to find out whether the part is harmless.
func (r *request) checkParts(ctx context.Context) error {
	var cause crashcause.Cause
	blocked, now := false, r.h.Now()
	r.h.WithCrashCauses(func(c *crashcause.Register) { cause, blocked = c.Check(now, r.parts) })
	if !blocked || r.mayTry(ctx, cause) {
		return nil
	}
	retryAfter := cause.Until.Sub(now)
	if cause.Doubtful { // a trial may end the block before; callers return spread over as much time again
		retryAfter = min(retryAfter, time.Duration((1+rand.Float64())*float64(doubtfulRetryAfter)))
	}
	return fault.Quarantined.New("part %016x of the prompt has crashed %d endpoints", uint64(cause.Part), cause.Crashes).
		WithProperty(fault.RetryAfter, retryAfter)
}

// mayTry reports whether the request may be sent although a part of its prompt is blocked, because the part may be harmless.
func (r *request) mayTry(ctx context.Context, cause crashcause.Cause) bool {
	if !cause.Doubtful {
		return false
	}
	if r.triedPart == nil || *r.triedPart != cause.Part {
		engines := 0
		r.h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) { engines = a.CountEndpoints(r.service.Name) })
		if !r.h.TryPart(ctx, cause, engines) {
			return false
		}
		r.triedPart = &cause.Part
		partTrials.Inc()
		r.h.Log.Info("part-tried", "request", string(r.call.ID), "part", fmt.Sprintf("%016x", uint64(cause.Part)), "crashes", cause.Crashes,
			"own-crashes", cause.OwnCrashes, "rivals", cause.Rivals, "last-crash-ms-ago", r.h.Now().Sub(cause.LastCrash).Milliseconds())
	}
	return true
}

// checkQuarantine fails with fault.Quarantined if the request's content or a part of its prompt is quarantined because it has crashed
// endpoints.
func (r *request) checkQuarantine(ctx context.Context) error {
	if err := r.checkContent(); err != nil {
		return err
	}
	return r.checkParts(ctx)
}

func (r *request) checkContent() error {
	empty := true
	r.h.WithQuarantines(func(q *quarantine.Register) { empty = q.Empty() })
	if empty {
		return nil
	}
	content, now := r.contentDigest(), r.h.Now()
	var until unit.Moment
	found := false
	r.h.WithQuarantines(func(q *quarantine.Register) { until, found = q.Check(now, content) })
	if !found {
		return nil
	}
	return fault.Quarantined.New("content %s is quarantined because it has crashed endpoints", content).
		WithProperty(fault.RetryAfter, until.Sub(now))
}

// recordServed records that an endpoint has answered the request, so that its content and the parts of its prompt aren't suspected or
// quarantined for earlier crashes any more.
func (r *request) recordServed(choice assign.Choice) {
	h, now := r.h, r.h.Now()
	h.mu.Lock()
	h.crashCauses.RecordServed(now, r.partsAt(choice))
	if len(h.blockedParts) > 0 {
		h.logCauses(now)
	}
	empty := h.quarantines.Empty() && h.crashes.Empty()
	h.mu.Unlock()
	if empty {
		return
	}
	content := r.contentDigest()
	h.mu.Lock()
	h.crashes.RecordSuccess(content)
	cleared := h.quarantines.RecordSuccess(now, content)
	h.mu.Unlock()
	if cleared {
		h.Log.Info("content-cleared", "request", string(r.call.ID), "content", content.String())
	}
}

// confirmServed records an answer that ended with its connection: as a complete one if the endpoint is still up, as a broken one if it is
// down.
func (r *request) confirmServed(choice assign.Choice) {
	_, err := r.h.Pool.Check(context.Background(), choice.Endpoint, choice.Address, r.h.Connections(r.service))
	switch {
	case err == nil:
		r.recordServed(choice)
	case errorx.IsOfType(err, exchange.NotListening):
		r.recordBroken(choice, assign.EndedBroken) // which checks whether this host reaches other endpoints
	}
}

// recordBroken records that an endpoint gave no complete answer and probes whether it has crashed. If the request's content may
// have crashed an endpoint before, recordBroken waits for the results of its probes.
func (r *request) recordBroken(choice assign.Choice, ending assign.Ending) {
	h, content, lifetime := r.h, r.contentDigest(), registry.Lifetime{Endpoint: choice.Endpoint, Born: choice.Born}
	now := h.Now()
	h.mu.Lock()
	suspect := h.crashes.Suspects(content) || h.quarantines.Suspects(content)
	parts := r.partsAt(choice)
	known := h.crashes.RecordBrokenAnswer(now, lifetime, content, parts)
	if known {
		h.recordCrash(now, lifetime, content)
		h.recordCrashedParts(now, lifetime, parts)
	}
	h.mu.Unlock()
	switch {
	case known:
	case ending != assign.EndedBroken: // a probe only detects refused connections, which a silent endpoint doesn't cause
	case suspect:
		h.probe(lifetime, choice.Address, r.service)
		r.probes.Wait()
	default:
		r.probes.Go(func() { h.probe(lifetime, choice.Address, r.service) })
	}
}

// probe finds out whether an endpoint that broke off an answer is down, or whether only its connection was lost.
func (h *Handler) probe(lifetime registry.Lifetime, address string, service *table.Service) {
	_, err := h.Pool.Check(context.Background(), lifetime.Endpoint, address, h.Connections(service))
	if err != nil && errorx.IsOfType(err, exchange.NotListening) && h.reachesOthers(lifetime.Endpoint) {
		h.RecordCrash(lifetime, err.Error())
	}
}

// reachesOthers reports whether this host can connect to another endpoint than the given one. If it can't, it may be partitioned from all of
// them, and a refused connection doesn't show that the endpoint is down. Without another endpoint it returns true.
func (h *Handler) reachesOthers(except unit.EndpointID) bool {
	var others []assign.Check
	h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) { others = a.OtherEndpoints(except, maxOthersChecked) })
	for _, c := range others {
		most := 0
		if service, ok := h.Table().Service(c.Service); ok {
			most = h.Connections(service)
		}
		if opened, err := h.Pool.Check(context.Background(), c.Endpoint, c.Address, most); err == nil && opened {
			return true
		}
	}
	return len(others) == 0
}

// SuspectLifetimes returns the lifetimes of endpoints at which answers broke off recently.
func (h *Handler) SuspectLifetimes() []registry.Lifetime {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes.Lifetimes(now)
}

// RecordCrash records that an endpoint's lifetime has ended without notice.
func (h *Handler) RecordCrash(lifetime registry.Lifetime, cause string) {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.assigner.MarkCrashed(now, lifetime)
	contents, parts := h.crashes.RecordCrash(now, lifetime)
	if len(contents) == 0 {
		return
	}
	endpointsDown.Inc()
	h.Log.Warn("endpoint-down", "endpoint", string(lifetime.Endpoint), "lifetime", lifetime.Born, "contents", len(contents), "parts", len(parts), "cause", cause)
	h.recordCrashedParts(now, lifetime, parts)
	for _, content := range contents {
		h.recordCrash(now, lifetime, content)
	}
}

// RecordLeaving records that an endpoint's lifetime ends as announced, so that answers that broke off there don't count as crashes.
func (h *Handler) RecordLeaving(lifetime registry.Lifetime) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes.RecordPlannedStop(lifetime)
}

// recordCrashedParts records the parts of the prompts that an endpoint was working on when it crashed. h.mu must be held.
func (h *Handler) recordCrashedParts(now unit.Moment, lifetime registry.Lifetime, parts []crashcause.Part) {
	if len(parts) == 0 {
		return
	}
	h.crashCauses.RecordCrash(now, lifetime, parts)
	h.logCauses(now)
}

// MergeCrashCauses applies another host's notices of crashes and of answered parts.
func (h *Handler) MergeCrashCauses(notices []crashcause.Notice) {
	if len(notices) == 0 {
		return
	}
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashCauses.Merge(now, notices)
	h.logCauses(now)
}

// logCauses logs the parts that are blocked or free since the last call. h.mu must be held.
func (h *Handler) logCauses(now unit.Moment) {
	blocked := map[crashcause.PartID]struct{}{}
	for _, c := range h.crashCauses.Causes(now) {
		blocked[c.Part] = struct{}{}
		if _, known := h.blockedParts[c.Part]; !known {
			partsBlocked.Inc()
			h.Log.Warn("part-blocked", "part", fmt.Sprintf("%016x", uint64(c.Part)), "crashes", c.Crashes, "answered-before", c.AnsweredBefore, "doubtful", c.Doubtful, "for-ms", c.Until.Sub(now).Milliseconds())
		}
	}
	for id := range h.blockedParts {
		if _, still := blocked[id]; !still {
			h.Log.Info("part-cleared", "part", fmt.Sprintf("%016x", uint64(id)))
		}
	}
	h.blockedParts = blocked
}

// recordCrash records that an endpoint crashed while it ran a content. h.mu must be held, without a break since h.crashes reported
// the crash: a success recorded in between would not clear the content.
func (h *Handler) recordCrash(now unit.Moment, lifetime registry.Lifetime, content unit.Digest) {
	_, before := h.quarantines.Check(now, content)
	quarantined := h.quarantines.RecordCrash(now, quarantine.Notice{
		Content: content, Endpoint: lifetime.Endpoint, Incarnation: unit.Incarnation(lifetime.Born), //nolint:gosec // only compared for equality
	})
	if !quarantined || before {
		return
	}
	until, _ := h.quarantines.Check(now, content)
	contentsQuarantined.Inc()
	h.Log.Warn("content-quarantined", "content", content.String(), "endpoint", string(lifetime.Endpoint), "lifetime", lifetime.Born,
		"for-ms", until.Sub(now).Milliseconds())
}
