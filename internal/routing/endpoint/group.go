package endpoint

import (
	"slices"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

type groupKey struct {
	kind Kind
	name string
}

// group holds the endpoints that serve one model or service. The usable ones are cached, so that a request neither
// sorts nor allocates.
type group struct {
	members    []*Entry // sorted by id
	usable     []*Entry // never modified once returned to a caller; replaced when the set changes
	validUntil unit.Moment
	dirty      bool // the set of usable entries may have changed for another reason than the passing of time
}

func (g *group) insert(e *Entry) {
	at, found := slices.BinarySearchFunc(g.members, e, byID)
	if !found {
		g.members = slices.Insert(g.members, at, e)
	}
	g.dirty = true
}

func (g *group) remove(e *Entry) {
	if at, found := slices.BinarySearchFunc(g.members, e, byID); found {
		g.members = slices.Delete(g.members, at, at+1)
	}
	g.dirty = true
}

// refresh recomputes the usable entries if the group is dirty or one of them may have expired.
func (g *group) refresh(now unit.Moment, freshness time.Duration) {
	if !g.dirty && now < g.validUntil {
		return
	}
	usable := make([]*Entry, 0, len(g.members))
	g.validUntil = unit.Never
	for _, e := range g.members {
		expires := e.AnnouncedAt.Add(freshness)
		if e.draining() || expires <= now {
			continue
		}
		g.validUntil = min(g.validUntil, expires)
		usable = append(usable, e)
	}
	// An unchanged set keeps its slice, because readers detect a change by the identity of the slice.
	if g.dirty || !slices.Equal(usable, g.usable) {
		g.usable = usable
	}
	g.dirty = false
}

func byID(a, b *Entry) int {
	return strings.Compare(string(a.Endpoint), string(b.Endpoint))
}
