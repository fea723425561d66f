package queue

import (
	"cmp"
	"container/list"
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// tagScale gives integer tags three decimals of cost divided by weight. At 11,000 requests/s of 5,000 tokens, the virtual
	// time of a level overflows after five years.
	tagScale = 1000
	maxCost  = 1 << 24
	// rateWindow is the time constant of the exponential average of the rate of accepted requests.
	rateWindow = 5 * time.Second
	// meanWindow is the number of observations over which a runningMean averages. Service times of one class vary by a factor
	// of two and more; with 8 observations instead of 32, the noise doubles the number of requests that are accepted and then
	// refused.
	meanWindow = 32
)

// waiter is a queued ticket.
type waiter struct {
	ticket          Ticket
	latestAdmission unit.Moment // refused when not admitted by then
	sequence        uint64      // order of arrival, which breaks ties
	flow            *flow
	element         *list.Element // in flow.waiters
	expiryPosition  int           // position in Queue.expiries
}

// flow is the work of one customer in one level. Its waiters are admitted in order of arrival.
type flow struct {
	level         *level
	customer      unit.CustomerID
	weight        int64
	startTag      int64      // tag of the first waiter, or of the next arrival when there is no waiter
	firstSequence uint64     // sequence of the waiter with which the flow became active, breaks ties
	waiters       *list.List // of *waiter
	position      int        // in level.active or level.idle
	sweepElement  *list.Element
}

// level is all work of one urgency. Its flows share the capacity by start-time fair queueing: the flow with the lowest tag
// is admitted next, and each admission advances the flow's tag by cost divided by weight. Refused and cancelled tickets
// don't advance the tag, so they aren't charged to their customer.
type level struct {
	urgency      int
	flows        map[unit.CustomerID]*flow
	active       *indexedHeap[*flow] // flows with waiters, lowest tag first
	idle         *indexedHeap[*flow] // flows without waiters whose tag is ahead of the virtual time
	sweepOrder   *list.List          // active flows in the order in which refuseLongWaits checks them
	virtualTime  int64               // tag of the last admission
	activeWeight int64               // sum of the active flows' weights
	waiting      int
	running      int

	serviceTime     runningMean // how long an admitted request holds its slot
	firstTokenTime  runningMean // time from admission to the first token
	acceptedCount   float64     // requests accepted within rateWindow, as of acceptedUpdated
	acceptedUpdated unit.Moment
	shareCredit     time.Duration // work that this level may admit before more urgent levels, from its guaranteed share
}

func newLevel(urgency int) *level {
	place := func(f *flow, position int) { f.position = position }
	less := func(a, b *flow) bool {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.firstSequence, b.firstSequence)) < 0
	}
	return &level{
		urgency:    urgency,
		flows:      map[unit.CustomerID]*flow{},
		active:     &indexedHeap[*flow]{less: less, setPosition: place},
		idle:       &indexedHeap[*flow]{less: less, setPosition: place},
		sweepOrder: list.New(),
	}
}

// enqueue adds a waiter to its customer's flow. A flow without waiters starts again at the virtual time or later, so that a
// customer can't save up unused capacity.
func (l *level) enqueue(w *waiter) {
	f := l.flows[w.ticket.Customer]
	if f == nil {
		f = &flow{level: l, customer: w.ticket.Customer, waiters: list.New()}
		l.flows[f.customer] = f
	} else if f.waiters.Len() == 0 {
		l.idle.Remove(f.position)
	}
	if f.waiters.Len() == 0 {
		f.startTag = max(f.startTag, l.virtualTime)
		f.firstSequence = w.sequence
		f.weight = weightOf(w.ticket)
		f.sweepElement = l.sweepOrder.PushBack(f)
		l.activeWeight += f.weight
		l.active.Push(f)
	}
	w.flow = f
	w.element = f.waiters.PushBack(w)
	l.waiting++
}

// admit removes and returns the first waiter of the flow with the lowest tag.
func (l *level) admit() *waiter {
	f := l.active.items[0]
	w := f.waiters.Front().Value.(*waiter)
	l.virtualTime = max(l.virtualTime, f.startTag)
	f.startTag += tagStep(w.ticket)
	l.active.Fix(f.position)
	l.remove(w)
	l.running++
	for l.idle.Len() > 0 && l.idle.items[0].startTag <= l.virtualTime {
		l.dropIdle(l.idle.items[0])
	}
	return w
}

// remove removes a waiter without charging its customer.
func (l *level) remove(w *waiter) {
	f := w.flow
	f.waiters.Remove(w.element)
	l.waiting--
	if f.waiters.Len() > 0 {
		return
	}
	l.active.Remove(f.position)
	l.sweepOrder.Remove(f.sweepElement)
	l.activeWeight -= f.weight
	l.idle.Push(f)
	if f.startTag <= l.virtualTime {
		l.dropIdle(f)
	}
}

func (l *level) dropIdle(f *flow) {
	l.idle.Remove(f.position)
	delete(l.flows, f.customer)
}

// waitingWork returns the total service time that the waiters of this level are expected to need.
func (l *level) waitingWork() time.Duration {
	return time.Duration(l.waiting) * l.serviceTime.value
}

// creditPerRequest returns the credit that one request costs in the guaranteed share: the mean service time, but at least 1
// ms, because the value must be positive before the first observation.
func (l *level) creditPerRequest() time.Duration {
	return max(l.serviceTime.value, time.Millisecond)
}

// countAccepted adds an accepted request to the average rate of this level.
func (l *level) countAccepted(now unit.Moment) {
	l.acceptedCount = l.decayedAccepted(now) + 1
	l.acceptedUpdated = now
}

func (l *level) decayedAccepted(now unit.Moment) float64 {
	return l.acceptedCount * math.Exp(-now.Sub(l.acceptedUpdated).Seconds()/rateWindow.Seconds())
}

// slotsNeeded returns the average number of slots that this level's accepted requests occupy.
func (l *level) slotsNeeded(now unit.Moment) float64 {
	return l.decayedAccepted(now) * l.serviceTime.value.Seconds() / rateWindow.Seconds()
}

// runningMean is the mean of all observations up to meanWindow of them, and an exponential moving average after that.
type runningMean struct {
	value time.Duration
	count int64
}

func (m *runningMean) add(observed time.Duration) {
	m.count = min(m.count+1, meanWindow)
	m.value += (max(observed, 1) - m.value) / time.Duration(m.count)
}

func weightOf(t Ticket) int64 {
	return int64(max(1, t.Weight))
}

func tagStep(t Ticket) int64 {
	return int64(min(max(1, t.Cost), maxCost)) * tagScale / weightOf(t)
}
