// Package upgrade decides which engine replicas load new weights, and when. Only a few replicas of a service load at the same
// time, so that the others keep serving. A version that a newer one has replaced is skipped. A replica that is generating long
// answers doesn't wait for their end: waiting would keep it from other requests for seconds, a quarter of all replicas at a
// time, and the remaining replicas would fall behind. An order contains the number of orders that the replica has accepted
// before, so that an order that is executed late can't undo a newer one.
package upgrade

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// maxUpdatingShare is the share of a service's replicas that are updated at the same time. A quarter of these are still
	// draining. If more than a fifth of the replicas load at once, each load takes longer, according to the pages of the
	// installations.
	maxUpdatingShare = 0.22
	// upcomingBatches is the number of batches after the current one whose replicas get no more long requests, so that few
	// are running when the order is sent.
	upcomingBatches = 1
	// drainTime is how long a replica gets no new requests before the order is sent, so that few are running by then.
	drainTime = 300 * time.Millisecond
	// firstPollDelay is the time from an accepted order to the first request of the replica's status; pollInterval is the
	// time between further ones.
	firstPollDelay, pollInterval = 450 * time.Millisecond, 150 * time.Millisecond
	// retryDelay is the time after which the status is requested again from a replica that didn't answer.
	retryDelay = 600 * time.Millisecond
	// updateTimeout is how long the update of a replica may take before it is abandoned in favour of another replica.
	updateTimeout = 6 * time.Second
	// skipDuration is how long a replica that couldn't be updated is skipped.
	skipDuration = 1500 * time.Millisecond
)

// phase is the progress of one replica's update.
type phase uint8

const (
	phaseDraining phase = iota // the replica gets no new requests from now on
	phaseQuerying              // waiting for the replica's status
	phaseReady                 // the status is known, the order may be sent
	phaseOrdered               // waiting for the answer to the order
	phaseLoading               // the order was accepted
)

// update is the update of one replica.
type update struct {
	id             unit.EndpointID
	service        table.ServiceName
	born           int64
	model          unit.ModelName
	number         decisions.WeightsNumber
	phase          phase
	startedAt      unit.Moment
	dueAt          unit.Moment // time of the next action
	pending        bool        // the outcome of an action isn't known yet
	acceptedOrders uint64      // orders that the replica has accepted
}

// Planner is a deterministic state machine, not safe for concurrent use.
type Planner struct {
	leaseWait    time.Duration
	term         uint64
	termSince    unit.Moment
	fenced       bool // a replica has seen a higher fencing number than this term
	updates      map[unit.EndpointID]*update
	skipped      map[unit.EndpointID]unit.Moment
	nextReplicas []unit.EndpointID
	// finalStatus holds the status with which the update of a replica ended. Input may not reflect it yet.
	finalStatus map[unit.EndpointID]Status
}

// New returns a planner. After a change of leader, it returns no actions for leaseWait, so that the former leader's orders
// have arrived by then.
func New(leaseWait time.Duration) *Planner {
	p := &Planner{leaseWait: leaseWait}
	p.reset()
	return p
}

func (p *Planner) reset() {
	p.updates = map[unit.EndpointID]*update{}
	p.skipped = map[unit.EndpointID]unit.Moment{}
	p.finalStatus = map[unit.EndpointID]Status{}
	p.nextReplicas = nil
}

// Updating returns the replicas that are being updated and should get no new requests, sorted by id.
func (p *Planner) Updating() []unit.EndpointID {
	var ids []unit.EndpointID
	for id := range p.updates {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Upcoming returns the replicas that will be updated next and should get no long requests.
func (p *Planner) Upcoming() []unit.EndpointID {
	return p.nextReplicas
}

// Step starts and ends updates according to the input and returns the actions that are due.
func (p *Planner) Step(now unit.Moment, in Input) []Action {
	if in.Term != p.term {
		p.term, p.termSince, p.fenced = in.Term, now, false
		p.reset()
	}
	if p.term == 0 || p.fenced || now.Sub(p.termSince) < p.leaseWait {
		return nil
	}
	p.dropEnded(now, in)
	p.start(now, in)
	return p.takeDueActions(now, in)
}

// dropEnded removes updates that exceed updateTimeout and updates of replicas that are leaving or gone, have restarted or
// already have the weights.
func (p *Planner) dropEnded(now unit.Moment, in Input) {
	present := map[unit.EndpointID]Replica{}
	for _, r := range in.Replicas {
		present[r.ID] = r
	}
	for id, u := range p.updates {
		r, ok := present[id]
		switch {
		case !ok || r.Leaving || r.Born != u.born:
			delete(p.updates, id)
		case r.Weights[u.model] >= u.number && !u.pending:
			delete(p.updates, id)
		case now.Sub(u.startedAt) > updateTimeout:
			delete(p.updates, id)
			p.skipped[id] = now.Add(skipDuration)
		}
	}
}

// start begins updates up to the limit of each service. Replicas with the oldest weights come first, and among these the ones
// with the fewest long requests running, which an order would have to wait for.
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
	candidates := slices.Clone(in.Replicas)
	slices.SortFunc(candidates, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(oldestOutdated(a, in), oldestOutdated(b, in)), cmp.Compare(a.LongRequests, b.LongRequests), cmp.Compare(a.RunningRequests, b.RunningRequests), cmp.Compare(a.ID, b.ID))
	})
	p.nextReplicas = nil
	for _, r := range candidates {
		model, number, outdated := p.outdatedModel(r, in)
		if !outdated || r.Leaving || p.updates[r.ID] != nil || p.skipped[r.ID] > now {
			continue
		}
		running[r.Service]++
		if limit := maxConcurrentUpdates(total[r.Service]); running[r.Service] > limit {
			if running[r.Service] <= (1+upcomingBatches)*limit {
				p.nextReplicas = append(p.nextReplicas, r.ID)
			}
			continue
		}
		p.updates[r.ID] = &update{
			id: r.ID, service: r.Service, born: r.Born, model: model, number: number, startedAt: now, dueAt: now,
		}
	}
}

// oldestOutdated returns the lowest weights number among the replica's models that have newer weights.
func oldestOutdated(r Replica, in Input) decisions.WeightsNumber {
	least := ^decisions.WeightsNumber(0)
	for model, number := range r.Weights {
		if number < in.Newest[model] {
			least = min(least, number)
		}
	}
	return least
}

// maxConcurrentUpdates returns how many of a service's replicas may be updated at the same time.
func maxConcurrentUpdates(replicas int) int {
	return max(1, int(float64(replicas)*maxUpdatingShare+0.5))
}

// outdatedModel returns a model of the replica that has newer weights, and their number.
func (p *Planner) outdatedModel(r Replica, in Input) (unit.ModelName, decisions.WeightsNumber, bool) {
	for _, model := range slices.Sorted(maps.Keys(r.Weights)) {
		has := max(r.Weights[model], p.finalStatus[r.ID].Weights[model])
		if newest := in.Newest[model]; newest > has {
			return model, newest, true
		}
	}
	return "", 0, false
}

// takeDueActions returns the actions of all updates that are due and marks them as pending.
func (p *Planner) takeDueActions(now unit.Moment, in Input) []Action {
	long := map[unit.EndpointID]bool{}
	for _, r := range in.Replicas {
		long[r.ID] = r.LongRequests > 0
	}
	var actions []Action
	for _, id := range p.Updating() {
		u := p.updates[id]
		if u.pending || now < u.dueAt {
			continue
		}
		switch u.phase {
		case phaseDraining:
			// The status is requested while the running requests end.
			u.phase, u.pending = phaseQuerying, true
			actions = append(actions, Action{Replica: id, Born: u.born})
		case phaseReady:
			u.number = max(u.number, in.Newest[u.model])
			u.phase, u.pending = phaseOrdered, true
			actions = append(actions, Action{Replica: id, Born: u.born, Order: &Order{
				Model: u.model, Number: u.number, Fencing: p.term, Expected: u.acceptedOrders, KeepRequests: long[id],
			}})
		case phaseQuerying, phaseOrdered, phaseLoading:
			u.pending = true
			actions = append(actions, Action{Replica: id, Born: u.born})
		}
	}
	return actions
}

// HandleStatus handles the status that an action requested, or nil if the replica didn't answer.
func (p *Planner) HandleStatus(now unit.Moment, action Action, status *Status) {
	u := p.takePending(action)
	if u == nil {
		return
	}
	if status == nil {
		if u.phase == phaseQuerying {
			// Waiting for a replica that doesn't answer would only delay the others.
			delete(p.updates, u.id)
			p.skipped[u.id] = now.Add(skipDuration)
			return
		}
		u.dueAt = now.Add(retryDelay)
		return
	}
	u.acceptedOrders = status.Accepted
	switch {
	case status.Weights[u.model] >= u.number && !status.Busy:
		p.complete(u, *status)
	case status.Busy:
		u.phase, u.dueAt = phaseLoading, now.Add(pollInterval)
	default:
		u.phase, u.dueAt = phaseReady, max(now, u.startedAt.Add(drainTime))
	}
}

// HandleReply handles a replica's answer to the order of an action.
func (p *Planner) HandleReply(now unit.Moment, action Action, reply Reply) {
	u := p.takePending(action)
	if u == nil {
		return
	}
	switch reply {
	case ReplyAccepted:
		u.phase, u.dueAt = phaseLoading, now.Add(firstPollDelay)
	case ReplyUpToDate:
		p.complete(u, Status{Weights: map[unit.ModelName]decisions.WeightsNumber{u.model: action.Order.Number}, Accepted: u.acceptedOrders})
	case ReplyFenced:
		p.fenced = true
		p.reset()
	case ReplyRefused:
		delete(p.updates, u.id)
		p.skipped[u.id] = now.Add(skipDuration)
	case ReplyConflict:
		u.phase, u.dueAt = phaseQuerying, now.Add(pollInterval)
	case ReplyMissing:
		u.phase, u.dueAt = phaseQuerying, now.Add(retryDelay)
	}
}

// takePending returns the update to which the outcome of an action belongs and marks it as no longer pending. It returns nil
// if the update, the replica or the leader has changed since.
func (p *Planner) takePending(action Action) *update {
	u := p.updates[action.Replica]
	if u == nil || u.born != action.Born || !u.pending {
		return nil
	}
	if action.Order != nil && action.Order.Fencing != p.term {
		return nil
	}
	u.pending = false
	return u
}

func (p *Planner) complete(u *update, status Status) {
	delete(p.updates, u.id)
	p.finalStatus[u.id] = status
}

// FinalStatus returns the status with which the replica's last update ended, false if there is none.
func (p *Planner) FinalStatus(id unit.EndpointID) (Status, bool) {
	status, ok := p.finalStatus[id]
	return status, ok
}
