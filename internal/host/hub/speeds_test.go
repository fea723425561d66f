package hub

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/enginespeed"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// Guards against speeds of engines that only the host knows which took the samples, that are told under another engine's index, or that outlive
// the engine's lifetime.
func TestSpeedsReachHostsOfAnotherControlHost(t *testing.T) {
	first, second := newTestHub(t), newTestHub(t)
	clock := timer.NewManual()
	first.Timer, second.Timer = clock, clock
	second.Name, first.Incarnation, second.Incarnation = "10.0.0.2", 1, 2
	for i, id := range []unit.EndpointID{"other", "fast", "slow"} {
		first.registry.ApplyReport(0, registry.Report{ID: id, Service: "s", Address: fmt.Sprintf("10.1.0.%d:80", i+1), Born: 1, Sequence: 1})
	}
	exchange(t, first, second)
	sample := func(id unit.EndpointID, log int32) enginespeed.Entry {
		return enginespeed.Entry{Engine: first.registry.Index(id), Log: log, Weight: 20_00}
	}
	clock.Advance(time.Second)
	first.syncAnswer("10.0.1.1", clock.Now(), SyncRequest{Epoch: 1, Speeds: []enginespeed.Entry{sample("fast", -50), sample("slow", 50)}}, tally.EndpointLoads{})
	clock.Advance(time.Second)
	exchange(t, first, second)
	exchange(t, first, second)
	factors := func(h *Hub, request SyncRequest) map[registry.Index]int32 {
		clock.Advance(time.Second)
		answer := h.syncAnswer("10.0.1.2", clock.Now(), request, tally.EndpointLoads{})
		got := map[registry.Index]int32{}
		for _, entry := range answer.Speeds {
			got[entry.Engine] = entry.Log
		}
		return got
	}

	got := factors(second, SyncRequest{Epoch: 2})
	assert.Equal(t, len(got), 2)
	assert.Assert(t, got[second.registry.Index("fast")] < -10 && got[second.registry.Index("slow")] > 10, "%v", got)

	// Samples that refer to the registry of another incarnation are dropped.
	first.syncAnswer("10.0.1.1", clock.Now(), SyncRequest{Epoch: 9, Speeds: []enginespeed.Entry{sample("fast", 300)}}, tally.EndpointLoads{})
	assert.Assert(t, factors(first, SyncRequest{Epoch: 1})[first.registry.Index("fast")] < 0)

	second.registry.ApplyReport(clock.Now(), registry.Report{ID: "slow", Service: "s", Address: "10.1.0.3:80", Born: 2, Sequence: 1})
	_, known := factors(second, SyncRequest{Epoch: 2})[second.registry.Index("slow")]
	assert.Assert(t, !known, "the engine has restarted")
}
