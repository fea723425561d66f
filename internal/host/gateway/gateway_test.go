package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/host/hub"
	"github.com/citronglade/citronglade/internal/routing/allowance"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

func newTestGateway(seeds ...unit.HostName) *Gateway {
	return New(Dependencies{
		Name: "10.1.0.1", Seeds: func() []unit.HostName { return seeds }, Timer: timer.NewManual(), Log: eventlog.Discard(),
		Assign: assign.Settings{DataCentre: "a"}, Allowance: allowance.Settings{Window: time.Second}, Stopping: func() bool { return false },
	})
}

// Guards against control traffic that crosses to another data centre while a control host of the own one answers, and against a host
// that keeps asking one that doesn't.
func TestTheControlHostOfTheOwnDataCentreIsAsked(t *testing.T) {
	g := newTestGateway("10.2.0.1", "10.3.0.1")
	first := g.preferred(0)
	assert.Assert(t, first == "10.2.0.1" || first == "10.3.0.1")
	g.hub = first
	g.control = []hub.ControlHost{{Name: "10.1.0.9", DataCentre: "a"}, {Name: "10.2.0.1", DataCentre: "b"}, {Name: "10.3.0.1"}}
	assert.Equal(t, g.preferred(0), unit.HostName("10.1.0.9"))
	g.hub = "10.1.0.9"
	g.lost("10.1.0.9", "test")
	other := g.preferred(0)
	assert.Assert(t, other != "")
	g.hub = other
	for other == "10.1.0.9" { // the hosts go round
		g.hub = ""
		other = g.preferred(0)
		g.hub = other
	}
	assert.Equal(t, g.preferred(unit.Moment(nearAfter)), other)
	assert.Equal(t, g.preferred(unit.Moment(nearAfter+1)), unit.HostName("10.1.0.9"))
}

// Guards against own requests that a host takes for those of others, and against loads of endpoints that it doesn't know.
func TestOwnLoadsAreTakenFromTheSum(t *testing.T) {
	g := newTestGateway("10.2.0.1")
	g.told = []toldLoad{
		{number: 4, load: map[unit.EndpointID]assign.Load{"e": {Requests: 2, Tokens: 640}}},
		{number: 5, load: map[unit.EndpointID]assign.Load{"e": {Requests: 7, Tokens: 6400}}},
	}
	g.registry.Merge(0, registry.Update{Records: []registry.Record{
		{Report: registry.Report{ID: "e", Address: "10.9.0.1:80", Born: 1, Sequence: 1}, Index: 3},
	}}, g.numbering)
	sum := tally.Tally{3: {Requests: 5, Tokens: 1280}, 8: {Requests: 1}}
	others := g.others(&hub.SyncAnswer{HasLoads: true, Loads: sum.Pack(), IncludedLoadNumber: 4})
	assert.DeepEqual(t, others, map[unit.EndpointID]assign.Load{"e": {Requests: 3, Tokens: 640}})
	assert.Assert(t, g.others(&hub.SyncAnswer{}) == nil)
}
