// Package endpoint keeps the roster of engines, services and cache stores, built from their announcements.
package endpoint

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Kind is the kind of an endpoint.
type Kind string

// The kinds of endpoints.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
	KindStore   Kind = "store"
)

// Load is an endpoint's load at the time of its announcement.
type Load struct {
	Running, Queued int
	QueuedTokens    unit.Tokens
	FreeSlots       int
}

// Announcement describes an endpoint. The endpoint sends one every 500 ms, and entry hosts pass it on to each other.
type Announcement struct {
	Endpoint                          unit.EndpointID
	Kind                              Kind
	Address                           string
	DataCentre                        unit.DataCentre
	Incarnation                       unit.Incarnation
	Model                             unit.ModelName
	Weights                           unit.WeightsVersion
	Software                          unit.SoftwareVersion // empty if the endpoint doesn't announce it
	Service                           string
	Slots, CachePieces                int
	HonoursFencing, Draining, Loading bool
	// DrainOrdered is set by entry hosts, never by the endpoint: an operator ordered the drain of this incarnation.
	DrainOrdered bool
	Sequence     uint64
	Load         Load
	// Age is the time since the endpoint sent the announcement, as far as the entry host that passes it on knows.
	// Without it, a dead endpoint would look alive for another freshness period with each hop of the gossip.
	Age time.Duration
}

// Name returns the model of an engine, the service of a service, and "" for a store, since every store serves all models.
func (a *Announcement) Name() string {
	switch a.Kind {
	case KindEngine:
		return string(a.Model)
	case KindService:
		return a.Service
	default:
		return ""
	}
}

// newer reports whether a replaces b, an announcement of the same endpoint.
func (a *Announcement) newer(b *Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}
