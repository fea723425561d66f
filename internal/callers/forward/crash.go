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

// content returns a digest of what an endpoint is asked: customer, method, host, path without its query, and body. A caller that
// sends the same request again does so with another request id.
func (r *request) content() unit.Digest {
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

// WithRegister runs use with the contents that crashed endpoints, which nothing else uses meanwhile.
func (h *Handler) WithRegister(use func(*quarantine.Register)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	use(h.register)
}

// quarantined fails with fault.Quarantined if the request's content has crashed endpoints.
func (r *request) quarantined() error {
	empty := true
	r.h.WithRegister(func(q *quarantine.Register) { empty = q.Empty() })
	if empty {
		return nil
	}
	content, now := r.content(), r.h.Now()
	var until unit.Moment
	found := false
	r.h.WithRegister(func(q *quarantine.Register) { until, found = q.Check(now, content) })
	if !found {
		return nil
	}
	return fault.Quarantined.New("content %s has crashed endpoints and isn't run for now", content).
		WithProperty(fault.RetryAfter, until.Sub(now))
}

// served notes that the content doesn't crash every endpoint.
func (r *request) served() {
	h := r.h
	h.mu.Lock()
	empty := h.register.Empty() && h.crashes.Empty()
	h.mu.Unlock()
	if empty {
		return
	}
	content, now := r.content(), h.Now()
	h.mu.Lock()
	h.crashes.Served(content)
	cleared := h.register.Served(now, content)
	h.mu.Unlock()
	if cleared {
		h.Log.Info("content-cleared", "request", string(r.call.ID), "content", content.String())
	}
}

// broke notes that an endpoint gave no whole answer and finds out whether it has crashed. A request that may have crashed another
// one before waits for that.
func (r *request) broke(choice assign.Choice, ending assign.Ending) {
	h, content, life := r.h, r.content(), registry.Lifetime{Endpoint: choice.Endpoint, Born: choice.Born}
	now := h.Now()
	h.mu.Lock()
	suspect := h.crashes.Suspects(content) || h.register.Suspects(content)
	known := h.crashes.Broke(now, life, content)
	if known {
		h.blame(now, life, content)
	}
	h.mu.Unlock()
	switch {
	case known:
	case ending != assign.EndedBroken: // a silent endpoint doesn't refuse a connection
	case suspect:
		h.inspect(life, choice.Address, r.service)
		r.inspecting.Wait()
	default:
		r.inspecting.Go(func() { h.inspect(life, choice.Address, r.service) })
	}
}

// inspect finds out whether an endpoint that broke off an answer is down, or only the connection to it.
func (h *Handler) inspect(life registry.Lifetime, address string, service *table.Service) {
	err := h.Pool.Check(context.Background(), life.Endpoint, address, h.Connections(service))
	if err != nil && errorx.IsOfType(err, exchange.NotListening) {
		h.Crashed(life, err.Error())
	}
}

// Lifetimes returns the lifetimes of endpoints at which answers broke off lately.
func (h *Handler) Lifetimes() []registry.Lifetime {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes.Lifetimes(now)
}

// Crashed notes that an endpoint's lifetime has ended without notice.
func (h *Handler) Crashed(life registry.Lifetime, cause string) {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	contents := h.crashes.Crashed(now, life)
	if len(contents) == 0 {
		return
	}
	endpointsDown.Inc()
	h.Log.Warn("endpoint-down", "endpoint", string(life.Endpoint), "lifetime", life.Born, "contents", len(contents), "cause", cause)
	for _, content := range contents {
		h.blame(now, life, content)
	}
}

// Leaves notes that an endpoint's lifetime ends as announced.
func (h *Handler) Leaves(life registry.Lifetime) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes.Leaves(life)
}

// blame notes that a content was running at an endpoint when it crashed. The lock must be held since the watch told so: a success
// in between would count for nothing.
func (h *Handler) blame(now unit.Moment, life registry.Lifetime, content unit.Digest) {
	_, before := h.register.Check(now, content)
	quarantined := h.register.Crashed(now, quarantine.Notice{
		Content: content, Endpoint: life.Endpoint, Incarnation: unit.Incarnation(life.Born), //nolint:gosec // told apart only
	})
	if !quarantined || before {
		return
	}
	until, _ := h.register.Check(now, content)
	contentsQuarantined.Inc()
	h.Log.Warn("content-quarantined", "content", content.String(), "endpoint", string(life.Endpoint), "lifetime", life.Born,
		"for-ms", until.Sub(now).Milliseconds())
}
