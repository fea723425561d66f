package forward

import (
	"context"
	"crypto/sha256"
	"encoding/binary"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

var endpointsDown = metrics.NewCounter("citronglade_endpoints_found_down_total")

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

// inspect finds out whether an endpoint that broke off an answer is down, or only the connection to it.
func (h *Handler) inspect(choice assign.Choice, service *table.Service) {
	err := h.Pool.Check(context.Background(), choice.Endpoint, choice.Address, h.Connections(service))
	if err == nil || !errorx.IsOfType(err, exchange.NotListening) {
		return
	}
	endpointsDown.Inc()
	h.Log.Warn("endpoint-down", "endpoint", string(choice.Endpoint), "lifetime", choice.Born, "service", string(service.Name), "cause", err.Error())
}
