// Package control_test checks that histories of concurrent clients are linearizable against sequential models of the state
// machines.
package control_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/configuration"
	"github.com/citronglade/citronglade/internal/control/ledger"
)

const historyCount = 300

func newCluster(t *testing.T, seed uint64, create func() machine, decode func([]byte) any) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), applied: make([]int, 3), decode: decode}
	for range c.applied {
		c.replicas = append(c.replicas, create())
	}
	return c
}

func checkHistory(t *testing.T, model porcupine.Model, history []porcupine.Operation, seed uint64) {
	result := porcupine.CheckOperationsTimeout(model, history, 20*time.Second)
	assert.Equal(t, result, porcupine.Ok, "seed %d: %d operations", seed, len(history))
}

// operator is a client that sends orders based on the last version it saw and resends an order whose answer was lost.
type operator struct {
	name       string
	ordersLeft int
	base       unit.ConfigurationVersion
	order      configuration.Order
}

func (o *operator) next(reply []byte, at int64) ([]byte, any) {
	if reply != nil {
		answer, _ := configuration.DecodeAnswer(reply)
		o.base = answer.Version
	}
	if reply != nil || o.order.ID == "" {
		if o.ordersLeft--; o.ordersLeft < 0 {
			return nil, nil
		}
		id := unit.OrderID(fmt.Sprint(o.name, o.ordersLeft))
		o.order = configuration.Order{ID: id, Operator: o.name, Base: o.base, Sheet: []byte(id)}
	}
	data, _ := configuration.EncodeCommand(configuration.Command{AtUnixMilli: at, Order: &o.order})
	return data, o.order
}

// decision is the first result of an order. version is 0 if the order was refused.
type decision struct {
	id            unit.OrderID
	base, version unit.ConfigurationVersion
}

// configurationModel is the sequential model of the configuration. Its state lists the decisions in the order of the log.
var configurationModel = porcupine.Model{
	Init:  func() any { return []decision(nil) },
	Equal: func(x, y any) bool { return slices.Equal(x.([]decision), y.([]decision)) },
	Step: func(state, input, output any) (bool, any) {
		decisions, order := state.([]decision), input.(configuration.Order)
		current, own, winner := unit.ConfigurationVersion(0), decision{}, unit.OrderID("")
		for _, d := range decisions {
			current = max(current, d.version)
			if d.id == order.ID {
				own = d
			}
			if d.version > 0 && d.base == order.Base {
				winner = d.id
			}
		}
		if own.id == "" {
			own = decision{id: order.ID, base: order.Base}
			if order.Base == current {
				own.version, winner = current+1, order.ID
			}
			decisions = append(slices.Clone(decisions), own)
		}
		if output == nil {
			return true, decisions
		}
		answer := output.(configuration.Answer)
		return answer.Accepted == (own.version > 0) && answer.WinnerOrder == winner &&
			(!answer.Accepted || answer.Version == own.version), decisions
	},
}

// Guards against two orders that are accepted on the same base version, a resend that gets another answer, replicas whose
// states differ, and answers that no sequential execution of the orders explains.
func TestConfigurationHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(historyCount) {
		c := newCluster(t, seed, func() machine { return configuration.New() }, func(data []byte) any {
			answer, err := configuration.DecodeAnswer(data)
			assert.NilError(t, err)
			return answer
		})
		var clients []client
		for i := range 4 {
			clients = append(clients, &operator{name: fmt.Sprint("operator", i, "-"), ordersLeft: 4})
		}
		checkHistory(t, configurationModel, c.run(clients), seed)
	}
}

// entryHost is a client that claims keys, executes the requests that are granted and finishes their claims. It sometimes
// restarts with a new incarnation and abandons its claim.
type entryHost struct {
	random              *rand.Rand
	executions          map[string]int
	name                unit.HostName
	incarnation         unit.Incarnation
	claimsLeft, resends int
	claim               ledger.Claim
	finish              *ledger.Finish
}

func (h *entryHost) next(reply []byte, at int64) ([]byte, any) {
	h.handleReply(reply)
	if h.claim.Key == "" {
		if h.claimsLeft--; h.claimsLeft < 0 {
			return nil, nil
		}
		h.finish, h.resends = nil, 0
		h.claim = ledger.Claim{
			Customer: "c", Key: fmt.Sprint("k", h.random.IntN(3)), Owner: h.name, OwnerIncarnation: h.incarnation,
			Request: unit.RequestID(fmt.Sprint(h.name, "-", h.claimsLeft)), HoldMilli: 20,
		}
	}
	command := ledger.Command{Finish: h.finish}
	if h.finish == nil {
		h.claim.AtUnixMilli = at
		command.Claim = &h.claim
	} else {
		h.finish.AtUnixMilli = at
	}
	data, _ := ledger.EncodeCommand(command)
	decoded, _ := ledger.DecodeCommand(data)
	return data, decoded
}

func (h *entryHost) handleReply(data []byte) {
	reply, _ := ledger.DecodeReply(data)
	switch {
	case h.claim.Key == "":
	case h.random.IntN(12) == 0:
		h.incarnation++
		h.claim.Key = ""
	case data == nil && h.resends < 3:
		h.resends++
	case h.finish != nil || (data != nil && reply.State != ledger.StateGranted):
		h.claim.Key = ""
	case data == nil || h.random.IntN(4) == 0:
		h.finishAs(unit.OutcomeNotRun) // the reply to the claim was lost, or the endpoint refused the connection
	default:
		h.executions[h.claim.Key]++
		h.finishAs(unit.OutcomeDone)
	}
}

func (h *entryHost) finishAs(outcome unit.Outcome) {
	h.resends = 0
	h.finish = &ledger.Finish{
		Customer: "c", Key: h.claim.Key, Owner: h.name, OwnerIncarnation: h.claim.OwnerIncarnation,
		Request: h.claim.Request, Outcome: outcome, Body: []byte(h.claim.Request),
	}
}

type ledgerState struct {
	owner, phase, cancelled string
}

// ledgerModel is the sequential model of one key. It has no time, so an open claim may be either in progress or unknown.
var ledgerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			command := operation.Input.(ledger.Command)
			key := ""
			if command.Claim != nil {
				key = command.Claim.Key
			} else {
				key = command.Finish.Key
			}
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return ledgerState{} },
	Step: func(state, input, output any) (bool, any) {
		s, command := state.(ledgerState), input.(ledger.Command)
		var want []string
		if command.Claim != nil {
			want = s.claim(string(command.Claim.Request))
		} else {
			want = s.finish(string(command.Finish.Request), command.Finish.Outcome)
		}
		if output == nil {
			return true, s
		}
		reply := output.(ledger.Reply)
		if reply.State == ledger.StateStaleOwner {
			return true, state
		}
		for _, allowed := range want {
			if reply.State == allowed && (allowed != ledger.StateDone || string(reply.Body) == s.owner) {
				return true, s
			}
		}
		return false, s
	},
}

func (s *ledgerState) claim(request string) []string {
	switch {
	case strings.Contains(s.cancelled, request+";"):
		return []string{ledger.StateNotRun}
	case s.phase == "":
		s.owner, s.phase = request, "open"
		return []string{ledger.StateGranted}
	case s.phase == "open" && s.owner == request:
		return []string{ledger.StateGranted}
	case s.phase == "open":
		return []string{ledger.StateInProgress, ledger.StateUnknown}
	}
	return []string{s.phase}
}

func (s *ledgerState) finish(request string, outcome unit.Outcome) []string {
	notRun := outcome == unit.OutcomeNotRun
	switch {
	case strings.Contains(s.cancelled, request+";"):
		return []string{ledger.StateNotRun}
	case s.phase != "" && s.owner != request:
		if notRun {
			s.cancelled += request + ";"
		}
		return []string{ledger.StateConflict}
	case s.phase == ledger.StateDone:
	case notRun:
		s.cancelled += request + ";"
		s.owner, s.phase = "", ""
		return []string{ledger.StateNotRun}
	case s.phase == "":
		return []string{ledger.StateNotFound, ledger.StateConflict}
	default:
		s.phase = ledger.StateDone
	}
	return []string{s.phase}
}

// Guards against a key whose request is executed twice, a resend that gets another answer, replicas whose states differ, and
// replies that no sequential execution of the claims and finishes explains.
func TestLedgerHistoriesAreLinearizable(t *testing.T) {
	executed := 0
	for seed := range uint64(historyCount) {
		c := newCluster(t, seed, func() machine { return ledger.New() }, func(data []byte) any {
			reply, err := ledger.DecodeReply(data)
			assert.NilError(t, err)
			return reply
		})
		executions := map[string]int{}
		var clients []client
		for i := range 5 {
			clients = append(clients, &entryHost{
				random: c.random, executions: executions, name: unit.HostName(fmt.Sprint("h", i)), incarnation: 1, claimsLeft: 5,
			})
		}
		checkHistory(t, ledgerModel, c.run(clients), seed)
		for key, count := range executions {
			assert.Assert(t, count <= 1, "seed %d: %s ran %d times", seed, key, count)
			executed++
		}
	}
	assert.Assert(t, executed > historyCount, "only %d executions", executed)
}
