package hub

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// Guards against a stream whose origin is lost with the control host that it was reported to.
func TestAnotherControlHostHasACopyOfEachStream(t *testing.T) {
	first, second := newTestHub(t), newTestHub(t)
	second.Name, first.Incarnation, second.Incarnation = "10.0.0.2", 1, 2
	exchange(t, first, second)
	origin := streamorigin.Origin{Service: "s", Software: "v1"}
	reported := streamorigin.New()
	report := func(request unit.RequestID) streamorigin.Query {
		q := streamorigin.Query{ID: streamorigin.NewID("c", request), Service: "s"}
		sent := reported.Number()
		reported.Record(0, q.ID, origin)
		first.syncAnswer("10.0.1.1", 0, SyncRequest{Epoch: 1, Streams: reported.Since(sent).Batches}, tally.EndpointLoads{})
		exchange(t, first, second)
		return q
	}
	earlier := report("r1")
	assert.Assert(t, second.findStream(0, earlier, true).Found)
	assert.Equal(t, second.findStream(0, earlier, true).Origin, origin)

	restarted := newTestHub(t)
	restarted.Name, restarted.Incarnation = "10.0.0.2", 3
	exchange(t, restarted, first)
	exchange(t, first, restarted)
	assert.Assert(t, restarted.findStream(0, earlier, true).Found, "a control host that has restarted gets the copies again")
}

// Guards against taking the only software version that is seen now for the one that began a stream: the other one has just left, this host
// has just started, or a route led to another service.
func TestStreamsNeedRecordsWhileTheirOriginsMayDiffer(t *testing.T) {
	const minute = unit.Moment(streamorigin.Retention)
	report := func(id unit.EndpointID, software unit.SoftwareVersion, sequence uint64) registry.Report {
		return registry.Report{ID: id, Service: "s", Address: string(id) + ":1", Born: 1, Sequence: sequence, Software: software}
	}
	inForce := func(h *Hub, version table.Version, targets ...table.Target) {
		encoded, err := codec.Marshal(table.Table{Version: version, Routes: []table.Route{{Resumable: true, Targets: targets}}})
		assert.NilError(t, err)
		h.tablePage = decisions.AcceptedTable{Version: version, Table: encoded}
	}
	single := table.Target{Service: "s", Weight: 1}
	cases := []struct {
		name  string
		run   func(h *Hub)
		at    unit.Moment
		needs bool
		want  streamorigin.Answer
	}{
		{name: "just started", at: minute - 1, needs: true},
		{name: "one version for a minute", at: minute, want: streamorigin.Answer{Uniform: true, Software: "v1"}},
		{name: "another version appears", run: func(h *Hub) { h.registry.ApplyReport(2*minute, report("e2", "v2", 1)) }, at: 2 * minute, needs: true, want: streamorigin.Answer{Mixed: true}},
		{name: "the old version has just left", run: func(h *Hub) {
			h.registry.ApplyReport(2*minute, report("e2", "v2", 1))
			h.registry.MarkLeft(2*minute, "e1", 1)
			h.registry.ApplyReport(3*minute, report("e2", "v2", 2))
		}, at: 3 * minute, needs: true, want: streamorigin.Answer{Mixed: true}},
		{name: "the old version left long ago", run: func(h *Hub) {
			h.registry.ApplyReport(2*minute, report("e2", "v2", 1))
			h.registry.MarkLeft(2*minute, "e1", 1)
			h.registry.ApplyReport(6*minute, report("e2", "v2", 2))
		}, at: 6 * minute, want: streamorigin.Answer{Uniform: true, Software: "v2"}},
		{name: "the id came back with another version", run: func(h *Hub) {
			next := report("e1", "v2", 1)
			next.Born = 2
			h.registry.ApplyReport(2*minute, next)
		}, at: 2 * minute, needs: true, want: streamorigin.Answer{Mixed: true}},
		{name: "the table has just changed", run: func(h *Hub) {
			h.streamsMixed(2 * minute)
			inForce(h, 2, single)
			h.streamsMixed(2 * minute)
		}, at: 3*minute - 1, needs: true, want: streamorigin.Answer{Mixed: true}},
		{name: "a route leads to two services", run: func(h *Hub) {
			inForce(h, 2, single, table.Target{Service: "t", Weight: 1})
			h.streamsMixed(2 * minute)
		}, at: 9 * minute, needs: true, want: streamorigin.Answer{Mixed: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHub(t)
			inForce(h, 1, single)
			h.registry.ApplyReport(0, report("e1", "v1", 1))
			h.streamsMixed(0)
			if c.run != nil {
				c.run(h)
			}
			q := streamorigin.Query{ID: 7, Service: "s"}
			assert.Equal(t, h.needsStreamRecords(c.at), c.needs)
			if c.name != "just started" {
				assert.Equal(t, h.findStream(c.at, q, true), c.want)
			}
			assert.Assert(t, !h.findStream(c.at, q, false).Uniform, "without a majority, it may lack reports")
		})
	}
}

// Guards against entry hosts that send the origins of all streams although nobody needs them, and against sending none while it matters.
func TestEntryHostsAreToldWhetherStreamsNeedRecords(t *testing.T) {
	h := newTestHub(t)
	h.registry.ApplyReport(0, registry.Report{ID: "e1", Service: "s", Address: "e1:1", Born: 1, Sequence: 1, Software: "v1"})
	needs := func(now time.Duration) bool {
		return h.syncAnswer("10.0.1.1", unit.Moment(now), SyncRequest{}, tally.EndpointLoads{}).NeedsStreams
	}
	assert.Assert(t, needs(0))
	assert.Assert(t, !needs(streamorigin.Retention))
	h.registry.ApplyReport(0, registry.Report{ID: "e2", Service: "s", Address: "e2:1", Born: 1, Sequence: 1, Software: "v2"})
	assert.Assert(t, needs(streamorigin.Retention))
}
