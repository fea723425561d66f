package engine

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Kinds of cache events in the endpoint protocol.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
	eventCleared = "cleared"
)

// pieceCache holds the digests of the cached pieces of one incarnation. It is safe for concurrent use.
type pieceCache struct {
	capacity int
	report   func(kind string, digest unit.Digest)

	mu     sync.Mutex
	pieces *simplelru.LRU[unit.Digest, struct{}]
}

func newPieceCache(capacity int, report func(kind string, digest unit.Digest)) *pieceCache {
	c := &pieceCache{capacity: capacity, report: report}
	c.pieces, _ = simplelru.NewLRU[unit.Digest, struct{}](capacity, nil)
	return c
}

func (c *pieceCache) contains(digest unit.Digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pieces.Contains(digest)
}

func (c *pieceCache) add(digest unit.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pieces.Contains(digest) {
		return
	}
	if c.pieces.Len() >= c.capacity {
		if evicted, _, ok := c.pieces.RemoveOldest(); ok {
			c.report(eventEvicted, evicted)
		}
	}
	c.pieces.Add(digest, struct{}{})
	c.report(eventStored, digest)
}

// touch marks all pieces of a chain as recently used, the last piece as the least recent of them. A piece cannot be used
// without all pieces before it, so the last piece has to be evicted first.
func (c *pieceCache) touch(chain []unit.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(chain) - 1; i >= 0; i-- {
		c.pieces.Get(chain[i])
	}
}

func (c *pieceCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pieces.Purge()
	c.report(eventCleared, unit.Digest{})
}

func (c *pieceCache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pieces.Len()
}
