package intake

import (
	"net"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// These limits keep a faulty endpoint from exhausting an entry host's memory.
const (
	maxNameBytes   = 128
	maxSlots       = 1 << 16
	maxBatchEvents = 10_000
)

// announcement is the body of POST /endpoint/v1/announce.
type announcement struct {
	Endpoint       unit.EndpointID      `json:"endpoint-id"`
	Kind           endpoint.Kind        `json:"kind"`
	Address        string               `json:"address"`
	DataCentre     unit.DataCentre      `json:"data-centre"`
	Incarnation    unit.Incarnation     `json:"incarnation"`
	Model          unit.ModelName       `json:"model"`
	Weights        unit.WeightsVersion  `json:"weights-version"`
	Software       unit.SoftwareVersion `json:"software-version"`
	Service        string               `json:"service"`
	Slots          int                  `json:"slots"`
	CachePieces    int                  `json:"cache-pieces"`
	HonoursFencing bool                 `json:"honours-fencing"`
	Draining       bool                 `json:"draining"`
	Loading        bool                 `json:"loading"`
	Sequence       uint64               `json:"sequence"`
	Load           load                 `json:"load"`
}

type load struct {
	Running      int         `json:"running"`
	Queued       int         `json:"queued"`
	QueuedTokens unit.Tokens `json:"queued-tokens"`
	FreeSlots    int         `json:"free-slots"`
}

// announceResponse is the body of the response to an announcement.
type announceResponse struct {
	CacheEventSample int `json:"cache-event-sample"`
}

// cacheEventBatch is the body of POST /endpoint/v1/cache-events.
type cacheEventBatch struct {
	Endpoint      unit.EndpointID  `json:"endpoint-id"`
	Incarnation   unit.Incarnation `json:"incarnation"`
	FirstSequence uint64           `json:"first-sequence"`
	Events        []cacheEvent     `json:"events"`
}

type cacheEvent struct {
	Kind   cache.EventKind `json:"kind"`
	Digest unit.Digest     `json:"digest"`
}

// validate returns fault.BadInput if a field is missing, malformed or out of range.
func (a announcement) validate() error {
	switch {
	case a.Endpoint == "" || len(a.Endpoint) > maxNameBytes:
		return fault.BadInput.New("endpoint-id has %d bytes, allowed are 1 to %d", len(a.Endpoint), maxNameBytes)
	case a.Kind != endpoint.KindEngine && a.Kind != endpoint.KindService && a.Kind != endpoint.KindStore:
		return fault.BadInput.New("kind is %q, allowed are engine, service and store", a.Kind)
	case !isAddress(a.Address):
		return fault.BadInput.New("address is %q, expected an IP address and a port", a.Address)
	case a.Incarnation == 0:
		return fault.BadInput.New("incarnation is 0, expected a number that grows with every start")
	case a.Slots < 0 || a.Slots > maxSlots:
		return fault.BadInput.New("slots is %d, allowed are 0 to %d", a.Slots, maxSlots)
	case a.Kind == endpoint.KindEngine && (a.Model == "" || len(a.Model) > maxNameBytes || len(a.Weights) > maxNameBytes):
		return fault.BadInput.New("an engine needs a model of at most %d bytes", maxNameBytes)
	case len(a.Software) > maxNameBytes:
		return fault.BadInput.New("software-version has %d bytes, allowed are at most %d", len(a.Software), maxNameBytes)
	case a.Kind == endpoint.KindService && (a.Service == "" || len(a.Service) > maxNameBytes):
		return fault.BadInput.New("a service needs a service name of at most %d bytes", maxNameBytes)
	}
	return nil
}

func (a announcement) toRouting() endpoint.Announcement {
	return endpoint.Announcement{
		Endpoint: a.Endpoint, Kind: a.Kind, Address: a.Address, DataCentre: a.DataCentre, Incarnation: a.Incarnation,
		Model: a.Model, Weights: a.Weights, Software: a.Software, Service: a.Service, Slots: a.Slots, CachePieces: a.CachePieces,
		HonoursFencing: a.HonoursFencing, Draining: a.Draining, Loading: a.Loading, Sequence: a.Sequence,
		Load: endpoint.Load{
			Running: a.Load.Running, Queued: a.Load.Queued, QueuedTokens: a.Load.QueuedTokens, FreeSlots: a.Load.FreeSlots,
		},
	}
}

func (e cacheEventBatch) validate() error {
	if e.Endpoint == "" || len(e.Endpoint) > maxNameBytes || len(e.Events) > maxBatchEvents {
		return fault.BadInput.New("a batch needs an endpoint-id and at most %d events, this one has %d", maxBatchEvents, len(e.Events))
	}
	for _, one := range e.Events {
		if one.Kind != cache.EventStored && one.Kind != cache.EventEvicted && one.Kind != cache.EventCleared {
			return fault.BadInput.New("event kind is %q, allowed are stored, evicted and cleared", one.Kind)
		}
	}
	return nil
}

func (e cacheEventBatch) toBatch() cache.Batch {
	batch := cache.Batch{Endpoint: e.Endpoint, Incarnation: e.Incarnation, First: e.FirstSequence}
	for _, one := range e.Events {
		batch.Events = append(batch.Events, cache.Event{Kind: one.Kind, Digest: one.Digest})
	}
	return batch
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
