package cache

import (
	"cmp"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// EndpointPieces lists the pieces that one incarnation of an endpoint is assumed to hold, by the first 8 bytes of their
// digests, least recently confirmed first.
type EndpointPieces struct {
	Endpoint    unit.EndpointID  `cbor:"1,keyasint"`
	Incarnation unit.Incarnation `cbor:"2,keyasint"`
	Pieces      []uint64         `cbor:"3,keyasint"`
}

// Export returns at most limit entries for another index, sorted by endpoint. Each endpoint gets an equal share, filled
// with its most recently confirmed entries; doubtful entries are omitted.
func (x *Index) Export(limit int) []EndpointPieces {
	confirmed := make([][]*posting, len(x.endpoints))
	for i := range x.store.postings {
		p := &x.store.postings[i]
		if s := &x.endpoints[p.endpoint]; p.inUse && s.valid(p) && s.confirmed(p) {
			confirmed[p.endpoint] = append(confirmed[p.endpoint], p)
		}
	}
	part := limit / max(len(x.byID), 1)
	holdings := make([]EndpointPieces, 0, len(x.byID))
	for id, at := range x.byID {
		list := confirmed[at]
		slices.SortFunc(list, func(a, b *posting) int {
			return cmp.Or(cmp.Compare(a.sequence, b.sequence), cmp.Compare(a.key, b.key))
		})
		list = list[max(0, len(list)-part):]
		h := EndpointPieces{Endpoint: id, Incarnation: x.endpoints[at].incarnation, Pieces: make([]uint64, len(list))}
		for i, p := range list {
			h.Pieces[i] = p.key
		}
		holdings = append(holdings, h)
	}
	slices.SortFunc(holdings, func(a, b EndpointPieces) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return holdings
}

// Import adds the entries of another host's index. An endpoint numbers its events differently for each entry host, so
// the first batch after an import is accepted as a continuation without a gap. Entries of an incarnation that isn't the
// newest known one are ignored.
func (x *Index) Import(holdings []EndpointPieces) {
	for _, h := range holdings {
		at, ok := x.endpointFor(h.Endpoint, h.Incarnation)
		if !ok {
			continue
		}
		s := &x.endpoints[at]
		s.imported = s.imported || !s.receiving
		for _, key := range h.Pieces {
			x.confirm(key, at, s.next)
		}
	}
}
