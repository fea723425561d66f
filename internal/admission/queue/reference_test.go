package queue

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/sheet"
)

// referenceQueue is a simple implementation of the rules of Queue for comparison. It keeps all waiters in one slice, which
// it scans and sorts in every step. From level and flow it uses only the averages and tags.
type referenceQueue struct {
	slots        int
	waiters      []waiter // in order of arrival
	running      map[unit.RequestID]int
	flows        map[referenceFlow]*flow
	levels       []level
	sweepOrder   []referenceFlow
	lastSequence uint64
}

type referenceFlow struct {
	urgency  int
	customer unit.CustomerID
}

func (r *referenceQueue) level(urgency int) *level {
	return &r.levels[urgency]
}

func (r *referenceQueue) waitersOf(f referenceFlow) []waiter {
	return slices.DeleteFunc(slices.Clone(r.waiters), func(w waiter) bool {
		return w.ticket.Class.Urgency != f.urgency || w.ticket.Customer != f.customer
	})
}

func (r *referenceQueue) levelState(urgency int) (waiting int, weights int64, customers []unit.CustomerID) {
	for _, w := range r.waiters {
		if w.ticket.Class.Urgency != urgency {
			continue
		}
		waiting++
		if !slices.Contains(customers, w.ticket.Customer) {
			customers = append(customers, w.ticket.Customer)
			weights += r.flows[referenceFlow{urgency, w.ticket.Customer}].weight
		}
	}
	return waiting, weights, customers
}

func (r *referenceQueue) expectedWait(now unit.Moment, f referenceFlow, weight int64, added int) time.Duration {
	if len(r.running) < r.slots {
		return 0
	}
	if r.slots == 0 {
		return 1 << 62
	}
	var ahead, busy float64
	var running time.Duration
	for urgency := range 3 {
		waiting, _, _ := r.levelState(urgency)
		if urgency < f.urgency {
			ahead += float64(time.Duration(waiting) * r.level(urgency).serviceTime.value)
			busy += r.level(urgency).slotsNeeded(now)
		} else if urgency > f.urgency && waiting > 0 {
			busy += GuaranteedShare * float64(r.slots)
		}
	}
	for _, urgency := range r.running {
		running += r.level(urgency).serviceTime.value
	}
	waiting, weights, _ := r.levelState(f.urgency)
	own := len(r.waitersOf(f))
	if own == 0 {
		weights += weight
	}
	share := float64(own+added)*float64(weights)/float64(weight) - 1
	ahead += float64(r.level(f.urgency).serviceTime.value) * min(float64(waiting+added-1), share)
	slots := float64(r.slots)
	return time.Duration(float64(running/time.Duration(len(r.running)))/(slots+1) + ahead/max(slots-busy, slots*GuaranteedShare))
}

func (r *referenceQueue) remove(id unit.RequestID) {
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool { return w.ticket.ID == id })
	r.sweepOrder = slices.DeleteFunc(r.sweepOrder, func(f referenceFlow) bool { return len(r.waitersOf(f)) == 0 })
}

func (r *referenceQueue) refuseExpired(now unit.Moment) (refused []unit.RequestID) {
	late := slices.DeleteFunc(slices.Clone(r.waiters), func(w waiter) bool { return w.latestAdmission >= now })
	slices.SortStableFunc(late, func(a, b waiter) int { return cmp.Compare(a.latestAdmission, b.latestAdmission) })
	for _, w := range late {
		r.remove(w.ticket.ID)
		refused = append(refused, "-"+w.ticket.ID)
	}
	return refused
}

func (r *referenceQueue) refuseLongWaits(now unit.Moment) (refused []unit.RequestID) {
	for urgency := range 3 {
		for _, f := range slices.Clone(r.sweepOrder) {
			if f.urgency != urgency {
				continue
			}
			r.sweepOrder = append(slices.DeleteFunc(r.sweepOrder, func(g referenceFlow) bool { return g == f }), f)
			for waiters := r.waitersOf(f); len(waiters) > 0; waiters = r.waitersOf(f) {
				last := waiters[len(waiters)-1]
				if float64(r.expectedWait(now, f, r.flows[f].weight, 0)) <= sweepMargin*float64(last.latestAdmission.Sub(now)) {
					break
				}
				r.remove(last.ticket.ID)
				refused = append(refused, "-"+last.ticket.ID)
			}
		}
	}
	return refused
}

func (r *referenceQueue) nextLevel() int {
	waiting := slices.DeleteFunc([]int{0, 1, 2}, func(u int) bool { count, _, _ := r.levelState(u); return count == 0 })
	top := r.level(waiting[0])
	for _, urgency := range slices.Backward(waiting[1:]) {
		if l := r.level(urgency); l.shareCredit >= l.creditPerRequest() {
			l.shareCredit -= l.creditPerRequest()
			return urgency
		}
	}
	for _, urgency := range waiting[1:] {
		l := r.level(urgency)
		l.shareCredit = min(l.shareCredit+time.Duration(GuaranteedShare*float64(top.creditPerRequest())), 2*l.creditPerRequest())
	}
	return waiting[0]
}

func (r *referenceQueue) fillSlots() (admitted []unit.RequestID) {
	for len(r.running) < r.slots && len(r.waiters) > 0 {
		urgency := r.nextLevel()
		_, _, customers := r.levelState(urgency)
		f := referenceFlow{urgency, slices.MinFunc(customers, func(a, b unit.CustomerID) int {
			x, y := r.flows[referenceFlow{urgency, a}], r.flows[referenceFlow{urgency, b}]
			return cmp.Or(cmp.Compare(x.startTag, y.startTag), cmp.Compare(x.firstSequence, y.firstSequence))
		})}
		w, l := r.waitersOf(f)[0], r.level(urgency)
		l.virtualTime = max(l.virtualTime, r.flows[f].startTag)
		r.flows[f].startTag += tagStep(w.ticket)
		r.remove(w.ticket.ID)
		r.running[w.ticket.ID] = urgency
		admitted = append(admitted, "+"+w.ticket.ID)
	}
	return admitted
}

func (r *referenceQueue) offer(now unit.Moment, t Ticket) []unit.RequestID {
	out := r.refuseExpired(now)
	f, l := referenceFlow{t.Class.Urgency, t.Customer}, r.level(t.Class.Urgency)
	latest := min(max(t.Deadline.Add(-l.firstTokenTime.value), t.Deadline.Add(-t.Deadline.Sub(t.Arrived)/2)), t.Arrived.Add(t.Class.MaxWait))
	if r.slots == 0 || latest < now || float64(r.expectedWait(now, f, weightOf(t), 1))*acceptMargin > float64(latest.Sub(now)) {
		return append(out, "-"+t.ID)
	}
	r.lastSequence++
	if r.flows[f] == nil {
		r.flows[f] = &flow{}
	}
	if len(r.waitersOf(f)) == 0 {
		*r.flows[f] = flow{startTag: max(r.flows[f].startTag, l.virtualTime), firstSequence: r.lastSequence, weight: weightOf(t)}
		r.sweepOrder = append(r.sweepOrder, f)
	}
	r.waiters = append(r.waiters, waiter{ticket: t, latestAdmission: latest})
	l.countAccepted(now)
	return append(out, r.fillSlots()...)
}

func formatVerdicts(verdicts []Verdict) (out []unit.RequestID) {
	for _, v := range verdicts {
		mark := unit.RequestID("-")
		if v.Admitted {
			mark = "+"
		}
		out = append(out, mark+v.Ticket)
	}
	return out
}

// Guards against errors in the heaps, tags, sweep order and counters of Queue: a missing or repeated verdict, or an
// admission out of order, after the latest admission time or without a free slot.
func TestQueueAgreesWithReferenceQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 3).Draw(t, "slots")
		q := New(slots)
		n := &referenceQueue{slots: slots, running: map[unit.RequestID]int{}, flows: map[referenceFlow]*flow{}, levels: make([]level, 3)}
		var now unit.Moment
		var ids []unit.RequestID
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			var got []Verdict
			var want []unit.RequestID
			switch operation := rapid.IntRange(0, 9).Draw(t, "operation"); {
			case operation < 5:
				ticket := drawTicket(t, now, step)
				ids = append(ids, ticket.ID)
				got, want = q.Offer(now, ticket), n.offer(now, ticket)
			case operation < 7 && len(n.running) > 0:
				id := slices.Min(slices.Collect(maps.Keys(n.running)))
				service := time.Duration(rapid.IntRange(1, 900).Draw(t, "service")) * time.Millisecond
				l := n.level(n.running[id])
				l.firstTokenTime.add(service / 4)
				q.FirstToken(id, service/4)
				delete(n.running, id)
				l.serviceTime.add(service)
				got, want = q.Release(now, id, service), append(n.refuseExpired(now), n.fillSlots()...)
			case operation == 7 && len(ids) > 0:
				id := rapid.SampledFrom(ids).Draw(t, "cancelled")
				q.Cancel(id)
				n.remove(id)
			case operation == 8:
				previousSlots := n.slots
				n.slots = rapid.IntRange(0, 4).Draw(t, "slots")
				want = n.refuseExpired(now)
				if n.slots < previousSlots {
					want = append(want, n.refuseLongWaits(now)...)
				}
				got, want = q.Resize(now, n.slots), append(want, n.fillSlots()...)
			default:
				want = append(n.refuseExpired(now), n.refuseLongWaits(now)...)
				got, want = q.Tick(now), append(want, n.fillSlots()...)
			}
			assert.DeepEqual(t, formatVerdicts(got), want)
			assert.Equal(t, q.Waiting(), len(n.waiters))
			assert.Equal(t, q.Running(), len(n.running))
		}
	})
}

func drawTicket(t *rapid.T, now unit.Moment, step int) Ticket {
	urgency := rapid.IntRange(0, 2).Draw(t, "urgency")
	customer := rapid.IntRange(0, 3).Draw(t, "customer")
	return Ticket{
		ID:       unit.RequestID(fmt.Sprintf("%03d", step)),
		Customer: unit.CustomerID(fmt.Sprint("customer-", customer)),
		Weight:   customer,
		Class:    sheet.Class{Urgency: urgency, MaxWait: time.Duration(urgency+1) * time.Second},
		Arrived:  now,
		Deadline: now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond),
		Cost:     unit.Tokens(rapid.IntRange(0, 5).Draw(t, "cost")),
	}
}
