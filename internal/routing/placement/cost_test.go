package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// Guards against counting waits for other requests' prefill as the cost of prefill, and against long waits of
// deferrable requests that make urgent requests leave their home.
func TestWaitsInSlotsAreLearnedApart(t *testing.T) {
	const perToken = 100 * time.Microsecond
	e := &endpoint.Entry{Announcement: endpoint.Announcement{Endpoint: "e", Kind: endpoint.KindEngine, Model: "m", Slots: 8}}
	c := newCostTable()
	for i := range 400 {
		r := Result{Endpoint: "e", PromptTokens: 1000, Occupancy: 4, FirstToken: 1000 * perToken}
		if i%4 > 0 {
			r.FirstToken += 200 * time.Millisecond
		}
		if i%2 > 0 {
			r.Urgency = 2
			r.FirstToken += 4 * time.Second
		}
		c.learn(e, r)
	}
	own, pool := c.getOrCreate(e)
	assert.Assert(t, math.Abs(own.prefillPerToken(pool)/float64(perToken)-1) < 0.3, "%g", own.prefillPerToken(pool))
	// Urgent requests wait 100 ms on average with 4 others present; the rest wait 4.2 s.
	urgent, rest := time.Duration(pool.slotWaitPerRequest(0)), time.Duration(pool.slotWaitPerRequest(2))
	assert.Assert(t, urgent > 10*time.Millisecond && urgent < 50*time.Millisecond, "%s", urgent)
	assert.Assert(t, rest > 500*time.Millisecond, "%s", rest)
	assert.Assert(t, pool.busyFraction() > 0.7)
}

// Guards against one lost cache event that halves the number of pieces an engine is assumed to hold, and against full
// trust after many lost events.
func TestTrustFollowsLostEvents(t *testing.T) {
	for _, test := range []struct{ lost, cachePieces, pieces int }{
		{1, 32, 8}, {2, 32, 8}, {4, 32, 7}, {8, 32, 7}, {16, 32, 6}, {1000, 32, 6}, {math.MaxInt, 32, 6}, {1, 0, 6},
	} {
		b := cache.Estimate{Pieces: 8, Confirmed: 4, Lost: test.lost}
		assert.Equal(t, estimateCachedPieces(b, test.cachePieces), test.pieces, "%d lost of %d", test.lost, test.cachePieces)
	}
}

// Guards against assuming that a home holds a prefix although it reports its cache and never reported the prefix, while
// another engine is known to hold it: the request would miss the cache at the home.
func TestHomeThatTellsItsCacheIsNotAssumedToHold(t *testing.T) {
	f := newFleet(6, 1)
	p, chain := f.placer("warm"), chainOf(1, 1)
	d, err := p.Place(0, request(chain))
	assert.NilError(t, err)
	home := d.Endpoint.Endpoint
	other := engineID(0)
	if home == other {
		other = engineID(1)
	}
	for _, id := range []unit.EndpointID{home, other} {
		f.Index.Apply(cache.Batch{Endpoint: id, Incarnation: 1, First: 500, Events: []cache.Event{
			{Kind: cache.EventStored, Digest: chainOf(9, 9).Digests[0]},
		}})
	}
	f.Index.Observe(other, 1, chain.Digests, len(chain.Digests))
	f.announce(second, 6, func(_ int, a *endpoint.Announcement) {
		a.Load = endpoint.Load{Running: 7, FreeSlots: 1}
		if a.Endpoint == other { // a short wait, much shorter than the prefill of the whole prompt
			a.Load = endpoint.Load{Running: 8}
		}
	})
	d, err = p.Place(second, request(chain))
	assert.NilError(t, err)
	assert.Equal(t, d.Endpoint.Endpoint, other, d.Reason)
}
