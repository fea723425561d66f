package registry

import "github.com/citronglade/citronglade/internal/base/unit"

// Numbering is what a reader knows of the indexes in another registry's messages. The zero value knows none. It is valid until the
// sender restarts.
type Numbering struct {
	known map[Index]lifetime
}

// lifetime is one lifetime of an endpoint.
type lifetime struct {
	id   unit.EndpointID
	born int64
}

// note learns the index of a record. An endpoint that has left gets no further messages.
func (n *Numbering) note(record Record) {
	if record.Index == 0 {
		return
	}
	if record.Left {
		delete(n.known, record.Index)
		return
	}
	if n.known == nil {
		n.known = map[Index]lifetime{}
	}
	n.known[record.Index] = lifetime{record.ID, record.Born}
}

// ID returns the endpoint that an index stands for, or false if the sender hasn't named it.
func (n *Numbering) ID(index Index) (unit.EndpointID, bool) {
	known, ok := n.known[index]
	return known.id, ok
}

// Indexes returns the index of each endpoint that the sender has named and that hasn't left.
func (n *Numbering) Indexes() map[unit.EndpointID]Index {
	indexes := make(map[unit.EndpointID]Index, len(n.known))
	for index, lifetime := range n.known {
		if other, ok := indexes[lifetime.id]; !ok || index > other {
			indexes[lifetime.id] = index
		}
	}
	return indexes
}

// IDs returns the endpoints with those indexes, as far as the sender has named them.
func (n *Numbering) IDs(indexes []Index) []unit.EndpointID {
	var ids []unit.EndpointID
	for _, index := range indexes {
		if id, ok := n.ID(index); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// Prune drops indexes of lifetimes that the reader's own registry doesn't know any more.
func (n *Numbering) Prune(r *Registry) {
	for index, lifetime := range n.known {
		if e, ok := r.entries[lifetime.id]; !ok || e.Born != lifetime.born {
			delete(n.known, index)
		}
	}
}
