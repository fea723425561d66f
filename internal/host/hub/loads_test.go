package hub

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// Guards against traffic to entry hosts that grows with the number of endpoints times the rate of requests. With 240 engines, each of
// 295 hosts received 170 KB/s; the target for all control traffic of a host is 28 KB/s.
func TestAnswersToEntryHostsStayWithinBudget(t *testing.T) {
	const (
		endpoints  = 600
		syncPeriod = 120 * time.Millisecond
		budget     = 28_000 // bytes a second
	)
	for _, count := range []int{18, 240, endpoints} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			h := newTestHub(t)
			h.Incarnation = 5
			total := tally.EndpointLoads{}
			var known registry.Numbering
			sentBytes, registryNumber := 0, 0
			for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += syncPeriod {
				now := unit.Moment(time.Second).Add(elapsed)
				for i := range count {
					if (elapsed/syncPeriod+time.Duration(i))%10 == 0 { // each endpoint reports every 1.2 s
						h.registry.ApplyReport(now, registry.Report{ID: unit.EndpointID(fmt.Sprint("i-", i)), Service: "s", Address: fmt.Sprint("10.0.0.1:", i), Born: 1, Sequence: uint64(elapsed/syncPeriod) + 1})
					}
					total[registry.Index(i+1)] = assign.Load{Requests: 10, Tokens: 80_000, PendingPrefill: 9_000, Long: 4, ReachableBy: 40}
				}
				h.loads = loadSum{total: total, packed: total.Pack(), computedAt: now}
				answer := h.syncAnswer("10.0.0.9", now, SyncRequest{Epoch: 5, RegistryNumber: uint64(registryNumber)}, nil)
				encoded, err := codec.Marshal(answer)
				assert.NilError(t, err)
				if elapsed > 3*time.Second {
					sentBytes += len(encoded)
				}
				registry.New().Merge(now, answer.Update, &known)
				registryNumber = int(answer.Update.Number) //nolint:gosec // a few thousand
			}
			rate := float64(sentBytes) / 7
			t.Logf("%d endpoints: %.0f bytes a second", count, rate)
			assert.Assert(t, rate <= budget, "%.0f bytes a second", rate)
		})
	}
}

// Guards against an entry host that counts its own requests twice, or another's not at all. It subtracts its own reported load from
// the sum, and needs the number of the report that the sum includes.
func TestLoadSumNamesTheIncludedReport(t *testing.T) {
	h := newTestHub(t)
	h.Incarnation = 5
	h.registry.ApplyReport(0, registry.Report{ID: "e", Service: "s", Address: "10.0.0.1:80", Born: 1, Sequence: 1})
	index := h.registry.Index("e")
	sync := func(from unit.HostName, ms int, requests int, number uint64) SyncAnswer {
		return h.syncAnswer(from, unit.Moment(ms)*unit.Moment(time.Millisecond), SyncRequest{Epoch: 5, LoadNumber: number}, tally.EndpointLoads{index: {Requests: requests}})
	}
	sync("10.0.0.8", 1, 3, 1)
	sync("10.0.0.9", 1, 4, 1)
	h.sumLoads(t.Context())
	h.loads.computedAt = unit.Moment(2 * time.Millisecond)
	answer := sync("10.0.0.8", 3, 5, 2)
	assert.Assert(t, answer.HasLoads)
	assert.Equal(t, answer.IncludedLoadNumber, uint64(1))
	read, err := tally.Unpack(answer.Loads)
	assert.NilError(t, err)
	assert.Equal(t, read[index].Requests, 7)
	assert.Assert(t, !sync("10.0.0.8", 4, 5, 3).HasLoads, "the same sum is sent again")
}

// Guards against a restarted control host that misreads indexes, because it lacks the updates sent before its restart.
func TestARestartedControlHostReadsTheFullUpdate(t *testing.T) {
	sender, reader := newTestHub(t), newTestHub(t)
	sender.Incarnation, reader.Incarnation, reader.Name = 1, 2, "10.0.0.2"
	seeds := func() []unit.HostName { return []unit.HostName{"10.0.0.1", "10.0.0.2"} }
	sender.Seeds, reader.Seeds = seeds, seeds
	sender.Send = func(_ unit.HostName, _ string, payload []byte) {
		assert.NilError(t, reader.receiveState("10.0.0.1", payload))
	}
	connectTo := func(h *Hub) {
		h.Send = func(_ unit.HostName, _ string, payload []byte) {
			assert.NilError(t, sender.receiveState("10.0.0.2", payload))
		}
	}
	connectTo(reader)
	exchange := func() {
		sender.sendState(t.Context())
		reader.sendState(t.Context())
	}
	sender.registry.ApplyReport(0, registry.Report{ID: "old", Service: "s", Address: "10.1.0.1:80", Born: 1, Sequence: 1})
	exchange()
	exchange()
	restarted := newTestHub(t)
	restarted.Incarnation, restarted.Name, restarted.Seeds = 3, "10.0.0.2", seeds
	connectTo(restarted)
	reader = restarted
	sender.registry.ApplyReport(0, registry.Report{ID: "new", Service: "s", Address: "10.1.0.2:80", Born: 1, Sequence: 1})
	exchange()
	exchange()
	_, ok := reader.registry.Endpoint("old")
	assert.Assert(t, ok)
	_, ok = reader.registry.Endpoint("new")
	assert.Assert(t, ok)
}
