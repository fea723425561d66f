package cache

import (
	"encoding/binary"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
)

func digest(n int) (d unit.Digest) {
	binary.BigEndian.PutUint64(d[:], uint64(n)*0x9e3779b97f4a7c15+1)
	d[len(d)-1] = byte(n)
	return d
}

func chainOf(length int) []unit.Digest {
	chain := make([]unit.Digest, length)
	for i := range chain {
		chain[i] = digest(i)
	}
	return chain
}

func stored(first uint64, digests ...unit.Digest) Batch {
	b := Batch{Endpoint: "a", Incarnation: 1, First: first}
	for _, d := range digests {
		b.Events = append(b.Events, Event{EventStored, d})
	}
	return b
}

// modelState is a reference implementation with plain maps, without limits and compact layout.
type modelState struct {
	incarnation        unit.Incarnation
	streaming          bool
	complete           bool
	next               uint64
	doubtBefore, clear uint64
	received           map[uint64]bool
	entries            map[unit.Digest]uint64
}

type modelIndex map[unit.EndpointID]*modelState

func (x modelIndex) get(id unit.EndpointID, inc unit.Incarnation) *modelState {
	p, ok := x[id]
	if ok && inc < p.incarnation {
		return nil
	}
	if !ok || inc > p.incarnation {
		p = &modelState{incarnation: inc, received: map[uint64]bool{}, entries: map[unit.Digest]uint64{}}
		x[id] = p
	}
	return p
}

func (x modelIndex) apply(b Batch) (gap bool) {
	p := x.get(b.Endpoint, b.Incarnation)
	if p == nil {
		return false
	}
	if !p.streaming && b.First == 1 {
		p.received[0], p.next = true, 1
	}
	gap = b.First > p.next
	if gap {
		p.doubtBefore = b.First
	}
	if gap || !p.streaming {
		p.complete = !gap
	}
	p.streaming = true
	for i, event := range b.Events {
		sequence := b.First + uint64(i)
		if p.received[sequence] {
			continue
		}
		p.received[sequence] = true
		p.next = max(p.next, sequence+1)
		p.applyEvent(event, sequence)
	}
	return gap
}

func (p *modelState) applyEvent(event Event, sequence uint64) {
	last, held := p.entries[event.Digest]
	switch event.Kind {
	case EventStored:
		if sequence >= p.clear {
			p.entries[event.Digest] = max(sequence, last)
		}
	case EventEvicted:
		if held && last <= sequence {
			delete(p.entries, event.Digest)
		}
	case EventCleared:
		p.clear = max(p.clear, sequence+1)
		p.complete = p.complete || sequence >= p.doubtBefore
		for d, at := range p.entries {
			if at <= sequence {
				delete(p.entries, d)
			}
		}
	}
}

func (x modelIndex) observe(id unit.EndpointID, inc unit.Incarnation, chain []unit.Digest, cached int) {
	p := x.get(id, inc)
	if p == nil {
		return
	}
	for i, d := range chain {
		if last, held := p.entries[d]; i < cached {
			p.entries[d] = p.next
		} else if held && last < p.doubtBefore {
			delete(p.entries, d)
		}
	}
}

func (x modelIndex) depth(id unit.EndpointID, inc unit.Incarnation, chain []unit.Digest) (pieces int, known bool) {
	p, ok := x[id]
	if !ok || p.incarnation != inc {
		return 0, false
	}
	known = true
	for _, d := range chain {
		last, held := p.entries[d]
		if !held {
			break
		}
		pieces++
		known = known && last >= p.doubtBefore
	}
	return pieces, known && (p.complete || pieces == len(chain))
}

// Guards against an index that differs from the reference implementation after late, duplicate and lost batches,
// clears, observations and new incarnations in any order.
func TestIndexAgreesWithPlainMaps(t *testing.T) {
	chain := chainOf(6)
	rapid.Check(t, func(t *rapid.T) {
		index, model := New(100), modelIndex{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]unit.EndpointID{"a", "b"}).Draw(t, "endpoint")
			inc := unit.Incarnation(rapid.SampledFrom([]int{1, 1, 1, 1, 2}).Draw(t, "incarnation"))
			if rapid.IntRange(0, 3).Draw(t, "observe") == 0 {
				cached := rapid.IntRange(0, len(chain)).Draw(t, "cached")
				index.Observe(id, inc, chain, cached)
				model.observe(id, inc, chain, cached)
			} else {
				// Sequence numbers up to 16 make at most 8 gaps, the number that the index remembers.
				b := Batch{Endpoint: id, Incarnation: inc, First: rapid.Uint64Range(0, 14).Draw(t, "first")}
				for range rapid.IntRange(1, 3).Draw(t, "events") {
					kinds := []EventKind{EventStored, EventStored, EventStored, EventEvicted, EventCleared}
					b.Events = append(b.Events, Event{
						Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
						Digest: chain[rapid.IntRange(0, len(chain)-1).Draw(t, "piece")],
					})
				}
				assert.Equal(t, index.Apply(b), model.apply(b))
			}
			for _, id := range []unit.EndpointID{"a", "b"} {
				for inc := unit.Incarnation(1); inc <= 2; inc++ {
					pieces, known := index.Depth(id, inc, chain)
					wantPieces, wantKnown := model.depth(id, inc, chain)
					assert.Equal(t, pieces, wantPieces)
					assert.Equal(t, known, wantKnown)
				}
			}
		}
	})
}

// Guards against memory that grows with the caches of all engines, and against evicting entries in use because of a
// flood of others.
func TestCapacityIsBounded(t *testing.T) {
	index := New(64)
	hot := chainOf(4)
	index.Apply(stored(0, hot...))
	sequence := uint64(len(hot))
	for n := 100; n < 1100; n++ {
		index.Apply(stored(sequence, digest(n)))
		sequence++
		pieces, _ := index.Depth("a", 1, hot)
		assert.Equal(t, pieces, len(hot))
		assert.Assert(t, index.Len() <= 64)
	}
	_, known := index.Depth("a", 1, []unit.Digest{digest(100)})
	assert.Assert(t, !known, "absence isn't known once entries were evicted")
}

// Guards against using more memory per node than planned: 200,000 entries must fit in 64 MB.
func TestShareOfOneNodeFitsInMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	index := New(200_000)
	for n := range 250_000 {
		endpoint := unit.EndpointID(rune('a' + n%600))
		index.Observe(endpoint, 1, []unit.Digest{digest(n / 3)}, 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d entries in %d bytes", index.Len(), used)
	assert.Equal(t, index.Len(), 200_000)
	assert.Assert(t, used < 64<<20)
}

// Guards against assuming that a piece which isn't reported because of the sampling rule isn't cached.
func TestSampledEventsAreInterpolated(t *testing.T) {
	chain := chainOf(16)
	index := New(100)
	index.SetSample(4) // the pieces 0, 4, 8 and 12 are reported
	index.Apply(stored(1, chain[0], chain[4], chain[8]))
	pieces, known := index.Depth("a", 1, chain)
	assert.Equal(t, pieces, 10) // between 9 and 12
	assert.Assert(t, known)
	_, known = index.Depth("a", 1, chain[1:4])
	assert.Assert(t, !known, "no piece of this chain is sampled")
}

// Guards against returning endpoints that have left or restarted, or another endpoint that reuses their position in the
// index.
func TestHoldersAreUsable(t *testing.T) {
	index, piece := New(10), chainOf(1)
	for _, id := range []unit.EndpointID{"a", "b", "c"} {
		index.Observe(id, 1, piece, 1)
	}
	index.Observe("b", 2, nil, 0)
	index.Forget("c")
	index.Observe("d", 1, nil, 0)
	assert.DeepEqual(t, index.Holders(nil, piece[0], 5), []unit.EndpointID{"a"})
}

// BenchmarkApply stores and evicts pieces in a full index, in batches of 100 events. One operation is one event.
func BenchmarkApply(b *testing.B) {
	index := New(200_000)
	sequences := map[unit.EndpointID]uint64{}
	batch := Batch{Incarnation: 1, Events: make([]Event, 100)}
	for i := 0; i < b.N; i += len(batch.Events) {
		batch.Endpoint = unit.EndpointID(rune('a' + i/100%600))
		batch.First = sequences[batch.Endpoint]
		for j := range batch.Events {
			batch.Events[j] = Event{EventStored, digest(i + j)}
			if j%2 == 1 {
				batch.Events[j] = Event{EventEvicted, digest(i + j - 60_000)}
			}
		}
		index.Apply(batch)
		sequences[batch.Endpoint] += uint64(len(batch.Events))
	}
}
