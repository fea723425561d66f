// Package rollout updates engines to the target weights of the configuration, a few at a time.
package rollout

import (
	"maps"
	"slices"
	"sync"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Machine is the replicated state machine of the rollout. A step is committed to the log before its order is sent, so a
// new leader knows every order that may still be in flight. Which weights an engine has is taken from observations only.
// Engines that ignore fencing numbers are safe because only the holder of the leader's lease sends orders and each order
// names a target state. Machine is safe for concurrent use.
type Machine struct {
	mu    sync.RWMutex
	state state
}

// New returns a machine without targets and with DefaultSettings.
func New() *Machine {
	return &Machine{state: state{
		Settings: DefaultSettings(), Models: map[unit.ModelName]*modelState{}, Endpoints: map[unit.EndpointID]*replicaState{},
	}}
}

// Apply applies one log entry and returns the encoded Answer.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := Answer{Reason: ReasonBadCommand}
	if command, err := DecodeCommand(data); err == nil {
		m.state.Now = max(m.state.Now, command.AtUnixMilli)
		answer = m.apply(command)
		m.expire()
	}
	result, err := codec.Marshal(answer)
	if err != nil {
		return nil
	}
	return result
}

func (m *Machine) apply(command Command) Answer {
	switch {
	case command.Configure != nil:
		m.state.Settings = *command.Configure
		return Answer{Accepted: true}
	case command.Targets != nil:
		return m.setTargets(command.Targets)
	case command.Leader != nil:
		return m.recordLeader(command.Leader)
	case command.Started != nil:
		return m.startStep(command.Started)
	case command.Observed != nil:
		return m.observe(command.Observed)
	default:
		return m.intervene(command.Intervention)
	}
}

func (m *Machine) setTargets(targets *Targets) Answer {
	if targets.Version <= m.state.Version {
		return Answer{Reason: ReasonOldTarget}
	}
	if len(targets.Weights) > maxModels {
		return Answer{Reason: ReasonTooLarge}
	}
	m.state.Version = targets.Version
	for name := range m.state.Models {
		if _, ok := targets.Weights[name]; !ok {
			delete(m.state.Models, name)
		}
	}
	for name, weights := range targets.Weights {
		if old := m.state.Models[name]; old != nil && old.Target == weights {
			continue
		}
		m.state.Models[name] = &modelState{Target: weights}
		m.clearFailed(name)
	}
	return Answer{Accepted: true}
}

func (m *Machine) recordLeader(leader *LeaderStarted) Answer {
	if leader.Term <= m.state.Term {
		return Answer{Reason: ReasonOldLeader}
	}
	m.state.Term, m.state.Leader = leader.Term, leader.Host
	for _, id := range slices.Sorted(maps.Keys(m.state.Endpoints)) {
		if step := m.state.Endpoints[id].Step; step != nil {
			step.Fencing = m.nextFencing()
		}
	}
	return Answer{Accepted: true}
}

func (m *Machine) startStep(started *StepStarted) Answer {
	if started.Term != m.state.Term {
		return Answer{Reason: ReasonOldLeader}
	}
	order := started.Order
	r := m.state.Endpoints[order.Endpoint]
	if r == nil || r.Observed.Incarnation != order.Incarnation || r.Observed.Model != order.Model {
		return Answer{Reason: ReasonUnusable}
	}
	if target := m.state.Models[order.Model]; target == nil || target.Target != order.Weights {
		return Answer{Reason: ReasonOldTarget}
	}
	if r.Step != nil && r.Step.Weights == order.Weights {
		again := r.order()
		return Answer{Accepted: true, Order: &again}
	}
	if reason := m.refusalReason(r, m.freeSlots(), m.capacityOf(order.Model)); reason != "" {
		return Answer{Reason: reason}
	}
	step := &startedStep{
		Model: order.Model, Weights: order.Weights, Fencing: m.nextFencing(),
		StartedAt: m.state.Now, SettledAt: m.state.Now,
	}
	if r.Step != nil {
		step.SettledAt += m.state.Settings.MaxOrderDelay.Milliseconds()
	}
	r.Step = step
	first := r.order()
	return Answer{Accepted: true, Order: &first}
}

// refusalReason returns why no step may be started for the replica now, or "" if one may. A replica whose step for an older
// target is replaced occupies a slot already and needs no other.
func (m *Machine) refusalReason(r *replicaState, freeSlots int, c *capacity) string {
	target := m.state.Models[r.Observed.Model]
	switch {
	case target == nil || (r.Step != nil && r.Step.Weights == target.Target):
		return ReasonNothingToDo
	case r.Step == nil && r.Observed.Weights == target.Target:
		return ReasonNothingToDo
	case target.Paused || target.Aborted:
		return ReasonPaused
	case r.Missing || r.Observed.Draining || r.Failed == target.Target:
		return ReasonUnusable
	case !r.occupiesSlot() && freeSlots <= 0:
		return ReasonNoSlot
	case !c.canTakeOut(r, m.state.Settings.MinServingPercent):
		return ReasonTooFewServing
	}
	return ""
}

func (m *Machine) intervene(i *Intervention) Answer {
	target := m.state.Models[i.Model]
	if target == nil {
		return Answer{Reason: ReasonNotFound}
	}
	target.Operator, target.Reason = i.Operator, i.Reason
	switch i.Action {
	case ActionPause:
		target.Paused = true
	case ActionAbort:
		target.Aborted = true
	case ActionResume:
		target.Paused, target.Failures = false, 0
		m.clearFailed(i.Model)
	}
	return Answer{Accepted: true}
}

func (m *Machine) clearFailed(name unit.ModelName) {
	for _, r := range m.state.Endpoints {
		if r.Observed.Model == name {
			r.Failed = ""
		}
	}
}

func (m *Machine) nextFencing() unit.FencingNumber {
	m.state.Fencing++
	return m.state.Fencing
}

func (m *Machine) freeSlots() int {
	free := m.state.Settings.MaxLoading
	for _, r := range m.state.Endpoints {
		if r.occupiesSlot() {
			free--
		}
	}
	return free
}

func (m *Machine) capacityOf(name unit.ModelName) *capacity {
	var c capacity
	for _, r := range m.state.Endpoints {
		if r.Observed.Model == name {
			c.add(r)
		}
	}
	return &c
}
