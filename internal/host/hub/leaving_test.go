package hub

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// exchange connects two hubs and lets each send its state to the other once.
func exchange(t *testing.T, a, b *Hub) {
	t.Helper()
	names := []unit.HostName{a.Name, b.Name}
	for _, pair := range [][2]*Hub{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		from.Seeds = func() []unit.HostName { return names }
		from.Send = func(_ unit.HostName, _ string, payload []byte) {
			assert.NilError(t, to.receiveState(from.Name, payload))
		}
	}
	a.sendState(t.Context())
	b.sendState(t.Context())
}

// Guards against a host that keeps sending requests to a leaving endpoint. The endpoint has announced it only in an answer to another
// host, and its own reports don't show it. Also guards against applying an earlier lifetime's announcement to the next lifetime.
func TestLeavingEndpointSeenByOneHostReachesTheOthers(t *testing.T) {
	first, second := newTestHub(t), newTestHub(t)
	second.Name, first.Incarnation, second.Incarnation = "10.0.0.2", 1, 2
	report := registry.Report{ID: "e", Service: "s", Address: "10.1.0.1:80", Born: 1, Sequence: 1}
	first.registry.ApplyReport(0, report)
	exchange(t, first, second)
	announceLeaving := func(born int64) {
		first.syncAnswer("10.0.1.1", 0, SyncRequest{Epoch: 1, Leaving: []registry.Lifetime{{Endpoint: "e", Born: born}}}, tally.EndpointLoads{})
	}
	announceLeaving(0)
	exchange(t, first, second)
	known, _ := second.registry.Endpoint("e")
	assert.Assert(t, !known.Draining, "an earlier lifetime")
	announceLeaving(1)
	report.Sequence = 2
	first.registry.ApplyReport(0, report)
	exchange(t, first, second)
	answer := second.syncAnswer("10.0.1.2", 0, SyncRequest{Epoch: 2}, tally.EndpointLoads{})
	assert.Equal(t, len(answer.Update.Records), 1)
	assert.Assert(t, answer.Update.Records[0].Draining)
	report.Born, report.Sequence = 2, 1
	second.registry.ApplyReport(0, report)
	answer = second.syncAnswer("10.0.1.2", 0, SyncRequest{Epoch: 2, RegistryNumber: answer.Update.Number}, tally.EndpointLoads{})
	assert.Assert(t, !answer.Update.Records[0].Draining, "a new lifetime")
}
