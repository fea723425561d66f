// Package cachedparts tracks which parts of prompts are cached where, as reported by the events of engines and stores.
// Control hosts follow the events and send the changes to entry hosts, which apply them. A change of one part takes
// about 14 bytes, so that 700 changes a second, those of the shared parts of 240 engines, need less than 10 of the 28
// KB/s that a host may use for control traffic.
package cachedparts

import (
	"github.com/cespare/xxhash/v2"
)

// maxLogEntries is the number of changes that are kept at least for readers that lag; a reader that lags further behind
// gets a full update.
const maxLogEntries = 30_000

// Place identifies an engine by its endpoint id, or a store by its address.
type Place string

// Part identifies a cached part of a prompt together with the cache key that it was stored under.
type Part uint64

// NewPart returns the hash that identifies a part.
func NewPart(cacheKey, id string) Part {
	hash := xxhash.New()
	_, _ = hash.WriteString(cacheKey)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(id)
	return Part(hash.Sum64())
}

// PlaceIndex identifies a place in the updates of one map. Indexes are assigned from 1 in the order in which the map learns
// of the places.
type PlaceIndex uint32

// Change is a change to the parts that one place holds. Cleared applies before Added and Removed.
type Change struct {
	// In an update, Place is only set if Cleared is set, which it is in the first change that a reader gets for an
	// PlaceIndex.
	Place   Place      `cbor:"1,keyasint,omitempty"`
	Index   PlaceIndex `cbor:"6,keyasint,omitempty"`
	Cleared bool       `cbor:"2,keyasint,omitempty"` // the place no longer holds any of the parts it held before
	Gone    bool       `cbor:"5,keyasint,omitempty"` // the place is no longer followed
	Added   []Part     `cbor:"3,keyasint,omitempty"`
	Removed []Part     `cbor:"4,keyasint,omitempty"`
}

// Update contains the changes that a reader hasn't received yet.
type Update struct {
	Number  uint64   `cbor:"1,keyasint"`
	Full    bool     `cbor:"2,keyasint,omitempty"` // the update is complete, the reader must discard everything else
	Changes []Change `cbor:"3,keyasint,omitempty"`
}

// logEntry is a single change. The log is in the order in which the changes were applied.
type logEntry struct {
	place   Place
	index   PlaceIndex
	part    Part
	removed bool
	cleared bool
	gone    bool
}

// Map records which parts each place holds. It is a deterministic state machine and not safe for concurrent use.
type Map struct {
	places       map[Place]*placeState
	placeByIndex map[PlaceIndex]Place // indexes of the map whose updates are merged
	lastIndex    PlaceIndex           // highest index that was assigned
	log          []logEntry           // most recent changes; the newest one has the sequence number number
	number       uint64
}

// placeState holds the parts of one place.
type placeState struct {
	index PlaceIndex
	parts map[Part]struct{}
}

// New returns an empty map.
func New() *Map {
	return &Map{places: map[Place]*placeState{}, placeByIndex: map[PlaceIndex]Place{}}
}

// Apply applies changes and appends them to the log.
func (m *Map) Apply(changes []Change) {
	for _, change := range changes {
		if change.Gone {
			m.Forget(change.Place)
			continue
		}
		state := m.places[change.Place]
		if state == nil || change.Cleared {
			state = m.clear(change.Place, state)
		}
		for _, part := range change.Added {
			if _, ok := state.parts[part]; !ok {
				state.parts[part] = struct{}{}
				m.appendLog(logEntry{place: change.Place, index: state.index, part: part})
			}
		}
		for _, part := range change.Removed {
			if _, ok := state.parts[part]; ok {
				delete(state.parts, part)
				m.appendLog(logEntry{place: change.Place, index: state.index, part: part, removed: true})
			}
		}
	}
}

// clear removes all parts of a place. If the place is unknown, it assigns an index to it.
func (m *Map) clear(place Place, state *placeState) *placeState {
	if state == nil {
		m.lastIndex++
		state = &placeState{index: m.lastIndex}
		m.places[place] = state
	}
	state.parts = map[Part]struct{}{}
	m.appendLog(logEntry{place: place, index: state.index, cleared: true})
	return state
}

// Forget removes a place that is no longer followed.
func (m *Map) Forget(place Place) {
	state, ok := m.places[place]
	if !ok {
		return
	}
	delete(m.places, place)
	m.appendLog(logEntry{place: place, index: state.index, gone: true})
}

func (m *Map) appendLog(s logEntry) {
	m.number++
	m.log = append(m.log, s)
	if len(m.log) > 2*maxLogEntries {
		m.log = append(m.log[:0:0], m.log[len(m.log)-maxLogEntries:]...)
	}
}

// Merge applies an update from another map and returns its changes with Place set. After a full update, only the places
// in it are known. All updates must come from the same map until the next full one.
func (m *Map) Merge(update Update) []Change {
	if update.Full {
		clear(m.places)
		clear(m.placeByIndex)
	}
	changes := make([]Change, 0, len(update.Changes))
	for _, change := range update.Changes {
		if change.Place == "" {
			change.Place = m.placeByIndex[change.Index]
		} else if change.Index != 0 {
			m.placeByIndex[change.Index] = change.Place
		}
		if change.Gone {
			delete(m.placeByIndex, change.Index)
		}
		if change.Place != "" {
			changes = append(changes, change)
		}
	}
	m.Apply(changes)
	return changes
}

// ChangesSince returns the changes after the one with the given number, or a full update if these are no longer in the log.
func (m *Map) ChangesSince(number uint64) Update {
	first := m.number - uint64(len(m.log))
	if number < first || number > m.number {
		return m.fullUpdate()
	}
	update := Update{Number: m.number}
	changes := map[PlaceIndex]int{}
	for _, s := range m.log[number-first:] {
		at, ok := changes[s.index]
		if !ok {
			at = len(update.Changes)
			changes[s.index] = at
			update.Changes = append(update.Changes, Change{Index: s.index})
		}
		update.Changes[at].addEntry(s)
	}
	return update
}

// addEntry adds a log entry to the change. Only the last entry for a part counts, so earlier ones are undone.
func (c *Change) addEntry(s logEntry) {
	switch {
	case s.gone:
		*c = Change{Index: c.Index, Gone: true}
	case s.cleared:
		*c = Change{Place: s.place, Index: c.Index, Cleared: true}
	case s.removed:
		c.Added = removePart(c.Added, s.part)
		c.Removed = append(c.Removed, s.part)
	default:
		c.Removed = removePart(c.Removed, s.part)
		c.Added = append(c.Added, s.part)
	}
}

func removePart(parts []Part, part Part) []Part {
	for i, other := range parts {
		if other == part {
			return append(parts[:i], parts[i+1:]...)
		}
	}
	return parts
}

func (m *Map) fullUpdate() Update {
	update := Update{Number: m.number, Full: true}
	for place, state := range m.places {
		change := Change{Place: place, Index: state.index, Cleared: true}
		for part := range state.parts {
			change.Added = append(change.Added, part)
		}
		update.Changes = append(update.Changes, change)
	}
	return update
}

// Places returns the places whose events are followed, in no particular order.
func (m *Map) Places() []Place {
	places := make([]Place, 0, len(m.places))
	for place := range m.places {
		places = append(places, place)
	}
	return places
}

// Parts returns the parts that a place holds, in no particular order.
func (m *Map) Parts(place Place) []Part {
	state, ok := m.places[place]
	if !ok {
		return nil
	}
	parts := make([]Part, 0, len(state.parts))
	for part := range state.parts {
		parts = append(parts, part)
	}
	return parts
}

// Count returns the number of parts that a place holds.
func (m *Map) Count(place Place) int {
	if state, ok := m.places[place]; ok {
		return len(state.parts)
	}
	return 0
}

// Known reports whether the events of a place are followed.
func (m *Map) Known(place Place) bool {
	_, ok := m.places[place]
	return ok
}

// Holds reports whether a place holds a part.
func (m *Map) Holds(place Place, part Part) bool {
	state, ok := m.places[place]
	if !ok {
		return false
	}
	_, ok = state.parts[part]
	return ok
}
