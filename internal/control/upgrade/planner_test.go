package upgrade

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
)

const (
	leaseWait    = 3 * time.Second
	stepInterval = 50 * time.Millisecond
)

// simReplica simulates a replica, which checks orders and takes 900 ms to load weights.
type simReplica struct {
	id             unit.EndpointID
	born           int64
	weights        decisions.WeightsNumber
	accepted       uint64
	loading        decisions.WeightsNumber
	doneAt         unit.Moment
	highestFencing uint64
	crashed        bool
}

func (r *simReplica) finishLoading(now unit.Moment) {
	if r.loading != 0 && now >= r.doneAt {
		r.weights, r.loading = r.loading, 0
	}
}

func (r *simReplica) receive(now unit.Moment, o Order) Reply {
	r.finishLoading(now)
	switch {
	case o.Fencing < r.highestFencing:
		return ReplyFenced
	case r.loading != 0 || o.Expected != r.accepted:
		return ReplyConflict
	case o.Number == r.weights:
		return ReplyUpToDate
	}
	r.highestFencing = o.Fencing
	r.accepted++
	r.loading, r.doneAt = o.Number, now.Add(900*time.Millisecond)
	return ReplyAccepted
}

// simulation runs a planner against replicas over virtual time.
type simulation struct {
	random        *rand.Rand
	now           unit.Moment
	replicas      []*simReplica
	planner       *Planner
	newest        decisions.WeightsNumber
	term          uint64
	orderLoss     float64 // probability that an order gets no answer and is executed late
	delayedOrders []delayedOrder
	maxUpdating   int // maximum number of replicas that were updated at the same time
	wentBack      bool
	answerTime    time.Duration // how long running answers still take
	updatingTime  time.Duration // sum over all replicas
}

type delayedOrder struct {
	at      unit.Moment
	replica *simReplica
	born    int64
	order   Order
}

func newSimulation(seed uint64, count int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), planner: New(leaseWait), newest: 1, term: 1}
	for i := range count {
		s.replicas = append(s.replicas, &simReplica{id: unit.EndpointID(fmt.Sprintf("r%02d", i)), born: 1, weights: 1})
	}
	return s
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(stepInterval) {
		s.deliverDelayed()
		input := Input{Newest: map[unit.ModelName]decisions.WeightsNumber{"m": s.newest}, Term: s.term}
		for _, r := range s.replicas {
			before := r.weights
			r.finishLoading(s.now)
			s.wentBack = s.wentBack || r.weights < before
			if !r.crashed {
				known := Replica{ID: r.id, Service: "s", Born: r.born, Weights: map[unit.ModelName]decisions.WeightsNumber{"m": r.weights}}
				if s.answerTime > 0 {
					known.LongRequests, known.RunningRequests = 3, 3
				}
				input.Replicas = append(input.Replicas, known)
			}
		}
		actions := s.planner.Step(s.now, input)
		s.maxUpdating = max(s.maxUpdating, len(s.planner.Updating()))
		s.updatingTime += time.Duration(len(s.planner.Updating())) * stepInterval
		for _, action := range actions {
			s.execute(action)
		}
	}
}

func (s *simulation) execute(action Action) {
	at := slices.IndexFunc(s.replicas, func(r *simReplica) bool { return r.id == action.Replica })
	r := s.replicas[at]
	switch {
	case action.Order == nil && r.crashed:
		s.planner.HandleStatus(s.now, action, nil)
	case action.Order == nil:
		s.planner.HandleStatus(s.now, action, &Status{
			Weights: map[unit.ModelName]decisions.WeightsNumber{"m": r.weights}, Busy: r.loading != 0, Accepted: r.accepted,
		})
	case r.crashed:
		s.planner.HandleReply(s.now, action, ReplyMissing)
	case s.random.Float64() < s.orderLoss:
		delay := time.Duration(2+s.random.IntN(10)) * time.Second
		s.delayedOrders = append(s.delayedOrders, delayedOrder{s.now.Add(delay), r, r.born, *action.Order})
		s.planner.HandleReply(s.now, action, ReplyMissing)
	default:
		reply := r.receive(s.now, *action.Order)
		if reply == ReplyAccepted && !action.Order.KeepRequests {
			r.doneAt = r.doneAt.Add(s.answerTime)
		}
		s.planner.HandleReply(s.now, action, reply)
	}
}

func (s *simulation) deliverDelayed() {
	s.delayedOrders = slices.DeleteFunc(s.delayedOrders, func(d delayedOrder) bool {
		if d.at > s.now {
			return false
		}
		if d.replica.born == d.born && !d.replica.crashed {
			d.replica.receive(s.now, d.order)
		}
		return true
	})
}

func (s *simulation) restart(r *simReplica) {
	r.born++
	r.accepted, r.loading, r.highestFencing, r.crashed = 0, 0, 0, false
}

func (s *simulation) updated() int {
	count := 0
	for _, r := range s.replicas {
		if r.weights == s.newest {
			count++
		}
	}
	return count
}

// Guards against an upgrade that never ends or is undone by an order that is executed late, while orders are lost, replicas
// restart or crash, and the leader changes.
func TestUpgradesEndWhateverHappensToOrders(t *testing.T) {
	for seed := range uint64(300) {
		s := newSimulation(seed, 9)
		s.run(4 * time.Second)
		s.orderLoss = 0.4
		for range 3 {
			s.newest++
			s.run(time.Duration(1+s.random.IntN(5)) * time.Second)
			switch r := s.replicas[s.random.IntN(len(s.replicas))]; s.random.IntN(4) {
			case 0:
				s.restart(r)
			case 1:
				r.crashed = true
			case 2:
				s.term++
			}
		}
		for _, r := range s.replicas {
			if r.crashed {
				s.restart(r)
			}
		}
		s.orderLoss = 0
		s.run(40 * time.Second)
		assert.Equal(t, s.updated(), len(s.replicas), "seed %d", seed)
		assert.Assert(t, !s.wentBack, "seed %d: weights went back", seed)
	}
}

// Guards against an upgrade that updates more than maxUpdatingShare of a service at the same time, or that takes so long that
// requests may no longer start on the replicas that are updated last. Two updates of 1.3 s each leave room within the limit
// of 10 s.
func TestAnUpgradeKeepsItsShareAndEndsInTime(t *testing.T) {
	cases := []struct {
		replicas, maxUpdating int
	}{{1, 1}, {2, 1}, {9, 2}, {18, 4}, {90, 20}, {240, 53}}
	for _, c := range cases {
		s := newSimulation(1, c.replicas)
		s.run(4 * time.Second)
		s.newest++
		s.run(8 * time.Second)
		assert.Equal(t, s.updated(), c.replicas)
		assert.Equal(t, s.maxUpdating, c.maxUpdating)
	}
}

// Guards against updates that wait for long answers. New weights arrive while every replica is generating answers that take
// 3 s. Each order that waited for them kept its replica from serving for as long: on the enlarged site, a quarter of 67
// replicas for 8 s, while the others fell behind.
func TestLongAnswersDoNotHoldUpAnUpgrade(t *testing.T) {
	s := newSimulation(1, 18)
	s.answerTime = 3 * time.Second
	s.run(4 * time.Second)
	s.newest++
	s.run(8 * time.Second)
	assert.Equal(t, s.updated(), len(s.replicas))
	assert.Assert(t, s.updatingTime <= time.Duration(len(s.replicas))*2*time.Second, "replicas were kept from serving for %s in all", s.updatingTime)
}

// Guards against two leaders that send orders to the same replica at the same time.
func TestANewLeaderWaitsForTheFormerOne(t *testing.T) {
	s := newSimulation(1, 3)
	s.run(4 * time.Second)
	s.newest++
	s.term++
	s.run(leaseWait - stepInterval)
	assert.Equal(t, len(s.planner.Updating()), 0)
	s.run(8 * time.Second)
	assert.Equal(t, s.updated(), 3)
}

// Guards against crashed replicas that keep replicas that could be updated from being updated.
func TestReplicasThatDoNotAnswerHoldNobodyUp(t *testing.T) {
	s := newSimulation(1, 18)
	s.run(4 * time.Second)
	s.newest++
	// The registry still lists the crashed replicas.
	crashed := map[unit.EndpointID]bool{"r00": true, "r01": true, "r02": true, "r03": true, "r04": true}
	for end := s.now.Add(9 * time.Second); s.now < end; s.now = s.now.Add(stepInterval) {
		input := Input{Newest: map[unit.ModelName]decisions.WeightsNumber{"m": s.newest}, Term: s.term}
		for _, r := range s.replicas {
			r.finishLoading(s.now)
			input.Replicas = append(input.Replicas, Replica{ID: r.id, Service: "s", Born: r.born, Weights: map[unit.ModelName]decisions.WeightsNumber{"m": r.weights}})
		}
		for _, action := range s.planner.Step(s.now, input) {
			if crashed[action.Replica] {
				s.planner.HandleStatus(s.now, action, nil)
			} else {
				s.execute(action)
			}
		}
	}
	assert.Equal(t, s.updated(), 13)
}
