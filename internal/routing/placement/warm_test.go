package placement

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/prefix"
)

// Guards against a cold start after a restart (requirement P3): a router that knows only the roster must place at least
// 95% of the requests where a router that has served requests for 90 s places them. Two homes of a popular profile
// count as equal, since the choice between them is random. With a few large customers at high load, whose system
// prompts have more homes, a restarted router must learn the widths first, unless it restores a peer's snapshot.
func TestColdRouterAgreesWithWarmOne(t *testing.T) {
	equal := func(n int) func(*rand.Rand) int { return func(r *rand.Rand) int { return r.IntN(n) } }
	large := func(r *rand.Rand) int { return skewed(r, 8) }
	cases := []struct {
		name         string
		engines      int
		running      int // of 8 slots
		systemPrompt func(*rand.Rand) int
		snapshot     bool
		least        int // in 100
	}{
		{"equal customers", 18, 6, equal(12), false, 95},
		{"equal customers, large fleet", 600, 6, equal(2000), false, 95},
		{"large customers, low load", 18, 1, large, false, 95},
		{"large customers, snapshot", 18, 6, large, true, 95},
		{"large customers", 18, 6, large, false, 60},
	}
	for _, c := range cases {
		agreed := agreement(t, c.engines, c.running, c.systemPrompt, c.snapshot)
		t.Logf("%s: %d of 1000 placements agree", c.name, agreed)
		assert.Assert(t, agreed >= 10*c.least, "%s: %d of 1000", c.name, agreed)
	}
}

// agreement lets one router serve 9,000 requests at 100 per second, and counts for how many of the next 1,000 requests
// a second router agrees with it.
func agreement(t *testing.T, engines, running int, systemPrompt func(*rand.Rand) int, snapshot bool) (agreed int) {
	const learning, compared = 9000, 1000
	warmFleet, coldFleet := newFleetOf(engines, 1, 40*engines), newFleetOf(engines, 2, 40*engines)
	busy := func(_ int, a *endpoint.Announcement) {
		a.Load = endpoint.Load{Running: running, FreeSlots: 8 - running}
	}
	warm, cold := warmFleet.placer("warm"), coldFleet.placer("warm")
	random := rand.New(rand.NewPCG(7, 7))
	now := unit.Moment(0)
	for i := range learning + compared {
		now = now.Add(10 * time.Millisecond)
		if i%100 == 0 {
			warmFleet.announce(now, engines, busy)
			coldFleet.announce(now, engines, busy)
		}
		if i == learning && snapshot {
			assert.NilError(t, cold.Restore(warm.Snapshot()))
		}
		chain := chainOf(systemPrompt(random), skewed(random, 20))
		chosen := warmFleet.serve(now, warm, chain)
		if i < learning {
			continue
		}
		other := coldFleet.serve(now, cold, chain).Endpoint.Endpoint
		same := other == chosen.Endpoint.Endpoint
		if same || isHome(chosen, other) && isHome(chosen, chosen.Endpoint.Endpoint) {
			agreed++
		}
	}
	return agreed
}

// isHome reports whether the endpoint is listed as a home of the request in the decision.
func isHome(d Decision, id unit.EndpointID) bool {
	for _, c := range d.Candidates {
		if c.Endpoint == id {
			return c.Home
		}
	}
	return false
}

// Guards against relying on the cache of an engine that has restarted (requirement P1): its new incarnation under the
// same name must be assumed to be empty.
func TestBeliefAboutDeadEngineIsVoid(t *testing.T) {
	f := newFleet(6, 1)
	p, chain := f.placer("warm"), chainOf(1, 1)
	f.Roster.Usable(0, endpoint.KindEngine, "m")
	home := f.serve(0, p, chain)
	again := f.serve(0, p, chain)
	assert.Equal(t, again.Endpoint.Endpoint, home.Endpoint.Endpoint)
	assert.Assert(t, strings.Contains(again.Reason, "holding 7 of 7 pieces"), again.Reason)
	f.announce(1, 6, func(_ int, a *endpoint.Announcement) {
		if a.Endpoint == home.Endpoint.Endpoint {
			a.Incarnation = 2
		}
	})
	after, err := p.Place(1, request(chain))
	assert.NilError(t, err)
	for _, c := range after.Candidates {
		if c.Endpoint == home.Endpoint.Endpoint {
			assert.Equal(t, c.CachedPieces, 0, after.Reason)
		}
	}
	// If the address is reused before the roster learns of it, the incarnation in the answer invalidates what is known
	// about the cache.
	p.Learn(1, Result{Endpoint: home.Endpoint.Endpoint, Incarnation: 3, Failed: true})
	pieces, known := f.Index.Depth(home.Endpoint.Endpoint, 1, chain.Digests)
	assert.Equal(t, pieces, 0)
	assert.Assert(t, !known)
}

// Guards against a router that joins an event stream in the middle and assumes that pieces it has no events for were
// evicted: after each restart, requests would leave their homes. Half of the pieces reported before a gap are assumed
// to be cached.
func TestIncompleteHistoryIsNotEvidence(t *testing.T) {
	f := newFleet(6, 1)
	p, chain := f.placer("warm"), chainOf(1, 1)
	d, err := p.Place(0, request(chain))
	assert.NilError(t, err)
	home := d.Endpoint.Endpoint
	f.Index.Observe(home, 1, chain.Digests[:4], 4)
	other := engineID(0)
	if home == other {
		other = engineID(1)
	}
	f.Index.Observe(other, 1, chain.Digests, 7)
	event := []cache.Event{{Kind: cache.EventStored, Digest: chainOf(9, 9).Digests[0]}}
	f.Index.Apply(cache.Batch{Endpoint: other, Incarnation: 1, First: 500, Events: event})
	d, err = p.Place(0, request(chain))
	assert.NilError(t, err)
	assert.Equal(t, d.Endpoint.Endpoint, home, d.Reason)
	for _, c := range d.Candidates {
		switch c.Endpoint {
		case home:
			assert.Equal(t, c.CachedPieces, 7)
		case other:
			assert.Equal(t, c.CachedPieces, 3)
		}
	}
}

// Guards against moving the cached prefixes of all engines when one of many engines leaves: only that engine's share
// may move.
func TestHomesAreStableWhenOneReplicaGoes(t *testing.T) {
	const engines, prompts = 60, 2000
	before, after := newFleet(engines, 1), newFleet(engines-1, 1) // the last engine is gone
	first, second := before.placer("warm"), after.placer("warm")
	moved, owned := 0, 0
	for i := range prompts {
		chain := chainOf(i/10, i)
		a, err := first.Place(0, request(chain))
		assert.NilError(t, err)
		b, err := second.Place(0, request(chain))
		assert.NilError(t, err)
		if a.Endpoint.Endpoint == engineID(engines-1) {
			owned++
		} else if a.Endpoint.Endpoint != b.Endpoint.Endpoint {
			moved++
		}
	}
	t.Logf("%d of %d homes were lost, %d others moved", owned, prompts, moved)
	// If the lost engine was one of the two homes of a system prompt, some of its profiles may move to the engine that
	// replaces it.
	assert.Assert(t, moved <= 2*prompts/engines, "%d others moved", moved)
}

// Guards against a popular prefix that overloads its only home, against keeping many homes when the prefix is no longer
// popular, and against a width that follows every fluctuation.
func TestWidthFollowsLoadWithHysteresis(t *testing.T) {
	l := &levelState{narrowSince: unit.Never}
	now := unit.Moment(0)
	run := func(requests int, share float64) (changes int) {
		for range requests {
			now = now.Add(10 * time.Millisecond)
			l.decay(now)
			l.count += share
			width := l.width
			l.adjustWidth(now, 100*levelHalfLife.Seconds()/0.6931, 1, 20, minInnerWidth)
			if l.width != width {
				changes++
			}
		}
		return changes
	}
	run(3000, 0.02)
	assert.Equal(t, l.width, 1)
	run(3000, 0.4)
	hot := l.width
	assert.Assert(t, hot >= 8 && hot <= 12, "width %d for 40%% of 20 replicas", hot)
	assert.Equal(t, run(3000, 0.3)+run(3000, 0.4)+run(3000, 0.25), 0, "the width must not change between narrowThreshold and 1")
	run(500, 0.01)
	assert.Equal(t, l.width, hot, "a level must not narrow before narrowDelay")
	run(3000, 0.01)
	assert.Equal(t, l.width, 1)
}

// Guards against an idle replica that attracts the requests of every host because of the same old load report: with 7
// hosts that use one report for 2 s, no replica may get more than a quarter of the requests.
func TestStaleLoadDoesNotAttractEveryone(t *testing.T) {
	const hosts, engines, requests = 7, 18, 40
	received := map[unit.EndpointID]int{}
	for host := range hosts {
		f := newFleet(engines, uint64(host))
		f.announce(0, engines, func(i int, a *endpoint.Announcement) {
			if i != 5 {
				a.Load = endpoint.Load{Running: 8, Queued: 1}
			}
		})
		p := f.placer("warm")
		for i := range requests {
			r := request(prefix.Chain{Tokens: 500, PieceTokens: 2000})
			r.Urgency = i % 2
			d, err := p.Place(unit.Moment(i)*second/100, r)
			assert.NilError(t, err)
			f.Roster.Began(d.Endpoint.Endpoint, 500)
			received[d.Endpoint.Endpoint]++
		}
	}
	t.Logf("the idle replica gets %d of %d requests", received[engineID(5)], hosts*requests)
	assert.Assert(t, received[engineID(5)] <= hosts*requests/4)
}

// Guards against urgent requests that wait in a long queue at their home, and against deferrable requests that give up
// a cached prefix to avoid a short queue.
func TestUrgentRequestsLeaveTheHome(t *testing.T) {
	cases := []struct {
		name           string
		urgency, queue int
		leaves         bool
	}{
		{"urgent, idle home", 0, 0, false},
		{"urgent, long queue", 0, 8, true},
		{"deferrable, the same queue", 3, 8, false},
	}
	for _, c := range cases {
		f := newFleet(6, 1)
		p, chain := f.placer("warm"), chainOf(1, 1)
		home := f.serve(0, p, chain).Endpoint.Endpoint
		f.announce(second, 6, func(_ int, a *endpoint.Announcement) {
			a.Load = endpoint.Load{Running: 7, FreeSlots: 1}
			if a.Endpoint == home && c.queue > 0 {
				a.Load = endpoint.Load{Running: 8, Queued: c.queue}
			}
			a.Slots = 8
			if c.queue > 0 && a.Endpoint != home {
				a.Load.Running, a.Slots = 24, 25 // keeps the other engines below the load bound
			}
		})
		r := request(chain)
		r.Urgency = c.urgency
		d, err := p.Place(second, r)
		assert.NilError(t, err)
		assert.Equal(t, d.Endpoint.Endpoint != home, c.leaves, "%s: %s", c.name, d.Reason)
	}
}

// Guards against assuming that an engine on new weights holds pieces of the old weights (requirement P1), and against a
// chain computed for other weights than the chosen engine's.
func TestRolloutUsesTheChainOfEachVersion(t *testing.T) {
	f := newFleet(6, 1)
	p := f.placer("warm")
	f.announce(1, 6, func(i int, a *endpoint.Announcement) {
		if i < 3 {
			a.Weights = "w2"
		}
	})
	r := request(prefix.Chain{})
	r.ChainFor = func(w unit.WeightsVersion) prefix.Chain { return chainAt(w, 1, 1) }
	old := chainAt("w1", 1, 1)
	for i := range 6 {
		f.Index.Observe(engineID(i), 1, old.Digests, len(old.Digests))
	}
	for range 20 {
		d, err := p.Place(1, r)
		assert.NilError(t, err)
		assert.DeepEqual(t, d.Chain.Digests, chainAt(d.Endpoint.Weights, 1, 1).Digests)
		assert.Equal(t, d.Endpoint.Weights, unit.WeightsVersion("w1"), d.Reason)
	}
}

// Guards against a decision record that omits the chosen endpoint or grows with the fleet, against a retry on an
// endpoint that was already tried, and against ignoring a cache store.
func TestDecisionIsComplete(t *testing.T) {
	f := newFleet(40, 1)
	p, chain := f.placer("warm"), chainOf(1, 1)
	f.Roster.Apply(0, endpoint.Announcement{Endpoint: "prompt-keep", Kind: endpoint.KindStore, Address: "store:1", Sequence: 1})
	f.Index.Observe("prompt-keep", 0, chain.Digests, len(chain.Digests))
	r := request(chain)
	for range 38 {
		d, err := p.Place(0, r)
		assert.NilError(t, err)
		assert.Assert(t, len(d.Candidates) <= 8)
		found := false
		for _, c := range d.Candidates {
			found = found || c.Endpoint == d.Endpoint.Endpoint
			assert.Equal(t, c.Expected, c.QueueWait+c.Prefill+c.Transfer)
		}
		assert.Assert(t, found)
		assert.Assert(t, !r.excludes(&endpoint.Entry{Announcement: d.Endpoint}))
		r.Avoid = append(r.Avoid, d.Endpoint.Endpoint)
		if !d.Candidates[0].Home {
			assert.Equal(t, d.ImportFrom, "store:1", d.Reason)
		}
	}
	for i := range 40 {
		r.Avoid = append(r.Avoid, engineID(i))
	}
	_, err := p.Place(0, r)
	assert.Equal(t, fault.Name(err), "no-endpoint")
	_, err = p.Place(3*second, request(chain))
	assert.Equal(t, fault.Name(err), "no-endpoint", "endpoints without recent announcements")
}

// Guards against a restored snapshot that changes decisions, and against an invalid snapshot that changes the placer's
// state.
func TestSnapshotCarriesWidthsAndCosts(t *testing.T) {
	f := newFleet(10, 1)
	f.announce(0, 10, func(_ int, a *endpoint.Announcement) { a.Load = endpoint.Load{Running: 7, FreeSlots: 1} })
	p, chain := f.placer("warm"), chainOf(1, 1)
	for i := range 400 {
		f.serve(unit.Moment(i)*second/500, p, chain)
	}
	snapshot := p.Snapshot()
	peer := newFleet(10, 2).placer("warm")
	assert.NilError(t, peer.Restore(snapshot))
	assert.DeepEqual(t, peer.Snapshot(), snapshot)
	key := levelKey(chain.Digests[6])
	// The peer's clock is far ahead; the count must not decay by the difference.
	restored := peer.levels.countRequest(unit.Moment(time.Hour), key)
	assert.Assert(t, restored.width > 1 && restored.count > 100)
	before := peer.Snapshot()
	for _, bad := range [][]byte{nil, {0xff}, snapshot[:len(snapshot)/2], {0xa1, 0x67, 'v', 'e', 'r', 's', 'i', 'o', 'n', 2}} {
		assert.Equal(t, fault.Name(peer.Restore(bad)), "bad-peer")
	}
	assert.DeepEqual(t, peer.Snapshot(), before)
}

// Guards against decisions that can't be reproduced because they depend on map order or an unseeded generator.
func TestSameInputGivesSameDecisions(t *testing.T) {
	var first []Decision
	for run := range 2 {
		f := newFleetOf(18, 5, 300)
		p, random := f.placer("warm"), rand.New(rand.NewPCG(3, 3))
		for i := range 500 {
			now := unit.Moment(i) * second / 50
			if i%25 == 0 {
				f.announce(now, 18, func(_ int, a *endpoint.Announcement) { a.Load.Running = random.IntN(12) })
			}
			d := f.serve(now, p, chainOf(random.IntN(4), random.IntN(9)))
			f.Roster.Began(d.Endpoint.Endpoint, 10)
			if run == 0 {
				first = append(first, d)
			} else {
				assert.DeepEqual(t, d, first[i])
			}
		}
	}
}

// Guards against an engine that looks slow only because it gets long prompts.
func TestPaceIsComparable(t *testing.T) {
	long := Result{PromptTokens: 28_500, FirstToken: 750 * time.Millisecond, Queue: 25 * time.Millisecond}
	hit := Result{PromptTokens: 28_500, CachedTokens: 28_000, FirstToken: 30 * time.Millisecond}
	slow := Result{PromptTokens: 28_500, CachedTokens: 28_000, FirstToken: 300 * time.Millisecond}
	assert.Equal(t, long.Pace(), 50*time.Millisecond)
	assert.Assert(t, hit.Pace() < 2*long.Pace())
	assert.Assert(t, slow.Pace() > 3*long.Pace())
}
