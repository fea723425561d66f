package registry

import "github.com/citronglade/citronglade/internal/base/unit"

// Numbering is what a reader knows of the indexes in another registry's messages. The zero value knows none. It is valid until the
// sender restarts.
type Numbering struct {
	known   map[Index]Lifetime
	indexes map[unit.EndpointID]Index
}

// note learns the index of a record. An endpoint that has left gets no further messages.
func (n *Numbering) note(record Record) {
	if record.Index == 0 {
		return
	}
	if record.Left {
		n.drop(record.Index)
		return
	}
	if n.known == nil {
		n.known, n.indexes = map[Index]Lifetime{}, map[unit.EndpointID]Index{}
	}
	n.known[record.Index] = Lifetime{Endpoint: record.ID, Born: record.Born}
	n.indexes[record.ID] = max(n.indexes[record.ID], record.Index)
}

// ID returns the endpoint that an index stands for, or false if the sender hasn't named it.
func (n *Numbering) ID(index Index) (unit.EndpointID, bool) {
	known, ok := n.known[index]
	return known.Endpoint, ok
}

// Index returns the newest index of an endpoint, or false if the sender hasn't named it or it has left.
func (n *Numbering) Index(id unit.EndpointID) (Index, bool) {
	index, ok := n.indexes[id]
	return index, ok
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
		if e, ok := r.entries[lifetime.Endpoint]; !ok || e.Born != lifetime.Born {
			n.drop(index)
		}
	}
}

func (n *Numbering) drop(index Index) {
	if id := n.known[index].Endpoint; n.indexes[id] == index {
		delete(n.indexes, id)
	}
	delete(n.known, index)
}
