package hub

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// exchange lets two hubs hear each other.
func exchange(t *testing.T, a, b *Hub) {
	t.Helper()
	names := []unit.HostName{a.Name, b.Name}
	for _, pair := range [][2]*Hub{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		from.Seeds = func() []unit.HostName { return names }
		from.Send = func(_ unit.HostName, _ string, payload []byte) { assert.NilError(t, to.hearOther(from.Name, payload)) }
	}
	a.tellOthers(t.Context())
	b.tellOthers(t.Context())
}

// Guards against a host that goes on sending to an endpoint that has told only another host that it leaves, while its reports say
// nothing of it, and against one that believes an earlier lifetime's word of the next one.
func TestOneHostsWordOfALeavingEndpointReachesTheOthers(t *testing.T) {
	first, second := newTestHub(t), newTestHub(t)
	second.Name, first.Incarnation, second.Incarnation = "10.0.0.2", 1, 2
	report := registry.Report{ID: "e", Service: "s", Address: "10.1.0.1:80", Born: 1, Sequence: 1}
	first.registry.Hear(0, report)
	exchange(t, first, second)
	tell := func(born int64) {
		first.answer("10.0.1.1", 0, SyncRequest{Epoch: 1, Leaving: []registry.Lifetime{{Endpoint: "e", Born: born}}}, tally.Tally{})
	}
	tell(0)
	exchange(t, first, second)
	known, _ := second.registry.Endpoint("e")
	assert.Assert(t, !known.Draining, "an earlier lifetime")
	tell(1)
	report.Sequence = 2
	first.registry.Hear(0, report)
	exchange(t, first, second)
	answer := second.answer("10.0.1.2", 0, SyncRequest{Epoch: 2}, tally.Tally{})
	assert.Equal(t, len(answer.Update.Records), 1)
	assert.Assert(t, answer.Update.Records[0].Draining)
	report.Born, report.Sequence = 2, 1
	second.registry.Hear(0, report)
	answer = second.answer("10.0.1.2", 0, SyncRequest{Epoch: 2, Number: answer.Update.Number}, tally.Tally{})
	assert.Assert(t, !answer.Update.Records[0].Draining, "a new lifetime")
}
