package crashcause

import (
	"cmp"
	"maps"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// Cause is a part that is blocked because it explains crashes.
type Cause struct {
	Part    PartID
	Crashes int // crashes that it explains
	// AnsweredBefore is set if requests with the part were answered before these crashes.
	AnsweredBefore bool
	// OwnCrashes is the number of separate crashes that neither another blocked part explains nor a part that stands later in prompts and
	// in several crashes: requests with such a part are refused with this one, so that nothing more is learned of it. Doubtful is set if
	// the part wouldn't be blocked for these alone, so that it may be harmless.
	OwnCrashes int
	Doubtful   bool
	// HidesOthers is set if the other blocked parts alone wouldn't make it doubtful.
	HidesOthers bool
	// Last is set if in at least CrashesNeeded separate crashes no other part that was never answered stands later in prompts. Such a part is
	// the most likely cause, since those before it always come with it.
	Last bool
	// Rivals is the number of other parts of the checked prompt that may have caused at least two crashes, or one if HidesOthers is set,
	// whether or not these are explained.
	Rivals    int
	LastCrash unit.Moment
	Until     unit.Moment
}

// suspect is a part and the crashes that count against it, in order of time.
type suspect struct {
	id        PartID
	position  uint8
	lifetimes []registry.Lifetime
	separate  int         // number of separate crashes, see simultaneity
	begin     unit.Moment // of the last separate one
	newest    unit.Moment
}

func (s *suspect) add(l registry.Lifetime, at unit.Moment) {
	if s.separate == 0 || at.Sub(s.begin) >= simultaneity {
		s.separate, s.begin = s.separate+1, at
	}
	s.lifetimes, s.newest = append(s.lifetimes, l), at
}

// update determines the causes again if the evidence has changed: first among the parts that were never answered, then for the crashes that
// are left among those that were.
func (r *Register) update() {
	if !r.outdated {
		return
	}
	r.outdated = false
	clear(r.causes)
	clear(r.explained)
	lifetimes := slices.SortedFunc(maps.Keys(r.crashes), func(a, b registry.Lifetime) int {
		return cmp.Or(cmp.Compare(r.crashes[a].at, r.crashes[b].at), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Born, b.Born))
	})
	all := suspect{}
	for _, l := range lifetimes {
		all.add(l, r.crashes[l].at)
	}
	if all.separate < CrashesNeeded {
		return
	}
	suspects := r.findCauses(lifetimes, false, CrashesNeeded)
	latest := r.latestPositions(suspects, func(*suspect) bool { return true })
	latestFree := r.latestPositions(suspects, func(s *suspect) bool {
		_, blocked := r.causes[s.id]
		return !blocked && s.separate >= suspectCrashes
	})
	lifetimes = slices.DeleteFunc(lifetimes, func(l registry.Lifetime) bool { return r.explained[l] })
	r.findCauses(lifetimes, true, answeredCrashesNeeded)
	for id, cause := range r.causes {
		needed := CrashesNeeded
		if cause.AnsweredBefore {
			needed = answeredCrashesNeeded
		}
		notOfBlocked := countSeparate(r.crashesOnlyOf(id, nil))
		cause.OwnCrashes = countSeparate(r.crashesOnlyOf(id, latestFree))
		cause.Doubtful = cause.OwnCrashes < needed
		cause.HidesOthers = cause.Doubtful && notOfBlocked >= needed
		cause.Last = r.isLast(id, latest)
		r.causes[id] = cause
	}
}

// findCauses goes through crashes in order of time. A crash that no cause explains gets the most likely of its parts as another cause, if
// enough crashes count against it. The causes found before stay: two parts that crashed engines together can't be told from one of them
// alone. Only the parts that were answered before, or only those that weren't, are considered; of the former, those that stayed without an
// answer although others of the same crashes were answered since. While all engines are down, nothing is answered. It returns the parts that
// it considered.
func (r *Register) findCauses(lifetimes []registry.Lifetime, answered bool, needed int) map[PartID]*suspect {
	suspects := map[PartID]*suspect{}
	var found []*suspect
	if !answered {
		found = r.blockedSuspects(lifetimes)
	}
	for _, l := range lifetimes {
		c := r.crashes[l]
		answersFlow := !answered || r.mostCleared(c)
		var best *suspect
		for id, p := range c.parts {
			if !r.holds(c, id) || r.answeredBefore(p) != answered || !answersFlow {
				continue
			}
			s := suspects[id]
			if s == nil {
				s = &suspect{id: id, position: p.Position}
				suspects[id] = s
			}
			s.add(l, c.at)
			if s.separate >= needed && (best == nil || compareSuspects(s, best) < 0) {
				best = s
			}
		}
		if r.explained[l] = r.supportsBlock(c); r.explained[l] || best == nil {
			continue
		}
		r.causes[best.id] = Cause{Part: best.id}
		found = append(found, best)
		if !answered {
			r.addBlock(best.id, c.at)
		}
		for _, earlier := range best.lifetimes {
			r.explained[earlier] = true
		}
	}
	for _, s := range found {
		r.causes[s.id] = Cause{
			Part: s.id, Crashes: len(s.lifetimes), AnsweredBefore: answered, LastCrash: s.newest, Until: s.newest.Add(blockDuration + r.extraBlockTime),
		}
	}
	return suspects
}

// latestPositions returns for each crash the last position of the suspects that count.
func (r *Register) latestPositions(suspects map[PartID]*suspect, counts func(s *suspect) bool) map[registry.Lifetime]uint8 {
	latest := map[registry.Lifetime]uint8{}
	for id, s := range suspects {
		if !counts(s) {
			continue
		}
		for _, l := range s.lifetimes {
			latest[l] = max(latest[l], r.crashes[l].parts[id].Position)
		}
	}
	return latest
}

// isLast reports whether a part stands at the latest position in enough crashes.
func (r *Register) isLast(id PartID, latest map[registry.Lifetime]uint8) bool {
	var times []unit.Moment
	for l, c := range r.crashes {
		if r.holds(c, id) && c.parts[id].Position >= latest[l] {
			times = append(times, c.at)
		}
	}
	return countSeparate(times) >= CrashesNeeded
}

// blockedSuspects returns the parts that were blocked before and haven't been answered since, with the crashes that count against them, and
// makes them causes. Without enough of these crashes, as on a host that has just started, a part isn't blocked yet.
func (r *Register) blockedSuspects(lifetimes []registry.Lifetime) []*suspect {
	var blocked []*suspect
	for id, b := range r.blocks {
		if a := r.served[id]; a != nil && a.at >= b.at {
			delete(r.blocks, id)
			continue
		}
		s := &suspect{id: id}
		for _, l := range lifetimes {
			if c := r.crashes[l]; r.holds(c, id) {
				s.add(l, c.at)
			}
		}
		if s.separate >= CrashesNeeded {
			r.causes[id] = Cause{Part: id}
			blocked = append(blocked, s)
		}
	}
	return blocked
}

// mostCleared reports whether at least half of the parts of a crash that were answered before it have been answered since.
func (r *Register) mostCleared(c *crash) bool {
	before, since := 0, 0
	for id, p := range c.parts {
		if !r.answeredBefore(p) {
			continue
		}
		before++
		if !r.holds(c, id) {
			since++
		}
	}
	return 2*since >= before
}

// answeredBefore reports whether a request with the part has been answered on the weights of the crash or newer ones, at any time.
func (r *Register) answeredBefore(p Part) bool {
	a := r.served[p.ID]
	return a != nil && a.weights >= p.Weights
}

// compareSuspects orders parts by how likely they are the cause. A part that stands later in prompts goes before the parts that it always
// follows.
func compareSuspects(a, b *suspect) int {
	return cmp.Or(cmp.Compare(len(b.lifetimes), len(a.lifetimes)), cmp.Compare(b.position, a.position), cmp.Compare(a.id, b.id))
}

// crashTimes returns the times of the crashes that count against a part: all of them, or only those that no cause explains.
func (r *Register) crashTimes(id PartID, unexplained bool) []unit.Moment {
	var times []unit.Moment
	for l, c := range r.crashes {
		if r.holds(c, id) && (!unexplained || !r.explained[l]) {
			times = append(times, c.at)
		}
	}
	return times
}

// crashesOnlyOf returns the times of the crashes that count against a blocked part and that neither another blocked part explains nor a later
// part that isn't blocked. These stand at the latest positions, if they are given.
func (r *Register) crashesOnlyOf(id PartID, latest map[registry.Lifetime]uint8) []unit.Moment {
	var times []unit.Moment
	for l, c := range r.crashes {
		if r.holds(c, id) && latest[l] <= c.parts[id].Position && !r.heldByAnother(c, id) {
			times = append(times, c.at)
		}
	}
	return times
}

func (r *Register) heldByAnother(c *crash, id PartID) bool {
	for other := range r.causes {
		if other != id && r.holds(c, other) {
			return true
		}
	}
	return false
}

// countSeparate counts moments; those within simultaneity of the first one of a group count once.
func countSeparate(times []unit.Moment) int {
	slices.Sort(times)
	var all suspect
	for _, at := range times {
		all.add(registry.Lifetime{}, at)
	}
	return all.separate
}
