package rollout

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	simulatedModel = unit.ModelName("taalmodel")
	maxOrderDelay  = 2 // ticks of 1 s that an order may be in flight
	maxLoadTicks   = 5
)

// engine is the true state of an endpoint, which the machine knows only from observations.
type engine struct {
	Observed
	target           unit.WeightsVersion
	ticksLeft        int
	highestFencing   unit.FencingNumber
	unreachableTicks int  // for so many ticks, no announcements or orders get through
	removed          bool // the machine has removed it after RemoveAfter
}

func (e *engine) receive(o Order) {
	if o.Incarnation != e.Incarnation || e.unreachableTicks > 0 || (e.HonoursFencing && o.Fencing < e.highestFencing) {
		return
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	if (e.Loading && e.target == o.Weights) || (!e.Loading && e.Weights == o.Weights) {
		return
	}
	e.Loading, e.target, e.ticksLeft = true, o.Weights, 1+int(o.Fencing)%maxLoadTicks
}

func (e *engine) tick() {
	e.Sequence++
	e.unreachableTicks = max(0, e.unreachableTicks-1)
	if e.ticksLeft--; e.Loading && e.ticksLeft <= 0 {
		e.Loading, e.Weights = false, e.target
	}
}

func (e *engine) crash() {
	e.Incarnation++
	e.Sequence, e.Loading, e.Weights, e.highestFencing = 0, false, "v0", 0
}

type simulation struct {
	t             *testing.T
	random        *rand.Rand
	machine       *Machine
	engines       []*engine
	inFlight      map[int][]Order // by tick of arrival
	pastReports   [][]Observed    // one per tick, so that an older one can be delivered late
	acceptedSteps map[string]int
	tick          int
	term          uint64
	target        Targets
	faults        bool
}

func newSimulation(t *testing.T, seed uint64, engines int, faults bool) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), machine: New(), inFlight: map[int][]Order{},
		acceptedSteps: map[string]int{}, faults: faults,
	}
	for i := range engines {
		s.engines = append(s.engines, &engine{Observed: Observed{
			Endpoint: unit.EndpointID(fmt.Sprintf("e%02d", i)), Incarnation: 1, Model: simulatedModel, Weights: "v0",
			HonoursFencing: i%2 == 0, UrgentCapacity: 1,
		}})
	}
	s.changeLeader()
	s.setTarget("v1")
	return s
}

func (s *simulation) propose(command Command) Answer {
	command.AtUnixMilli = int64(s.tick) * 1000
	data, err := EncodeCommand(command)
	assert.NilError(s.t, err)
	answer, err := DecodeAnswer(s.machine.Apply(0, data))
	assert.NilError(s.t, err)
	return answer
}

// changeLeader starts a new leader from a snapshot, after each order of the old leader has either arrived or been lost.
func (s *simulation) changeLeader() {
	for tick := range maxOrderDelay + 1 {
		for _, order := range s.inFlight[s.tick+tick] {
			if s.random.IntN(2) == 0 {
				s.engineOf(order).receive(order)
			}
		}
	}
	clear(s.inFlight)
	snapshot, err := s.machine.Snapshot()
	assert.NilError(s.t, err)
	s.machine = New()
	assert.NilError(s.t, s.machine.Restore(snapshot))
	again, err := s.machine.Snapshot()
	assert.NilError(s.t, err)
	assert.Assert(s.t, bytes.Equal(again, snapshot))
	s.term++
	assert.Assert(s.t, s.propose(Command{Leader: &LeaderStarted{Host: "control", Term: s.term}}).Accepted)
}

func (s *simulation) setTarget(weights unit.WeightsVersion) {
	s.target.Version++
	s.target.Weights = map[unit.ModelName]unit.WeightsVersion{simulatedModel: weights}
	assert.Assert(s.t, s.propose(Command{Targets: &s.target}).Accepted)
}

func (s *simulation) engineOf(o Order) *engine {
	for _, e := range s.engines {
		if e.Endpoint == o.Endpoint {
			return e
		}
	}
	return nil
}

func (s *simulation) step() {
	s.tick++
	for _, order := range s.inFlight[s.tick] {
		s.engineOf(order).receive(order)
	}
	loading := 0
	for _, e := range s.engines {
		e.tick()
		if s.faults {
			s.injectFault(e)
		}
		if e.Loading {
			loading++
		}
	}
	limit := s.machine.state.Settings.MaxLoading
	assert.Assert(s.t, loading <= limit, "tick %d: %d engines are loading, the limit is %d", s.tick, loading, limit)
	s.runLeader()
}

func (s *simulation) injectFault(e *engine) {
	switch s.random.IntN(150) {
	case 0:
		e.crash()
	case 1:
		e.unreachableTicks = s.random.IntN(60)
	}
}

// runLeader simulates one tick of the leader: report, plan, propose and send. With faults, a change of leader may interrupt
// it after a step is proposed.
func (s *simulation) runLeader() {
	var report []Observed
	for _, e := range s.engines {
		if e.unreachableTicks == 0 {
			report = append(report, e.Observed)
		}
	}
	s.pastReports = append(s.pastReports, report)
	if s.faults && s.random.IntN(3) == 0 {
		report = s.pastReports[max(0, len(s.pastReports)-1-maxOrderDelay)]
	}
	s.propose(Command{Observed: &StepObserved{Endpoints: report}})
	for _, e := range s.engines {
		e.removed = e.removed || s.machine.state.Endpoints[e.Endpoint] == nil
	}
	for _, order := range s.machine.Planned(int64(s.tick) * 1000) {
		if !order.Started {
			order = s.proposeStep(order)
		}
		if s.faults && s.random.IntN(40) == 0 {
			s.changeLeader()
			return
		}
		if !s.faults || s.random.IntN(3) > 0 {
			arrival := s.tick + 1 + s.random.IntN(maxOrderDelay)
			s.inFlight[arrival] = append(s.inFlight[arrival], order)
		}
	}
}

func (s *simulation) proposeStep(order Order) Order {
	e := s.engineOf(order)
	replaces := s.machine.state.Endpoints[order.Endpoint].Step != nil
	assert.Assert(s.t, e.Incarnation != order.Incarnation || e.Weights != order.Weights || e.Loading || replaces || s.faults)
	answer := s.propose(Command{Started: &StepStarted{Term: s.term, Order: order}})
	assert.Assert(s.t, answer.Accepted, "tick %d: planned step refused: %s", s.tick, answer.Reason)
	key := fmt.Sprint(order.Endpoint, order.Incarnation, s.target.Version)
	s.acceptedSteps[key]++
	assert.Assert(s.t, s.acceptedSteps[key] == 1 || e.removed, "tick %d: step repeated for %s", s.tick, key)
	return *answer.Order
}

func (s *simulation) finished() bool {
	for _, e := range s.engines {
		if e.Weights != s.target.Weights[simulatedModel] || e.Loading {
			return false
		}
	}
	return !s.machine.Status().Active
}

// Runs rollouts with random crashes, partitions, lost and delayed orders, delayed reports and changes of leader. Guards
// against more than MaxLoading engines loading at the same time, a repeated step, and an engine that is never updated.
func TestRolloutSurvivesFaults(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulation(t, seed, 9, true)
		settings := DefaultSettings()
		settings.MaxLoading, settings.MinServingPercent = 2+int(seed%2), 30 // so that slots limit the rollout, not serving capacity
		assert.Assert(t, s.propose(Command{Configure: &settings}).Accepted)
		for i := range 240 {
			if i%80 == 79 {
				s.setTarget([]unit.WeightsVersion{"v2", "v1", "v3"}[i/80])
			}
			s.step()
		}
		s.faults = false
		for limit := s.tick + 600; !s.finished(); s.step() {
			assert.Assert(t, s.tick < limit, "seed %d: unfinished: %+v", seed, s.machine.Status())
			if s.tick%100 == 0 {
				// Retry the steps that failed because of the faults.
				s.propose(Command{Intervention: &Intervention{Action: ActionResume, Model: simulatedModel, Operator: "ann"}})
			}
		}
	}
}

// Guards against a rollout that takes too many replicas out of service, or that loads them one by one although several
// could load at the same time.
func TestRolloutKeepsServing(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimulation(t, seed, 8, false) // MinServingPercent of 70 lets 2 of 8 load, fewer than the 3 slots
		for _, e := range s.engines {
			e.UrgentCapacity = int(seed % 2)
		}
		most := 0
		for ; !s.finished(); s.step() {
			serving := 0
			for _, e := range s.engines {
				if !e.Loading {
					serving++
				}
			}
			assert.Assert(t, serving >= 6, "tick %d: %d of 8 serve", s.tick, serving)
			most = max(most, 8-serving)
			assert.Assert(t, s.tick < 100, "unfinished")
		}
		assert.Equal(t, most, 2)
	}
}

// Guards against an unreachable engine that keeps its slot forever or loses it before RemoveAfter.
func TestVanishedEngineFreesItsSlotAfterTheTimeout(t *testing.T) {
	s := newSimulation(t, 1, 9, false)
	s.machine.state.Settings.MaxLoading = 1
	s.step()
	s.engines[0].unreachableTicks = 1000
	freed := 0
	for ; freed == 0 && s.tick < 100; s.tick++ {
		s.runLeader()
		for _, order := range s.machine.Planned(int64(s.tick) * 1000) {
			if order.Endpoint != "e00" {
				freed = s.tick
			}
		}
	}
	assert.Equal(t, time.Duration(freed-1)*time.Second, s.machine.state.Settings.RemoveAfter)
}
