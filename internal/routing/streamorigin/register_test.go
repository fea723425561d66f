package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

var (
	old     = Origin{Service: "s", Software: "v1"}
	updated = Origin{Service: "s", Software: "v2"}
)

// Guards against a stream whose origin another host takes for a different one: a corrected record, another customer's request of the same
// id, and records that arrive in parts.
func TestPeersFindTheOriginsOfStreams(t *testing.T) {
	r, peer := New(), New()
	corrected, other := NewID("a", "r1"), NewID("b", "r1")
	r.Record(0, corrected, old)
	r.Record(0, corrected, updated)
	for i := range 3 * maxUpdateIDs {
		r.Record(0, NewID("a", unit.RequestID(fmt.Sprint("x", i))), old)
	}
	updates := 0
	for number := uint64(0); number < r.Number(); updates++ {
		update := r.Since(number)
		ids := 0
		for _, b := range update.Batches {
			ids += len(b.IDs) / idBytes
		}
		assert.Assert(t, ids <= maxUpdateIDs)
		peer.Merge(0, update.Batches)
		number = update.Number
	}
	assert.Assert(t, updates > 1)
	origin, ok := peer.Find(corrected)
	assert.Assert(t, ok)
	assert.Equal(t, origin, updated)
	_, ok = peer.Find(other)
	assert.Assert(t, !ok)
	for i := range 3 * maxUpdateIDs {
		origin, ok = peer.Find(NewID("a", unit.RequestID(fmt.Sprint("x", i))))
		assert.Assert(t, ok && origin == old, "%d", i)
	}
	assert.Equal(t, len(r.Since(r.Number()).Batches), 0)
	assert.Assert(t, len(r.Since(r.Number()+1).Batches) > 0, "a peer that knew another register gets everything")
}

// Guards against unbounded memory, and against forgetting a stream that its caller may still take up.
func TestStreamsAreRememberedForTheirRetention(t *testing.T) {
	r := New()
	first := NewID("a", "first")
	r.Record(0, first, old)
	r.Record(unit.Moment(Retention), NewID("a", "second"), old)
	_, ok := r.Find(first)
	assert.Assert(t, ok)
	r.Prune(unit.Moment(Retention + time.Second))
	_, ok = r.Find(first)
	assert.Assert(t, !ok)
	assert.Equal(t, len(r.Since(0).Batches[0].IDs), idBytes)
	for i := range maxRecords + 10 {
		r.Record(unit.Moment(Retention+time.Second), ID(i), old)
	}
	assert.Equal(t, len(r.records), maxRecords)
	assert.Equal(t, len(r.log), maxRecords)
}

// Guards against guessing the origin of a stream: from a single version that is only seen since the other one left, from records that
// contradict each other, or from nothing.
func TestAnOriginIsKnownOrNotGuessed(t *testing.T) {
	const asked = 3
	uniform, leader := Answer{Uniform: true, Software: "v1"}, Answer{Uniform: true, Software: "v1", Leads: true}
	cases := []struct {
		name    string
		answers []Answer
		want    Origin
		known   bool
	}{
		{name: "no control host answers"},
		{name: "control hosts that have just started", answers: []Answer{{}, {}}},
		{name: "one has a record", answers: []Answer{{Mixed: true}, {Found: true, Origin: updated, Mixed: true}, {}}, want: updated, known: true},
		{name: "a record goes before what follows from a single version", answers: []Answer{uniform, {Found: true, Origin: updated}}, want: updated, known: true},
		{name: "records that contradict each other", answers: []Answer{{Found: true, Origin: old}, {Found: true, Origin: updated}}},
		{name: "a single version for long", answers: []Answer{uniform, {}, uniform}, want: old, known: true},
		{name: "another control host has seen two versions", answers: []Answer{uniform, {Mixed: true}}},
		{name: "single versions that contradict each other", answers: []Answer{uniform, {Uniform: true, Software: "v2"}}},
		{name: "a single version for one that may be cut off from the others", answers: []Answer{uniform}},
		{name: "a single version for the leader alone", answers: []Answer{leader}, want: old, known: true},
		{name: "another control host than the leader has seen two versions", answers: []Answer{leader, {Mixed: true}}},
		{name: "a record of one that may be cut off", answers: []Answer{{Found: true, Origin: updated}}, want: updated, known: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			origin, known := Query{ID: 1, Service: "s"}.Combine(c.answers, asked)
			assert.Equal(t, known, c.known)
			assert.Equal(t, origin, c.want)
		})
	}
}
