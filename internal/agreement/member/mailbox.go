package member

import (
	"sync"
)

// mailbox is a queue between two goroutines. It has no limit of its own: its contents are limited by the proposals that may
// be uncommitted and the appends that may be in flight.
type mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{} // can be received from whenever the queue has items
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{ready: make(chan struct{}, 1)}
}

func (b *mailbox[T]) put(item T) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all items.
func (b *mailbox[T]) takeAll() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}
