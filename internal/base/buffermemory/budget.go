// Package buffermemory limits the memory for answers and bodies that are buffered before they are forwarded, so that endpoints and callers
// which send far more than others don't take it from them.
package buffermemory

import (
	"sync"

	"github.com/joomcode/errorx"
)

const (
	// sourceDivisor is the part of the memory that all buffers of one source may take together: one half.
	sourceDivisor = 2
	// SmallBytes is the size up to which a buffer may use the part of the memory that larger ones leave free: 1/smallDivisor.
	SmallBytes   = 64 << 10
	smallDivisor = 4
)

// Budget is the memory for all buffers of one kind. It is safe for concurrent use.
type Budget struct {
	limit int64        // bytes
	full  *errorx.Type // of the error when there is no memory left

	mu      sync.Mutex
	used    int64
	sources map[string]int64 // bytes by source
}

// New returns a budget of the given size in bytes. Grow fails with full when it is used up.
func New(limit int64, full *errorx.Type) *Budget {
	return &Budget{limit: limit, full: full, sources: map[string]int64{}}
}

// Largest returns the bytes that a single buffer may take if there are no others.
func (b *Budget) Largest() int64 {
	return b.limit - b.limit/smallDivisor
}

// Used returns the bytes that all buffers take.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns the share of one buffer, which holds nothing yet. A source is an endpoint, or another host that passes answers on; buffers
// without a source have no limit of their own. The share must be closed.
func (b *Budget) Open(source string) *Share {
	return &Share{budget: b, source: source}
}

// Share is the memory of one buffer. It isn't safe for concurrent use.
type Share struct {
	budget *Budget
	source string
	bytes  int64
}

// Bytes returns the size of the share.
func (s *Share) Bytes() int64 {
	return s.bytes
}

// Grow takes more memory. It fails, and then takes none, if all buffers, those of the source or the large ones would take more than they
// may. The only buffer of a source is limited as a large one only.
func (s *Share) Grow(bytes int64) error {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	source := b.sources[s.source]
	switch {
	case b.used+bytes > b.limit:
		return b.full.New("all buffers together take more than %d bytes", b.limit)
	case s.bytes+bytes > SmallBytes && b.used+bytes > b.Largest():
		return b.full.New("large buffers take more than %d bytes", b.Largest())
	case s.source != "" && source > s.bytes && source+bytes > b.limit/sourceDivisor:
		return b.full.New("the buffers of %s together take more than %d bytes", s.source, b.limit/sourceDivisor)
	}
	s.add(bytes)
	return nil
}

// Close returns the memory. The share may be used again.
func (s *Share) Close() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.add(-s.bytes)
}

// add changes the size of the share. The budget's lock must be held.
func (s *Share) add(bytes int64) {
	b := s.budget
	s.bytes += bytes
	b.used += bytes
	if b.sources[s.source] += bytes; b.sources[s.source] == 0 {
		delete(b.sources, s.source)
	}
}
