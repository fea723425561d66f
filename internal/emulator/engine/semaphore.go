package engine

import (
	"container/heap"
	"context"
	"sync"
)

// rank orders requests in all queues of the engine: by ascending priority, then in order of arrival.
type rank struct {
	priority int
	sequence uint64
}

func (r rank) before(other rank) bool {
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	return r.sequence < other.sequence
}

// prioritySemaphore limits the number of concurrent holders and grants free places in order of rank. It is safe for
// concurrent use.
type prioritySemaphore struct {
	mu      sync.Mutex
	free    int
	waiting waiterHeap
}

type waiter struct {
	rank    rank
	index   int
	granted chan struct{}
}

func newPrioritySemaphore(capacity int) *prioritySemaphore {
	return &prioritySemaphore{free: capacity}
}

func (s *prioritySemaphore) acquire(ctx context.Context, r rank) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	w := &waiter{rank: r, granted: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(w)
		return ctx.Err()
	}
}

func (s *prioritySemaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *prioritySemaphore) releaseLocked() {
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next, _ := heap.Pop(&s.waiting).(*waiter)
	close(next.granted)
}

// cancelWait removes a waiter from the queue. If the waiter was granted a place in the meantime, cancelWait releases that
// place to the next waiter.
func (s *prioritySemaphore) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.waiting, w.index)
		return
	}
	s.releaseLocked()
}

type waiterHeap []*waiter

func (w waiterHeap) Len() int           { return len(w) }
func (w waiterHeap) Less(i, j int) bool { return w[i].rank.before(w[j].rank) }
func (w waiterHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiterHeap) Push(x any) {
	added, _ := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop implements heap.Interface.
func (w *waiterHeap) Pop() any {
	last := len(*w) - 1
	removed := (*w)[last]
	(*w)[last] = nil
	removed.index = -1
	*w = (*w)[:last]
	return removed
}
