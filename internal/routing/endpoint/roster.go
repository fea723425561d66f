package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// DefaultFreshness is the time after which a silent endpoint gets no more requests: four announcement intervals.
	DefaultFreshness = 2 * time.Second
	// forgetAfter is the silence after which an endpoint without requests of this host is removed. Hosts are replaced
	// every day under new names, so the roster would otherwise grow without bound.
	forgetAfter = 5 * time.Minute
	// expireInterval is the interval between searches for endpoints to remove.
	expireInterval = 30 * time.Second
)

// Roster holds the newest announcement of every endpoint and counts this host's own requests there.
type Roster struct {
	freshness    time.Duration
	entries      map[unit.EndpointID]*Entry
	groups       map[groupKey]*group
	revision     uint64
	latestMoment unit.Moment // newest moment seen; the ages of exported announcements are relative to it
	nextExpiry   unit.Moment
}

// New returns an empty roster. Endpoints are usable while their announcement is younger than freshness.
func New(freshness time.Duration) *Roster {
	return &Roster{
		freshness: freshness,
		entries:   map[unit.EndpointID]*Entry{},
		groups:    map[groupKey]*group{},
	}
}

// Apply applies an announcement from the endpoint itself or from another entry host. It ignores an announcement with an
// older incarnation, or with the same incarnation and a sequence number that isn't newer; otherwise an echo from a peer
// would keep a dead endpoint alive. An ordered drain is taken over from any announcement of the current incarnation.
// Apply reports whether the entry changed.
func (r *Roster) Apply(now unit.Moment, a Announcement) (changed bool) {
	r.advance(now)
	age := max(a.Age, 0)
	heardAt := now.Add(-age)
	a.Age = 0
	e, ok := r.entries[a.Endpoint]
	if !ok {
		if age >= r.freshness {
			return false
		}
		e = &Entry{Announcement: a, AnnouncedAt: heardAt}
		r.entries[a.Endpoint] = e
		r.addToGroup(e)
		r.bumpRevision(e)
		return true
	}
	ordered := e.DrainOrdered
	if e.Incarnation == a.Incarnation && a.DrainOrdered && !ordered {
		r.orderDrain(e)
		changed, ordered = true, true
	}
	if !a.newer(&e.Announcement) {
		return changed
	}
	a.DrainOrdered = a.DrainOrdered || ordered && a.Incarnation == e.Incarnation
	r.replace(e, a, heardAt)
	return true
}

// Usable returns the entries that are fresh and not draining, sorted by id. The name is the model, the service, or ""
// for stores. The slice must not be modified. The same slice is returned until an endpoint joins, leaves, becomes fresh
// again, restarts, starts or stops loading weights, changes its weights, or is drained.
func (r *Roster) Usable(now unit.Moment, kind Kind, name string) []*Entry {
	r.advance(now)
	g, ok := r.groups[groupKey{kind, name}]
	if !ok {
		return nil
	}
	g.refresh(now, r.freshness)
	return g.usable
}

// All returns every entry, including silent and draining ones, sorted by id.
func (r *Roster) All() []*Entry {
	all := make([]*Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, byID)
	return all
}

// Get returns the entry of an endpoint.
func (r *Roster) Get(id unit.EndpointID) (*Entry, bool) {
	e, ok := r.entries[id]
	return e, ok
}

// Drain stops new requests to the endpoint's current incarnation, by order of an operator. Peers learn of the order
// from the exported announcements.
func (r *Roster) Drain(id unit.EndpointID) {
	if e, ok := r.entries[id]; ok && !e.DrainOrdered {
		r.orderDrain(e)
	}
}

// Began counts a request of this host that is being sent to the endpoint. The tokens are those of its prompt.
func (r *Roster) Began(id unit.EndpointID, tokens unit.Tokens) {
	if e, ok := r.entries[id]; ok {
		e.InFlight++
		e.BegunSinceReport++
		e.InFlightTokens += tokens
	}
}

// Ended counts a request of this host that has ended in any way, with the tokens that were passed to Began.
func (r *Roster) Ended(id unit.EndpointID, tokens unit.Tokens) {
	if e, ok := r.entries[id]; ok && e.InFlight > 0 {
		e.InFlight--
		e.EndedSinceReport++
		e.InFlightTokens = max(e.InFlightTokens-tokens, 0)
	}
}

// ChangedSince returns the fresh announcements that changed after the given revision, oldest change first, and the current
// revision. A caller that sends only the first ones may call ChangedSince again with the Revision of the last one sent.
func (r *Roster) ChangedSince(revision uint64) ([]Announcement, uint64) {
	var changed []*Entry
	for _, e := range r.entries {
		if e.revision > revision && r.latestMoment.Sub(e.AnnouncedAt) < r.freshness {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *Entry) int { return cmp.Compare(a.revision, b.revision) })
	return r.export(changed), r.revision
}

// Revision returns the revision of an endpoint's last change, 0 if the endpoint isn't known.
func (r *Roster) Revision(id unit.EndpointID) uint64 {
	if e, ok := r.entries[id]; ok {
		return e.revision
	}
	return 0
}

// Snapshot returns the fresh announcements, sorted by id.
func (r *Roster) Snapshot() []Announcement {
	all := r.All()
	all = slices.DeleteFunc(all, func(e *Entry) bool { return r.latestMoment.Sub(e.AnnouncedAt) >= r.freshness })
	return r.export(all)
}

func (r *Roster) export(entries []*Entry) []Announcement {
	announcements := make([]Announcement, 0, len(entries))
	for _, e := range entries {
		a := e.Announcement
		a.Age = max(r.latestMoment.Sub(e.AnnouncedAt), 0)
		announcements = append(announcements, a)
	}
	return announcements
}

// replace applies a newer announcement of a known endpoint.
func (r *Roster) replace(e *Entry, a Announcement, heardAt unit.Moment) {
	old := e.Announcement
	e.Announcement = a
	wasFresh := r.latestMoment.Sub(e.AnnouncedAt) < r.freshness
	e.AnnouncedAt = max(e.AnnouncedAt, heardAt)
	e.BegunSinceReport, e.EndedSinceReport = 0, 0
	e.Restarted = e.Restarted || old.Incarnation != a.Incarnation
	if old.Kind != a.Kind || old.Name() != a.Name() {
		e.group.remove(e)
		r.addToGroup(e)
	}
	if !wasFresh || old.Incarnation != a.Incarnation || old.Weights != a.Weights || old.Loading != a.Loading ||
		old.Draining != a.Draining || old.DrainOrdered != a.DrainOrdered {
		e.group.dirty = true
	}
	r.bumpRevision(e)
}

func (r *Roster) orderDrain(e *Entry) {
	e.DrainOrdered = true
	e.group.dirty = true
	r.bumpRevision(e)
}

func (r *Roster) addToGroup(e *Entry) {
	key := groupKey{e.Kind, e.Name()}
	g, ok := r.groups[key]
	if !ok {
		g = &group{}
		r.groups[key] = g
	}
	g.insert(e)
	e.group = g
}

func (r *Roster) bumpRevision(e *Entry) {
	r.revision++
	e.revision = r.revision
}

// advance updates the newest moment seen, and removes endpoints that have been silent for longer than forgetAfter.
func (r *Roster) advance(now unit.Moment) {
	r.latestMoment = max(r.latestMoment, now)
	if now < r.nextExpiry {
		return
	}
	r.nextExpiry = now.Add(expireInterval)
	for id, e := range r.entries {
		if now.Sub(e.AnnouncedAt) >= forgetAfter && e.InFlight == 0 {
			e.group.remove(e)
			delete(r.entries, id)
		}
	}
	for key, g := range r.groups {
		if len(g.members) == 0 {
			delete(r.groups, key)
		}
	}
}
