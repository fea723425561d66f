// Package streamgroup decides which engines of a service long streams are gathered on. An engine that reads a large prompt produces tokens much more
// slowly meanwhile, so that a stream that runs beside several prompts pauses for longer than its caller accepts. Large prompts therefore avoid the
// engines of the group. All hosts compute the group from the same reported loads, so that they agree on it without messages of its own.
package streamgroup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// fillShare is the share of its slots that long streams are expected to take on an engine of the group. The rest is for their bursts, and
	// for the prompts of streams that begin.
	fillShare = 0.12
	// maxShare is the largest share of a service's engines that form the group. The others keep the cached parts of large prompts.
	maxShare = 0.22
	// minEngines is the number of usable engines below which no group is formed: it would take too much of the caches.
	minEngines = 10
	// loadTime is the time constant with which the number of long streams is averaged.
	loadTime = 2 * time.Second
	// shrinkDelay is how long a smaller group must be enough before it gets smaller. An engine that leaves the group has to read shared parts again.
	shrinkDelay = 5 * time.Second
)

// Engine is one engine of the service as known from the reported loads.
type Engine struct {
	ID          unit.EndpointID
	Slots       int
	LongStreams int // of all hosts
	Usable      bool
}

// Group is the group of one service. It is deterministic and not safe for concurrent use.
type Group struct {
	streams   float64 // average number of long streams
	updatedAt unit.Moment
	size      int
	enoughAt  unit.Moment // since when a smaller group has been enough, 0 if it isn't
	members   map[unit.EndpointID]struct{}
}

// New returns an empty group.
func New() *Group {
	return &Group{members: map[unit.EndpointID]struct{}{}}
}

// Update computes the group from the loads that were reported last.
func (g *Group) Update(now unit.Moment, engines []Engine) {
	streams, slots, usable := 0, 0, make([]Engine, 0, len(engines))
	for _, e := range engines {
		streams += e.LongStreams
		if e.Usable {
			slots += e.Slots
			usable = append(usable, e)
		}
	}
	keep := math.Exp(-float64(now.Sub(g.updatedAt)) / float64(loadTime))
	if g.updatedAt == 0 {
		keep = 0
	}
	g.streams, g.updatedAt = g.streams*keep+float64(streams)*(1-keep), now
	clear(g.members)
	if len(usable) < minEngines || slots == 0 {
		g.size = 0
		return
	}
	perEngine := fillShare * float64(slots) / float64(len(usable))
	wanted := 0
	if g.streams >= 1 {
		wanted = min(int(math.Ceil(g.streams/perEngine)), int(maxShare*float64(len(usable))))
	}
	g.resize(now, wanted)
	slices.SortFunc(usable, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(rank(a.ID), rank(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, e := range usable[:min(g.size, len(usable))] {
		g.members[e.ID] = struct{}{}
	}
}

func (g *Group) resize(now unit.Moment, wanted int) {
	switch {
	case wanted >= g.size:
		g.size, g.enoughAt = wanted, 0
	case g.enoughAt == 0:
		g.enoughAt = now
	case now.Sub(g.enoughAt) >= shrinkDelay:
		g.size, g.enoughAt = wanted, 0
	}
}

// rank orders engines so that those that crash or come back move few others.
func rank(id unit.EndpointID) uint64 {
	return xxhash.Sum64String(string(id))
}

// Contains reports whether an engine belongs to the group.
func (g *Group) Contains(id unit.EndpointID) bool {
	_, ok := g.members[id]
	return ok
}

// Size returns the number of engines in the group.
func (g *Group) Size() int {
	return len(g.members)
}
