package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/host/hub"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
)

var origin = streamorigin.Origin{Service: "s", Software: "v2"}

// Guards against a stream that isn't found although it is recorded: its record is still on its way, or only one control host has it while
// others don't answer. Also guards against an origin that follows from the view of a control host which is cut off.
func TestAStreamIsFoundWhereverItsRecordIs(t *testing.T) {
	unknown, found := streamorigin.Answer{Mixed: true}, streamorigin.Answer{Found: true, Origin: origin}
	uniform := streamorigin.Answer{Uniform: true, Software: origin.Software}
	cases := []struct {
		name    string
		answers map[unit.HostName][]streamorigin.Answer // in order, the last one repeated; a host without any doesn't answer
		known   bool
	}{
		{name: "one of three has it", answers: map[unit.HostName][]streamorigin.Answer{"10.2.0.1": {unknown}, "10.2.0.2": {found}, "10.2.0.3": {unknown}}, known: true},
		{name: "the others don't answer", answers: map[unit.HostName][]streamorigin.Answer{"10.2.0.2": {found}}, known: true},
		{name: "it is on its way", answers: map[unit.HostName][]streamorigin.Answer{"10.2.0.1": {unknown, found}, "10.2.0.2": {unknown}}, known: true},
		{name: "it is on its way for longer", answers: map[unit.HostName][]streamorigin.Answer{"10.2.0.1": {unknown, unknown, found}}, known: true},
		{name: "nobody has it", answers: map[unit.HostName][]streamorigin.Answer{"10.2.0.1": {unknown}, "10.2.0.2": {unknown}}},
		{name: "nobody answers"},
		{name: "a single version", answers: map[unit.HostName][]streamorigin.Answer{"10.2.0.1": {uniform}, "10.2.0.3": {uniform}}, known: true},
		{name: "a single version for a control host that is cut off with this one", answers: map[unit.HostName][]streamorigin.Answer{"10.2.0.1": {uniform}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway("10.2.0.1", "10.2.0.2", "10.2.0.3")
			var mu sync.Mutex
			asked := map[unit.HostName]int{}
			g.Call = func(_ context.Context, to unit.HostName, _ string, _ []byte) ([]byte, error) {
				mu.Lock()
				defer mu.Unlock()
				answers := c.answers[to]
				if len(answers) == 0 {
					return nil, fault.Unreachable.New("no answer")
				}
				asked[to]++
				return codec.Marshal(answers[min(asked[to], len(answers))-1])
			}
			got, known := g.findStream(t.Context(), streamorigin.Query{ID: 1, Service: "s"})
			assert.Equal(t, known, c.known)
			if known {
				assert.Equal(t, got, origin)
			}
		})
	}
}

// Guards against streams that only a control host knows which is gone: the next one gets all records of the last minute.
func TestAnotherControlHostGetsAllRecordsOfStreams(t *testing.T) {
	g := newTestGateway("10.2.0.1")
	sync := func(epoch unit.Incarnation, needs bool) int {
		_, request, number := g.prepareRequest()
		ids := 0
		for _, b := range request.Streams {
			ids += len(b.IDs) / 6
		}
		answer := hub.SyncAnswer{Epoch: epoch, NeedsStreams: needs}
		g.streamsReceived(&request, &answer, number)
		g.hubEpoch = epoch
		return ids
	}
	record := func(id streamorigin.ID) { g.handler.RecordStream(id, origin) }
	sync(1, true)
	record(1)
	record(2)
	assert.Equal(t, sync(1, true), 2)
	record(3)
	assert.Equal(t, sync(1, true), 1)
	assert.Equal(t, sync(1, true), 0)
	assert.Equal(t, sync(2, true), 0, "another control host answers")
	assert.Equal(t, sync(2, false), 3)
	record(4)
	assert.Equal(t, sync(2, true), 0, "no records are needed")
	assert.Equal(t, sync(2, true), 1, "with those of the time in which none were needed")
}

// Guards against a host that goes on with streams by a view of the endpoints from before it was suspended or cut off, alone or together with
// a control host.
func TestAHostIsInStepWhileItsViewIsCurrent(t *testing.T) {
	g := newTestGateway("10.2.0.1")
	g.Timer.Advance(time.Minute)
	answer := func(age time.Duration) {
		g.applyAnswer("10.2.0.1", &hub.SyncAnswer{Age: age, EntryHosts: 1}, g.Timer.Now())
	}
	assert.Assert(t, !g.inStep(), "no control host has answered yet")
	answer(100 * time.Millisecond)
	assert.Assert(t, g.inStep())
	g.Timer.Advance(maxViewAge)
	assert.Assert(t, !g.inStep(), "cut off or suspended")
	answer(2 * time.Second)
	assert.Assert(t, !g.inStep(), "cut off together with the control host")
	answer(0)
	assert.Assert(t, g.inStep())
}
