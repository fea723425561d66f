package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
)

// shared is a part of every prompt in these tests.
var shared = crashcause.Part{ID: 100}

func partOf(content unit.Digest) crashcause.Part {
	return crashcause.Part{ID: crashcause.PartID(content[0]), Position: 1}
}

func partsOf(content unit.Digest) []crashcause.Part {
	return []crashcause.Part{shared, partOf(content)}
}

// Guards against blaming a content for an endpoint's planned end, for a crash long after its attempt or for a crash of
// another lifetime, and against not blaming a content whose attempt ends after the crash was discovered.
func TestOnlyAttemptsOfACrashedLifetimeAreBlamed(t *testing.T) {
	life, next := registry.Lifetime{Endpoint: "e", Born: 1}, registry.Lifetime{Endpoint: "e", Born: 2}
	a, b := unit.Digest{1}, unit.Digest{2}
	cases := []struct {
		name   string
		run    func(w *Tracker)
		at     time.Duration
		blamed []unit.Digest
	}{
		{name: "none", run: func(*Tracker) {}},
		{name: "both that broke off, once each", run: func(w *Tracker) {
			w.RecordBrokenAnswer(0, life, a, partsOf(a))
			w.RecordBrokenAnswer(0, life, b, partsOf(b))
			w.RecordBrokenAnswer(1, life, a, partsOf(a))
		}, at: time.Second, blamed: []unit.Digest{a, b}},
		{name: "long before", run: func(w *Tracker) { w.RecordBrokenAnswer(0, life, a, partsOf(a)) }, at: attributionWindow + 1},
		{name: "planned end", run: func(w *Tracker) {
			w.RecordBrokenAnswer(0, life, a, partsOf(a))
			w.RecordPlannedStop(life)
		}, at: 1},
		{name: "answered since", run: func(w *Tracker) {
			w.RecordBrokenAnswer(0, life, a, partsOf(a))
			w.RecordBrokenAnswer(0, life, b, partsOf(b))
			w.RecordSuccess(a)
		}, at: 1, blamed: []unit.Digest{b}},
		{name: "another lifetime", run: func(w *Tracker) { w.RecordBrokenAnswer(0, next, a, partsOf(a)) }, at: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := New()
			c.run(w)
			contents, parts := w.RecordCrash(unit.Moment(c.at), life)
			assert.DeepEqual(t, contents, c.blamed)
			var want []crashcause.Part // each content has a part of its own, and all share one
			for i, content := range c.blamed {
				if i == 0 {
					want = append(want, shared)
				}
				want = append(want, partOf(content))
			}
			assert.DeepEqual(t, parts, want)
			assert.Assert(t, w.RecordBrokenAnswer(unit.Moment(c.at), life, b, partsOf(b)), "the attempt ends after the crash was discovered")
			assert.Assert(t, !w.RecordBrokenAnswer(unit.Moment(c.at).Add(attributionWindow+1), life, b, nil), "the address may be in use again")
		})
	}
}

// Guards against unbounded memory if all answers break off.
func TestWhatBrokeOffIsBounded(t *testing.T) {
	w := New()
	for i := range 2 * maxLifetimes {
		w.RecordBrokenAnswer(0, registry.Lifetime{Endpoint: "e", Born: int64(i)}, unit.Digest{1}, nil)
	}
	assert.Equal(t, len(w.Lifetimes(0)), maxLifetimes)
	for i := range 2 * maxAttempts {
		w.RecordBrokenAnswer(0, registry.Lifetime{Endpoint: "e", Born: 0}, unit.Digest{2, byte(i), byte(i >> 8)}, nil)
	}
	contents, _ := w.RecordCrash(0, registry.Lifetime{Endpoint: "e", Born: 0})
	assert.Equal(t, len(contents), maxAttempts)
	assert.Equal(t, len(w.Lifetimes(unit.Moment(attributionWindow+1))), 0)
}
