// Package queue admits requests to a number of concurrency slots by urgency, deadline and weighted fairness between
// customers. It refuses requests that can't be served in time on arrival.
package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/sheet"
)

const (
	// GuaranteedShare is the work that a less urgent level with waiters may admit, as a fraction of the work that more urgent
	// levels admit. It prevents starvation.
	GuaranteedShare = 0.05
	// maxWaiting bounds the memory while no service times have been observed. After that, deadlines keep the queue shorter.
	maxWaiting = 1 << 16
	// sweepFlowsPerTick is the largest number of flows that one Tick checks in each level. The next Tick goes on with the next
	// flows.
	sweepFlowsPerTick = 64
	// acceptMargin is the factor by which the expected wait must stay below the limit for a ticket to be accepted, because the
	// actual wait exceeds the expected one in half of the cases. The sum of 25 service times varies by about a tenth.
	acceptMargin = 1.1
	// sweepMargin is the factor by which the expected wait of a queued ticket must exceed its remaining time before it is
	// refused. The estimate is noisy, and an accepted ticket should not be refused because of noise.
	sweepMargin   = 1.5
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryWithoutSlots is the retry time while there are no slots. It is short because endpoints announce themselves every
	// 500 ms.
	retryWithoutSlots = time.Second

	noCapacity = "there is no capacity"
)

// Ticket is a request for a slot.
type Ticket struct {
	ID                unit.RequestID
	Customer          unit.CustomerID
	Class             sheet.Class
	Weight            int // weight of the customer; 0 counts as 1
	Arrived, Deadline unit.Moment
	Cost              unit.Tokens
}

// Verdict is the decision on a ticket. Each ticket gets exactly one verdict, unless it is cancelled first.
type Verdict struct {
	Ticket     unit.RequestID
	Admitted   bool
	Reason     string
	RetryAfter time.Duration // set only for refusals
}

// Queue is a deterministic state machine, not safe for concurrent use. Offer, Release, Resize and Tick return the new
// verdicts, which may concern any tickets in the queue. More urgent levels are served first, apart from the guaranteed
// share.
type Queue struct {
	slots        int
	levels       []*level // most urgent first
	waiters      map[unit.RequestID]*waiter
	running      map[unit.RequestID]*level
	expiries     *indexedHeap[*waiter] // earliest latestAdmission first
	lastSequence uint64
}

// New returns an empty queue. Resize changes the number of slots.
func New(slots int) *Queue {
	return &Queue{
		slots:   slots,
		waiters: map[unit.RequestID]*waiter{},
		running: map[unit.RequestID]*level{},
		expiries: &indexedHeap[*waiter]{
			less: func(a, b *waiter) bool {
				return cmp.Or(cmp.Compare(a.latestAdmission, b.latestAdmission), cmp.Compare(a.sequence, b.sequence)) < 0
			},
			setPosition: func(w *waiter, position int) { w.expiryPosition = position },
		},
	}
}

// Offer admits, queues or refuses a ticket. A ticket whose ID is already queued or running is refused.
func (q *Queue) Offer(now unit.Moment, t Ticket) []Verdict {
	if q.waiters[t.ID] != nil || q.running[t.ID] != nil {
		return []Verdict{{Ticket: t.ID, Reason: "the request id is already queued or running", RetryAfter: minRetryAfter}}
	}
	verdicts := q.refuseExpired(now)
	l := q.level(t.Class.Urgency)
	if q.slots == 0 {
		return append(verdicts, q.refusal(now, t.ID, l, noCapacity, retryWithoutSlots))
	}
	latest := latestAdmission(t, l)
	if latest.Before(now) {
		return append(verdicts, q.refusal(now, t.ID, l, "the deadline is too close", 0))
	}
	if wait := q.expectedWait(now, l, l.flows[t.Customer], weightOf(t), 1); float64(wait)*acceptMargin > float64(latest.Sub(now)) {
		reason := "expected wait " + wait.Round(time.Millisecond).String() + " is over the limit of " +
			latest.Sub(now).Round(time.Millisecond).String()
		return append(verdicts, q.refusal(now, t.ID, l, reason, wait-latest.Sub(now)))
	}
	if len(q.waiters) >= maxWaiting {
		verdict, evicted := q.evict(now, l)
		if !evicted {
			return append(verdicts, q.refusal(now, t.ID, l, "the queue is full", 0))
		}
		verdicts = append(verdicts, verdict)
	}
	q.lastSequence++
	w := &waiter{ticket: t, latestAdmission: latest, sequence: q.lastSequence}
	l.enqueue(w)
	l.countAccepted(now)
	q.waiters[t.ID] = w
	q.expiries.Push(w)
	return q.fillSlots(verdicts)
}

// Release frees the slot of an admitted ticket. Service is how long the ticket held the slot.
func (q *Queue) Release(now unit.Moment, id unit.RequestID, service time.Duration) []Verdict {
	if l := q.running[id]; l != nil {
		delete(q.running, id)
		l.running--
		l.serviceTime.add(service)
	}
	return q.fillSlots(q.refuseExpired(now))
}

// FirstToken reports the time from the admission of a running ticket to its first token. Without these observations,
// tickets may be admitted up to their deadlines.
func (q *Queue) FirstToken(id unit.RequestID, took time.Duration) {
	if l := q.running[id]; l != nil {
		l.firstTokenTime.add(took)
	}
}

// Tick refuses waiting tickets that can't be served in time any more. It must be called at intervals that are short
// compared with the shortest deadline.
func (q *Queue) Tick(now unit.Moment) []Verdict {
	return q.fillSlots(q.refuseLongWaits(now, q.refuseExpired(now), sweepFlowsPerTick))
}

// Cancel removes a waiting ticket without a verdict. It has no effect on a running ticket, whose slot is freed by Release.
func (q *Queue) Cancel(id unit.RequestID) {
	if w := q.waiters[id]; w != nil {
		q.remove(w)
	}
}

// Resize sets the number of slots. Running tickets keep their slots even if there are more of them than slots.
func (q *Queue) Resize(now unit.Moment, slots int) []Verdict {
	shrinks := slots < q.slots
	q.slots = max(0, slots)
	verdicts := q.refuseExpired(now)
	if shrinks {
		verdicts = q.refuseLongWaits(now, verdicts, maxWaiting)
	}
	return q.fillSlots(verdicts)
}

// Waiting returns the number of queued tickets.
func (q *Queue) Waiting() int { return len(q.waiters) }

// Running returns the number of admitted tickets that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

func (q *Queue) level(urgency int) *level {
	position, found := slices.BinarySearchFunc(q.levels, urgency, func(l *level, u int) int { return cmp.Compare(l.urgency, u) })
	if !found {
		q.levels = slices.Insert(q.levels, position, newLevel(urgency))
	}
	return q.levels[position]
}

// latestAdmission returns the latest time at which a ticket may be admitted: the expected first token must come before the
// deadline, and the class's MaxWait must not be exceeded. At most half of the time to the deadline is reserved for the
// first token, because the time to the first token is only observed on admitted requests: a level that stopped admitting
// would never observe that the engines have recovered.
func latestAdmission(t Ticket, l *level) unit.Moment {
	reserve := min(l.firstTokenTime.value, t.Deadline.Sub(t.Arrived)/2)
	return min(t.Deadline.Add(-reserve), t.Arrived.Add(t.Class.MaxWait))
}

func (q *Queue) remove(w *waiter) {
	delete(q.waiters, w.ticket.ID)
	q.expiries.Remove(w.expiryPosition)
	w.flow.level.remove(w)
}

// refuseExpired refuses waiters whose latest admission time has passed.
func (q *Queue) refuseExpired(now unit.Moment) (verdicts []Verdict) {
	for q.expiries.Len() > 0 && q.expiries.items[0].latestAdmission.Before(now) {
		w := q.expiries.items[0]
		q.remove(w)
		verdicts = append(verdicts, q.refusal(now, w.ticket.ID, w.flow.level, "no slot became free in time", 0))
	}
	return verdicts
}

// refuseLongWaits refuses waiters, from the end of each flow, whose expected wait has grown far beyond their remaining time
// since they were accepted, for instance because urgent work has arrived or there are fewer slots. To keep them until their
// deadlines would only delay the refusal. It checks at most the given number of flows in each level.
func (q *Queue) refuseLongWaits(now unit.Moment, verdicts []Verdict, flows int) []Verdict {
	for _, l := range q.levels {
		for range min(flows, l.sweepOrder.Len()) {
			f := l.sweepOrder.Front().Value.(*flow)
			l.sweepOrder.MoveToBack(f.sweepElement)
			for f.waiters.Len() > 0 {
				w := f.waiters.Back().Value.(*waiter)
				wait := q.expectedWait(now, l, f, f.weight, 0)
				left := w.latestAdmission.Sub(now)
				if float64(wait) <= sweepMargin*float64(left) {
					break
				}
				q.remove(w)
				if q.slots == 0 {
					verdicts = append(verdicts, q.refusal(now, w.ticket.ID, l, noCapacity, retryWithoutSlots))
					continue
				}
				reason := "expected wait has grown to " + wait.Round(time.Millisecond).String()
				verdicts = append(verdicts, q.refusal(now, w.ticket.ID, l, reason, wait-left))
			}
		}
	}
	return verdicts
}

// evict refuses the last waiter of a flow in the least urgent level to make room in a full queue for a ticket of forLevel.
// It evicts only from less urgent levels than forLevel.
func (q *Queue) evict(now unit.Moment, forLevel *level) (Verdict, bool) {
	for _, l := range slices.Backward(q.levels) {
		if l.urgency <= forLevel.urgency {
			break
		}
		if l.waiting == 0 {
			continue
		}
		w := l.sweepOrder.Front().Value.(*flow).waiters.Back().Value.(*waiter)
		q.remove(w)
		return q.refusal(now, w.ticket.ID, l, "the queue is full of more urgent work", 0), true
	}
	return Verdict{}, false
}

// fillSlots admits waiters to all free slots and appends their verdicts.
func (q *Queue) fillSlots(verdicts []Verdict) []Verdict {
	for len(q.running) < q.slots && len(q.waiters) > 0 {
		l := q.nextLevel()
		w := l.admit()
		delete(q.waiters, w.ticket.ID)
		q.expiries.Remove(w.expiryPosition)
		q.running[w.ticket.ID] = l
		verdicts = append(verdicts, Verdict{Ticket: w.ticket.ID, Admitted: true, Reason: "a slot is free"})
	}
	return verdicts
}

// nextLevel returns the level to admit from: the most urgent one with waiters, unless a less urgent level has the credit
// for one request from its guaranteed share. Credit is counted in service time rather than requests, since a deferrable
// request may hold its slot much longer than an urgent one.
func (q *Queue) nextLevel() *level {
	top := slices.IndexFunc(q.levels, func(l *level) bool { return l.waiting > 0 })
	below := q.levels[top+1:]
	for _, l := range slices.Backward(below) {
		if l.waiting > 0 && l.shareCredit >= l.creditPerRequest() {
			l.shareCredit -= l.creditPerRequest()
			return l
		}
	}
	for _, l := range below {
		if l.waiting > 0 {
			l.shareCredit = min(l.shareCredit+time.Duration(GuaranteedShare*float64(q.levels[top].creditPerRequest())), 2*l.creditPerRequest())
		}
	}
	return q.levels[top]
}

// refusal returns the verdict that refuses a ticket. If retryAfter is 0, it is the expected wait of a new customer in the
// level.
func (q *Queue) refusal(now unit.Moment, id unit.RequestID, l *level, reason string, retryAfter time.Duration) Verdict {
	if retryAfter == 0 {
		retryAfter = q.expectedWait(now, l, nil, 1, 1)
	}
	return Verdict{Ticket: id, Reason: reason, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)}
}
