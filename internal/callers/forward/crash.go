package forward

import (
	"context"
	"crypto/sha256"
	"encoding/binary"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

var (
	endpointsDown       = metrics.NewCounter("citronglade_endpoints_found_down_total")
	contentsQuarantined = metrics.NewCounter("citronglade_contents_quarantined_total")
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

// checkQuarantine fails with fault.Quarantined if the request's content is quarantined because it has crashed endpoints.
func (r *request) checkQuarantine() error {
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

// recordServed records that an endpoint has answered the request's content, so that the content isn't suspected or quarantined for
// earlier crashes any more.
func (r *request) recordServed() {
	h := r.h
	h.mu.Lock()
	empty := h.quarantines.Empty() && h.crashes.Empty()
	h.mu.Unlock()
	if empty {
		return
	}
	content, now := r.contentDigest(), h.Now()
	h.mu.Lock()
	h.crashes.RecordSuccess(content)
	cleared := h.quarantines.RecordSuccess(now, content)
	h.mu.Unlock()
	if cleared {
		h.Log.Info("content-cleared", "request", string(r.call.ID), "content", content.String())
	}
}

// recordBroken records that an endpoint gave no complete answer and probes whether it has crashed. If the request's content may
// have crashed an endpoint before, recordBroken waits for the results of its probes.
func (r *request) recordBroken(choice assign.Choice, ending assign.Ending) {
	h, content, lifetime := r.h, r.contentDigest(), registry.Lifetime{Endpoint: choice.Endpoint, Born: choice.Born}
	now := h.Now()
	h.mu.Lock()
	suspect := h.crashes.Suspects(content) || h.quarantines.Suspects(content)
	known := h.crashes.RecordBrokenAnswer(now, lifetime, content)
	if known {
		h.recordCrash(now, lifetime, content)
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
	err := h.Pool.Check(context.Background(), lifetime.Endpoint, address, h.Connections(service))
	if err != nil && errorx.IsOfType(err, exchange.NotListening) {
		h.RecordCrash(lifetime, err.Error())
	}
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
	contents := h.crashes.RecordCrash(now, lifetime)
	if len(contents) == 0 {
		return
	}
	endpointsDown.Inc()
	h.Log.Warn("endpoint-down", "endpoint", string(lifetime.Endpoint), "lifetime", lifetime.Born, "contents", len(contents), "cause", cause)
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
