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
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

func newTestGateway(seeds ...unit.HostName) *Gateway {
	return New(Dependencies{
		Name: "10.1.0.1", Seeds: func() []unit.HostName { return seeds }, Timer: timer.NewManual(), Log: eventlog.Discard(),
		Assign:    assign.Settings{DataCentre: "a", ReportSilence: time.Hour, WeightsGrace: time.Second, WeightsLimit: 9 * time.Second},
		Allowance: retrybudget.Settings{Window: time.Second}, Stopping: func() bool { return false },
	})
}

// Guards against control traffic to another data centre while a control host of the entry host's own data centre answers, and against
// an entry host that keeps asking a control host that doesn't answer.
func TestTheControlHostOfTheOwnDataCentreIsAsked(t *testing.T) {
	g := newTestGateway("10.2.0.1", "10.3.0.1")
	first := g.chooseControlHost(0)
	assert.Assert(t, first == "10.2.0.1" || first == "10.3.0.1")
	g.currentHost = first
	g.controlHosts = []hub.ControlHost{{Name: "10.1.0.9", DataCentre: "a"}, {Name: "10.2.0.1", DataCentre: "b"}, {Name: "10.3.0.1"}}
	assert.Equal(t, g.chooseControlHost(0), unit.HostName("10.1.0.9"))
	g.currentHost = "10.1.0.9"
	g.markLost("10.1.0.9", "test")
	other := g.chooseControlHost(0)
	assert.Assert(t, other != "")
	g.currentHost = other
	for other == "10.1.0.9" { // the candidates are tried in turn
		g.currentHost = ""
		other = g.chooseControlHost(0)
		g.currentHost = other
	}
	assert.Equal(t, g.chooseControlHost(unit.Moment(localRetryPause)), other)
	assert.Equal(t, g.chooseControlHost(unit.Moment(localRetryPause+1)), unit.HostName("10.1.0.9"))
}

// Guards against an entry host that counts its own requests as those of others, and against loads of endpoints that it doesn't know.
func TestOwnLoadsAreSubtractedFromTheSum(t *testing.T) {
	g := newTestGateway("10.2.0.1")
	g.sentLoads = []sentLoad{
		{number: 4, load: map[unit.EndpointID]assign.Load{"e": {Requests: 2, Tokens: 640}}},
		{number: 5, load: map[unit.EndpointID]assign.Load{"e": {Requests: 7, Tokens: 6400}}},
	}
	g.registry.Merge(0, registry.Update{Records: []registry.Record{
		{Report: registry.Report{ID: "e", Address: "10.9.0.1:80", Born: 1, Sequence: 1}, Index: 3},
	}}, g.numbering)
	sum := tally.EndpointLoads{3: {Requests: 5, Tokens: 1280}, 8: {Requests: 1}}
	others := g.otherHostsLoads(&hub.SyncAnswer{HasLoads: true, Loads: sum.Pack(), IncludedLoadNumber: 4})
	assert.DeepEqual(t, others, map[unit.EndpointID]assign.Load{"e": {Requests: 3, Tokens: 640}})
	assert.Assert(t, g.otherHostsLoads(&hub.SyncAnswer{}) == nil)
}
