// Package sharedread lets callers share the results of a read that takes memory or time. Every caller gets the result of a read that began after
// its call.
package sharedread

import (
	"context"
	"sync"
	"time"
)

// Options are the parameters of New.
type Options[T any] struct {
	Most    int           // reads that run at the same time
	Timeout time.Duration // of one read
	Read    func(ctx context.Context) (T, error)
}

// Reader reads for many callers. It is safe for concurrent use.
type Reader[T any] struct {
	options Options[T]

	mu      sync.Mutex
	running int
	next    *result[T] // of the read that begins when a running one ends, nil if nobody waits for it
}

// result is the result of one read.
type result[T any] struct {
	done  chan struct{} // closed when the fields below are set
	value T
	err   error
}

// New returns a reader.
func New[T any](o Options[T]) *Reader[T] {
	return &Reader[T]{options: o}
}

// Get returns the result of a read that begins after the call, which callers must not change. It fails like the read, or with the context's error.
func (r *Reader[T]) Get(ctx context.Context) (T, error) {
	wanted := r.join()
	select {
	case <-wanted.done:
		return wanted.value, wanted.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// join begins a read, or joins the next one if too many are running.
func (r *Reader[T]) join() *result[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		return r.next
	}
	wanted := &result[T]{done: make(chan struct{})}
	if r.running >= r.options.Most {
		r.next = wanted
		return wanted
	}
	r.running++
	go r.read(wanted)
	return wanted
}

// read reads for those who wait for the result, and then for those who came meanwhile.
func (r *Reader[T]) read(current *result[T]) {
	for current != nil {
		ctx, cancel := context.WithTimeout(context.Background(), r.options.Timeout)
		current.value, current.err = r.options.Read(ctx)
		cancel()
		close(current.done)
		current = r.takeNext()
	}
}

// takeNext returns the next read, nil if there is none.
func (r *Reader[T]) takeNext() *result[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.next
	r.next = nil
	if next == nil {
		r.running--
	}
	return next
}
