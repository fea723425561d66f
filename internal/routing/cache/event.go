package cache

import (
	"github.com/citronglade/citronglade/internal/base/unit"
)

// EventKind is the kind of a change to an engine's cache.
type EventKind string

// The kinds of events that engines report. EventCleared means that the whole cache was emptied, and carries no digest.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
	EventCleared EventKind = "cleared"
)

// Event is one change to an engine's cache.
type Event struct {
	Kind   EventKind
	Digest unit.Digest
}

// Batch is a sequence of events with consecutive sequence numbers, the first of which is First. An engine numbers the
// events of each incarnation from 0 or 1.
type Batch struct {
	Endpoint    unit.EndpointID
	Incarnation unit.Incarnation
	First       uint64
	Events      []Event
}
