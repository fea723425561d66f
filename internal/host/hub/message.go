package hub

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/admission/usage"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/control/upgrade"
	"github.com/citronglade/citronglade/internal/control/versionage"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/enginespeed"
	"github.com/citronglade/citronglade/internal/routing/permit"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/sharing"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
)

// SyncRequest is the regular request of an entry host to a control host. It holds what is new at the entry host, and up to which
// change the host has read the control host's data.
type SyncRequest struct {
	TableVersion table.Version `cbor:"1,keyasint"`
	// Epoch and RegistryNumber say which hub's registry the host has read, and up to which change.
	Epoch          unit.Incarnation `cbor:"2,keyasint"`
	RegistryNumber uint64           `cbor:"3,keyasint"`
	// Load is the packed load of the host's own requests, by the indexes of that registry. LoadNumber grows with each report of Load.
	Load       []byte `cbor:"4,keyasint,omitempty"`
	LoadNumber uint64 `cbor:"6,keyasint,omitempty"`
	// HoldingNumber is the number of the last change of cached parts that the host has read from that hub.
	HoldingNumber uint64 `cbor:"5,keyasint"`
	// Shared names parts of prompts that several requests share.
	Shared []sharing.PartID `cbor:"7,keyasint,omitempty"`
	// Crashes are the notices of contents that crashed endpoints that the hub hasn't received from this host yet. CrashesRead is the
	// number up to which the host has read the hub's notices.
	Crashes     quarantine.Update `cbor:"8,keyasint"`
	CrashesRead uint64            `cbor:"9,keyasint,omitempty"`
	// Leaving are the lifetimes that announced in an answer to the host that they are leaving, and that the hub's registry doesn't
	// show as draining.
	Leaving []registry.Lifetime `cbor:"10,keyasint,omitempty"`
	// Limits are the limits that lifetimes named in answers to the host and that the hub may not know yet.
	Limits []assign.LifetimeLimit `cbor:"11,keyasint,omitempty"`
	// WantedPermits are the permits that the host wants for endpoints that name limits, by the indexes of that registry.
	WantedPermits []permit.Count `cbor:"12,keyasint,omitempty"`
	// Causes are the notices of crashed and answered parts of prompts that the hub hasn't received from this host yet. CausesRead is
	// the number up to which the host has read the hub's notices.
	Causes     crashcause.Update `cbor:"13,keyasint"`
	CausesRead uint64            `cbor:"14,keyasint,omitempty"`
	// Streams are the origins of streams that the hub hasn't received from this host yet.
	Streams []streamorigin.Batch `cbor:"15,keyasint,omitempty"`
	// Reach says how many of the services the host reaches. NeedsRelays is set while it may be cut off from one of them.
	Reach       assign.Reach `cbor:"16,keyasint,omitempty"`
	NeedsRelays bool         `cbor:"17,keyasint,omitempty"`
	// Stopping is set while the host is stopping and takes no relayed requests.
	Stopping bool `cbor:"18,keyasint,omitempty"`
	// WeightsRead is the number of the last change of the ages of weights that the host has read from that hub. It is 0 for hosts that
	// don't read them.
	WeightsRead uint64 `cbor:"19,keyasint,omitempty"`
	// Usage is what customers with limits used. It is nil without such customers.
	Usage *usage.Report `cbor:"20,keyasint,omitempty"`
	// Speeds are the observed times of engines since the last request, by the indexes of that registry.
	Speeds []enginespeed.Entry `cbor:"21,keyasint,omitempty"`
	// UrgentLoad is the packed load of the host's urgent requests, see tally.EndpointLoads.PackUrgent. It belongs to Load.
	UrgentLoad []byte `cbor:"22,keyasint,omitempty"`
}

// ControlHost is a known control host.
type ControlHost struct {
	_          struct{} `cbor:",toarray"`
	Name       unit.HostName
	DataCentre unit.DataCentre // empty if unknown
}

// SyncAnswer is a control host's answer to a SyncRequest.
type SyncAnswer struct {
	// Age is how long ago this control host was in contact with a majority of the control hosts.
	Age     time.Duration                              `cbor:"1,keyasint"`
	Table   []byte                                     `cbor:"2,keyasint,omitempty"` // CBOR of a table.Table that is newer than the host's
	Weights map[unit.ModelName]decisions.WeightsNumber `cbor:"3,keyasint,omitempty"`
	Epoch   unit.Incarnation                           `cbor:"4,keyasint"`
	Update  registry.Update                            `cbor:"5,keyasint"`
	// Loads is the packed load of all entry hosts together, computed LoadsAge ago. It includes the asking host's load with the number
	// IncludedLoadNumber. If HasLoads is false, the answer contains no newer loads.
	Loads              []byte             `cbor:"6,keyasint,omitempty"`
	LoadsAge           time.Duration      `cbor:"12,keyasint,omitempty"`
	IncludedLoadNumber uint64             `cbor:"13,keyasint,omitempty"`
	HasLoads           bool               `cbor:"14,keyasint,omitempty"`
	Updating           []registry.Index   `cbor:"7,keyasint,omitempty"`
	EntryHosts         int                `cbor:"8,keyasint"`
	ControlHosts       []ControlHost      `cbor:"9,keyasint"`
	Upcoming           []registry.Index   `cbor:"10,keyasint,omitempty"` // replicas that are updated next
	Holding            cachedparts.Update `cbor:"11,keyasint"`
	// Crashes are the notices of contents that crashed endpoints that the asking host hasn't read yet.
	Crashes quarantine.Update `cbor:"15,keyasint"`
	// Permits are granted to the host for endpoints that name limits. PermitsAge is how long ago the hub last knew a leader that issues
	// permits.
	Permits    []permit.Count `cbor:"16,keyasint,omitempty"`
	PermitsAge time.Duration  `cbor:"17,keyasint,omitempty"`
	// Causes are the notices of crashed and answered parts of prompts that the asking host hasn't read yet.
	Causes crashcause.Update `cbor:"18,keyasint"`
	// NeedsStreams is set if the hub must know the origins of the host's streams.
	NeedsStreams bool `cbor:"19,keyasint,omitempty"`
	// Relays are entry hosts that reach endpoints, if the host needs any.
	Relays []unit.HostName `cbor:"20,keyasint,omitempty"`
	// WeightsAges says how long ago versions of weights were named, if that has changed after WeightsRead. WeightsNumber is the number of the
	// last change, 0 from hubs that don't know the ages.
	WeightsAges   versionage.Ages `cbor:"21,keyasint,omitempty"`
	WeightsNumber uint64          `cbor:"22,keyasint,omitempty"`
	// Usage answers the report in the request.
	Usage *usage.Levels `cbor:"23,keyasint,omitempty"`
	// Speeds are the relative times of all engines of which samples are known, if they are due.
	Speeds []enginespeed.Entry `cbor:"24,keyasint,omitempty"`
	// UrgentLoads is the packed load of the urgent requests of all entry hosts. It belongs to Loads.
	UrgentLoads []byte `cbor:"25,keyasint,omitempty"`
}

// State is the regular message of a control host to another one, the reader. Indexes are those of the sender's registry.
type State struct {
	Epoch      unit.Incarnation `cbor:"1,keyasint"`
	Update     registry.Update  `cbor:"2,keyasint"`
	Loads      []byte           `cbor:"3,keyasint,omitempty"` // packed load of the entry hosts that sync with the sender
	EntryHosts int              `cbor:"4,keyasint,omitempty"`
	Leader     bool             `cbor:"5,keyasint,omitempty"`
	Updating   []registry.Index `cbor:"6,keyasint,omitempty"` // set by the leader only, as Upcoming
	DataCentre unit.DataCentre  `cbor:"7,keyasint,omitempty"`
	Upcoming   []registry.Index `cbor:"8,keyasint,omitempty"`
	// Holding holds the changes of cached parts, at the places that the sender follows, that the reader hasn't read yet.
	Holding cachedparts.Update `cbor:"9,keyasint"`
	// ReadEpoch, ReadHolding and ReadRegistry say up to which of the reader's changes the sender has read, so that the reader sends
	// changes again that were lost on the way.
	ReadEpoch    unit.Incarnation `cbor:"10,keyasint,omitempty"`
	ReadHolding  uint64           `cbor:"11,keyasint,omitempty"`
	ReadRegistry uint64           `cbor:"12,keyasint,omitempty"`
	Shared       []sharing.PartID `cbor:"13,keyasint,omitempty"` // reported to the sender since its previous message
	// RegistryAfter and HoldingAfter are the numbers of the changes after which Update and Holding begin. A reader that has restarted
	// lacks the changes before them, without which it can't resolve indexes.
	RegistryAfter uint64 `cbor:"14,keyasint,omitempty"`
	HoldingAfter  uint64 `cbor:"15,keyasint,omitempty"`
	// Crashes are the notices of contents that crashed endpoints that the reader hasn't read yet, and CrashesAfter is the number after
	// which they begin. ReadCrashes is the number up to which the sender has read the reader's notices.
	Crashes      quarantine.Update `cbor:"16,keyasint"`
	CrashesAfter uint64            `cbor:"17,keyasint,omitempty"`
	ReadCrashes  uint64            `cbor:"18,keyasint,omitempty"`
	// WantedPermits are the permits that the entry hosts which sync with the sender want, by the indexes of the sender's registry.
	// Permits are granted to the reader, which divides them among its entry hosts; only the leader grants any.
	WantedPermits []permit.Count `cbor:"19,keyasint,omitempty"`
	Permits       []permit.Count `cbor:"20,keyasint,omitempty"`
	// Causes, CausesAfter and ReadCauses are to the notices of crashed and answered parts of prompts what Crashes, CrashesAfter and
	// ReadCrashes are to those of contents.
	Causes      crashcause.Update `cbor:"21,keyasint"`
	CausesAfter uint64            `cbor:"22,keyasint,omitempty"`
	ReadCauses  uint64            `cbor:"23,keyasint,omitempty"`
	// Streams are copies of the origins of streams that the sender's entry hosts have reported.
	Streams []streamorigin.Batch `cbor:"24,keyasint,omitempty"`
	// Relays are some of the entry hosts that sync with the sender and reach the endpoints. They are sent every relaysInterval only.
	Relays []unit.HostName `cbor:"25,keyasint,omitempty"`
	// WeightsAges says how long ago versions of weights were named. It is sent every agesInterval only.
	WeightsAges versionage.Ages `cbor:"26,keyasint,omitempty"`
	// Usage is what customers with limits used through the sender; nil without such customers. ReadUsage is to it what ReadRegistry is to Update.
	Usage     *usage.Update `cbor:"27,keyasint,omitempty"`
	ReadUsage uint64        `cbor:"28,keyasint,omitempty"`
	// Speeds are the averages of the times of engines that the sender's entry hosts observed. They are sent every speedsInterval only.
	Speeds []enginespeed.Entry `cbor:"29,keyasint,omitempty"`
	// UrgentLoads is the packed load of urgent requests in Loads.
	UrgentLoads []byte `cbor:"30,keyasint,omitempty"`
}

// EventBatch is one batch of the cache events of an engine or store.
type EventBatch struct {
	Epoch   uint64 // changes when the place restarts
	Next    uint64 // position at which the next batch begins
	Lost    bool   // events before this batch are missing
	Leaving bool   // the place has announced that it is leaving
	Events  []CacheEvent
}

// CacheEvent says that a place has cached a part of a prompt, or has removed it from its cache.
type CacheEvent struct {
	Removed  bool
	CacheKey string
	Part     string
}

// Engines is the protocol for sending orders to replicas and reading events from engines and stores.
type Engines struct {
	// Status asks a replica for its weights. It returns nil if there is no usable answer.
	Status func(ctx context.Context, at registry.Endpoint) *upgrade.Status
	// Order sends an order to a replica.
	Order func(ctx context.Context, at registry.Endpoint, order upgrade.Order) upgrade.Reply
	// Events returns the events of an engine or store from the position since on. It waits up to wait for an event. A store has an
	// empty id. An error carries fault.RetryAfter if the place asked for a pause.
	Events func(ctx context.Context, id unit.EndpointID, address string, since uint64, wait time.Duration) (EventBatch, error)
}
