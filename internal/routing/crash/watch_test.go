package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// Guards against a content that is blamed for an endpoint's planned end, for a crash long after it, or for another lifetime's, and
// against one whose attempt ends after the crash was found out.
func TestOnlyAttemptsOfACrashedLifetimeAreBlamed(t *testing.T) {
	life, next := registry.Lifetime{Endpoint: "e", Born: 1}, registry.Lifetime{Endpoint: "e", Born: 2}
	a, b := unit.Digest{1}, unit.Digest{2}
	cases := []struct {
		name   string
		play   func(w *Watch)
		at     time.Duration
		blamed []unit.Digest
	}{
		{name: "none", play: func(*Watch) {}},
		{name: "both that broke off, once each", play: func(w *Watch) {
			w.Broke(0, life, a)
			w.Broke(0, life, b)
			w.Broke(1, life, a)
		}, at: time.Second, blamed: []unit.Digest{a, b}},
		{name: "long before", play: func(w *Watch) { w.Broke(0, life, a) }, at: window + 1},
		{name: "planned end", play: func(w *Watch) {
			w.Broke(0, life, a)
			w.Leaves(life)
		}, at: 1},
		{name: "answered since", play: func(w *Watch) {
			w.Broke(0, life, a)
			w.Broke(0, life, b)
			w.Served(a)
		}, at: 1, blamed: []unit.Digest{b}},
		{name: "another lifetime", play: func(w *Watch) { w.Broke(0, next, a) }, at: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := New()
			c.play(w)
			assert.DeepEqual(t, w.Crashed(unit.Moment(c.at), life), c.blamed)
			assert.Assert(t, w.Broke(unit.Moment(c.at), life, b), "its end comes after the crash is known")
			assert.Assert(t, !w.Broke(unit.Moment(c.at).Add(window+1), life, b), "the address may be in use again")
		})
	}
}

// Guards against unbounded memory when all answers break off.
func TestWhatBrokeOffIsBounded(t *testing.T) {
	w := New()
	for i := range 2 * maxLifetimes {
		w.Broke(0, registry.Lifetime{Endpoint: "e", Born: int64(i)}, unit.Digest{1})
	}
	assert.Equal(t, len(w.Lifetimes(0)), maxLifetimes)
	for i := range 2 * maxContents {
		w.Broke(0, registry.Lifetime{Endpoint: "e", Born: 0}, unit.Digest{2, byte(i), byte(i >> 8)})
	}
	assert.Equal(t, len(w.Crashed(0, registry.Lifetime{Endpoint: "e", Born: 0})), maxContents)
	assert.Equal(t, len(w.Lifetimes(unit.Moment(window+1))), 0)
}
