// Package upgrade decides which engine replica loads new weights, and when. A few replicas of a service load at a time, so
// that the others serve; a version that a newer one has replaced is skipped. A replica with long answers in hand doesn't wait for
// their end: it would serve nobody else for seconds, a quarter of all replicas at a time, and the others fall behind. An order names the number of orders that the
// replica has accepted, so that one that is carried out late can't undo a newer one.
package upgrade

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// updatingShare is the part of a service's replicas that are updated at the same time. A quarter of these are still waiting
	// out their notice; where more than a fifth loads at once, each takes longer (the installations' pages).
	updatingShare = 0.22
	// upcomingBatches is how many batches ahead of their order replicas get no long requests any more, so that an order
	// finds few running.
	upcomingBatches = 1
	// notice is how long before its order a replica gets no new requests, so that the order finds little running.
	notice = 300 * time.Millisecond
	// firstCheck is how long after an accepted order the replica is asked whether it is done; checkAgain is the time
	// between further questions.
	firstCheck, checkAgain = 450 * time.Millisecond, 150 * time.Millisecond
	// afterFailure is the pause before a replica that didn't answer is asked again.
	afterFailure = 600 * time.Millisecond
	// giveUpAfter is how long an order may take before the replica's place goes to another one.
	giveUpAfter = 6 * time.Second
	// skipFor is how long a replica that couldn't be updated is left out.
	skipFor = 1500 * time.Millisecond
)

// phase is how far the update of one replica is.
type phase uint8

const (
	phaseNotice  phase = iota // no new requests are sent there
	phaseAsking               // waiting for its status
	phaseReady                // its status is known, the order may be sent
	phaseOrdered              // waiting for the answer to the order
	phaseLoading              // the order was accepted
)

// update is the update of one replica.
type update struct {
	id       unit.EndpointID
	service  table.ServiceName
	born     int64
	model    unit.ModelName
	number   book.WeightsNumber
	phase    phase
	began    unit.Moment
	due      unit.Moment // of the next action
	waiting  bool        // for the outcome of an action
	accepted uint64      // orders that the replica has accepted
}

// Planner is a deterministic state machine, not safe for concurrent use.
type Planner struct {
	leaseWait time.Duration
	term      uint64
	termSince unit.Moment
	fenced    bool // a replica has seen a higher number than this term
	updates   map[unit.EndpointID]*update
	skipped   map[unit.EndpointID]unit.Moment
	upcoming  []unit.EndpointID
	// learned holds what replicas said of their weights and haven't yet reported.
	learned map[unit.EndpointID]Status
}

// New returns a planner. After a change of leader it sends no orders for leaseWait, so that orders of the former leader
// have arrived.
func New(leaseWait time.Duration) *Planner {
	p := &Planner{leaseWait: leaseWait}
	p.reset()
	return p
}

func (p *Planner) reset() {
	p.updates = map[unit.EndpointID]*update{}
	p.skipped = map[unit.EndpointID]unit.Moment{}
	p.learned = map[unit.EndpointID]Status{}
	p.upcoming = nil
}

// Updating returns the replicas that should get no new requests, by id.
func (p *Planner) Updating() []unit.EndpointID {
	var ids []unit.EndpointID
	for id := range p.updates {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Upcoming returns the replicas that are updated next and should get no long requests.
func (p *Planner) Upcoming() []unit.EndpointID {
	return p.upcoming
}

// Step returns the actions that are due.
func (p *Planner) Step(now unit.Moment, in Input) []Action {
	if in.Term != p.term {
		p.term, p.termSince, p.fenced = in.Term, now, false
		p.reset()
	}
	if p.term == 0 || p.fenced || now.Sub(p.termSince) < p.leaseWait {
		return nil
	}
	p.dropGone(now, in)
	p.start(now, in)
	return p.dueActions(now, in)
}

// dropGone ends the updates of replicas that left, restarted or take too long.
func (p *Planner) dropGone(now unit.Moment, in Input) {
	present := map[unit.EndpointID]Replica{}
	for _, r := range in.Replicas {
		present[r.ID] = r
	}
	for id, u := range p.updates {
		r, ok := present[id]
		switch {
		case !ok || r.Leaving || r.Born != u.born:
			delete(p.updates, id)
		case r.Weights[u.model] >= u.number && !u.waiting:
			delete(p.updates, id)
		case now.Sub(u.began) > giveUpAfter:
			delete(p.updates, id)
			p.skipped[id] = now.Add(skipFor)
		}
	}
}

// start begins updates while places are free, on the replicas with the oldest weights first and among these on those with
// the fewest long answers in hand, which an order would have to wait for.
func (p *Planner) start(now unit.Moment, in Input) {
	running := map[table.ServiceName]int{}
	total := map[table.ServiceName]int{}
	for _, r := range in.Replicas {
		if !r.Leaving {
			total[r.Service]++
		}
	}
	for _, u := range p.updates {
		running[u.service]++
	}
	waiting := slices.Clone(in.Replicas)
	slices.SortFunc(waiting, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(oldest(a, in), oldest(b, in)), cmp.Compare(a.Long, b.Long), cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID))
	})
	p.upcoming = nil
	for _, r := range waiting {
		model, number, behind := p.behind(r, in)
		if !behind || r.Leaving || p.updates[r.ID] != nil || p.skipped[r.ID] > now {
			continue
		}
		running[r.Service]++
		if most := atOnce(total[r.Service]); running[r.Service] > most {
			if running[r.Service] <= (1+upcomingBatches)*most {
				p.upcoming = append(p.upcoming, r.ID)
			}
			continue
		}
		p.updates[r.ID] = &update{
			id: r.ID, service: r.Service, born: r.Born, model: model, number: number, began: now, due: now,
		}
	}
}

// oldest is the lowest number of weights among the replica's models that newer ones are named for.
func oldest(r Replica, in Input) book.WeightsNumber {
	least := ^book.WeightsNumber(0)
	for model, number := range r.Weights {
		if number < in.Newest[model] {
			least = min(least, number)
		}
	}
	return least
}

// atOnce is how many replicas of a service are updated at the same time.
func atOnce(replicas int) int {
	return max(1, int(float64(replicas)*updatingShare+0.5))
}

// behind returns a model of the replica for which newer weights are named.
func (p *Planner) behind(r Replica, in Input) (unit.ModelName, book.WeightsNumber, bool) {
	for _, model := range slices.Sorted(maps.Keys(r.Weights)) {
		has := max(r.Weights[model], p.learned[r.ID].Weights[model])
		if newest := in.Newest[model]; newest > has {
			return model, newest, true
		}
	}
	return "", 0, false
}

// dueActions moves each update on.
func (p *Planner) dueActions(now unit.Moment, in Input) []Action {
	long := map[unit.EndpointID]bool{}
	for _, r := range in.Replicas {
		long[r.ID] = r.Long > 0
	}
	var actions []Action
	for _, id := range p.Updating() {
		u := p.updates[id]
		if u.waiting || now < u.due {
			continue
		}
		switch u.phase {
		case phaseNotice:
			// The status is asked for while the requests in hand run out.
			u.phase, u.waiting = phaseAsking, true
			actions = append(actions, Action{Replica: id, Born: u.born})
		case phaseReady:
			u.number = max(u.number, in.Newest[u.model])
			u.phase, u.waiting = phaseOrdered, true
			actions = append(actions, Action{Replica: id, Born: u.born, Order: &Order{
				Model: u.model, Number: u.number, Fencing: p.term, Expected: u.accepted, GoOn: long[id],
			}})
		case phaseAsking, phaseOrdered, phaseLoading:
			u.waiting = true
			actions = append(actions, Action{Replica: id, Born: u.born})
		}
	}
	return actions
}

// Reported takes a replica's status, or nil if it didn't answer.
func (p *Planner) Reported(now unit.Moment, action Action, status *Status) {
	u := p.of(action)
	if u == nil {
		return
	}
	if status == nil {
		if u.phase == phaseAsking {
			// A replica that can't be asked would only hold up the others.
			delete(p.updates, u.id)
			p.skipped[u.id] = now.Add(skipFor)
			return
		}
		u.due = now.Add(afterFailure)
		return
	}
	u.accepted = status.Accepted
	switch {
	case status.Weights[u.model] >= u.number && !status.Busy:
		p.done(u, *status)
	case status.Busy:
		u.phase, u.due = phaseLoading, now.Add(checkAgain)
	default:
		u.phase, u.due = phaseReady, max(now, u.began.Add(notice))
	}
}

// Answered takes a replica's answer to an order.
func (p *Planner) Answered(now unit.Moment, action Action, reply Reply) {
	u := p.of(action)
	if u == nil {
		return
	}
	switch reply {
	case ReplyAccepted:
		u.phase, u.due = phaseLoading, now.Add(firstCheck)
	case ReplyHolds:
		p.done(u, Status{Weights: map[unit.ModelName]book.WeightsNumber{u.model: action.Order.Number}, Accepted: u.accepted})
	case ReplyFenced:
		p.fenced = true
		p.reset()
	case ReplyRefused:
		delete(p.updates, u.id)
		p.skipped[u.id] = now.Add(skipFor)
	case ReplyConflict:
		u.phase, u.due = phaseAsking, now.Add(checkAgain)
	case ReplyLost:
		u.phase, u.due = phaseAsking, now.Add(afterFailure)
	}
}

// of returns the update that an outcome belongs to.
func (p *Planner) of(action Action) *update {
	u := p.updates[action.Replica]
	if u == nil || u.born != action.Born || !u.waiting {
		return nil
	}
	if action.Order != nil && action.Order.Fencing != p.term {
		return nil
	}
	u.waiting = false
	return u
}

func (p *Planner) done(u *update, status Status) {
	delete(p.updates, u.id)
	p.learned[u.id] = status
}

// Learned returns what a replica said of its weights when its update was done.
func (p *Planner) Learned(id unit.EndpointID) (Status, bool) {
	status, ok := p.learned[id]
	return status, ok
}
