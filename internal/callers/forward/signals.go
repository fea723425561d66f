package forward

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// applySignals records what an answer says about its endpoint: that it is leaving, that it wants no requests from this host for a
// while, or how many requests it takes from all hosts.
func (r *request) applySignals(choice assign.Choice, flight *assign.Attempt, answer *exchange.Answer) {
	h := r.h
	if h.Wire.Misdirected(answer.Status) {
		return // the answer may come from another endpoint
	}
	lifetime := registry.Lifetime{Endpoint: choice.Endpoint, Born: choice.Born}
	if h.Wire.AnnouncesLeaving(answer.Header) {
		isNew := false
		r.withAssigner(func(a *assign.Assigner) { isNew = a.MarkLeaving(lifetime) })
		if isNew {
			countEndpointTrouble(r.service.Name, "leaving")
			h.Log.Info("endpoint-leaving", "endpoint", string(lifetime.Endpoint), "lifetime", lifetime.Born, "request", string(r.call.ID), "status", answer.Status)
		}
	}
	r.applyLimit(lifetime, flight, answer)
	r.applyBrittle(lifetime, flight, answer)
	asked := h.Wire.RequestedPause(answer.Status, answer.Header)
	if asked <= 0 {
		return
	}
	now, draw := h.Now(), rand.Float64()
	until := unit.Moment(0)
	r.withAssigner(func(a *assign.Assigner) { until = a.Pause(now, lifetime, asked, draw) })
	countEndpointTrouble(r.service.Name, "paused")
	h.Log.Info("endpoint-paused", "endpoint", string(lifetime.Endpoint), "lifetime", lifetime.Born, "request", string(r.call.ID),
		"asked-ms", asked.Milliseconds(), "for-ms", until.Sub(now).Round(time.Millisecond).Milliseconds())
}

// applyLimit records the limit that an answer names, or that it names none any more.
func (r *request) applyLimit(lifetime registry.Lifetime, flight *assign.Attempt, answer *exchange.Answer) {
	perSecond, ok := r.h.Wire.RequestLimit(answer.Header)
	if !ok {
		countEndpointTrouble(r.service.Name, "unreadable-limit")
		return
	}
	changed := false
	r.withAssigner(func(a *assign.Assigner) { changed = a.NamedLimit(r.h.Now(), flight, perSecond) })
	if !changed {
		return
	}
	if perSecond == requestlimit.None {
		r.h.Log.Info("endpoint-limit-ended", "endpoint", string(lifetime.Endpoint), "lifetime", lifetime.Born, "request", string(r.call.ID))
		return
	}
	countEndpointTrouble(r.service.Name, "limited")
	r.h.Log.Info("endpoint-limited", "endpoint", string(lifetime.Endpoint), "lifetime", lifetime.Born, "request", string(r.call.ID), "per-second", perSecond)
}

// applyBrittle records whether the answer says that its endpoint is brittle.
func (r *request) applyBrittle(lifetime registry.Lifetime, flight *assign.Attempt, answer *exchange.Answer) {
	perSecond, brittle := r.h.Wire.Brittle(answer.Header)
	changed := false
	r.withAssigner(func(a *assign.Assigner) { changed = a.NamedBrittle(r.h.Now(), flight, brittle, perSecond) })
	switch {
	case changed && brittle:
		countEndpointTrouble(r.service.Name, "brittle")
		r.h.Log.Info("service-brittle", "service", string(r.service.Name), "endpoint", string(lifetime.Endpoint), "request", string(r.call.ID), "per-second", perSecond)
	case changed:
		r.h.Log.Info("service-not-brittle", "service", string(r.service.Name), "endpoint", string(lifetime.Endpoint), "request", string(r.call.ID))
	}
}

// countEndpointTrouble counts the endpoints that announce that they leave, ask for a pause, name a limit or say that they are brittle, by service. The log names the
// endpoint.
func countEndpointTrouble(service table.ServiceName, cause string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citronglade_endpoint_trouble_total{service=%q,cause=%q}`, string(service), cause)).Inc()
}
