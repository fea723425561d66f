// Package timer provides the clock and the periodic timers of the system's components. Tests replace the clock by one that
// they advance themselves.
package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Service is a clock that also calls subscribers at an interval. It is safe for concurrent use.
type Service struct {
	now       func() unit.Moment
	suspended func() time.Duration
	manual    bool // time moves only with Advance

	mu          sync.Mutex
	moment      unit.Moment            // the current time of a manual service
	subscribers map[uint64]*subscriber // of a manual service, by id
	nextID      uint64
}

type subscriber struct {
	interval time.Duration
	due      unit.Moment // time of the next call
	callback func(now unit.Moment)
}

// New returns a service whose time never goes back and doesn't stop while the machine is suspended.
func New() *Service {
	return newFromClocks(readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_BOOTTIME))
}

// newFromClocks returns a service that starts at 0. The steady clock stops while the machine is suspended, the other one doesn't.
func newFromClocks(steady, uninterrupted func() time.Duration) *Service {
	steadyStart, start := steady(), uninterrupted()
	return &Service{
		now:         func() unit.Moment { return unit.Moment(uninterrupted() - start) },
		suspended:   func() time.Duration { return max(0, (uninterrupted()-start)-(steady()-steadyStart)) },
		subscribers: map[uint64]*subscriber{},
	}
}

// readClock returns a function that reads a clock of the system.
func readClock(clock int32) func() time.Duration {
	return func() time.Duration {
		var now unix.Timespec
		// The call fails only for a clock that doesn't exist.
		_ = unix.ClockGettime(clock, &now)
		return time.Duration(now.Nano())
	}
}

// NewManual returns a service for tests, whose time starts at 0 and moves only with Advance.
func NewManual() *Service {
	s := &Service{manual: true, suspended: func() time.Duration { return 0 }, subscribers: map[uint64]*subscriber{}}
	s.now = func() unit.Moment {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.moment
	}
	return s
}

// Now returns the current time. Time during which the process was paused, for instance by SIGSTOP, or the machine suspended
// counts, too.
func (s *Service) Now() unit.Moment {
	return s.now()
}

// Suspended returns for how long the machine has been suspended since the service was made.
func (s *Service) Suspended() time.Duration {
	return s.suspended()
}

// Subscribe calls the callback at every interval until the returned function is called. On the real clock each subscriber has
// its own goroutine, so that calls of one callback never overlap and a slow callback doesn't delay the others.
func (s *Service) Subscribe(interval time.Duration, callback func(now unit.Moment)) (cancel func()) {
	if s.manual {
		return s.subscribeManual(interval, callback)
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				callback(s.Now())
			}
		}
	}()
	return stop
}

// Advance moves the time of a manual service forward by d and calls the subscribers that become due, in order of time. It
// returns after these calls.
func (s *Service) Advance(d time.Duration) {
	s.mu.Lock()
	target := s.moment.Add(d)
	s.mu.Unlock()
	for {
		next := s.nextDue(target)
		if next == nil {
			break
		}
		next.callback(s.Now())
	}
	s.mu.Lock()
	s.moment = target
	s.mu.Unlock()
}

func (s *Service) subscribeManual(interval time.Duration, callback func(now unit.Moment)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.subscribers[id] = &subscriber{interval: interval, due: s.moment.Add(interval), callback: callback}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, id)
	}
}

// nextDue returns the subscriber that is due first, and not after target, and moves the time to its call. Of several that are
// due at the same time it returns the one with the lowest id. It returns nil if none is due.
func (s *Service) nextDue(target unit.Moment) *subscriber {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next *subscriber
	for id := range s.nextID {
		candidate, ok := s.subscribers[id]
		if !ok || candidate.due > target {
			continue
		}
		if next == nil || candidate.due < next.due {
			next = candidate
		}
	}
	if next == nil {
		return nil
	}
	s.moment = next.due
	next.due = next.due.Add(next.interval)
	return next
}
