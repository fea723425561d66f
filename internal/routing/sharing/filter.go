// Package sharing tells the parts of prompts that several requests share from those that belong to one request. Most cached parts
// are of the second kind; nobody else can use them, so that nothing about them is passed on to entry hosts.
package sharing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/holding"
)

const (
	// RepeatAfter is how long after a host has told a name it tells it again if the part is still in use.
	RepeatAfter = 20 * time.Second
	// forgetAfter is how long a name counts after it was told last; a message or two may be lost meanwhile.
	forgetAfter = 90 * time.Second
)

// Name identifies a part of a prompt under whatever cache key it is stored.
type Name uint64

// NewName returns the name of a part.
func NewName(id string) Name {
	return Name(xxhash.Sum64String(id))
}

// Event says that a place now holds or doesn't hold any more a part.
type Event struct {
	Removed bool
	Name    Name
	Part    holding.Part
}

// Filter passes on the events of shared parts. It remembers the others that are held, in case they turn out to be shared. It is a
// deterministic state machine, not safe for concurrent use.
type Filter struct {
	heard  map[Name]unit.Moment // when a host told that the part is shared
	hidden map[holding.Place]map[holding.Part]Name
	fresh  bool // a name has come since the last Release
}

// New returns a filter that knows no shared part.
func New() *Filter {
	return &Filter{heard: map[Name]unit.Moment{}, hidden: map[holding.Place]map[holding.Part]Name{}}
}

// Hear takes names of shared parts and returns those that weren't heard for RepeatAfter, so that others are told of them.
func (f *Filter) Hear(now unit.Moment, names []Name) []Name {
	var news []Name
	for _, name := range names {
		at, known := f.heard[name]
		if known && now.Sub(at) < RepeatAfter {
			continue
		}
		f.heard[name] = now
		f.fresh = f.fresh || !known
		news = append(news, name)
	}
	return news
}

// Pass returns the change at a place that events of shared parts make. The last event of a part counts.
func (f *Filter) Pass(place holding.Place, cleared bool, events []Event) holding.Change {
	change := holding.Change{Place: place, Cleared: cleared}
	hidden := f.hidden[place]
	if hidden == nil || cleared {
		hidden = map[holding.Part]Name{}
		f.hidden[place] = hidden
	}
	last := make(map[holding.Part]int, len(events))
	for i, event := range events {
		last[event.Part] = i
	}
	for i, event := range events {
		if last[event.Part] != i {
			continue
		}
		_, unshared := hidden[event.Part]
		_, shared := f.heard[event.Name]
		switch {
		case event.Removed && unshared:
			delete(hidden, event.Part)
		case event.Removed:
			change.Removed = append(change.Removed, event.Part)
		case shared:
			change.Added = append(change.Added, event.Part)
		default:
			hidden[event.Part] = event.Name
		}
	}
	return change
}

// Release returns what became known of parts that were held before their names were heard.
func (f *Filter) Release() []holding.Change {
	if !f.fresh {
		return nil
	}
	f.fresh = false
	var changes []holding.Change
	for place, hidden := range f.hidden {
		change := holding.Change{Place: place}
		for part, name := range hidden {
			if _, shared := f.heard[name]; shared {
				change.Added = append(change.Added, part)
				delete(hidden, part)
			}
		}
		if len(change.Added) > 0 {
			changes = append(changes, change)
		}
	}
	return changes
}

// Forget drops a place that isn't followed any more.
func (f *Filter) Forget(place holding.Place) {
	delete(f.hidden, place)
}

// Prune drops names that nobody tells any more.
func (f *Filter) Prune(now unit.Moment) {
	for name, at := range f.heard {
		if now.Sub(at) > forgetAfter {
			delete(f.heard, name)
		}
	}
}
