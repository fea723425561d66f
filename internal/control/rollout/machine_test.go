package rollout

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// startedSimulation returns a simulation of five engines after the first report, with one step in the log.
func startedSimulation(t *testing.T) (*simulation, Order) {
	s := newSimulation(t, 1, 5, false)
	report := StepObserved{}
	for _, e := range s.engines {
		report.Endpoints = append(report.Endpoints, e.Observed)
	}
	s.propose(Command{Observed: &report})
	planned := s.machine.Planned(0)
	assert.Equal(t, len(planned), 1) // MinServingPercent of 70 lets 1 of 5 load
	return s, s.proposeStep(planned[0])
}

func intervene(s *simulation, action string) Answer {
	return s.propose(Command{Intervention: &Intervention{
		Action: action, Model: simulatedModel, Operator: "ann", Reason: "test",
	}})
}

// Guards against a new leader whose orders an engine refuses as stale, and an old leader that still starts steps.
func TestNewLeaderRenumbersStartedSteps(t *testing.T) {
	s, order := startedSimulation(t)
	again := s.propose(Command{Started: &StepStarted{Term: 1, Order: order}})
	assert.Equal(t, *again.Order, order)
	s.changeLeader()
	planned := s.machine.Planned(0)
	assert.Equal(t, len(planned), 1)
	assert.Assert(t, planned[0].Started && planned[0].Fencing > order.Fencing)
	old := s.propose(Command{Started: &StepStarted{Term: 1, Order: order}})
	assert.Equal(t, old.Reason, ReasonOldLeader)
	assert.Equal(t, s.propose(Command{Leader: &LeaderStarted{Term: 1}}).Reason, ReasonOldLeader)
}

// Guards against a paused model that starts steps or loses started ones, and an aborted model whose rollout goes on.
func TestPauseAndAbort(t *testing.T) {
	s, _ := startedSimulation(t)
	s.machine.state.Settings.MinServingPercent = 0
	assert.Equal(t, len(s.machine.Planned(0)), 3)
	assert.Assert(t, intervene(s, ActionPause).Accepted)
	assert.Equal(t, len(s.machine.Planned(0)), 1)
	other := Order{Endpoint: "e03", Incarnation: 1, Model: simulatedModel, Weights: "v1"}
	assert.Equal(t, s.propose(Command{Started: &StepStarted{Term: s.term, Order: other}}).Reason, ReasonPaused)
	assert.Equal(t, s.machine.Status().Models[0].Operator, "ann")
	intervene(s, ActionResume)
	assert.Equal(t, len(s.machine.Planned(0)), 3)
	intervene(s, ActionAbort)
	intervene(s, ActionResume)
	assert.Equal(t, len(s.machine.Planned(0)), 0)
	assert.Equal(t, s.machine.Status().Models[0].Loading, 1)
	s.setTarget("v2")
	assert.Equal(t, len(s.machine.Planned(0)), 3)
	assert.Equal(t, s.propose(Command{Targets: &Targets{Version: 1}}).Reason, ReasonOldTarget)
}

// Guards against broken weights that are loaded on every replica, and a step without effect that occupies its slot forever.
func TestFailedStepsPauseTheModel(t *testing.T) {
	s := newSimulation(t, 1, 9, false)
	for range 300 {
		s.step()
		clear(s.inFlight) // no order arrives
	}
	status := s.machine.Status().Models[0]
	assert.Assert(t, status.Paused && status.Failed >= 3 && status.Loading == 0, "%+v", status)
	assert.Assert(t, status.Failed < 9 && status.Operator == "" && status.Blocked == ReasonPaused, "%+v", status)
	intervene(s, ActionResume)
	clear(s.acceptedSteps) // steps may be repeated after a resume
	for limit := s.tick + 100; !s.finished(); s.step() {
		assert.Assert(t, s.tick < limit, "not tried again after resume: %+v", s.machine.Status())
	}
}

// Guards against proposed steps being accepted for endpoints that can't carry them out.
func TestStepsAreCheckedAgainWhenApplied(t *testing.T) {
	s, order := startedSimulation(t)
	s.engines[4].Draining = true
	report := StepObserved{}
	for _, e := range s.engines {
		report.Endpoints = append(report.Endpoints, e.Observed)
	}
	s.propose(Command{Observed: &report})
	for _, test := range []struct {
		reason string
		change func(*Order)
	}{
		{ReasonUnusable, func(o *Order) { o.Endpoint = "other" }},
		{ReasonUnusable, func(o *Order) { o.Endpoint = "e04" }},
		{ReasonUnusable, func(o *Order) { o.Incarnation = 2 }},
		{ReasonUnusable, func(o *Order) { o.Model = "other" }},
		{ReasonOldTarget, func(o *Order) { o.Weights = "v9" }},
		{ReasonTooFewServing, func(o *Order) { o.Endpoint = "e03" }},
	} {
		changed := order
		test.change(&changed)
		answer := s.propose(Command{Started: &StepStarted{Term: s.term, Order: changed}})
		assert.Equal(t, answer.Reason, test.reason)
	}
	s.machine.state.Settings.MaxLoading, s.machine.state.Settings.MinServingPercent = 1, 0
	order.Endpoint = "e03"
	assert.Equal(t, s.propose(Command{Started: &StepStarted{Term: s.term, Order: order}}).Reason, ReasonNoSlot)
}

// Guards against a delayed report of an older incarnation or sequence that overwrites a newer one.
func TestOldReportsChangeNothing(t *testing.T) {
	s, order := startedSimulation(t)
	for _, test := range []struct {
		change                Observed
		done, loading, failed int
	}{
		{Observed{Incarnation: 1, Sequence: 8, Weights: "v1", Loading: true}, 0, 1, 1},
		{Observed{Incarnation: 1, Sequence: 9, Weights: "v1"}, 1, 0, 1},
		{Observed{Incarnation: 1, Sequence: 8, Weights: "v0"}, 1, 0, 1},
		{Observed{Incarnation: 2, Sequence: 0, Weights: "v0"}, 0, 0, 0},
		{Observed{Incarnation: 1, Sequence: 10, Weights: "v1"}, 0, 0, 0},
	} {
		if test.change.Incarnation == 1 {
			s.machine.state.Endpoints["e00"].Failed = unit.WeightsVersion(strings.Repeat("v1", test.failed))
		}
		test.change.Endpoint, test.change.Model = "e00", simulatedModel
		s.propose(Command{Observed: &StepObserved{Endpoints: []Observed{test.change}}})
		status := s.machine.Status().Models[0]
		assert.DeepEqual(t, []int{status.Done, status.Loading, status.Failed}, []int{test.done, test.loading, test.failed})
	}
	assert.Equal(t, s.propose(Command{Started: &StepStarted{Term: s.term, Order: order}}).Reason, ReasonUnusable)
}

// Guards against a slot that is freed while a replaced order may still be in flight, and a slot that stays occupied after
// the engine of its step has restarted.
func TestSlotOfAReplacedOrLostStep(t *testing.T) {
	s, _ := startedSimulation(t)
	loading := func() int {
		s.runLeader()
		return s.machine.Status().Models[0].Loading
	}
	s.setTarget("v0") // the engine's current weights, while the order for v1 may be in flight
	assert.Equal(t, loading(), 1)
	s.tick += 4
	assert.Equal(t, loading(), 1)
	s.tick++
	assert.Equal(t, loading(), 0)
	s.setTarget("v1")
	assert.Equal(t, loading(), 1)
	s.engines[0].Incarnation++
	s.engines[0].Draining = true // prevents another step on the same engine
	s.machine.state.Settings.MinServingPercent = 100
	assert.Equal(t, loading(), 0)
}

// Guards against taking too much urgent capacity out of service while enough replicas remain.
func TestUrgentCapacityKeepsServing(t *testing.T) {
	s := newSimulation(t, 1, 9, false)
	s.engines[0].UrgentCapacity = 30
	for i := 0; i < 100; i++ {
		s.step()
	}
	status := s.machine.Status().Models[0]
	assert.Equal(t, status.Done, 8)
	assert.Equal(t, status.Blocked, ReasonTooFewServing)
	assert.Equal(t, s.engines[0].Weights, unit.WeightsVersion("v0"))
}

// Guards against an invalid log entry or snapshot that crashes a control host, or leaves a state that can't be restored.
func FuzzDecodeCommand(f *testing.F) {
	settings := DefaultSettings()
	var good []byte
	target := Targets{Version: 2, Weights: map[unit.ModelName]unit.WeightsVersion{"m": "v1"}}
	for _, command := range []Command{
		{Configure: &settings},
		{Targets: &target},
		{Leader: &LeaderStarted{Host: "h", Term: 2}},
		{Started: &StepStarted{Term: 1, Order: Order{Endpoint: "e", Incarnation: 1, Model: "m", Weights: "v1"}}},
		{Observed: &StepObserved{Endpoints: []Observed{{Endpoint: "e", Incarnation: 1, Model: "m"}}}},
		{Intervention: &Intervention{Action: ActionPause, Model: "m", Operator: "ann"}},
	} {
		seed, err := EncodeCommand(command)
		assert.NilError(f, err)
		f.Add(seed)
		good = seed
	}
	for _, invalid := range []state{
		{},
		{Models: map[unit.ModelName]*modelState{"m": nil}, Endpoints: map[unit.EndpointID]*replicaState{}},
		{Models: map[unit.ModelName]*modelState{"m": {}}, Endpoints: map[unit.EndpointID]*replicaState{"e": nil}},
	} {
		data, err := codec.Marshal(invalid)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		machine := New()
		// An arbitrary snapshot is either refused or usable.
		if machine.Restore(data) == nil {
			machine.Apply(1, good)
			machine.Planned(1)
			machine.Status()
		}
		machine = New()
		answer, err := DecodeAnswer(machine.Apply(1, data))
		assert.NilError(t, err)
		_, decodeErr := DecodeCommand(data)
		assert.Equal(t, decodeErr != nil, answer.Reason == ReasonBadCommand)
		machine.Planned(1)
		machine.Status()
		snapshot, err := machine.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, New().Restore(snapshot))
	})
}
