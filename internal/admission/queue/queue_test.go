package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/sheet"
)

var (
	urgent     = sheet.Class{Name: "urgent", Urgency: 0, Deadline: 530 * time.Millisecond, MaxWait: time.Second}
	deferrable = sheet.Class{Name: "deferrable", Urgency: 5, Deadline: 30 * time.Second, MaxWait: 10 * time.Second}
)

func newTicket(now unit.Moment, number int, customer string, weight int, class sheet.Class, cost unit.Tokens) Ticket {
	return Ticket{
		ID: unit.RequestID(fmt.Sprint(class.Name, number)), Customer: unit.CustomerID(customer), Weight: weight, Class: class,
		Arrived: now, Deadline: now.Add(class.Deadline), Cost: cost,
	}
}

// simulation runs a queue in simulated time. Each admitted ticket holds its slot for a random service time.
type simulation struct {
	queue         *Queue
	random        *rand.Rand
	service       time.Duration
	now           unit.Moment
	tickets       map[unit.RequestID]Ticket
	startedAt     map[unit.RequestID]unit.Moment
	endsAt        map[unit.Moment][]unit.RequestID
	admitted      map[unit.CustomerID]unit.Tokens
	verdictCounts map[string]int // by class and result
}

func newSimulation(slots int, service time.Duration) *simulation {
	return &simulation{
		queue: New(slots), random: rand.New(rand.NewPCG(7, 7)), service: service,
		tickets: map[unit.RequestID]Ticket{}, startedAt: map[unit.RequestID]unit.Moment{}, endsAt: map[unit.Moment][]unit.RequestID{},
		admitted: map[unit.CustomerID]unit.Tokens{}, verdictCounts: map[string]int{},
	}
}

func (s *simulation) offer(t Ticket) {
	s.tickets[t.ID] = t
	s.verdictCounts[string(t.Class.Name)+" offered"]++
	s.applyVerdicts(s.queue.Offer(s.now, t))
}

func (s *simulation) applyVerdicts(verdicts []Verdict) {
	for _, v := range verdicts {
		t := s.tickets[v.Ticket]
		waited := s.now.Sub(t.Arrived)
		switch {
		case !v.Admitted && waited == 0:
			s.verdictCounts[string(t.Class.Name)+" refused at once"]++
		case !v.Admitted:
			s.verdictCounts[string(t.Class.Name)+" refused later"]++
		default:
			s.verdictCounts[string(t.Class.Name)+" admitted"]++
			s.admitted[t.Customer] += t.Cost
			service := time.Duration((0.5 + s.random.Float64()) * float64(s.service)).Truncate(time.Millisecond)
			s.startedAt[v.Ticket] = s.now
			s.endsAt[s.now.Add(service)] = append(s.endsAt[s.now.Add(service)], v.Ticket)
		}
	}
}

// run advances the time by the given number of milliseconds and calls arrive in each of them.
func (s *simulation) run(milliseconds int, arrive func(millisecond int)) {
	for i := range milliseconds {
		s.now = s.now.Add(time.Millisecond)
		for _, id := range s.endsAt[s.now] {
			s.applyVerdicts(s.queue.Release(s.now, id, s.now.Sub(s.startedAt[id])))
			delete(s.startedAt, id)
		}
		delete(s.endsAt, s.now)
		arrive(i)
		if i%20 == 0 {
			s.applyVerdicts(s.queue.Tick(s.now))
		}
	}
}

// Guards against timeouts under overload: at 150% of capacity, accepted urgent requests must be admitted in time and nearly
// all others must be refused on arrival, while deferrable work gets its guaranteed share and hardly more.
func TestOverloadRefusesAtOnceAndKeepsTheGuaranteedShare(t *testing.T) {
	s := newSimulation(10, 200*time.Millisecond) // 50 requests/s
	s.run(60_000, func(i int) {
		for j := range 3 {
			if s.random.Float64() < 0.025 { // 75 requests/s
				s.offer(newTicket(s.now, 3*i+j, "kroon", 1, urgent, 1000))
			}
		}
		if i%50 == 0 { // 20 requests/s
			s.offer(newTicket(s.now, i, "noord", 1, deferrable, 1000))
		}
	})
	t.Log(s.verdictCounts)
	offered, admitted, late := s.verdictCounts["urgent offered"], s.verdictCounts["urgent admitted"], s.verdictCounts["urgent refused later"]
	assert.Assert(t, admitted > 60*50*9/10, "urgent work gets the capacity: %v", s.verdictCounts)
	assert.Assert(t, late*50 < offered, "urgent requests are refused on arrival: %v", s.verdictCounts)
	share := s.verdictCounts["deferrable admitted"]
	assert.Assert(t, share > 60*50*4/100, "the guaranteed share of deferrable work: %v", s.verdictCounts)
	assert.Assert(t, share < 60*50*8/100, "deferrable work yields: %v", s.verdictCounts)
	assert.Assert(t, s.verdictCounts["deferrable refused at once"] > s.verdictCounts["deferrable refused later"], "%v", s.verdictCounts)
}

// Guards against a customer that gets more than the share of its weight by sending more or larger requests.
func TestFairnessFollowsWeightAndCost(t *testing.T) {
	s := newSimulation(4, 100*time.Millisecond)
	s.run(30_000, func(i int) {
		if i%20 == 0 {
			s.offer(newTicket(s.now, 3*i, "small", 1, deferrable, 500))
			s.offer(newTicket(s.now, 3*i+1, "large", 3, deferrable, 1500))
			s.offer(newTicket(s.now, 3*i+2, "large", 3, deferrable, 1500))
		}
	})
	ratio := float64(s.admitted["large"]) / float64(s.admitted["small"])
	assert.Assert(t, ratio > 2.7 && ratio < 3.3, "weight 3 to 1 gave %.2f: %v", ratio, s.admitted)
}

// Guards against credit for idle time: a customer that has been idle must not get more than its share when it sends again.
func TestIdleCustomerDoesNotSaveUpCapacity(t *testing.T) {
	q := New(1)
	assert.Equal(t, len(q.Offer(0, newTicket(0, 0, "busy", 1, deferrable, 1))), 1)
	for i := range 40 {
		q.Offer(0, newTicket(0, 1+i, "busy", 1, deferrable, 1))
	}
	last := unit.RequestID("deferrable0")
	for range 20 {
		last = q.Release(0, last, 0)[0].Ticket
	}
	for i := range 20 {
		q.Offer(0, newTicket(0, 100+i, "idle", 1, deferrable, 1))
	}
	busy := 0
	for range 20 {
		verdict := q.Release(0, last, 0)[0]
		if last = verdict.Ticket; len(last) < len("deferrable100") {
			busy++
		}
	}
	assert.Assert(t, busy >= 9 && busy <= 11, "busy got %d of 20", busy)
}

// Guards against deferrable requests that stay queued after all slots have gone or the class's MaxWait has passed.
func TestWaitersAreRefusedWithoutCapacityAndAfterMaxWait(t *testing.T) {
	q := New(1)
	q.Offer(0, newTicket(0, 0, "kroon", 1, deferrable, 1))
	q.Offer(0, newTicket(0, 1, "kroon", 1, deferrable, 1))
	limit := unit.Moment(deferrable.MaxWait)
	assert.Equal(t, len(q.Tick(limit)), 0)
	assert.DeepEqual(t, formatVerdicts(q.Tick(limit+1)), []unit.RequestID{"-deferrable1"})
	q.Offer(limit, newTicket(limit, 2, "kroon", 1, deferrable, 1))
	verdicts := q.Resize(limit, 0)
	assert.DeepEqual(t, formatVerdicts(verdicts), []unit.RequestID{"-deferrable2"})
	assert.Equal(t, verdicts[0].RetryAfter, time.Second)
	assert.Equal(t, q.Offer(limit, newTicket(limit, 3, "kroon", 1, urgent, 1))[0].Reason, noCapacity)
}

// Guards against counting a slot twice for one request id, and against admitting a request that is too close to its
// deadline while a slot is free.
func TestOfferRefusesDuplicatesAndLateTickets(t *testing.T) {
	q := New(2)
	q.Offer(0, newTicket(0, 0, "kroon", 1, urgent, 1))
	assert.DeepEqual(t, formatVerdicts(q.Offer(0, newTicket(0, 0, "kroon", 1, urgent, 1))), []unit.RequestID{"-urgent0"})
	assert.Equal(t, q.Running(), 1)
	q.FirstToken("urgent0", 200*time.Millisecond)
	late := unit.Moment(urgent.Deadline - 200*time.Millisecond)
	assert.Equal(t, q.Offer(late+1, newTicket(0, 1, "kroon", 1, urgent, 1))[0].Reason, "the deadline is too close")
	assert.DeepEqual(t, formatVerdicts(q.Offer(late, newTicket(0, 2, "kroon", 1, urgent, 1))), []unit.RequestID{"+urgent2"})
}

// Guards against a level that refuses all requests forever after slow first tokens: without admitted requests, it would
// never observe a faster first token.
func TestSlowFirstTokensDontStopALevel(t *testing.T) {
	q := New(2)
	q.Offer(0, newTicket(0, 0, "kroon", 1, urgent, 1))
	q.FirstToken("urgent0", 2*urgent.Deadline)
	q.Release(0, "urgent0", urgent.Deadline)
	assert.DeepEqual(t, formatVerdicts(q.Offer(0, newTicket(0, 1, "kroon", 1, urgent, 1))), []unit.RequestID{"+urgent1"})
	assert.Equal(t, q.Offer(unit.Moment(urgent.Deadline/2)+1, newTicket(0, 2, "kroon", 1, urgent, 1))[0].Reason, "the deadline is too close")
}

// Guards against a queue that refuses urgent requests because it is full of deferrable ones, and against unbounded memory.
func TestFullQueueMakesRoomForUrgentWork(t *testing.T) {
	q := New(1)
	for i := range maxWaiting + 1 {
		q.Offer(0, newTicket(0, i, "kroon", 1, deferrable, 1))
	}
	assert.Equal(t, q.Waiting(), maxWaiting)
	assert.Equal(t, q.Offer(0, newTicket(0, -1, "kroon", 1, deferrable, 1))[0].Reason, "the queue is full")
	verdicts := q.Offer(0, newTicket(0, 0, "kroon", 1, urgent, 1))
	assert.DeepEqual(t, formatVerdicts(verdicts), []unit.RequestID{unit.RequestID(fmt.Sprint("-deferrable", maxWaiting))})
	assert.DeepEqual(t, formatVerdicts(q.Release(0, "deferrable0", 1)), []unit.RequestID{"+urgent0"})
}

// BenchmarkOffer measures one Offer and one Release with 50,000 waiters of 1,000 customers.
func BenchmarkOffer(b *testing.B) {
	q := New(1)
	class := sheet.Class{Urgency: 1, MaxWait: time.Hour}
	for i := range 50_000 {
		q.Offer(0, newTicket(0, i, fmt.Sprint(i%1000), 1, class, 100))
	}
	head := unit.RequestID("0")
	for i := 50_000; b.Loop(); i++ {
		ticket := newTicket(0, i, fmt.Sprint(i%1000), 1, class, 100)
		ticket.Deadline = unit.Never
		q.Offer(0, ticket)
		head = q.Release(0, head, 1)[0].Ticket
	}
}
