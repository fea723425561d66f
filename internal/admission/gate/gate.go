// Package gate lets goroutines wait for the verdicts of an admission queue.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/admission/capacity"
	"github.com/citronglade/citronglade/internal/admission/queue"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Gate guards the endpoints of one target. It is safe for concurrent use.
type Gate struct {
	now func() unit.Moment

	mu      sync.Mutex
	queue   *queue.Queue
	limiter *capacity.Limiter
	running int
	waiting map[unit.RequestID]chan queue.Verdict
}

// Slot is the right to run one request.
type Slot struct {
	gate    *Gate
	id      unit.RequestID
	entered unit.Moment
	waited  time.Duration
	once    sync.Once
}

// New returns a gate on an empty queue.
func New(now func() unit.Moment, q *queue.Queue) *Gate {
	return &Gate{now: now, queue: q, limiter: capacity.New(now()), waiting: map[unit.RequestID]chan queue.Verdict{}}
}

// Fit tells the gate the slots of all usable endpoints and the number of entry hosts, and lets waiting requests in or
// gives up on those that can't meet their deadline. It is called at every tick.
func (g *Gate) Fit(slots, hosts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.limiter.Fit(slots, hosts)
	g.deliver(g.queue.Resize(now, g.limiter.Slots(now, g.running)))
	g.deliver(g.queue.Tick(now))
}

// Acquire waits until the ticket is admitted. It fails with fault.Overloaded, carrying the time to come back, as soon as the
// queue gives up on it, and with fault.Stopping when ctx ends.
func (g *Gate) Acquire(ctx context.Context, ticket queue.Ticket) (*Slot, error) {
	verdicts := make(chan queue.Verdict, 1)
	g.mu.Lock()
	g.waiting[ticket.ID] = verdicts
	g.deliver(g.queue.Offer(g.now(), ticket))
	g.mu.Unlock()
	select {
	case verdict := <-verdicts:
		return g.enter(ticket, verdict)
	case <-ctx.Done():
		return nil, g.leave(ticket, verdicts)
	}
}

// Observe passes the queue wait that an endpoint reported to the limiter.
func (g *Gate) Observe(wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Observe(g.now(), wait)
}

// Load returns the running and the waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.waiting)
}

// Waited returns the time that the request spent in the queue.
func (s *Slot) Waited() time.Duration {
	return s.waited
}

// FirstToken tells the queue that the first token has come, so that it admits later requests early enough for theirs.
func (s *Slot) FirstToken() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.FirstToken(s.id, g.now().Sub(s.entered))
}

// Release gives the slot back. Further calls do nothing.
func (s *Slot) Release() {
	s.once.Do(func() {
		g := s.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running--
		now := g.now()
		g.deliver(g.queue.Release(now, s.id, now.Sub(s.entered)))
	})
}

func (g *Gate) enter(ticket queue.Ticket, verdict queue.Verdict) (*Slot, error) {
	if !verdict.Admitted {
		return nil, fault.Overloaded.New("%s", verdict.Reason).WithProperty(fault.RetryAfter, verdict.RetryAfter)
	}
	now := g.now()
	return &Slot{gate: g, id: ticket.ID, entered: now, waited: now.Sub(ticket.Arrived)}, nil
}

// leave takes a ticket back whose caller has gone. The verdict may have come at the same time.
func (g *Gate) leave(ticket queue.Ticket, verdicts chan queue.Verdict) error {
	g.mu.Lock()
	_, waiting := g.waiting[ticket.ID]
	if waiting {
		delete(g.waiting, ticket.ID)
		g.queue.Cancel(ticket.ID)
	}
	g.mu.Unlock()
	if !waiting {
		if verdict := <-verdicts; verdict.Admitted {
			slot := &Slot{gate: g, id: ticket.ID, entered: g.now()}
			slot.Release()
		}
	}
	return fault.Stopping.New("the caller left while its request was waiting")
}

func (g *Gate) deliver(verdicts []queue.Verdict) {
	for _, verdict := range verdicts {
		waiting, ok := g.waiting[verdict.Ticket]
		if !ok {
			continue
		}
		delete(g.waiting, verdict.Ticket)
		if verdict.Admitted {
			g.running++
		}
		waiting <- verdict
	}
}
