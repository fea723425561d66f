// Package sharing separates the parts of prompts that several requests share from those that belong to a single
// request. Most cached parts are of the second kind; no other request can use them, so they aren't reported to entry
// hosts.
package sharing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
)

const (
	// RepeatAfter is the interval after which a host reports a shared part again if the part is still in use.
	RepeatAfter = 20 * time.Second
	// expireAfter is how long a part counts as shared after it was last reported; it allows for one or two lost
	// messages.
	expireAfter = 90 * time.Second
	// maxNames bounds the names of shared parts: those of 600 engines that hold parts of usual sizes, all of them different.
	maxNames = 300_000
)

// PartID identifies a part of a prompt by the hash of its id, whatever cache key the part is stored under.
type PartID uint64

// NewPartID returns the name of the part with this id.
func NewPartID(id string) PartID {
	return PartID(xxhash.Sum64String(id))
}

// Event records that a place started to hold a part, or no longer holds it if Removed is set.
type Event struct {
	Removed bool
	Name    PartID
	Part    cachedparts.Part
}

// Filter passes on the events of shared parts only. It remembers the other parts that places hold, in case they are
// reported as shared later. It is a deterministic state machine and not safe for concurrent use.
type Filter struct {
	lastHeard map[PartID]unit.Moment // when a host last reported that the part is shared
	unshared  map[cachedparts.Place]map[cachedparts.Part]PartID
	newNames  bool // a name was added since the last call of TakeNewlyShared
}

// New returns a filter without any shared parts.
func New() *Filter {
	return &Filter{lastHeard: map[PartID]unit.Moment{}, unshared: map[cachedparts.Place]map[cachedparts.Part]PartID{}}
}

// AddShared adds names of shared parts, unless there are too many. It returns those that weren't reported within the last RepeatAfter and are therefore
// to be sent to other hosts.
func (f *Filter) AddShared(now unit.Moment, names []PartID) []PartID {
	var due []PartID
	for _, name := range names {
		at, known := f.lastHeard[name]
		if known && now.Sub(at) < RepeatAfter || !known && len(f.lastHeard) >= maxNames {
			continue
		}
		f.lastHeard[name] = now
		f.newNames = f.newNames || !known
		due = append(due, name)
	}
	return due
}

// Apply applies the events at a place and returns the change to the place's shared parts. If there are several events
// for a part, the last one counts.
func (f *Filter) Apply(place cachedparts.Place, cleared bool, events []Event) cachedparts.Change {
	change := cachedparts.Change{Place: place, Cleared: cleared}
	unsharedHere := f.unshared[place]
	if unsharedHere == nil || cleared {
		unsharedHere = map[cachedparts.Part]PartID{}
		f.unshared[place] = unsharedHere
	}
	last := make(map[cachedparts.Part]int, len(events))
	for i, event := range events {
		last[event.Part] = i
	}
	for i, event := range events {
		if last[event.Part] != i {
			continue
		}
		_, wasUnshared := unsharedHere[event.Part]
		_, shared := f.lastHeard[event.Name]
		switch {
		case event.Removed && wasUnshared:
			delete(unsharedHere, event.Part)
		case event.Removed:
			change.Removed = append(change.Removed, event.Part)
		case shared:
			change.Added = append(change.Added, event.Part)
		default:
			unsharedHere[event.Part] = event.Name
		}
	}
	return change
}

// TakeNewlyShared returns the parts that places already held when the parts were first reported as shared.
func (f *Filter) TakeNewlyShared() []cachedparts.Change {
	if !f.newNames {
		return nil
	}
	f.newNames = false
	var changes []cachedparts.Change
	for place, unsharedHere := range f.unshared {
		change := cachedparts.Change{Place: place}
		for part, name := range unsharedHere {
			if _, shared := f.lastHeard[name]; shared {
				change.Added = append(change.Added, part)
				delete(unsharedHere, part)
			}
		}
		if len(change.Added) > 0 {
			changes = append(changes, change)
		}
	}
	return changes
}

// Forget removes a place whose events are no longer followed.
func (f *Filter) Forget(place cachedparts.Place) {
	delete(f.unshared, place)
}

// Prune removes names that no host has reported within expireAfter.
func (f *Filter) Prune(now unit.Moment) {
	for name, at := range f.lastHeard {
		if now.Sub(at) > expireAfter {
			delete(f.lastHeard, name)
		}
	}
}
