package streamgroup

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

func engines(count, longStreams int) []Engine {
	var all []Engine
	for i := range count {
		all = append(all, Engine{ID: unit.EndpointID(fmt.Sprintf("e%03d", i)), Slots: 64, LongStreams: longStreams, Usable: true})
	}
	return all
}

// Guards against a group that takes engines for streams that aren't there, that takes so many that the caches of large prompts suffer, or that
// is formed among so few engines that one of them is a large part.
func TestTheSizeOfAGroupFollowsItsStreams(t *testing.T) {
	cases := []struct {
		name                 string
		engines, longStreams int // long streams on each engine
		want                 int
	}{
		{name: "no streams", engines: 60, longStreams: 0, want: 0},
		{name: "some streams", engines: 60, longStreams: 1, want: 8},
		{name: "more streams than the largest group takes", engines: 60, longStreams: 20, want: 13},
		{name: "few engines", engines: 9, longStreams: 5, want: 0},
		{name: "hundreds of engines", engines: 600, longStreams: 1, want: 79},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := New()
			g.Update(unit.Moment(time.Second), engines(c.engines, c.longStreams))
			assert.Equal(t, g.Size(), c.want)
		})
	}
}

// Guards against a group that moves to other engines when one of them crashes, or when the number of streams swings: each engine that
// leaves the group has to read the shared parts of prompts again.
func TestAGroupKeepsItsEngines(t *testing.T) {
	now := unit.Moment(time.Second)
	all := engines(60, 2)
	g := New()
	g.Update(now, all)
	members := func() (ids []unit.EndpointID) {
		for _, e := range all {
			if g.Contains(e.ID) {
				ids = append(ids, e.ID)
			}
		}
		return ids
	}
	before := members()
	all[5].Usable = false
	for i := range all {
		if all[i].ID == before[0] {
			all[i].Usable = false
		}
	}
	now = now.Add(100 * time.Millisecond)
	g.Update(now, all)
	kept := 0
	for _, id := range before {
		if g.Contains(id) {
			kept++
		}
	}
	assert.Assert(t, kept >= len(before)-2, "%d of %d engines stay in the group", kept, len(before))

	calm := engines(60, 0)
	for at := time.Duration(0); at < shrinkDelay-time.Second; at += 100 * time.Millisecond {
		g.Update(now.Add(at), calm)
	}
	assert.Assert(t, g.Size() >= len(before)-1, "the group shrinks at once")
	for at := shrinkDelay; at < 8*shrinkDelay; at += 100 * time.Millisecond {
		g.Update(now.Add(at), calm)
	}
	assert.Equal(t, g.Size(), 0, "the group stays although there are no streams")
}
