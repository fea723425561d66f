// Package decisions holds the replicated state of the operators' decisions: the newest routing table and the newest version of each
// model's weights. The highest version takes effect; a command that is repeated or outdated is accepted and changes nothing.
package decisions

import (
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// WeightsNumber orders the versions of one model's weights, from 1.
type WeightsNumber uint64

// AcceptedTable is an accepted routing table with the document that it was read from.
type AcceptedTable struct {
	Version  table.Version `cbor:"1,keyasint"`
	Table    []byte        `cbor:"2,keyasint"` // CBOR of a table.Table
	Document []byte        `cbor:"3,keyasint"` // as the operator sent it
}

// Weights is an operator's decision that a model should use the weights with the given number.
type Weights struct {
	Model  unit.ModelName `cbor:"1,keyasint"`
	Number WeightsNumber  `cbor:"2,keyasint"`
}

// Command is one log entry; one field is set.
type Command struct {
	Table   *AcceptedTable `cbor:"1,keyasint,omitempty"`
	Weights *Weights       `cbor:"2,keyasint,omitempty"`
}

// state is the whole replicated state, which is also the content of a snapshot.
type state struct {
	Table   AcceptedTable                    `cbor:"1,keyasint"`
	Weights map[unit.ModelName]WeightsNumber `cbor:"2,keyasint"`
}

// Machine is the replicated state machine of the control group. Its methods must be called by one goroutine at a time.
type Machine struct {
	state    state
	onChange func()
}

// New returns a machine without a routing table and weights. onChange is called after each applied command and each restored
// snapshot, on the goroutine that called Apply or Restore.
func New(onChange func()) *Machine {
	return &Machine{state: state{Weights: map[unit.ModelName]WeightsNumber{}}, onChange: onChange}
}

// Apply applies a CBOR-encoded Command. A command that can't be decoded is ignored, on every host in the same way.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var c Command
	if err := codec.Unmarshal(command, &c); err != nil {
		return nil
	}
	if c.Table != nil && c.Table.Version > m.state.Table.Version {
		m.state.Table = *c.Table
	}
	if c.Weights != nil && c.Weights.Number > m.state.Weights[c.Weights.Model] {
		m.state.Weights[c.Weights.Model] = c.Weights.Number
	}
	m.onChange()
	return nil
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	return codec.Marshal(m.state)
}

// Restore replaces the state by a snapshot. It fails with fault.Corrupt and then changes nothing.
func (m *Machine) Restore(data []byte) error {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return fault.Corrupt.Wrap(err, "cannot decode the snapshot of the operators' decisions")
	}
	if s.Weights == nil {
		s.Weights = map[unit.ModelName]WeightsNumber{}
	}
	m.state = s
	m.onChange()
	return nil
}

// Table returns the newest routing table; its version is 0 if there is none yet.
func (m *Machine) Table() AcceptedTable {
	return m.state.Table
}

// Weights returns the number of the newest weights of each model for which an operator has chosen weights.
func (m *Machine) Weights() map[unit.ModelName]WeightsNumber {
	copied := make(map[unit.ModelName]WeightsNumber, len(m.state.Weights))
	for model, number := range m.state.Weights {
		copied[model] = number
	}
	return copied
}
