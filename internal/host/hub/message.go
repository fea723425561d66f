package hub

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/control/upgrade"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/holding"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/sharing"
)

// SyncRequest is what an entry host tells and knows.
type SyncRequest struct {
	TableVersion table.Version `cbor:"1,keyasint"`
	// Epoch and Number say which hub's registry the host has read, and up to which change.
	Epoch  unit.Incarnation `cbor:"2,keyasint"`
	Number uint64           `cbor:"3,keyasint"`
	// Load is the packed tally of what the host has in hand, by the indexes of that registry. LoadNumber grows with each of them.
	Load       []byte `cbor:"4,keyasint,omitempty"`
	LoadNumber uint64 `cbor:"6,keyasint,omitempty"`
	// Holding is the number of the last change of cached parts that the host has read from that hub.
	Holding uint64 `cbor:"5,keyasint"`
	// Shared names parts of prompts that several requests share.
	Shared []sharing.Name `cbor:"7,keyasint,omitempty"`
	// Crashes is what that hub lacks of the contents that crashed endpoints, and CrashesRead the number up to which the host has
	// read the hub's.
	Crashes     quarantine.Update `cbor:"8,keyasint"`
	CrashesRead uint64            `cbor:"9,keyasint,omitempty"`
	// Leaving are lifetimes that told the host in an answer that they leave, and that the hub's registry doesn't show as draining.
	Leaving []registry.Lifetime `cbor:"10,keyasint,omitempty"`
}

// ControlHost is a control host that was heard lately.
type ControlHost struct {
	_          struct{} `cbor:",toarray"`
	Name       unit.HostName
	DataCentre unit.DataCentre // empty if it isn't known
}

// SyncAnswer is what a control host answers.
type SyncAnswer struct {
	// Age is how long ago this control host was in contact with a majority of the control hosts.
	Age     time.Duration                         `cbor:"1,keyasint"`
	Table   []byte                                `cbor:"2,keyasint,omitempty"` // CBOR of a table.Table that is newer than the host's
	Weights map[unit.ModelName]book.WeightsNumber `cbor:"3,keyasint,omitempty"`
	Epoch   unit.Incarnation                      `cbor:"4,keyasint"`
	Update  registry.Update                       `cbor:"5,keyasint"`
	// Loads is the packed tally of what all entry hosts have in hand, made LoadsAge ago. It holds what this host told under the
	// number Included. Without HasLoads nothing newer is told this time.
	Loads      []byte           `cbor:"6,keyasint,omitempty"`
	LoadsAge   time.Duration    `cbor:"12,keyasint,omitempty"`
	Included   uint64           `cbor:"13,keyasint,omitempty"`
	HasLoads   bool             `cbor:"14,keyasint,omitempty"`
	Updating   []registry.Index `cbor:"7,keyasint,omitempty"`
	EntryHosts int              `cbor:"8,keyasint"`
	Control    []ControlHost    `cbor:"9,keyasint"`
	Upcoming   []registry.Index `cbor:"10,keyasint,omitempty"` // updated next
	Holding    holding.Update   `cbor:"11,keyasint"`
	// Crashes is what the host lacks of the contents that crashed endpoints.
	Crashes quarantine.Update `cbor:"15,keyasint"`
}

// State is what control hosts tell each other. Indexes are those of the sender's registry.
type State struct {
	Epoch      unit.Incarnation `cbor:"1,keyasint"`
	Update     registry.Update  `cbor:"2,keyasint"`
	Loads      []byte           `cbor:"3,keyasint,omitempty"` // packed tally of the entry hosts that ask this control host
	Entries    int              `cbor:"4,keyasint,omitempty"`
	Leader     bool             `cbor:"5,keyasint,omitempty"`
	Updating   []registry.Index `cbor:"6,keyasint,omitempty"` // told by the leader
	DataCentre unit.DataCentre  `cbor:"7,keyasint,omitempty"`
	Upcoming   []registry.Index `cbor:"8,keyasint,omitempty"`
	// Holding is what the reader lacks of the cached parts that this control host follows.
	Holding holding.Update `cbor:"9,keyasint"`
	// ReadEpoch, Read and ReadRegistry say up to which changes of the reader's own this control host has read, so that what
	// was lost on its way is sent again.
	ReadEpoch    unit.Incarnation `cbor:"10,keyasint,omitempty"`
	Read         uint64           `cbor:"11,keyasint,omitempty"`
	ReadRegistry uint64           `cbor:"12,keyasint,omitempty"`
	Shared       []sharing.Name   `cbor:"13,keyasint,omitempty"` // heard since the message before
	// RegistryAfter and HoldingAfter are the numbers of the changes after which Update and Holding begin. A reader that has
	// restarted lacks what came before, without which indexes mean nothing to it.
	RegistryAfter uint64 `cbor:"14,keyasint,omitempty"`
	HoldingAfter  uint64 `cbor:"15,keyasint,omitempty"`
	// Crashes is what the reader lacks of the contents that crashed endpoints, CrashesAfter the number after which it begins, and
	// ReadCrashes says up to which number of the reader's own this control host has read.
	Crashes      quarantine.Update `cbor:"16,keyasint"`
	CrashesAfter uint64            `cbor:"17,keyasint,omitempty"`
	ReadCrashes  uint64            `cbor:"18,keyasint,omitempty"`
}

// Feed is a piece of the events of an engine or store.
type Feed struct {
	Epoch  uint64 // changes when the place restarts
	Next   uint64 // where the next piece begins
	Lost   bool   // events are missing before these
	Leaves bool   // the place says that it leaves
	Events []FeedEvent
}

// FeedEvent is a part that a place now holds or doesn't hold any more.
type FeedEvent struct {
	Removed  bool
	CacheKey string
	Part     string
}

// Engines is the protocol by which replicas take orders.
type Engines struct {
	// Status asks a replica for its weights. It returns nil if there is no usable answer.
	Status func(ctx context.Context, at registry.Endpoint) *upgrade.Status
	// Order sends an order to a replica.
	Order func(ctx context.Context, at registry.Endpoint, order upgrade.Order) upgrade.Reply
	// Events waits up to wait for events of an engine, or of a store, which has no id. A failure carries fault.RetryAfter if the place
	// asked for a pause.
	Events func(ctx context.Context, id unit.EndpointID, address string, since uint64, wait time.Duration) (Feed, error)
}
