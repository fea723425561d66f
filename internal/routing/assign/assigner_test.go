package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
)

var testSettings = Settings{DataCentre: "a", ReportSilence: 3 * time.Second, WeightsGrace: time.Second, WeightsLimit: 9 * time.Second}

var testEngine = &table.Service{Name: "llm", Engine: &table.Engine{Slots: 64, CacheTokens: 100_000}}

func at(ms int) unit.Moment {
	return unit.Moment(time.Duration(ms) * time.Millisecond)
}

func endpoint(id string, weights decisions.WeightsNumber, heard unit.Moment) registry.Endpoint {
	return registry.Endpoint{
		Report: registry.Report{
			ID: unit.EndpointID(id), Service: "llm", Address: id + ":80", DataCentre: "a", Slots: 64, Born: 1,
			Weights: map[unit.ModelName]decisions.WeightsNumber{"m": weights},
		},
		HeardAt: heard,
	}
}

func newAssignerWith(endpoints ...registry.Endpoint) *Assigner {
	a := New(testSettings)
	setEndpoints(a, endpoints...)
	return a
}

func setEndpoints(a *Assigner, endpoints ...registry.Endpoint) {
	a.SetEndpoints(endpoints, func(table.ServiceName) (*table.Service, bool) { return testEngine, true }, nil, nil)
}

func newPromptWork(shared, own string) *Request {
	return &Request{
		Service: "llm", HasPrompt: true, Model: "m", Prompt: 9000, Output: 10, Objective: 500 * time.Millisecond, MaxLatency: 3 * time.Second,
		Parts: []Part{{ID: shared, Tokens: 6000}, {ID: own, Tokens: 3000}},
	}
}

// Guards against taking replaced weights for recent ones because still newer weights were announced later.
func TestNoRequestBeginsOnWeightsThatWereReplacedLongAgo(t *testing.T) {
	cases := []struct {
		name    string
		named   []int // announcement times of versions 2, 3, ... in ms
		current decisions.WeightsNumber
		at      int
		may     bool
	}{
		{name: "newest", named: []int{0}, current: 2, at: 20_000, may: true},
		{name: "replaced lately", named: []int{0}, current: 1, at: 8_000, may: true},
		{name: "replaced long ago", named: []int{0}, current: 1, at: 9_500},
		{name: "replaced again and again", named: []int{0, 4_000, 8_000}, current: 1, at: 9_500},
		{name: "replaced by weights that are replaced as well", named: []int{0, 4_000, 8_000}, current: 2, at: 12_500, may: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newAssignerWith(endpoint("e", c.current, at(c.at)))
			a.SetNewest(0, nil, nil)
			for i, moment := range c.named {
				a.SetNewest(at(moment), map[unit.ModelName]decisions.WeightsNumber{"m": decisions.WeightsNumber(i + 2)}, nil)
			}
			_, may := a.Choose(at(c.at), newPromptWork("s", "o"), nil)
			assert.Equal(t, may, c.may)
		})
	}
}

// Guards against a request that is sent in time to a busy endpoint but begins there after the limit for its old weights.
func TestTheWaitCountsTowardsTheLimitOfOldWeights(t *testing.T) {
	a := newAssignerWith(endpoint("e", 1, at(8_500)))
	a.SetNewest(0, nil, nil)
	a.SetNewest(at(0), map[unit.ModelName]decisions.WeightsNumber{"m": 2}, nil)
	_, may := a.Choose(at(8_500), newPromptWork("s", "o"), nil)
	assert.Assert(t, may)
	a.SetLoads(at(8_500), map[unit.EndpointID]Load{"e": {Requests: 10, Tokens: 60_000, PendingPrefill: 30_000}})
	_, may = a.Choose(at(8_500), newPromptWork("s", "o"), nil)
	assert.Assert(t, !may)
}
