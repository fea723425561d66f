package rollout

import (
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	maxNameBytes   = 256
	maxReasonBytes = 4096
	maxEndpoints   = 20_000
	maxModels      = 1024
)

// state is the whole replicated state. The encoder sorts the keys of maps, so the encoding is deterministic. Loops over the
// maps must use sorted keys wherever the order affects the result.
type state struct {
	Now       int64                             `cbor:"now"`
	Settings  Settings                          `cbor:"settings"`
	Term      uint64                            `cbor:"term"`
	Leader    unit.HostName                     `cbor:"leader"`
	Fencing   unit.FencingNumber                `cbor:"fencing"`
	Version   unit.ConfigurationVersion         `cbor:"version"`
	Models    map[unit.ModelName]*modelState    `cbor:"models"`
	Endpoints map[unit.EndpointID]*replicaState `cbor:"endpoints"`
}

type modelState struct {
	Target   unit.WeightsVersion `cbor:"target"`
	Paused   bool                `cbor:"paused"`
	Aborted  bool                `cbor:"aborted"`
	Operator string              `cbor:"operator"` // who intervened last, empty if the machine paused the model
	Reason   string              `cbor:"reason"`
	Failures int                 `cbor:"failures"`
}

type replicaState struct {
	Observed     Observed            `cbor:"observed"`
	Missing      bool                `cbor:"missing"`
	MissingSince int64               `cbor:"missing-since"`
	Step         *startedStep        `cbor:"step"`
	Failed       unit.WeightsVersion `cbor:"failed"` // target weights whose step failed in this incarnation
}

type startedStep struct {
	Model     unit.ModelName      `cbor:"model"`
	Weights   unit.WeightsVersion `cbor:"weights"`
	Fencing   unit.FencingNumber  `cbor:"fencing"`
	StartedAt int64               `cbor:"started-at"`
	SettledAt int64               `cbor:"settled-at"` // earliest time of completion, in Unix ms
}

// occupiesSlot reports whether the replica counts towards Settings.MaxLoading. A missing replica keeps its slot until it is
// removed.
func (r *replicaState) occupiesSlot() bool {
	return r.Step != nil || r.Observed.Loading
}

func (r *replicaState) serving() bool {
	return !r.Missing && !r.occupiesSlot() && !r.Observed.Draining && r.Observed.Weights != ""
}

func (r *replicaState) order() Order {
	return Order{
		Endpoint: r.Observed.Endpoint, Incarnation: r.Observed.Incarnation, Model: r.Step.Model, Weights: r.Step.Weights,
		Fencing: r.Step.Fencing, HonoursFencing: r.Observed.HonoursFencing, Started: true,
	}
}

// capacity counts the replicas of a model and the urgent requests that they can run at the same time.
type capacity struct {
	replicas, urgent               int
	servingReplicas, servingUrgent int
}

func (c *capacity) add(r *replicaState) {
	c.replicas++
	c.urgent += r.Observed.UrgentCapacity
	if r.serving() {
		c.servingReplicas++
		c.servingUrgent += r.Observed.UrgentCapacity
	}
}

// canTakeOut reports whether at least minPercent of the replicas and of the urgent capacity keep serving without r.
func (c *capacity) canTakeOut(r *replicaState, minPercent int) bool {
	if !r.serving() {
		return true
	}
	return (c.servingReplicas-1)*100 >= c.replicas*minPercent &&
		(c.servingUrgent-r.Observed.UrgentCapacity)*100 >= c.urgent*minPercent
}

func (c *capacity) remove(r *replicaState) {
	if r.serving() {
		c.servingReplicas--
		c.servingUrgent -= r.Observed.UrgentCapacity
	}
}

// Snapshot returns the whole state in its deterministic encoding.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return codec.Marshal(m.state)
}

// Restore replaces the state by a snapshot. It fails with fault.BadPeer or fault.Corrupt and then changes nothing.
func (m *Machine) Restore(snapshot []byte) error {
	var restored state
	if err := codec.Unmarshal(snapshot, &restored); err != nil {
		return err
	}
	complete := restored.Models != nil && restored.Endpoints != nil
	for _, target := range restored.Models {
		complete = complete && target != nil
	}
	for _, r := range restored.Endpoints {
		complete = complete && r != nil
	}
	if !complete {
		return fault.Corrupt.New("the snapshot lacks models or endpoints")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	return nil
}
