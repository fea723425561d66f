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

// heed takes what an answer says of its endpoint: that it leaves, or that it wants nothing from this host for a while.
func (r *request) heed(choice assign.Choice, answer *exchange.Answer) {
	h := r.h
	if h.Wire.Elsewhere(answer.Status) {
		return // another endpoint may have answered
	}
	life := registry.Lifetime{Endpoint: choice.Endpoint, Born: choice.Born}
	if h.Wire.Leaves(answer.Header) {
		news := false
		r.withAssigner(func(a *assign.Assigner) { news = a.Leaves(life) })
		if news {
			countTrouble(r.service.Name, "leaving")
			h.Log.Info("endpoint-leaving", "endpoint", string(life.Endpoint), "lifetime", life.Born, "request", string(r.call.ID), "status", answer.Status)
		}
	}
	asked := h.Wire.Pause(answer.Status, answer.Header)
	if asked <= 0 {
		return
	}
	now, draw := h.Now(), rand.Float64()
	until := unit.Moment(0)
	r.withAssigner(func(a *assign.Assigner) { until = a.Pause(now, life, asked, draw) })
	countTrouble(r.service.Name, "paused")
	h.Log.Info("endpoint-paused", "endpoint", string(life.Endpoint), "lifetime", life.Born, "request", string(r.call.ID),
		"asked-ms", asked.Milliseconds(), "for-ms", until.Sub(now).Round(time.Millisecond).Milliseconds())
}

// countTrouble counts what an endpoint said or did by its service; the log names the endpoint.
func countTrouble(service table.ServiceName, cause string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citronglade_endpoint_trouble_total{service=%q,cause=%q}`, string(service), cause)).Inc()
}
