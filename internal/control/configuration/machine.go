// Package configuration is the replicated state machine of the configuration. It decides which of the operators' orders
// becomes the next version, and it provides the current version and the updates that lead to it.
package configuration

import (
	"crypto/sha256"
	"maps"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// maxSheetBytes is the maximum size of a sheet, as set by section 3.8 of the design reference.
	maxSheetBytes = 32 << 20
	maxModels     = 1024
	maxNameBytes  = 256
	// minAnswersKept is the number of newest answers that are kept at any age, and the maximum number of winners.
	minAnswersKept  = 10_000
	answerRetention = 7 * 24 * time.Hour
	// maxAnswers bounds the memory taken by answers. At 250 orders a day, 7 days need 1,750 answers.
	maxAnswers = 100_000
	// At about 250 changes a day, a host that was disconnected for four days still gets deltas.
	maxDeltas     = 1024
	maxDeltaBytes = 4 << 20
)

// Machine is the replicated state machine of the configuration. It remembers its answers, so that a resent order gets the
// same answer. An order that is resent after its answer was dropped gets ReasonStaleBase if it was accepted or stale the
// first time, because its base version has a successor; no order is applied twice. Machine is safe for concurrent use:
// readers call Current and Since while the log is being applied.
type Machine struct {
	mu             sync.RWMutex
	state          state
	answers        map[unit.OrderID]int // index in state.Answers plus droppedAnswers
	droppedAnswers int                  // number of answers removed from the front of state.Answers
	deflatedCache  *deflatedSheet
}

type state struct {
	AtUnixMilli int64          `cbor:"at-unix-milli"`
	Current     Current        `cbor:"current"`
	Answers     []decidedOrder `cbor:"answers"`
	Winners     []winner       `cbor:"winners"` // of consecutive versions up to the current one
	Deltas      []versionDelta `cbor:"deltas"`  // to consecutive versions up to the current one
}

type decidedOrder struct {
	ID          unit.OrderID `cbor:"id"`
	Content     [32]byte     `cbor:"content"`
	Answer      Answer       `cbor:"answer"`
	AtUnixMilli int64        `cbor:"at-unix-milli"`
}

type winner struct {
	Version  unit.ConfigurationVersion `cbor:"version"`
	Order    unit.OrderID              `cbor:"order"`
	Operator string                    `cbor:"operator"`
}

// New returns a machine with the empty configuration, version 0.
func New() *Machine {
	m := &Machine{answers: map[unit.OrderID]int{}}
	m.state.Current.SheetDigest = digestOf(nil)
	return m
}

// Apply applies one log entry and returns the encoded Answer.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := Answer{Version: m.state.Current.Version, Reason: ReasonBadCommand}
	if command, err := DecodeCommand(data); err == nil {
		m.state.AtUnixMilli = max(m.state.AtUnixMilli, command.AtUnixMilli)
		answer = m.applyOrder(*command.Order)
	}
	result, err := codec.Marshal(answer)
	if err != nil {
		return nil
	}
	return result
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
	if !restored.consistent() {
		return fault.Corrupt.New("the versions in the snapshot aren't consecutive up to version %d", restored.Current.Version)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.droppedAnswers, m.deflatedCache = restored, 0, nil
	m.answers = make(map[unit.OrderID]int, len(restored.Answers))
	for i, remembered := range restored.Answers {
		m.answers[remembered.ID] = i
	}
	return nil
}

// consistent reports whether the winners and deltas have consecutive versions up to the current one.
func (s state) consistent() bool {
	for i, w := range s.Winners {
		if w.Version+unit.ConfigurationVersion(len(s.Winners)-1-i) != s.Current.Version {
			return false
		}
	}
	for i, d := range s.Deltas {
		if d.Version+unit.ConfigurationVersion(len(s.Deltas)-1-i) != s.Current.Version {
			return false
		}
	}
	return s.Current.Version == 0 || len(s.Winners) > 0
}

// Current returns the newest accepted configuration.
func (m *Machine) Current() Current {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Current
}

func (m *Machine) applyOrder(order Order) Answer {
	content := contentDigest(order)
	if position, known := m.answers[order.ID]; known {
		remembered := m.state.Answers[position-m.droppedAnswers]
		if remembered.Content != content {
			return Answer{Version: m.state.Current.Version, Reason: ReasonOrderReused}
		}
		return remembered.Answer
	}
	m.dropOldAnswers()
	if len(m.state.Answers) >= maxAnswers {
		return Answer{Version: m.state.Current.Version, Reason: ReasonTooManyOrders}
	}
	if tooLarge(order) {
		return Answer{Version: m.state.Current.Version, Reason: ReasonTooLarge}
	}
	answer := m.decide(order)
	m.answers[order.ID] = m.droppedAnswers + len(m.state.Answers)
	m.state.Answers = append(m.state.Answers, decidedOrder{
		ID: order.ID, Content: content, Answer: answer, AtUnixMilli: m.state.AtUnixMilli,
	})
	return answer
}

func (m *Machine) decide(order Order) Answer {
	current := m.state.Current.Version
	if order.Base > current {
		return Answer{Version: current, Reason: ReasonUnknownBase}
	}
	if order.Base < current {
		won := m.winnerOnBase(order.Base)
		return Answer{
			Version: current, WinnerOrder: won.Order, WinnerOperator: won.Operator, Reason: ReasonStaleBase,
		}
	}
	m.accept(order)
	return Answer{
		Accepted: true, Version: m.state.Current.Version, WinnerOrder: order.ID, WinnerOperator: order.Operator,
	}
}

// winnerOnBase returns the order that was accepted on the base version, or the newest accepted order if the winner on the
// base is no longer kept.
func (m *Machine) winnerOnBase(base unit.ConfigurationVersion) winner {
	first := m.state.Winners[0].Version
	if base+1 < first {
		return m.state.Winners[len(m.state.Winners)-1]
	}
	return m.state.Winners[base+1-first]
}

func (m *Machine) accept(order Order) {
	old := m.state.Current
	next := Current{
		Version: old.Version + 1, SheetDigest: old.SheetDigest, Sheet: old.Sheet, Order: order.ID, Weights: old.Weights,
	}
	if len(order.Sheet) > 0 {
		next.Sheet, next.SheetDigest = order.Sheet, digestOf(order.Sheet)
	}
	if order.Weights != nil {
		next.Weights = maps.Clone(order.Weights)
	}
	m.state.Current = next
	m.state.Winners = append(m.state.Winners, winner{Version: next.Version, Order: order.ID, Operator: order.Operator})
	if len(m.state.Winners) > minAnswersKept {
		m.state.Winners = m.state.Winners[1:]
	}
	m.appendDelta(old, next)
}

// dropOldAnswers removes answers that are both older than 7 days and not among the last 10,000.
func (m *Machine) dropOldAnswers() {
	oldest := m.state.AtUnixMilli - answerRetention.Milliseconds()
	for len(m.state.Answers) >= minAnswersKept && m.state.Answers[0].AtUnixMilli < oldest {
		delete(m.answers, m.state.Answers[0].ID)
		m.state.Answers = m.state.Answers[1:]
		m.droppedAnswers++
	}
}

func tooLarge(order Order) bool {
	if len(order.Sheet) > maxSheetBytes || len(order.Weights) > maxModels ||
		len(order.ID) > maxNameBytes || len(order.Operator) > maxNameBytes {
		return true
	}
	for model, weights := range order.Weights {
		if len(model) > maxNameBytes || len(weights) > maxNameBytes {
			return true
		}
	}
	return false
}

func contentDigest(order Order) [32]byte {
	data, err := codec.Marshal(order)
	if err != nil {
		return [32]byte{}
	}
	return sha256.Sum256(data)
}
