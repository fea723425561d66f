// Package book is the replicated state of the operators' decisions: the newest routing table and the newest version of each
// model's weights. The highest version wins; a command that is repeated or overtaken changes nothing and is accepted.
package book

import (
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// WeightsNumber orders the versions of one model's weights, from 1.
type WeightsNumber uint64

// Page is a routing table as accepted, with the document that it was read from.
type Page struct {
	Version  table.Version `cbor:"1,keyasint"`
	Table    []byte        `cbor:"2,keyasint"` // CBOR of a table.Table
	Document []byte        `cbor:"3,keyasint"` // as the operator sent it
}

// Weights names the newest weights of a model.
type Weights struct {
	Model  unit.ModelName `cbor:"1,keyasint"`
	Number WeightsNumber  `cbor:"2,keyasint"`
}

// Command is one replicated change; one field is set.
type Command struct {
	Page    *Page    `cbor:"1,keyasint,omitempty"`
	Weights *Weights `cbor:"2,keyasint,omitempty"`
}

// state is what a snapshot holds.
type state struct {
	Page    Page                             `cbor:"1,keyasint"`
	Weights map[unit.ModelName]WeightsNumber `cbor:"2,keyasint"`
}

// Machine implements the state machine of the control group. Its methods are called by one goroutine at a time.
type Machine struct {
	state   state
	changed func()
}

// New returns an empty book. The function changed is called after each change of the state, on the machine's goroutine.
func New(changed func()) *Machine {
	return &Machine{state: state{Weights: map[unit.ModelName]WeightsNumber{}}, changed: changed}
}

// Apply carries out the CBOR of a Command. Unreadable commands are ignored on every host alike.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var c Command
	if err := codec.Unmarshal(command, &c); err != nil {
		return nil
	}
	if c.Page != nil && c.Page.Version > m.state.Page.Version {
		m.state.Page = *c.Page
	}
	if c.Weights != nil && c.Weights.Number > m.state.Weights[c.Weights.Model] {
		m.state.Weights[c.Weights.Model] = c.Weights.Number
	}
	m.changed()
	return nil
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	return codec.Marshal(m.state)
}

// Restore replaces the state.
func (m *Machine) Restore(data []byte) error {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return fault.Corrupt.Wrap(err, "cannot read the snapshot of the book")
	}
	if s.Weights == nil {
		s.Weights = map[unit.ModelName]WeightsNumber{}
	}
	m.state = s
	m.changed()
	return nil
}

// Page returns the newest table; its version is 0 before the first.
func (m *Machine) Page() Page {
	return m.state.Page
}

// Weights returns the newest weights of every model that an operator has named.
func (m *Machine) Weights() map[unit.ModelName]WeightsNumber {
	copied := make(map[unit.ModelName]WeightsNumber, len(m.state.Weights))
	for model, number := range m.state.Weights {
		copied[model] = number
	}
	return copied
}
