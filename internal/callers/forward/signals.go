package forward

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// applySignals records what an answer says about its endpoint: that it is leaving, or that it wants no requests from this host
// for a while.
func (r *request) applySignals(choice assign.Choice, answer *exchange.Answer) {
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

// countEndpointTrouble counts the endpoints that announce that they leave or ask for a pause, by service. The log names the
// endpoint.
func countEndpointTrouble(service table.ServiceName, cause string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citronglade_endpoint_trouble_total{service=%q,cause=%q}`, string(service), cause)).Inc()
}
