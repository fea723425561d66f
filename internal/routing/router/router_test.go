package router_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/placement"
	"github.com/citronglade/citronglade/internal/routing/prefix"
	"github.com/citronglade/citronglade/internal/routing/router"
)

const engines = 6

// world is a router with engines that announce themselves, at a time that the test sets.
type world struct {
	*router.Router
	now      unit.Moment
	sequence uint64
}

func newWorld(t *testing.T, variant string) *world {
	t.Helper()
	w := &world{}
	var err error
	w.Router, err = router.New(router.Options{
		Now: func() unit.Moment { return w.now }, Variant: variant, IndexPieces: 10_000, Freshness: 2 * time.Second, Seed: 1,
	})
	assert.NilError(t, err)
	w.announce()
	return w
}

func (w *world) announce() {
	w.sequence++
	for i := range engines {
		w.Hear(endpoint.Announcement{
			Endpoint: engineID(i), Kind: endpoint.KindEngine, Model: "m", Weights: "w1", Incarnation: 1, Slots: 8, CachePieces: 64,
			Sequence: w.sequence, Load: endpoint.Load{FreeSlots: 8},
		})
	}
}

func engineID(i int) unit.EndpointID {
	return unit.EndpointID(fmt.Sprintf("e%d", i))
}

func chainOf(profile int) prefix.Chain {
	text := func(name string) string { return strings.Repeat(name, 4000) }
	return prefix.New(prefix.Prompt{
		Customer: "c", Model: "m", Weights: "w1",
		Messages: []string{text("preamble"), text(fmt.Sprintf("profile%d", profile)), "question"},
	}, 2000, 4)
}

func (w *world) place(t *testing.T, profile int) placement.Decision {
	t.Helper()
	d, err := w.Place(placement.Request{Kind: endpoint.KindEngine, Name: "m", Chain: chainOf(profile)})
	assert.NilError(t, err)
	w.Ended(d)
	return d
}

// Guards against the ejection of an engine that is sent the long uncached prompts: it takes longer than the others and
// isn't slower.
func TestLongPromptsDontEjectTheirEngine(t *testing.T) {
	w := newWorld(t, "round-robin")
	for range 40 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.announce()
		for i := range engines {
			computed := unit.Tokens(1000)
			if i == 0 {
				computed = 10_000
			}
			w.Learn(placement.Result{
				Endpoint: engineID(i), Incarnation: 1, PromptTokens: 10_000, CachedTokens: 10_000 - computed,
				FirstToken: time.Duration(computed+500) * 125 * time.Microsecond,
			})
		}
	}
	chosen := map[unit.EndpointID]bool{}
	for profile := range 2 * engines {
		chosen[w.place(t, profile).Endpoint.Endpoint] = true
	}
	assert.Assert(t, chosen[engineID(0)], "%v", chosen)
}

// Guards against a cold start after all entry hosts restart together: a router that takes over a copy must find a prefix
// that lies away from its home.
func TestCopyCarriesTheIndex(t *testing.T) {
	w := newWorld(t, "warm")
	home := w.place(t, 1).Endpoint.Endpoint
	away := engineID(0)
	if home == away {
		away = engineID(1)
	}
	chain := chainOf(1)
	w.Learn(placement.Result{
		Endpoint: away, Incarnation: 1, Chain: chain, PromptTokens: chain.Tokens, CachedTokens: chain.Tokens, FirstToken: time.Millisecond,
	})
	restarted := newWorld(t, "warm")
	assert.NilError(t, restarted.Restore(w.Copy()))
	pieces := 0
	for _, c := range restarted.place(t, 1).Candidates {
		if c.Endpoint == away {
			pieces = c.CachedPieces
		}
	}
	assert.Equal(t, pieces, len(chain.Digests))
}

// Guards against a quarantine of contents that were merely running when two engines crashed, one after the other, and were answered in
// between.
func TestAnAnswerClearsAContent(t *testing.T) {
	w := newWorld(t, "warm")
	content := func() unit.Digest { return unit.Digest{1} }
	assert.Assert(t, !w.Crashed(content(), "e0", 1))
	w.now = w.now.Add(time.Second)
	w.Served(content)
	w.now = w.now.Add(time.Second)
	assert.Assert(t, !w.Crashed(content(), "e1", 1))
	assert.NilError(t, w.Check(content))
	assert.Assert(t, w.Crashed(content(), "e2", 1))
	assert.ErrorContains(t, w.Check(content), "quarantined")
}
