package cache_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cache"
)

// Guards against an export that loses entries of the other index, that makes the first event batch on the new host look
// like a gap, that revives a dead incarnation, or that grows without limit.
func TestImportedEntriesAreBelieved(t *testing.T) {
	digest := func(n byte) unit.Digest { return unit.Digest{n, 1} }
	from := cache.New(1000)
	for n := range byte(10) {
		from.Apply(cache.Batch{Endpoint: "e1", Incarnation: 2, First: uint64(n) + 1, Events: []cache.Event{{Kind: cache.EventStored, Digest: digest(n)}}})
	}
	from.Observe("e2", 5, []unit.Digest{digest(3)}, 1)

	all := cache.New(1000)
	all.Import(from.Export(1000))
	pieces, _ := all.Depth("e1", 2, []unit.Digest{digest(0), digest(9)})
	assert.Equal(t, pieces, 2)
	assert.Assert(t, !all.Apply(cache.Batch{Endpoint: "e1", Incarnation: 2, First: 77, Events: []cache.Event{{Kind: cache.EventEvicted, Digest: digest(0)}}}))
	estimate := all.Estimate("e1", 2, []unit.Digest{digest(9), digest(0)})
	assert.Equal(t, estimate.Confirmed, 1)
	assert.Assert(t, !estimate.Known, "absence isn't known after an import")

	// Each endpoint gets half of the limit, filled with its most recently confirmed entries.
	few := cache.New(1000)
	few.Import(from.Export(4))
	assert.Equal(t, few.Len(), 3)
	pieces, _ = few.Depth("e1", 2, []unit.Digest{digest(9), digest(8), digest(7)})
	assert.Equal(t, pieces, 2)

	newer := cache.New(1000)
	newer.Observe("e1", 3, []unit.Digest{digest(1)}, 1)
	newer.Import(from.Export(1000))
	pieces, _ = newer.Depth("e1", 2, []unit.Digest{digest(0)})
	assert.Equal(t, pieces, 0)
	pieces, _ = newer.Depth("e1", 3, []unit.Digest{digest(1), digest(0)})
	assert.Equal(t, pieces, 1)
}

// Guards against a count of lost events that is too low after a gap or remains too high when the lost events arrive
// late. The count determines how far a doubtful piece is trusted.
func TestLostEventsAreCounted(t *testing.T) {
	x := cache.New(1000)
	digest := unit.Digest{1, 1}
	stored := func(first uint64) {
		x.Apply(cache.Batch{Endpoint: "e1", Incarnation: 1, First: first, Events: []cache.Event{{Kind: cache.EventStored, Digest: unit.Digest{byte(first) + 10}}}})
	}
	x.Apply(cache.Batch{Endpoint: "e1", Incarnation: 1, First: 1, Events: []cache.Event{{Kind: cache.EventStored, Digest: digest}}})
	lost := func() int { return x.Estimate("e1", 1, []unit.Digest{digest}).Lost }
	assert.Equal(t, lost(), 0)
	stored(5)
	assert.Equal(t, lost(), 3)
	stored(3)
	assert.Equal(t, lost(), 2)
	for gap := range uint64(9) {
		stored(10 + 2*gap)
	}
	assert.Equal(t, lost(), math.MaxInt, "the oldest gap is forgotten")
}
