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

// testRouter is a router with announced engines and a clock that the test sets.
type testRouter struct {
	*router.Router
	now      unit.Moment
	sequence uint64
}

func newTestRouter(t *testing.T, variant string) *testRouter {
	t.Helper()
	r := &testRouter{}
	var err error
	r.Router, err = router.New(router.Options{
		Now: func() unit.Moment { return r.now }, Variant: variant, IndexPieces: 10_000, Freshness: 2 * time.Second, Seed: 1,
	})
	assert.NilError(t, err)
	r.announce()
	return r
}

func (r *testRouter) announce() {
	r.sequence++
	for i := range engines {
		r.ApplyAnnouncement(endpoint.Announcement{
			Endpoint: engineID(i), Kind: endpoint.KindEngine, Model: "m", Weights: "w1", Incarnation: 1, Slots: 8, CachePieces: 64,
			Sequence: r.sequence, Load: endpoint.Load{FreeSlots: 8},
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

func (r *testRouter) place(t *testing.T, profile int) placement.Decision {
	t.Helper()
	d, err := r.Place(placement.Request{Kind: endpoint.KindEngine, Name: "m", Chain: chainOf(profile)})
	assert.NilError(t, err)
	r.EndAttempt(d)
	return d
}

// Guards against ejecting an engine that is sent long uncached prompts: its times to first token are longer than those
// of the others although it isn't slower.
func TestLongPromptsDontEjectTheirEngine(t *testing.T) {
	r := newTestRouter(t, "round-robin")
	for range 40 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.announce()
		for i := range engines {
			computed := unit.Tokens(1000)
			if i == 0 {
				computed = 10_000
			}
			r.Learn(placement.Result{
				Endpoint: engineID(i), Incarnation: 1, PromptTokens: 10_000, CachedTokens: 10_000 - computed,
				FirstToken: time.Duration(computed+500) * 125 * time.Microsecond,
			})
		}
	}
	chosen := map[unit.EndpointID]bool{}
	for profile := range 2 * engines {
		chosen[r.place(t, profile).Endpoint.Endpoint] = true
	}
	assert.Assert(t, chosen[engineID(0)], "%v", chosen)
}

// Guards against a cold start after all entry hosts restart together: a router that restores a copy must know of a
// prefix that is cached away from its home.
func TestCopyCarriesTheIndex(t *testing.T) {
	r := newTestRouter(t, "warm")
	home := r.place(t, 1).Endpoint.Endpoint
	away := engineID(0)
	if home == away {
		away = engineID(1)
	}
	chain := chainOf(1)
	r.Learn(placement.Result{
		Endpoint: away, Incarnation: 1, Chain: chain, PromptTokens: chain.Tokens, CachedTokens: chain.Tokens, FirstToken: time.Millisecond,
	})
	restarted := newTestRouter(t, "warm")
	assert.NilError(t, restarted.Restore(r.Snapshot()))
	pieces := 0
	for _, c := range restarted.place(t, 1).Candidates {
		if c.Endpoint == away {
			pieces = c.CachedPieces
		}
	}
	assert.Equal(t, pieces, len(chain.Digests))
}

// Guards against quarantining a content that was merely running when two engines crashed one after the other, and that
// was answered in between.
func TestAnAnswerClearsAContent(t *testing.T) {
	r := newTestRouter(t, "warm")
	content := func() unit.Digest { return unit.Digest{1} }
	assert.Assert(t, !r.RecordCrash(content(), nil, "e0", 1))
	r.now = r.now.Add(time.Second)
	r.RecordSuccess(content, nil)
	r.now = r.now.Add(time.Second)
	assert.Assert(t, !r.RecordCrash(content(), nil, "e1", 1))
	assert.NilError(t, r.CheckQuarantine(content, nil))
	assert.Assert(t, r.RecordCrash(content(), nil, "e2", 1))
	assert.ErrorContains(t, r.CheckQuarantine(content, nil), "quarantined")
}
