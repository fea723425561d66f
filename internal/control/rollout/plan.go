package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// ModelStatus is the progress of one model. Blocked is one of the Reason constants if replicas still lack the target but no
// step can be started for any of them.
type ModelStatus struct {
	Model    unit.ModelName
	Target   unit.WeightsVersion
	Replicas int // observed or missing for less than RemoveAfter
	Serving  int
	Done     int
	Loading  int
	Failed   int
	Missing  int
	Paused   bool
	Aborted  bool
	Operator string
	Reason   string
	Blocked  string
}

// Status is the progress of all models, sorted by name. While Active is true, the leader must propose StepObserved
// regularly.
type Status struct {
	Version unit.ConfigurationVersion
	Models  []ModelStatus
	Active  bool
}

// Planned returns the orders that are due: orders of started steps, which the leader sends or resends, and new ones, which
// the leader proposes as StepStarted and sends once they are accepted. It doesn't change the state. nowUnixMilli is the
// leader's wall clock.
func (m *Machine) Planned(nowUnixMilli int64) []Order {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := max(nowUnixMilli, m.state.Now)
	var orders []Order
	for _, r := range m.replicasInOrder() {
		target := m.state.Models[r.Observed.Model]
		if r.Step != nil && target != nil && target.Target == r.Step.Weights && !target.Aborted &&
			!r.Missing && !r.Observed.Loading && !m.overdue(r.Step, now) {
			orders = append(orders, r.order())
		}
	}
	return append(orders, m.newOrders()...)
}

// Status returns the progress of all models.
func (m *Machine) Status() Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	status := Status{Version: m.state.Version}
	capacities := m.capacities()
	for _, name := range slices.Sorted(maps.Keys(m.state.Models)) {
		status.Models = append(status.Models, m.modelStatus(name))
	}
	for _, r := range m.state.Endpoints {
		reason := m.refusalReason(r, 1, capacities[r.Observed.Model])
		status.Active = status.Active || r.Missing || r.occupiesSlot() || (reason != ReasonNothingToDo && reason != ReasonPaused)
	}
	return status
}

// Settings returns the settings that are in force.
func (m *Machine) Settings() Settings {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Settings
}

// newOrders returns orders for as many new steps as the free slots and the capacity of each model allow.
func (m *Machine) newOrders() []Order {
	var orders []Order
	free := m.freeSlots()
	capacities := m.capacities()
	for _, r := range m.replicasInOrder() {
		c := capacities[r.Observed.Model]
		if c == nil || m.refusalReason(r, free, c) != "" {
			continue
		}
		if !r.occupiesSlot() {
			free--
		}
		c.remove(r)
		orders = append(orders, Order{
			Endpoint: r.Observed.Endpoint, Incarnation: r.Observed.Incarnation, Model: r.Observed.Model,
			Weights: m.state.Models[r.Observed.Model].Target, HonoursFencing: r.Observed.HonoursFencing,
		})
	}
	return orders
}

// capacities returns the capacity of every model that has a target.
func (m *Machine) capacities() map[unit.ModelName]*capacity {
	capacities := make(map[unit.ModelName]*capacity, len(m.state.Models))
	for name := range m.state.Models {
		capacities[name] = &capacity{}
	}
	for _, r := range m.state.Endpoints {
		if c := capacities[r.Observed.Model]; c != nil {
			c.add(r)
		}
	}
	return capacities
}

// replicasInOrder returns the replicas in the order in which they are updated: those that aren't serving come first,
// because loading them costs no capacity, and then those with the least urgent capacity.
func (m *Machine) replicasInOrder() []*replicaState {
	return slices.SortedFunc(maps.Values(m.state.Endpoints), func(a, b *replicaState) int {
		if a.serving() != b.serving() {
			if b.serving() {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.Observed.UrgentCapacity, b.Observed.UrgentCapacity),
			cmp.Compare(a.Observed.Endpoint, b.Observed.Endpoint),
		)
	})
}

func (m *Machine) modelStatus(name unit.ModelName) ModelStatus {
	target := m.state.Models[name]
	status := ModelStatus{
		Model: name, Target: target.Target, Paused: target.Paused, Aborted: target.Aborted,
		Operator: target.Operator, Reason: target.Reason,
	}
	c, free := m.capacityOf(name), m.freeSlots()
	startable := false
	for _, r := range m.replicasInOrder() {
		if r.Observed.Model != name {
			continue
		}
		status.Replicas++
		status.Serving += count(r.serving())
		status.Done += count(r.Step == nil && r.Observed.Weights == target.Target)
		status.Loading += count(r.occupiesSlot())
		status.Failed += count(r.Failed == target.Target)
		status.Missing += count(r.Missing)
		reason := m.refusalReason(r, free, c)
		startable = startable || reason == ""
		if reason != ReasonNothingToDo && status.Blocked == "" {
			status.Blocked = reason
		}
	}
	if startable {
		status.Blocked = ""
	}
	return status
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
