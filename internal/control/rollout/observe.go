package rollout

import (
	"fmt"
	"maps"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
)

func (m *Machine) observe(observed *StepObserved) Answer {
	if len(observed.Endpoints) > maxEndpoints {
		return Answer{Reason: ReasonTooLarge}
	}
	seen := make(map[unit.EndpointID]bool, len(observed.Endpoints))
	for _, o := range observed.Endpoints {
		seen[o.Endpoint] = true
		m.observeEndpoint(o)
	}
	for id, r := range m.state.Endpoints {
		if !seen[id] && !r.Missing {
			r.Missing, r.MissingSince = true, m.state.Now
		}
	}
	return Answer{Accepted: true}
}

func (m *Machine) observeEndpoint(o Observed) {
	r := m.state.Endpoints[o.Endpoint]
	if r == nil {
		if len(m.state.Endpoints) < maxEndpoints {
			m.state.Endpoints[o.Endpoint] = &replicaState{Observed: o}
		}
		return
	}
	last := r.Observed
	if o.Incarnation < last.Incarnation || (o.Incarnation == last.Incarnation && o.Sequence < last.Sequence) {
		return
	}
	if o.Incarnation > last.Incarnation {
		// The engine has restarted, so whatever the old process was loading is gone.
		r.Step, r.Failed = nil, ""
	}
	if r.Missing && r.Step != nil {
		// No order could be sent while the endpoint was missing, so FailAfter counts from now.
		r.Step.StartedAt = m.state.Now
	}
	r.Observed, r.Missing, r.MissingSince = o, false, 0
	if r.Step != nil && o.Weights == r.Step.Weights && !o.Loading && m.state.Now >= r.Step.SettledAt {
		r.Step = nil
	}
}

// expire removes endpoints that have been missing for RemoveAfter and fails steps that had no effect within FailAfter.
func (m *Machine) expire() {
	for _, id := range slices.Sorted(maps.Keys(m.state.Endpoints)) {
		r := m.state.Endpoints[id]
		if r.Missing {
			if m.state.Now-r.MissingSince >= m.state.Settings.RemoveAfter.Milliseconds() {
				delete(m.state.Endpoints, id)
			}
			continue
		}
		if r.Step != nil && !r.Observed.Loading && m.overdue(r.Step, m.state.Now) {
			m.failStep(r)
		}
	}
}

func (m *Machine) overdue(step *startedStep, now int64) bool {
	return now-step.StartedAt >= m.state.Settings.FailAfter.Milliseconds()
}

func (m *Machine) failStep(r *replicaState) {
	step := r.Step
	r.Step = nil
	target := m.state.Models[step.Model]
	if target == nil || target.Target != step.Weights || target.Aborted || r.Observed.Weights == step.Weights {
		return
	}
	r.Failed = step.Weights
	target.Failures++
	if target.Failures >= m.state.Settings.PauseAfterFailures && !target.Paused {
		target.Paused, target.Operator = true, ""
		target.Reason = fmt.Sprintf("%d steps failed", target.Failures)
	}
}
