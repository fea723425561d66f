// Package holding knows which parts of prompts are cached where, as engines and stores tell by their events. Control hosts
// follow the events and pass changes on; entry hosts apply them. A change carries 8 bytes for a part, so that 2,000 changes
// a second stay below the 28 KB/s that a host may spend on control.
package holding

import (
	"github.com/cespare/xxhash/v2"
)

// mostChanges is how many changes are kept for readers that lag; a reader that lags more gets everything.
const mostChanges = 30_000

// Place is an engine, by its endpoint id, or a store, by its address.
type Place string

// Part identifies a cached part of a prompt together with the cache key that it was stored under.
type Part uint64

// NewPart returns the identity of a part.
func NewPart(cacheKey, id string) Part {
	hash := xxhash.New()
	_, _ = hash.WriteString(cacheKey)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(id)
	return Part(hash.Sum64())
}

// Change is what happened at one place. Cleared comes first.
type Change struct {
	Place   Place  `cbor:"1,keyasint"`
	Cleared bool   `cbor:"2,keyasint,omitempty"` // nothing that was held before counts
	Gone    bool   `cbor:"5,keyasint,omitempty"` // nothing is known of the place any more
	Added   []Part `cbor:"3,keyasint,omitempty"`
	Removed []Part `cbor:"4,keyasint,omitempty"`
}

// Update is what a reader lacks.
type Update struct {
	Number  uint64   `cbor:"1,keyasint"`
	Whole   bool     `cbor:"2,keyasint,omitempty"` // the reader must forget everything else
	Changes []Change `cbor:"3,keyasint,omitempty"`
}

// step is one change in the order in which it was applied.
type step struct {
	place   Place
	part    Part
	removed bool
	cleared bool
	gone    bool
}

// Map is a deterministic state machine, not safe for concurrent use.
type Map struct {
	places map[Place]map[Part]struct{}
	log    []step // the last ones; the newest has the number number
	number uint64
}

// New returns an empty map.
func New() *Map {
	return &Map{places: map[Place]map[Part]struct{}{}}
}

// Apply carries out changes.
func (m *Map) Apply(changes []Change) {
	for _, change := range changes {
		if change.Gone {
			m.Forget(change.Place)
			continue
		}
		held := m.places[change.Place]
		if held == nil || change.Cleared {
			held = map[Part]struct{}{}
			m.places[change.Place] = held
			m.note(step{place: change.Place, cleared: true})
		}
		for _, part := range change.Added {
			if _, ok := held[part]; !ok {
				held[part] = struct{}{}
				m.note(step{place: change.Place, part: part})
			}
		}
		for _, part := range change.Removed {
			if _, ok := held[part]; ok {
				delete(held, part)
				m.note(step{place: change.Place, part: part, removed: true})
			}
		}
	}
}

// Forget drops a place of which nothing is known any more.
func (m *Map) Forget(place Place) {
	if _, ok := m.places[place]; ok {
		delete(m.places, place)
		m.note(step{place: place, gone: true})
	}
}

func (m *Map) note(s step) {
	m.number++
	m.log = append(m.log, s)
	if len(m.log) > 2*mostChanges {
		m.log = append(m.log[:0:0], m.log[len(m.log)-mostChanges:]...)
	}
}

// Merge takes what another map holds. After a whole update only its places are known.
func (m *Map) Merge(update Update) {
	if update.Whole {
		m.places = map[Place]map[Part]struct{}{}
	}
	m.Apply(update.Changes)
}

// Since returns the changes after the one with that number.
func (m *Map) Since(number uint64) Update {
	first := m.number - uint64(len(m.log))
	if number < first || number > m.number {
		return m.whole()
	}
	update := Update{Number: m.number}
	changes := map[Place]int{}
	for _, s := range m.log[number-first:] {
		at, ok := changes[s.place]
		if !ok {
			at = len(update.Changes)
			changes[s.place] = at
			update.Changes = append(update.Changes, Change{Place: s.place})
		}
		update.Changes[at].add(s)
	}
	return update
}

// add appends a step. Only the last step for a part counts, so an earlier one is taken back.
func (c *Change) add(s step) {
	switch {
	case s.gone:
		*c = Change{Place: c.Place, Gone: true}
	case s.cleared:
		*c = Change{Place: c.Place, Cleared: true}
	case s.removed:
		c.Added = without(c.Added, s.part)
		c.Removed = append(c.Removed, s.part)
	default:
		c.Removed = without(c.Removed, s.part)
		c.Added = append(c.Added, s.part)
	}
}

func without(parts []Part, part Part) []Part {
	for i, other := range parts {
		if other == part {
			return append(parts[:i], parts[i+1:]...)
		}
	}
	return parts
}

func (m *Map) whole() Update {
	update := Update{Number: m.number, Whole: true}
	for place, held := range m.places {
		change := Change{Place: place, Cleared: true}
		for part := range held {
			change.Added = append(change.Added, part)
		}
		update.Changes = append(update.Changes, change)
	}
	return update
}

// Places returns the places whose events are followed, in no order.
func (m *Map) Places() []Place {
	places := make([]Place, 0, len(m.places))
	for place := range m.places {
		places = append(places, place)
	}
	return places
}

// Parts returns what a place holds, in no order.
func (m *Map) Parts(place Place) []Part {
	parts := make([]Part, 0, len(m.places[place]))
	for part := range m.places[place] {
		parts = append(parts, part)
	}
	return parts
}

// Count returns the number of parts that a place holds.
func (m *Map) Count(place Place) int {
	return len(m.places[place])
}

// Known reports whether the events of a place are followed.
func (m *Map) Known(place Place) bool {
	_, ok := m.places[place]
	return ok
}

// Holds reports whether a place holds a part.
func (m *Map) Holds(place Place, part Part) bool {
	_, ok := m.places[place][part]
	return ok
}
