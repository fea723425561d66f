package registry

import "github.com/citronglade/citronglade/internal/base/unit"

// Numbering maps the indexes that another registry uses in its messages to endpoint lifetimes, as far as the reader has received
// them. The zero value is empty. A Numbering is valid until the sender restarts.
type Numbering struct {
	lifetimes map[Index]Lifetime
	indexes   map[unit.EndpointID]Index
}

// add stores the index of a record, or removes it if the endpoint has left, as no further messages refer to that endpoint.
func (n *Numbering) add(record Record) {
	if record.Index == 0 {
		return
	}
	if record.Left {
		n.remove(record.Index)
		return
	}
	if n.lifetimes == nil {
		n.lifetimes, n.indexes = map[Index]Lifetime{}, map[unit.EndpointID]Index{}
	}
	n.lifetimes[record.Index] = Lifetime{Endpoint: record.ID, Born: record.Born}
	n.indexes[record.ID] = max(n.indexes[record.ID], record.Index)
}

// ID returns the endpoint that an index refers to, or false if no record with this index has been received.
func (n *Numbering) ID(index Index) (unit.EndpointID, bool) {
	known, ok := n.lifetimes[index]
	return known.Endpoint, ok
}

// Index returns the newest index of an endpoint, or false if no record of the endpoint has been received or the endpoint has left.
func (n *Numbering) Index(id unit.EndpointID) (Index, bool) {
	index, ok := n.indexes[id]
	return index, ok
}

// IDs returns the endpoints with the given indexes and omits unknown indexes.
func (n *Numbering) IDs(indexes []Index) []unit.EndpointID {
	var ids []unit.EndpointID
	for _, index := range indexes {
		if id, ok := n.ID(index); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// Prune removes the indexes of lifetimes that the reader's own registry no longer contains.
func (n *Numbering) Prune(r *Registry) {
	for index, lifetime := range n.lifetimes {
		if e, ok := r.entries[lifetime.Endpoint]; !ok || e.Born != lifetime.Born {
			n.remove(index)
		}
	}
}

func (n *Numbering) remove(index Index) {
	if id := n.lifetimes[index].Endpoint; n.indexes[id] == index {
		delete(n.indexes, id)
	}
	delete(n.lifetimes, index)
}
