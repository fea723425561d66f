package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const second = unit.Moment(time.Second)

func engine(id string, incarnation unit.Incarnation, sequence uint64) Announcement {
	return Announcement{
		Endpoint: unit.EndpointID(id), Kind: KindEngine, Model: "taalmodel", Slots: 4,
		Incarnation: incarnation, Sequence: sequence,
	}
}

func usableIDs(r *Roster, now unit.Moment) (ids []unit.EndpointID) {
	for _, e := range r.Usable(now, KindEngine, "taalmodel") {
		ids = append(ids, e.Endpoint)
	}
	return ids
}

// Guards against requests to an endpoint that died or whose drain notice was lost: a silent endpoint becomes unusable
// (P7). An echo from gossip, or an announcement that is already old when it arrives, must not prolong its use.
func TestSilenceMakesUnusable(t *testing.T) {
	r := New(2 * time.Second)
	assert.Assert(t, r.Apply(0, engine("b", 1, 1)))
	assert.Assert(t, r.Apply(0, engine("a", 1, 1)))
	assert.DeepEqual(t, usableIDs(r, 2*second-1), []unit.EndpointID{"a", "b"})
	assert.Assert(t, !r.Apply(second, engine("a", 1, 1)), "echo")
	late := engine("b", 1, 2)
	late.Age = 1500 * time.Millisecond
	assert.Assert(t, r.Apply(2*second-1, late))
	assert.DeepEqual(t, usableIDs(r, 2*second), []unit.EndpointID{"b"})
	assert.Equal(t, len(usableIDs(r, 5*second/2)), 0)
	assert.Equal(t, len(r.Snapshot()), 0, "a dead endpoint isn't passed on")
	assert.Assert(t, r.Apply(3*second, engine("a", 1, 2)))
	assert.DeepEqual(t, usableIDs(r, 3*second), []unit.EndpointID{"a"})
	dead := engine("c", 1, 1)
	dead.Age = 2 * time.Second
	assert.Assert(t, !r.Apply(3*second, dead))
}

// Guards against an announcement of an earlier incarnation that overwrites the current one.
func TestOlderAnnouncementsAreIgnored(t *testing.T) {
	r := New(2 * time.Second)
	r.Apply(0, engine("a", 5, 9))
	assert.Assert(t, !r.Apply(0, engine("a", 4, 10)))
	assert.Assert(t, !r.Apply(0, engine("a", 5, 8)))
	assert.Assert(t, r.Apply(0, engine("a", 6, 1)))
	e, _ := r.Get("a")
	assert.Equal(t, e.Incarnation, unit.Incarnation(6))
}

// Guards against new requests to a draining endpoint, and against an operator's drain order that is undone by the next
// announcement or doesn't reach the peers.
func TestDrainStopsNewWork(t *testing.T) {
	r, peer := New(2*time.Second), New(2*time.Second)
	r.Apply(0, engine("a", 1, 1))
	peer.Apply(0, engine("a", 1, 1))
	assert.Equal(t, len(usableIDs(r, 0)), 1)
	r.Drain("a")
	assert.Equal(t, len(usableIDs(r, 0)), 0)
	announcements, _ := r.ChangedSince(0)
	assert.Assert(t, peer.Apply(0, announcements[0]))
	for _, each := range []*Roster{r, peer} {
		each.Apply(1, engine("a", 1, 2))
		assert.Equal(t, len(usableIDs(each, 1)), 0)
		each.Apply(2, engine("a", 2, 1))
		assert.Equal(t, len(usableIDs(each, 2)), 1, "the order was for the earlier incarnation")
		own := engine("a", 2, 2)
		own.Draining = true
		each.Apply(3, own)
		assert.Equal(t, len(usableIDs(each, 3)), 0)
	}
}

// Guards against a load report that hides the requests this host has sent since.
func TestLoadIsCorrectedByOwnRequests(t *testing.T) {
	r := New(2 * time.Second)
	report := engine("a", 1, 1)
	report.Load = Load{Running: 3, FreeSlots: 1}
	r.Apply(0, report)
	e, _ := r.Get("a")
	assert.Equal(t, e.QueueLength(), 0)
	for range 3 {
		r.Began("a", 100)
	}
	assert.Equal(t, e.Occupancy(), 6)
	assert.Equal(t, e.QueueLength(), 3)
	r.Ended("a", 100)
	assert.Equal(t, e.Occupancy(), 5)
	report.Sequence, report.Load = 2, Load{FreeSlots: 4}
	r.Apply(1, report)
	assert.Equal(t, e.Occupancy(), 2, "the report may be older than the own requests in flight")
	r.Ended("a", 100)
	r.Ended("a", 100)
	r.Ended("a", 100)
	assert.Equal(t, e.InFlight, 0)
	assert.Equal(t, e.Occupancy(), 0)
}

// Guards against sorting or allocating for each request, and against readers that miss a change because the slice
// stayed the same.
func TestUsableIsKeptReady(t *testing.T) {
	r := New(2 * time.Second)
	for i := range 600 {
		r.Apply(0, engine(fmt.Sprint(i), 1, 1))
	}
	first := r.Usable(0, KindEngine, "taalmodel")
	sequence := uint64(1)
	allocations := testing.AllocsPerRun(100, func() {
		sequence++
		r.Apply(1, engine("7", 1, sequence))
		r.Usable(1, KindEngine, "taalmodel")
	})
	assert.Equal(t, allocations, 0.0)
	assert.Assert(t, &r.Usable(1, KindEngine, "taalmodel")[0] == &first[0])
	upgraded := engine("7", 1, sequence+1)
	upgraded.Weights = "w2"
	r.Apply(2, upgraded)
	assert.Assert(t, &r.Usable(2, KindEngine, "taalmodel")[0] != &first[0])
}

// Guards against gossip that sends everything each time or skips a change, and against a roster that never removes
// entries.
func TestSinceExportsChanges(t *testing.T) {
	r := New(2 * time.Second)
	r.Apply(0, engine("a", 1, 1))
	r.Apply(0, engine("b", 1, 1))
	all, revision := r.ChangedSince(0)
	assert.Equal(t, len(all), 2)
	r.Apply(second, engine("a", 1, 2))
	r.Usable(second+5, KindEngine, "taalmodel")
	changed, next := r.ChangedSince(revision)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, changed[0].Endpoint, unit.EndpointID("a"))
	assert.Equal(t, changed[0].Age, time.Duration(5))
	assert.Equal(t, r.Revision("a"), next)
	changed, _ = r.ChangedSince(next)
	assert.Equal(t, len(changed), 0)
	r.Usable(unit.Moment(time.Hour), KindEngine, "taalmodel")
	assert.Equal(t, len(r.All()), 0)
}
