package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/control/versionage"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/host/hub"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
)

// Guards against a host that counts the time since weights were replaced from its own start, and against one that doesn't use any older weights
// because it takes an age that it wasn't told for a small or a large one.
func TestARestartedHostKnowsForHowLongWeightsHaveBeenReplaced(t *testing.T) {
	named := func(version decisions.WeightsNumber) map[unit.ModelName]decisions.WeightsNumber {
		return map[unit.ModelName]decisions.WeightsNumber{"m": version}
	}
	routes := &table.Table{Version: 1, Services: []table.Service{{Name: "s", MaxConnections: 10, Engine: &table.Engine{Slots: 8, CacheTokens: 100_000, Models: []unit.ModelName{"m"}}}}}
	encoded, err := codec.Marshal(routes)
	assert.NilError(t, err)
	endpoint := registry.Update{Number: 1, Records: []registry.Record{{Index: 1, Report: registry.Report{
		ID: "e", Service: "s", Address: "10.9.0.1:80", Slots: 8, Born: 1, Sequence: 1, Weights: named(3),
	}}}}
	cases := []struct {
		name    string
		earlier *hub.SyncAnswer // nil if the host has just started
		answer  hub.SyncAnswer
		may     bool
	}{
		{name: "not replaced", answer: hub.SyncAnswer{Weights: named(3), WeightsAges: versionage.Ages{"m": {{Version: 3, Age: time.Minute}}}}, may: true},
		{name: "replaced lately", answer: hub.SyncAnswer{Weights: named(4), WeightsAges: versionage.Ages{"m": {{Version: 4, Age: 2 * time.Second}}}}, may: true},
		{name: "replaced long ago", answer: hub.SyncAnswer{Weights: named(4), WeightsAges: versionage.Ages{"m": {{Version: 4, Age: 9500 * time.Millisecond}}}}},
		{name: "replaced long ago by weights that were replaced lately", answer: hub.SyncAnswer{Weights: named(5), WeightsAges: versionage.Ages{"m": {
			{Version: 4, Age: 9500 * time.Millisecond}, {Version: 5, Age: time.Second},
		}}}},
		{name: "by a control host of an earlier build", answer: hub.SyncAnswer{Weights: named(4)}},
		{name: "by a control host of an earlier build, after the start", earlier: &hub.SyncAnswer{Weights: named(3)}, answer: hub.SyncAnswer{Weights: named(4)}, may: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway("10.2.0.1")
			now := g.Timer.Now()
			if c.earlier != nil {
				g.applyAnswer("10.2.0.1", c.earlier, now)
			}
			c.answer.Table, c.answer.Update, c.answer.Epoch, c.answer.EntryHosts = encoded, endpoint, 1, 1
			g.applyAnswer("10.2.0.1", &c.answer, now)
			g.handler.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) {
				_, ok := a.Choose(now, &assign.Request{
					Service: "s", HasPrompt: true, Model: "m", Prompt: 100, Objective: time.Second, MaxLatency: time.Second, Parts: []assign.Part{{ID: "x", Tokens: 100}},
				}, nil)
				assert.Equal(t, ok, c.may)
			})
		})
	}
}
