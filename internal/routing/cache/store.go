package cache

// maxListSteps limits the number of a piece's postings that are searched one by one.
const maxListSteps = 4

// noPosting marks the end of a list of postings and a failed search.
const noPosting int32 = -1

// posting records that one endpoint holds one piece. The postings of a piece form a linked list, newest first.
type posting struct {
	key          uint64 // first 8 bytes of the piece's digest
	sequence     uint64 // sequence number of the event that last confirmed this posting
	generation   uint32 // generation of the endpoint's state that the posting belongs to
	endpoint     uint32 // position in Index.endpoints
	previous     int32
	next         int32
	inUse        bool
	recentlyUsed bool // used since the clock hand last passed
}

// store is a bounded table of postings with CLOCK eviction. Eight bytes of a digest suffice as a key: a collision among
// some hundred thousand pieces has a probability below 1e-8, and it costs one wrong estimate.
type store struct {
	postings  []posting
	byPair    map[uint64]int32 // posting of a piece at an endpoint, by pairKey
	heads     map[uint64]int32 // newest posting of a piece
	free      []int32
	clockHand int32
	capacity  int
}

func newStore(capacity int) store {
	return store{
		postings: make([]posting, 0, capacity),
		byPair:   make(map[uint64]int32, capacity),
		heads:    make(map[uint64]int32, capacity),
		capacity: capacity,
	}
}

// pairKey hashes a piece and an endpoint into one key; the constants are those of the splitmix64 finalizer.
func pairKey(key uint64, endpoint uint32) uint64 {
	x := key ^ (uint64(endpoint)+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *store) find(key uint64, endpoint uint32) int32 {
	at, ok := s.byPair[pairKey(key, endpoint)]
	if !ok {
		return noPosting
	}
	return at
}

// findInList returns the endpoint's posting in the list that begins at head. Most pieces are held by a few endpoints,
// and their postings are close to each other in memory; in a longer list, the posting is looked up by its pair instead.
func (s *store) findInList(head int32, endpoint uint32) int32 {
	for at, steps := head, 0; at != noPosting; at, steps = s.postings[at].next, steps+1 {
		p := &s.postings[at]
		if p.endpoint == endpoint {
			return at
		}
		if steps == maxListSteps {
			return s.find(p.key, endpoint)
		}
	}
	return noPosting
}

// insert adds a posting that isn't in the table yet. If the table is full, it first evicts a posting that discard
// accepts or that hasn't been used recently, and returns a copy of it.
func (s *store) insert(p posting, discard func(*posting) bool) (evicted posting, full bool) {
	var at int32
	switch {
	case len(s.free) > 0:
		at = s.free[len(s.free)-1]
		s.free = s.free[:len(s.free)-1]
	case len(s.postings) < s.capacity:
		at = int32(len(s.postings))
		s.postings = append(s.postings, posting{})
	default:
		at = s.nextEvictable(discard)
		evicted, full = s.postings[at], true
		s.remove(at)
		s.free = s.free[:len(s.free)-1]
	}
	// A new posting must be used once before it counts as recently used; otherwise a flood of new postings would clear
	// every mark.
	p.inUse, p.recentlyUsed = true, false
	p.previous, p.next = noPosting, noPosting
	if head, ok := s.heads[p.key]; ok {
		p.next = head
		s.postings[head].previous = at
	}
	s.postings[at] = p
	s.heads[p.key] = at
	s.byPair[pairKey(p.key, p.endpoint)] = at
	return evicted, full
}

// nextEvictable moves the clock hand to the next posting to evict. It ends within two rounds, since the first round
// clears every recentlyUsed mark.
func (s *store) nextEvictable(discard func(*posting) bool) int32 {
	for {
		at := s.clockHand
		s.clockHand = (s.clockHand + 1) % int32(len(s.postings))
		p := &s.postings[at]
		if !p.inUse {
			continue
		}
		if !p.recentlyUsed || discard(p) {
			return at
		}
		p.recentlyUsed = false
	}
}

func (s *store) remove(at int32) {
	p := &s.postings[at]
	delete(s.byPair, pairKey(p.key, p.endpoint))
	if p.next != noPosting {
		s.postings[p.next].previous = p.previous
	}
	switch {
	case p.previous != noPosting:
		s.postings[p.previous].next = p.next
	case p.next != noPosting:
		s.heads[p.key] = p.next
	default:
		delete(s.heads, p.key)
	}
	p.inUse = false
	s.free = append(s.free, at)
}
