package control

import (
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/control/configuration"
	"github.com/citronglade/citronglade/internal/control/rollout"
)

// The first byte of a command of group 0 names the state machine that it is for.
const (
	prefixConfiguration = 'c'
	prefixRollout       = 'r'
)

// mainMachine is the state machine of group 0. It combines the configuration and the rollout of the configuration's weights.
type mainMachine struct {
	configuration *configuration.Machine
	rollout       *rollout.Machine
}

// mainSnapshot holds the snapshots of both state machines.
type mainSnapshot struct {
	Configuration []byte `cbor:"1,keyasint"`
	Rollout       []byte `cbor:"2,keyasint"`
}

// Apply applies the command to its state machine. An accepted configuration sets the rollout's targets in the same step, so that
// they agree also after a crash.
func (m *mainMachine) Apply(index uint64, command []byte) []byte {
	if len(command) == 0 {
		return nil
	}
	switch command[0] {
	case prefixConfiguration:
		before := m.configuration.Current().Version
		result := m.configuration.Apply(index, command[1:])
		if current := m.configuration.Current(); current.Version != before {
			m.setRolloutTargets(index, command[1:], current)
		}
		return result
	case prefixRollout:
		return m.rollout.Apply(index, command[1:])
	default:
		return nil
	}
}

// Snapshot returns the snapshots of both state machines.
func (m *mainMachine) Snapshot() ([]byte, error) {
	first, err := m.configuration.Snapshot()
	if err != nil {
		return nil, err
	}
	second, err := m.rollout.Snapshot()
	if err != nil {
		return nil, err
	}
	return codec.Marshal(mainSnapshot{Configuration: first, Rollout: second})
}

// Restore replaces the state of both state machines.
func (m *mainMachine) Restore(data []byte) error {
	var snapshot mainSnapshot
	if err := codec.Unmarshal(data, &snapshot); err != nil {
		return fault.Corrupt.Wrap(err, "cannot decode the snapshot of group 0")
	}
	if err := m.configuration.Restore(snapshot.Configuration); err != nil {
		return err
	}
	return m.rollout.Restore(snapshot.Rollout)
}

// setRolloutTargets sets the rollout's targets to the weights of the current configuration, at the time of the order that changed it.
func (m *mainMachine) setRolloutTargets(index uint64, order []byte, current configuration.Current) {
	decoded, err := configuration.DecodeCommand(order)
	if err != nil {
		return
	}
	command, err := rollout.EncodeCommand(rollout.Command{
		AtUnixMilli: decoded.AtUnixMilli,
		Targets:     &rollout.Targets{Version: current.Version, Weights: current.Weights},
	})
	if err == nil {
		m.rollout.Apply(index, command)
	}
}
