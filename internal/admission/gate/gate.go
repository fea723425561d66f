// Package gate makes an admission queue usable by concurrent requests, each of which waits in its goroutine for its
// verdict.
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

// Gate limits the requests that run at the endpoints of one target, which is a model or a service. It is safe for
// concurrent use.
type Gate struct {
	now func() unit.Moment

	mu      sync.Mutex
	queue   *queue.Queue
	limiter *capacity.Limiter
	running int
	waiting map[unit.RequestID]chan queue.Verdict
}

// Slot is a concurrency slot held by one admitted request.
type Slot struct {
	gate       *Gate
	id         unit.RequestID
	admittedAt unit.Moment
	waited     time.Duration
	once       sync.Once
}

// New returns a gate on the given queue, which must be empty.
func New(now func() unit.Moment, q *queue.Queue) *Gate {
	return &Gate{now: now, queue: q, limiter: capacity.New(now()), waiting: map[unit.RequestID]chan queue.Verdict{}}
}

// Resize sets the total number of slots of all usable endpoints and the number of entry hosts. It then admits waiting
// requests, and refuses those that can't meet their deadlines any more. It must be called at every tick.
func (g *Gate) Resize(slots, hosts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.limiter.SetRange(slots, hosts)
	g.deliver(g.queue.Resize(now, g.limiter.Slots(now, g.running)))
	g.deliver(g.queue.Tick(now))
}

// Acquire waits until the ticket is admitted. It fails with fault.Overloaded, with the property fault.RetryAfter, as soon
// as the queue refuses the ticket, and with fault.Stopping when ctx ends.
func (g *Gate) Acquire(ctx context.Context, ticket queue.Ticket) (*Slot, error) {
	verdicts := make(chan queue.Verdict, 1)
	g.mu.Lock()
	g.waiting[ticket.ID] = verdicts
	g.deliver(g.queue.Offer(g.now(), ticket))
	g.mu.Unlock()
	select {
	case verdict := <-verdicts:
		return g.newSlot(ticket, verdict)
	case <-ctx.Done():
		return nil, g.withdraw(ticket, verdicts)
	}
}

// Observe reports to the limiter how long a request waited in the queue of an endpoint.
func (g *Gate) Observe(wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Observe(g.now(), wait)
}

// Load returns the numbers of running and waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.waiting)
}

// Waited returns how long the request waited in the admission queue.
func (s *Slot) Waited() time.Duration {
	return s.waited
}

// FirstToken reports the arrival of the first token to the queue, which admits later requests early enough before their
// deadlines to allow for the time to the first token.
func (s *Slot) FirstToken() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.FirstToken(s.id, g.now().Sub(s.admittedAt))
}

// Release frees the slot. Further calls do nothing.
func (s *Slot) Release() {
	s.once.Do(func() {
		g := s.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running--
		now := g.now()
		g.deliver(g.queue.Release(now, s.id, now.Sub(s.admittedAt)))
	})
}

func (g *Gate) newSlot(ticket queue.Ticket, verdict queue.Verdict) (*Slot, error) {
	if !verdict.Admitted {
		return nil, fault.Overloaded.New("%s", verdict.Reason).WithProperty(fault.RetryAfter, verdict.RetryAfter)
	}
	now := g.now()
	return &Slot{gate: g, id: ticket.ID, admittedAt: now, waited: now.Sub(ticket.Arrived)}, nil
}

// withdraw removes the ticket of a caller that has disconnected and returns the error for it. If the ticket has been
// admitted in the meantime, withdraw releases its slot.
func (g *Gate) withdraw(ticket queue.Ticket, verdicts chan queue.Verdict) error {
	g.mu.Lock()
	_, waiting := g.waiting[ticket.ID]
	if waiting {
		delete(g.waiting, ticket.ID)
		g.queue.Cancel(ticket.ID)
	}
	g.mu.Unlock()
	if !waiting {
		if verdict := <-verdicts; verdict.Admitted {
			slot := &Slot{gate: g, id: ticket.ID, admittedAt: g.now()}
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
