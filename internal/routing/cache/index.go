// Package cache tracks which prompt pieces each engine's cache is assumed to contain, in bounded memory.
package cache

import (
	"encoding/binary"
	"math"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// maxVisited limits the number of entries that Holders examines.
const maxVisited = 32

// Index maps pieces to the endpoints that hold them. Its sources are cache events, which may be late, reordered or
// lost, and the counts of cached tokens in engines' answers.
type Index struct {
	store       store
	endpoints   []endpointState
	byID        map[unit.EndpointID]uint32
	freeIndexes []uint32
	sample      int
	gaps        uint64
}

// New returns an index with at most capacity entries, each for one piece at one endpoint. An entry takes about 100
// bytes.
func New(capacity int) *Index {
	return &Index{store: newStore(max(capacity, 1)), byID: map[unit.EndpointID]uint32{}, sample: 1}
}

// SetSample sets the sampling rate: engines report only digests whose last byte is 0 modulo sample. The numbers of
// cached pieces are then estimates.
func (x *Index) SetSample(sample int) {
	x.sample = max(sample, 1)
}

// Len returns the number of entries, including invalid ones that aren't removed yet.
func (x *Index) Len() int {
	return len(x.store.postings) - len(x.store.free)
}

// Gaps returns the number of gaps found in event streams.
func (x *Index) Gaps() uint64 {
	return x.gaps
}

// Apply applies a batch of events and reports whether events before it are missing. Events of an older incarnation and
// events that were already applied change nothing. A gap makes the endpoint's existing entries doubtful until a later
// event or Observe confirms them. Events that arrive late and fill a gap are applied unless a newer event for the same
// piece was applied; the resulting entries stay doubtful.
func (x *Index) Apply(b Batch) (gap bool) {
	if len(b.Events) == 0 || b.First > math.MaxUint64-uint64(len(b.Events)) {
		return false
	}
	at, ok := x.endpointFor(b.Endpoint, b.Incarnation)
	if !ok {
		return false
	}
	s := &x.endpoints[at]
	firstNew := s.next
	gap = s.advance(b.First, b.First+uint64(len(b.Events)))
	if gap {
		x.gaps++
	}
	for i, event := range b.Events {
		sequence := b.First + uint64(i)
		if sequence < firstNew && !s.fillMissing(sequence) {
			continue
		}
		x.applyEvent(at, event, sequence)
	}
	return gap
}

// Observe updates the index with an engine's answer: the engine found the first cachedPieces pieces of the chain in its
// cache, so these entries are confirmed. Doubtful entries for later pieces are removed. Confirmed entries for later
// pieces stay, because the engine may have stored these pieces while it ran the request.
func (x *Index) Observe(id unit.EndpointID, inc unit.Incarnation, chain []unit.Digest, cachedPieces int) {
	at, ok := x.endpointFor(id, inc)
	if !ok {
		return
	}
	for i := range chain {
		if !x.sampled(chain[i]) {
			continue
		}
		key := keyOf(chain[i])
		if i < cachedPieces {
			x.confirm(key, at, x.endpoints[at].next)
			continue
		}
		if found := x.store.find(key, at); found != noPosting && !x.endpoints[at].confirmed(&x.store.postings[found]) {
			x.store.remove(found)
		}
	}
}

// Estimate is the estimated cache state of one endpoint for the leading pieces of a chain.
type Estimate struct {
	// Pieces is the number of leading pieces that the endpoint is assumed to hold, Confirmed the number of those before
	// the first doubtful one.
	Pieces, Confirmed int
	// Lost is the number of events that were lost since the doubtful pieces were confirmed, or math.MaxInt if the
	// number is no longer known. Each lost event may have evicted one of the pieces.
	Lost int
	// Known is set if all pieces are confirmed and, unless they are the whole chain, the next piece is known to be
	// absent. Absence is only known for an endpoint that has sent all events, without a gap, since its start or since
	// its cache was last cleared.
	Known bool
}

// Depth returns the number of leading pieces of the chain that the endpoint's incarnation is assumed to hold, and
// whether that is known, see Estimate. For any other incarnation than the newest known one it returns 0 and false.
func (x *Index) Depth(id unit.EndpointID, inc unit.Incarnation, chain []unit.Digest) (pieces int, known bool) {
	b := x.Estimate(id, inc, chain)
	return b.Pieces, b.Known
}

// ResolvedChain holds the positions of a chain's pieces in the index. It allows looking up one chain for several
// endpoints and is invalid once the index has changed.
type ResolvedChain []int32

// Resolve appends the positions of the chain's pieces, up to the first piece that no endpoint holds.
func (x *Index) Resolve(into ResolvedChain, chain []unit.Digest) ResolvedChain {
	for i := range chain {
		head := noPosting
		if x.sampled(chain[i]) {
			var held bool
			if head, held = x.store.heads[keyOf(chain[i])]; !held {
				return into
			}
		}
		into = append(into, head)
	}
	return into
}

// Estimate returns the estimate for the chain at the endpoint's incarnation. It returns the zero value if nothing is
// known about this incarnation.
func (x *Index) Estimate(id unit.EndpointID, inc unit.Incarnation, chain []unit.Digest) Estimate {
	return x.EstimateResolved(id, inc, chain, x.Resolve(nil, chain))
}

// EstimateResolved is Estimate for a chain that was resolved by Resolve.
func (x *Index) EstimateResolved(id unit.EndpointID, inc unit.Incarnation, chain []unit.Digest, resolved ResolvedChain) Estimate {
	at, ok := x.byID[id]
	if !ok || x.endpoints[at].incarnation != inc {
		return Estimate{}
	}
	s := &x.endpoints[at]
	held, confirmed, sampled, lost := 0, 0, 0, 0
	missing, firstDoubtful := len(chain), len(chain)
	for i := range chain {
		if !x.sampled(chain[i]) {
			continue
		}
		sampled++
		found := noPosting
		if i < len(resolved) {
			found = x.store.findInList(resolved[i], at)
		}
		if found == noPosting || !s.valid(&x.store.postings[found]) {
			missing = i
			break
		}
		p := &x.store.postings[found]
		p.recentlyUsed = true
		held = i + 1
		switch {
		case !s.confirmed(p):
			firstDoubtful = min(firstDoubtful, i)
			lost = max(lost, s.lostSince(p.sequence))
		case firstDoubtful == len(chain):
			confirmed = held
		}
	}
	b := Estimate{Pieces: x.interpolate(held, missing, sampled), Lost: lost}
	b.Confirmed = min(x.interpolate(confirmed, min(firstDoubtful, missing), sampled), b.Pieces)
	b.Known = firstDoubtful == len(chain) && sampled > 0 && (missing == len(chain) || s.complete)
	return b
}

// SendsEvents reports whether cache events of this incarnation have been received.
func (x *Index) SendsEvents(id unit.EndpointID, inc unit.Incarnation) bool {
	at, ok := x.byID[id]
	return ok && x.endpoints[at].incarnation == inc && x.endpoints[at].receiving
}

// Holders appends at most limit endpoints that are assumed to hold the piece, most recently added first.
func (x *Index) Holders(into []unit.EndpointID, piece unit.Digest, limit int) []unit.EndpointID {
	at, ok := x.store.heads[keyOf(piece)]
	if !ok {
		return into
	}
	// Invalid postings count as visited too, so that a piece with many of them can't slow down a placement.
	for visited := 0; at != noPosting && limit > 0 && visited < maxVisited; visited++ {
		p := &x.store.postings[at]
		if s := &x.endpoints[p.endpoint]; s.valid(p) {
			into = append(into, s.endpoint)
			limit--
		}
		at = p.next
	}
	return into
}

// Forget removes all data about an endpoint that has left.
func (x *Index) Forget(id unit.EndpointID) {
	at, ok := x.byID[id]
	if !ok {
		return
	}
	x.endpoints[at].reset(0)
	x.endpoints[at].endpoint = ""
	delete(x.byID, id)
	x.freeIndexes = append(x.freeIndexes, at)
}

// interpolate estimates the number of leading pieces between the last sampled piece that is held and the first one that
// is missing. If all pieces are reported (sample 1), these are adjacent and the number is exact.
func (x *Index) interpolate(held, missing, sampled int) int {
	if x.sample == 1 || sampled == 0 {
		return held
	}
	return (held + missing) / 2
}

// endpointFor returns the position of the endpoint's state, which is reset if the incarnation is newer than the known
// one. It returns false for an older incarnation.
func (x *Index) endpointFor(id unit.EndpointID, inc unit.Incarnation) (uint32, bool) {
	at, ok := x.byID[id]
	if !ok {
		at = x.addEndpoint(id)
		x.endpoints[at].reset(inc)
	}
	s := &x.endpoints[at]
	if inc < s.incarnation {
		return 0, false
	}
	if inc > s.incarnation {
		s.reset(inc)
	}
	return at, true
}

func (x *Index) addEndpoint(id unit.EndpointID) uint32 {
	var at uint32
	if last := len(x.freeIndexes) - 1; last >= 0 {
		at = x.freeIndexes[last]
		x.freeIndexes = x.freeIndexes[:last]
	} else {
		at = uint32(len(x.endpoints))
		x.endpoints = append(x.endpoints, endpointState{})
	}
	x.endpoints[at].endpoint = id
	x.byID[id] = at
	return at
}

func (x *Index) applyEvent(at uint32, event Event, sequence uint64) {
	s := &x.endpoints[at]
	switch event.Kind {
	case EventStored:
		if x.sampled(event.Digest) && sequence >= s.clearedAt {
			x.confirm(keyOf(event.Digest), at, sequence)
		}
	case EventEvicted:
		found := x.store.find(keyOf(event.Digest), at)
		if found != noPosting && x.store.postings[found].sequence <= sequence {
			x.store.remove(found)
		}
	case EventCleared:
		s.clearedAt = max(s.clearedAt, sequence+1)
		if sequence+1 > s.doubtBefore {
			s.complete = true
		}
	}
}

// confirm adds an entry, or raises the sequence number of the event that confirms it.
func (x *Index) confirm(key uint64, at uint32, sequence uint64) {
	s := &x.endpoints[at]
	if found := x.store.find(key, at); found != noPosting {
		p := &x.store.postings[found]
		if s.valid(p) {
			p.sequence = max(p.sequence, sequence)
		} else {
			p.sequence, p.generation = sequence, s.generation
		}
		p.recentlyUsed = true
		return
	}
	evicted, full := x.store.insert(posting{key: key, sequence: sequence, generation: s.generation, endpoint: at}, x.isInvalid)
	if full && !x.isInvalid(&evicted) {
		x.endpoints[evicted.endpoint].complete = false
	}
}

func (x *Index) isInvalid(p *posting) bool {
	return !x.endpoints[p.endpoint].valid(p)
}

func (x *Index) sampled(d unit.Digest) bool {
	return x.sample == 1 || int(d[len(d)-1])%x.sample == 0
}

func keyOf(d unit.Digest) uint64 {
	return binary.BigEndian.Uint64(d[:8])
}
