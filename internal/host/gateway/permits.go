package gateway

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/host/hub"
	"github.com/citronglade/citronglade/internal/routing/permit"
)

const (
	// limitsInterval is the time between two reports of the limits of endpoints for which this host wants permits, in case a control host
	// has restarted without them.
	limitsInterval = time.Second
	// maxLimitedEndpoints limits the endpoints for which a sync asks for permits, and those whose limits it reports. Which ones are left
	// out differs from sync to sync.
	maxLimitedEndpoints = 64
)

// endpointPermits are the permits that a control host granted for one endpoint.
type endpointPermits struct {
	endpoint unit.EndpointID
	batch    permit.Batch
}

// wantedPermits returns wanted permits by the indexes of the control host. The lock must be held, as for grantedPermits.
func (g *Gateway) wantedPermits(wanted map[unit.EndpointID]int) []permit.Count {
	var counts []permit.Count
	for id, permits := range wanted {
		if len(counts) == maxLimitedEndpoints {
			break
		}
		if index, ok := g.numbering.Index(id); ok {
			counts = append(counts, permit.Count{Index: index, Permits: uint32(permits)}) //nolint:gosec // positive and bounded
		}
	}
	return counts
}

// grantedPermits returns the permits in the answer to a request that was sent at the given moment.
func (g *Gateway) grantedPermits(answer *hub.SyncAnswer, sentAt unit.Moment) []endpointPermits {
	var granted []endpointPermits
	for _, c := range answer.Permits {
		if id, ok := g.numbering.ID(c.Index); ok {
			granted = append(granted, endpointPermits{id, c.Batch(sentAt)})
		}
	}
	return granted
}
