package configuration

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
)

type targets = map[unit.ModelName]unit.WeightsVersion

func propose(t assert.TestingT, m *Machine, at int64, order Order) Answer {
	data, err := EncodeCommand(Command{AtUnixMilli: at, Order: &order})
	assert.NilError(t, err)
	answer, err := DecodeAnswer(m.Apply(0, data))
	assert.NilError(t, err)
	return answer
}

func restored(t assert.TestingT, m *Machine) *Machine {
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	other := New()
	assert.NilError(t, other.Restore(snapshot))
	again, err := other.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(again, snapshot), "the snapshot of a restored machine differs")
	return other
}

// naiveModel is a reference model that keeps every order and answer.
type naiveModel struct {
	orders   map[unit.OrderID]string
	answers  map[unit.OrderID]Answer
	accepted []Order
}

func (n *naiveModel) apply(order Order) Answer {
	current := unit.ConfigurationVersion(len(n.accepted))
	content := fmt.Sprintf("%+v", order)
	if old, ok := n.orders[order.ID]; ok {
		if old != content {
			return Answer{Version: current, Reason: ReasonOrderReused}
		}
		return n.answers[order.ID]
	}
	answer := Answer{Version: current, Reason: ReasonUnknownBase}
	if order.Base == current {
		n.accepted = append(n.accepted, order)
		answer = Answer{Accepted: true, Version: current + 1, WinnerOrder: order.ID, WinnerOperator: order.Operator}
	} else if order.Base < current {
		winner := n.accepted[order.Base]
		answer = Answer{
			Version: current, WinnerOrder: winner.ID, WinnerOperator: winner.Operator, Reason: ReasonStaleBase,
		}
	}
	n.orders[order.ID], n.answers[order.ID] = content, answer
	return answer
}

// Compares the machine with naiveModel over random orders and restores from snapshots. Guards against two winners on one
// base version, a resend that is applied again or gets another answer, a reused order id that is accepted, and a snapshot
// that loses part of the state.
func TestOrdersMatchNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine, model := New(), &naiveModel{orders: map[unit.OrderID]string{}, answers: map[unit.OrderID]Answer{}}
		for at := range rapid.IntRange(1, 60).Draw(t, "orders") {
			order := Order{
				ID:       unit.OrderID(fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "id"))),
				Operator: rapid.SampledFrom([]string{"ann", "bo"}).Draw(t, "operator"),
				Base:     unit.ConfigurationVersion(max(0, len(model.accepted)-1+rapid.IntRange(0, 2).Draw(t, "base"))),
				Sheet:    []byte(rapid.SampledFrom([]string{"a\n", "a\nb\n"}).Draw(t, "sheet")),
			}
			assert.DeepEqual(t, propose(t, machine, int64(at), order), model.apply(order))
			if rapid.Bool().Draw(t, "restart") {
				machine = restored(t, machine)
			}
			current := machine.Current()
			assert.Equal(t, int(current.Version), len(model.accepted))
			if len(model.accepted) > 0 {
				assert.Equal(t, string(current.Sheet), string(model.accepted[len(model.accepted)-1].Sheet))
			}
		}
	})
}

// Guards against dropping an answer that is younger than 7 days or among the last 10,000, and against applying an order
// again after its answer was dropped.
func TestAnswersAreForgottenOnlyWhenOldAndMany(t *testing.T) {
	machine := New()
	first := Order{ID: "first", Operator: "ann", Sheet: []byte("a\n")}
	accepted := propose(t, machine, 0, first)
	at := answerRetention.Milliseconds()
	propose(t, machine, 2*at, Order{ID: "late", Operator: "bo", Sheet: []byte("b\n")})
	assert.DeepEqual(t, propose(t, machine, 2*at, first), accepted) // old, but among the last 10,000
	machine = New()
	propose(t, machine, 0, first)
	for i := range minAnswersKept {
		propose(t, machine, at, Order{ID: unit.OrderID(fmt.Sprint(i)), Operator: "bo", Base: 0, Sheet: []byte("b\n")})
	}
	assert.DeepEqual(t, propose(t, machine, at, first), accepted) // 7 days old to the millisecond
	assert.Equal(t, propose(t, machine, at+1, Order{ID: "x", Operator: "bo", Sheet: []byte("b\n")}).Reason, ReasonStaleBase)
	resent := propose(t, machine, at+1, first)
	assert.DeepEqual(t, resent, Answer{Version: 1, WinnerOrder: "first", WinnerOperator: "ann", Reason: ReasonStaleBase})
	assert.Equal(t, machine.Current().Version, unit.ConfigurationVersion(1))
	snapshot, err := machine.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, machine.Restore(snapshot)) // into a machine that has dropped answers
	assert.DeepEqual(t, propose(t, machine, at+1, first), resent)
}

// Guards against remembered answers that accumulate without limit, and accepted orders that exceed a size limit.
func TestOrdersOverABoundAreRefused(t *testing.T) {
	machine := New()
	for i := range maxAnswers {
		id := unit.OrderID(fmt.Sprint(i))
		machine.answers[id] = i
		machine.state.Answers = append(machine.state.Answers, decidedOrder{ID: id})
	}
	order := Order{ID: "x", Operator: "ann", Sheet: []byte("a\n")}
	assert.Equal(t, propose(t, machine, 0, order).Reason, ReasonTooManyOrders)
	order.Sheet = make([]byte, maxSheetBytes+1)
	assert.Equal(t, propose(t, New(), 0, order).Reason, ReasonTooLarge)
}

// Guards against an update that leads from some earlier version to a configuration other than the current one.
func TestSinceLeadsToCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := New()
		history := []Current{machine.Current()}
		for at := range rapid.IntRange(1, 20).Draw(t, "changes") {
			order := Order{ID: unit.OrderID(fmt.Sprint(at)), Operator: "ann", Base: machine.Current().Version}
			if rapid.Bool().Draw(t, "weights-only") {
				order.Weights = targets{"m": unit.WeightsVersion(fmt.Sprint(at))}
			} else {
				lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "\n", "c"}), 1, 8).Draw(t, "lines")
				for _, line := range lines {
					order.Sheet = append(order.Sheet, line...)
				}
			}
			assert.Assert(t, propose(t, machine, int64(at), order).Accepted)
			history = append(history, machine.Current())
			whole, err := machine.Since(0).Apply(Current{})
			assert.NilError(t, err)
			assert.DeepEqual(t, whole, machine.Current())
		}
		base := history[rapid.IntRange(0, len(history)-1).Draw(t, "base")]
		update := machine.Since(base.Version)
		assert.Equal(t, update.Empty(), base.Version == machine.Current().Version)
		next, err := update.Apply(base)
		assert.NilError(t, err)
		assert.DeepEqual(t, next, machine.Current())
	})
}

func largeSheet(rows int) [][]byte {
	source := rand.New(rand.NewPCG(1, 1))
	var lines [][]byte
	for i := range rows {
		lines = append(lines, fmt.Appendf(nil, "customer,c%05d,%d,%016x%016x\n", i, i%90, source.Uint64(), source.Uint64()))
	}
	return lines
}

// Guards against an incomplete update for a version whose deltas were dropped, and deltas that accumulate without limit.
func TestSinceGivesTheWholeForAnOldBase(t *testing.T) {
	machine := New()
	for i := range unit.ConfigurationVersion(maxDeltas + 2) {
		propose(t, machine, 0, Order{ID: unit.OrderID(fmt.Sprint(i)), Operator: "ann", Base: i, Weights: targets{}})
	}
	assert.Equal(t, len(machine.state.Deltas), maxDeltas)
	assert.Assert(t, machine.Since(1).Whole && !machine.Since(2).Whole)
}

// Guards against sending a whole sheet of 30,000 customers to every host when two rows change, and against applying a delta
// to the wrong base.
func TestDeltaOfOneRowIsSmall(t *testing.T) {
	lines := largeSheet(30_000)
	machine := New()
	propose(t, machine, 0, Order{ID: "1", Operator: "ann", Sheet: bytes.Join(lines, nil)})
	base := machine.Current()
	lines[17_000] = []byte("customer,c17000,91,x\n")
	lines = append(lines[:100], lines[101:]...)
	propose(t, machine, 0, Order{ID: "2", Operator: "ann", Base: 1, Sheet: bytes.Join(lines, nil)})
	update := machine.Since(1)
	assert.Assert(t, !update.Whole && update.Deltas[0].size() < 300, "%d bytes", update.Deltas[0].size())
	next, err := update.Apply(base)
	assert.NilError(t, err)
	assert.DeepEqual(t, next, machine.Current())
	base.Sheet = base.Sheet[1:]
	_, err = update.Apply(base)
	assert.ErrorContains(t, err, "delta belongs to sheet")
	t.Logf("whole %d bytes, deflated %d bytes, delta %d bytes",
		len(next.Sheet), len(machine.Since(0).Deflated), update.Deltas[0].size())
}

// Guards against an invalid log entry or snapshot that crashes a control host.
func FuzzDecodeCommand(f *testing.F) {
	seed, err := EncodeCommand(Command{Order: &Order{ID: "1", Operator: "ann", Sheet: []byte("a\n")}})
	assert.NilError(f, err)
	f.Add(seed)
	for _, invalid := range []state{
		{Current: Current{Version: 1}},
		{Current: Current{Version: 2}, Winners: []winner{{Version: 1}}},
		{Current: Current{Version: 2}, Winners: []winner{{Version: 2}}, Deltas: []versionDelta{{Version: 9}}},
	} {
		data, err := codec.Marshal(invalid)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if other := New(); other.Restore(data) == nil {
			propose(t, other, 0, Order{ID: "1", Operator: "ann", Base: 1, Sheet: []byte("a\n")})
			other.Since(1)
		}
		machine := New()
		answer, err := DecodeAnswer(machine.Apply(1, data))
		assert.NilError(t, err)
		_, decodeErr := DecodeCommand(data)
		assert.Equal(t, decodeErr != nil, answer.Reason == ReasonBadCommand)
	})
}

func BenchmarkApplyOneRowOf30000(b *testing.B) {
	lines := largeSheet(30_000)
	machine := New()
	propose(b, machine, 0, Order{ID: "0", Operator: "ann", Sheet: bytes.Join(lines, nil)})
	i := 0
	for b.Loop() {
		i++
		lines[i%len(lines)] = fmt.Appendf(nil, "customer,changed %d\n", i)
		order := Order{ID: unit.OrderID(fmt.Sprint(i)), Operator: "ann", Base: machine.Current().Version}
		order.Sheet = bytes.Join(lines, nil)
		propose(b, machine, 0, order)
	}
}
