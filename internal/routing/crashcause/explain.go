package crashcause

import (
	"cmp"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// suspect is a part and the crashes that count against it and that no other part explains.
type suspect struct {
	id        PartID
	position  uint8
	lifetimes []registry.Lifetime
	times     []unit.Moment
	newest    unit.Moment
	served    bool // a request with the part has been answered on the weights of these crashes
}

// update determines the causes again if the evidence has changed. It takes the most likely part, leaves out the crashes that this part
// explains, and goes on until no part is left that would explain enough of the other crashes.
func (r *Register) update() {
	if !r.outdated {
		return
	}
	r.outdated = false
	clear(r.causes)
	clear(r.explained)
	var times []unit.Moment
	for _, c := range r.crashes {
		times = append(times, c.at)
	}
	if countSeparate(times) < CrashesNeeded {
		return
	}
	for {
		best, ok := r.mostLikely()
		if !ok {
			return
		}
		for _, l := range best.lifetimes {
			r.explained[l] = true
		}
		r.causes[best.id] = Cause{Part: best.id, Crashes: len(best.lifetimes), Until: best.newest.Add(blockDuration + r.extraBlockTime)}
	}
}

// mostLikely returns the part that most likely caused crashes which aren't explained yet, or false if no part caused enough of them.
func (r *Register) mostLikely() (suspect, bool) {
	suspects := map[PartID]*suspect{}
	for l, c := range r.crashes {
		if r.explained[l] {
			continue
		}
		for id, p := range c.parts {
			if !r.holds(c, id) {
				continue
			}
			s := suspects[id]
			if s == nil {
				s = &suspect{id: id, position: p.Position}
				suspects[id] = s
			}
			s.lifetimes, s.times, s.newest = append(s.lifetimes, l), append(s.times, c.at), max(s.newest, c.at)
			if a := r.served[id]; a != nil && a.weights >= p.Weights {
				s.served = true
			}
		}
	}
	var best *suspect
	for _, s := range suspects {
		if countSeparate(s.times) >= CrashesNeeded && (best == nil || compareSuspects(s, best) < 0) {
			best = s
		}
	}
	if best == nil {
		return suspect{}, false
	}
	return *best, true
}

// compareSuspects orders parts by how likely they are the cause. A part that was never answered goes before one that was; a part that
// stands later in prompts goes before the parts that it always follows.
func compareSuspects(a, b *suspect) int {
	if a.served != b.served {
		if a.served {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(b.lifetimes), len(a.lifetimes)), cmp.Compare(b.position, a.position), cmp.Compare(a.id, b.id))
}

// unexplainedCrashes returns the times of the crashes that count against a part and that no cause explains.
func (r *Register) unexplainedCrashes(id PartID) []unit.Moment {
	var times []unit.Moment
	for l, c := range r.crashes {
		if !r.explained[l] && r.holds(c, id) {
			times = append(times, c.at)
		}
	}
	return times
}

// countSeparate counts moments; those within simultaneity of the first one of a group count once.
func countSeparate(times []unit.Moment) int {
	slices.Sort(times)
	count, begin := 0, unit.Moment(0)
	for _, at := range times {
		if count == 0 || at.Sub(begin) >= simultaneity {
			count, begin = count+1, at
		}
	}
	return count
}
