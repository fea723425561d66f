// Package answermemory limits the memory for answers that are buffered before they are forwarded, so that endpoints which send far more
// than they are asked for don't take it from the answers of others.
package answermemory

import (
	"sync"

	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// sourceDivisor is the part of the memory that all answers of one source may take together: one half.
	sourceDivisor = 2
	// smallBytes is the size up to which an answer may use the part of the memory that larger ones leave free: 1/smallDivisor.
	smallBytes   = 64 << 10
	smallDivisor = 4
)

// Budget is the memory for all answers. It is safe for concurrent use.
type Budget struct {
	limit int64 // bytes

	mu      sync.Mutex
	used    int64
	sources map[string]int64 // bytes by source
}

// New returns a budget of the given size in bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, sources: map[string]int64{}}
}

// Used returns the bytes that all answers take.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns the share of one answer, which holds nothing yet. A source is an endpoint, or another host that passes answers on. The share
// must be closed.
func (b *Budget) Open(source string) *Share {
	return &Share{budget: b, source: source}
}

// Share is the memory of one answer. It isn't safe for concurrent use.
type Share struct {
	budget *Budget
	source string
	bytes  int64
}

// Grow takes more memory. It fails with fault.BrokenAnswer, and then takes none, if all answers, those of the source or the large ones
// would take more than they may. The only answer of a source is limited as a large one only.
func (s *Share) Grow(bytes int64) error {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	source := b.sources[s.source]
	switch {
	case b.used+bytes > b.limit:
		return fault.BrokenAnswer.New("the answers of all endpoints together take more than %d bytes", b.limit)
	case s.bytes+bytes > smallBytes && b.used+bytes > b.limit-b.limit/smallDivisor:
		return fault.BrokenAnswer.New("large answers take more than %d bytes", b.limit-b.limit/smallDivisor)
	case source > s.bytes && source+bytes > b.limit/sourceDivisor:
		return fault.BrokenAnswer.New("the answers of %s together take more than %d bytes", s.source, b.limit/sourceDivisor)
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
