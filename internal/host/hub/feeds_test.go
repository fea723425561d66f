package hub

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
	"github.com/citronglade/citronglade/internal/routing/sharing"
)

func newTestHub(t *testing.T) *Hub {
	t.Helper()
	return New(Dependencies{
		Name: "10.0.0.1", DataFolder: t.TempDir(), Seeds: func() []unit.HostName { return []unit.HostName{"10.0.0.1"} },
		Timer: timer.NewManual(), Log: eventlog.Discard(),
	})
}

// Guards against a control host that drops the cached parts of a place, or keeps only later changes, when one of two hosts that
// follow the place stops doing so. All hosts follow all places for a moment after they have restarted together.
func TestAPlaceThatTwoHostsFollowedStaysKnown(t *testing.T) {
	cases := []struct {
		name  string
		other unit.HostName // follows the place for a while in addition to its regular follower
	}{
		{name: "the other host has the higher weight", other: "10.0.0.2"},
		{name: "the other host has the lower weight", other: "10.0.0.3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHub(t)
			followerHoldings, other := cachedparts.New(), cachedparts.New()
			follower := unit.HostName("10.0.0.9")
			send := func(from unit.HostName, source *cachedparts.Map, since *uint64) {
				update := source.ChangesSince(*since)
				*since = update.Number
				h.mu.Lock()
				defer h.mu.Unlock()
				h.mergeHoldings(from, update)
			}
			var followerRead, otherRead uint64
			followerHoldings.Apply([]cachedparts.Change{{Place: "p", Cleared: true, Added: []cachedparts.Part{1, 2}}})
			send(follower, followerHoldings, &followerRead)
			other.Apply([]cachedparts.Change{{Place: "p", Cleared: true, Added: []cachedparts.Part{1}}})
			send(c.other, other, &otherRead)
			other.Forget("p")
			send(c.other, other, &otherRead)
			followerHoldings.Apply([]cachedparts.Change{{Place: "p", Added: []cachedparts.Part{3}}})
			send(follower, followerHoldings, &followerRead)
			for part := cachedparts.Part(1); part <= 3; part++ {
				assert.Assert(t, h.holdings.Holds("p", part), "part %d", part)
			}
			followerHoldings.Forget("p")
			send(follower, followerHoldings, &followerRead)
			assert.Assert(t, !h.holdings.Known("p"))
		})
	}
}

// Guards against this host dropping its own holdings of a place when another host stops following the same place.
func TestOwnHoldingsOutliveAnotherHosts(t *testing.T) {
	h := newTestHub(t)
	other := cachedparts.New()
	other.Apply([]cachedparts.Change{{Place: "p", Cleared: true, Added: []cachedparts.Part{1}}})
	h.mergeHoldings("10.0.0.2", other.ChangesSince(0))
	h.shared.AddShared(0, []sharing.PartID{sharing.NewPartID("x"), sharing.NewPartID("y")})
	h.applyEvents("p", true, []CacheEvent{{CacheKey: "k", Part: "x"}})
	read := other.ChangesSince(0).Number
	other.Forget("p")
	h.mergeHoldings("10.0.0.2", other.ChangesSince(read))
	h.applyEvents("p", false, []CacheEvent{{CacheKey: "k", Part: "y"}})
	assert.Assert(t, h.holdings.Holds("p", cachedparts.NewPart("k", "x")))
	assert.Assert(t, h.holdings.Holds("p", cachedparts.NewPart("k", "y")))
}

// Guards against a control host that learns seconds late that an endpoint is draining, because a message was lost.
func TestWhatWasLostIsSentAgain(t *testing.T) {
	sender, reader := newTestHub(t), newTestHub(t)
	reader.Name = "10.0.0.2"
	seeds := func() []unit.HostName { return []unit.HostName{"10.0.0.1", "10.0.0.2"} }
	sender.Seeds, reader.Seeds = seeds, seeds
	sender.Incarnation, reader.Incarnation = 1, 2
	lost := true
	sender.Send = func(_ unit.HostName, _ string, payload []byte) {
		if !lost {
			assert.NilError(t, reader.receiveState("10.0.0.1", payload))
		}
	}
	reader.Send = func(_ unit.HostName, _ string, payload []byte) {
		assert.NilError(t, sender.receiveState("10.0.0.2", payload))
	}
	exchange := func() {
		sender.sendState(t.Context())
		reader.sendState(t.Context())
	}
	lost = false
	sender.registry.ApplyReport(0, registry.Report{ID: "e", Service: "s", Address: "10.1.0.1:80", Born: 1, Sequence: 1})
	exchange()
	sender.registry.ApplyReport(0, registry.Report{ID: "e", Service: "s", Address: "10.1.0.1:80", Born: 1, Sequence: 2, Draining: true})
	lost = true
	exchange()
	lost = false
	exchange()
	known, ok := reader.registry.Endpoint("e")
	assert.Assert(t, ok)
	assert.Assert(t, known.Draining)
}

// Guards against control hosts that spend all their time on polling engines for events: with 3,001 engines, each control host polled
// 600 of them every 60 ms. The bound is a fifth of a core at half a millisecond for each request.
func TestEventPollRateIsBounded(t *testing.T) {
	cases := []struct {
		places int
		pause  time.Duration
	}{{1, minPollPause}, {24, minPollPause}, {60, 150 * time.Millisecond}, {600, 1500 * time.Millisecond}}
	for _, c := range cases {
		assert.Equal(t, pollPause(c.places), c.pause)
		assert.Assert(t, float64(c.places)/c.pause.Seconds() <= 400)
	}
}
