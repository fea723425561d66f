// Package registry knows which endpoints exist from what they report about themselves. Reports arrive late, twice, out of
// order and from lifetimes that are over; the registry orders them by the start of the lifetime and a sequence number. The
// same rules merge what two hosts have heard, so that the order in which they hear it doesn't matter.
package registry

import (
	"cmp"
	"container/list"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// forgetAfter is how long an endpoint that left or fell silent is remembered, so that a report that was on its way for so
// long isn't taken for a new endpoint.
const forgetAfter = 2 * time.Minute

// beatStep is the least progress of an endpoint's last report that is news. Two registries that tell each other would otherwise
// pass the same report to and fro, a little later each time by the way between them.
const beatStep = 250 * time.Millisecond

// Report is what an endpoint says of itself.
type Report struct {
	ID         unit.EndpointID                       `cbor:"1,keyasint"`
	Service    table.ServiceName                     `cbor:"2,keyasint"`
	Address    string                                `cbor:"3,keyasint"` // IP:port
	DataCentre unit.DataCentre                       `cbor:"4,keyasint"`
	Slots      int                                   `cbor:"5,keyasint,omitempty"` // requests at once
	Draining   bool                                  `cbor:"6,keyasint,omitempty"` // takes no new requests
	ColdFor    time.Duration                         `cbor:"7,keyasint,omitempty"` // how much longer it is slow after its start
	Weights    map[unit.ModelName]book.WeightsNumber `cbor:"8,keyasint,omitempty"`
	Born       int64                                 `cbor:"9,keyasint"`  // start of the lifetime in Unix milliseconds by the endpoint's clock
	Sequence   uint64                                `cbor:"10,keyasint"` // grows with each report of a lifetime
}

// Record is an endpoint as known here.
type Record struct {
	Report
	Left  bool          `cbor:"20,keyasint,omitempty"` // said that it leaves for good
	Age   time.Duration `cbor:"21,keyasint,omitempty"` // since its last report, when the record was sent
	Index Index         `cbor:"22,keyasint,omitempty"` // in the numbering of the registry that sent the record
}

// Lifetime is one life of an endpoint, from a start to its end.
type Lifetime struct {
	Endpoint unit.EndpointID `cbor:"1,keyasint"`
	Born     int64           `cbor:"2,keyasint"` // as in Report
}

// Index stands for one lifetime of an endpoint in messages of one registry, 1 being the first that it heard of.
type Index uint32

// Beat is a repeated report that changes nothing but its time. A list of many of them is most of what hosts tell each other, so
// that it carries no names.
type Beat struct {
	_        struct{} `cbor:",toarray"`
	Index    Index    // in the numbering of the sender
	Sequence uint64
	Age      uint32 // in milliseconds
}

// Update is what changed in a registry after the change with the number that the reader knows.
type Update struct {
	Number  uint64   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint,omitempty"`
	Beats   []Beat   `cbor:"3,keyasint,omitempty"`
}

// Endpoint is one endpoint for readers on the same host.
type Endpoint struct {
	Report
	Left    bool
	HeardAt unit.Moment
}

// entry is the state of one endpoint id.
type entry struct {
	Endpoint
	index   Index
	changed uint64        // number of the last change of its content
	beat    uint64        // number of the last report
	place   *list.Element // in Registry.order
}

// Registry is a deterministic state machine, not safe for concurrent use.
type Registry struct {
	entries   map[unit.EndpointID]*entry
	byAddress map[string]unit.EndpointID // the newest lifetime at each address
	order     *list.List                 // of *entry, by the number of their last report
	last      Index                      // the highest index that was given
	number    uint64
	content   uint64 // number of the last change of an entry's content
}

// New returns a registry that knows no endpoint.
func New() *Registry {
	return &Registry{
		entries: map[unit.EndpointID]*entry{}, byAddress: map[string]unit.EndpointID{}, order: list.New(),
	}
}

// Hear takes a report and says whether it is news: false for one that a newer report or lifetime has overtaken.
func (r *Registry) Hear(now unit.Moment, report Report) bool {
	return r.merge(now, Record{Report: report})
}

// Leave notes that an endpoint has left. A born of 0 means the lifetime that is known.
func (r *Registry) Leave(now unit.Moment, id unit.EndpointID, born int64) {
	known, ok := r.entries[id]
	if !ok {
		if born != 0 {
			r.merge(now, Record{Report: Report{ID: id, Born: born}, Left: true})
		}
		return
	}
	if born != 0 && born < known.Born {
		return
	}
	record := Record{Report: known.Report, Left: true}
	record.Born = max(born, known.Born)
	r.merge(now, record)
}

// Merge takes what another registry knows. The numbering is that of the sender. It returns the endpoints that only reported again.
func (r *Registry) Merge(now unit.Moment, update Update, sender *Numbering) []unit.EndpointID {
	for _, record := range update.Records {
		r.merge(now, record)
		sender.note(record)
	}
	var heard []unit.EndpointID
	for _, beat := range update.Beats {
		lifetime, ok := sender.known[beat.Index]
		if !ok {
			continue
		}
		known, ok := r.entries[lifetime.Endpoint]
		if !ok || known.Born != lifetime.Born || known.Left {
			continue
		}
		known.Sequence = max(known.Sequence, beat.Sequence)
		r.heard(known, now.Add(-time.Duration(beat.Age)*time.Millisecond))
		heard = append(heard, lifetime.Endpoint)
	}
	return heard
}

// merge applies one record by the rules of the package comment.
func (r *Registry) merge(now unit.Moment, record Record) bool {
	known, ok := r.entries[record.ID]
	if ok && record.Born < known.Born {
		return false
	}
	heardAt := now.Add(-record.Age)
	if ok && record.Born == known.Born {
		return r.sameLifetime(known, record, heardAt)
	}
	if other, taken := r.at(record.Address); taken && other.ID != record.ID {
		if record.Born < other.Born {
			// The address belongs to a later lifetime, so this report is of an endpoint that is gone.
			return false
		}
		if !other.Left {
			other.Left = true
			r.contentChanged(other)
		}
	}
	if ok {
		r.order.Remove(known.place)
	}
	r.last++
	e := &entry{Endpoint: Endpoint{Report: record.Report, Left: record.Left, HeardAt: heardAt}, index: r.last}
	e.place = r.order.PushBack(e)
	r.entries[record.ID] = e
	if record.Address != "" {
		r.byAddress[record.Address] = record.ID
	}
	r.contentChanged(e)
	return true
}

// sameLifetime merges a record of the lifetime that is known. Draining and leaving never end within a lifetime.
func (r *Registry) sameLifetime(known *entry, record Record, heardAt unit.Moment) bool {
	before := known.Endpoint
	newer := record.Sequence > known.Sequence
	if newer && !known.Left {
		known.Report = record.Report
	}
	// A report that was made before an upgrade may arrive after the upgrade is known.
	known.Weights, _ = newest(known.Weights, before.Weights)
	known.Weights, _ = newest(known.Weights, record.Weights)
	known.Draining = before.Draining || record.Draining
	known.Left = before.Left || record.Left
	if !same(before, known.Endpoint) {
		r.contentChanged(known)
	}
	r.heard(known, heardAt)
	return newer
}

func same(a, b Endpoint) bool {
	return a.Draining == b.Draining && a.Left == b.Left && a.Service == b.Service && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Slots == b.Slots && (a.ColdFor > 0) == (b.ColdFor > 0) && maps.Equal(a.Weights, b.Weights)
}

func (r *Registry) at(address string) (*entry, bool) {
	id, ok := r.byAddress[address]
	if !ok || address == "" {
		return nil, false
	}
	e, ok := r.entries[id]
	return e, ok
}

func (r *Registry) contentChanged(e *entry) {
	r.number++
	e.changed, e.beat, r.content = r.number, r.number, r.number
	r.order.MoveToBack(e.place)
}

func (r *Registry) heard(e *entry, at unit.Moment) {
	if at < e.HeardAt.Add(beatStep) {
		return
	}
	e.HeardAt = at
	r.number++
	e.beat = r.number
	r.order.MoveToBack(e.place)
}

// Since returns what changed after the change with that number, the newest first; 0 asks for everything.
func (r *Registry) Since(now unit.Moment, number uint64) Update {
	update := Update{Number: r.number}
	all := number > r.number
	for element := r.order.Back(); element != nil; element = element.Prev() {
		e, _ := element.Value.(*entry)
		age := max(now.Sub(e.HeardAt), 0)
		switch {
		case e.changed > number || all:
			update.Records = append(update.Records, Record{Report: e.Report, Left: e.Left, Age: age, Index: e.index})
		case e.beat > number:
			update.Beats = append(update.Beats, Beat{Index: e.index, Sequence: e.Sequence, Age: uint32(min(age.Milliseconds(), math.MaxUint32))}) //nolint:gosec // bounded on both sides
		default:
			return update
		}
	}
	return update
}

// Index returns the index of an endpoint's present lifetime, 0 if the endpoint isn't known.
func (r *Registry) Index(id unit.EndpointID) Index {
	if e, ok := r.entries[id]; ok {
		return e.index
	}
	return 0
}

// Indexes returns the indexes of endpoints, as far as they are known.
func (r *Registry) Indexes(ids []unit.EndpointID) []Index {
	var indexes []Index
	for _, id := range ids {
		if index := r.Index(id); index != 0 {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// LearnWeights notes weights that an endpoint told of outside its reports. Numbers only grow within a lifetime. It returns
// whether that is news.
func (r *Registry) LearnWeights(id unit.EndpointID, born int64, weights map[unit.ModelName]book.WeightsNumber) bool {
	e, ok := r.entries[id]
	if !ok || e.Born != born {
		return false
	}
	merged, news := newest(e.Weights, weights)
	if news {
		e.Weights = merged
		r.contentChanged(e)
	}
	return news
}

// newest returns the higher number of each model, and whether any is higher than in known.
func newest(known, told map[unit.ModelName]book.WeightsNumber) (map[unit.ModelName]book.WeightsNumber, bool) {
	merged, news := maps.Clone(known), false
	for model, number := range told {
		if number > merged[model] {
			if merged == nil {
				merged = map[unit.ModelName]book.WeightsNumber{}
			}
			merged[model], news = number, true
		}
	}
	return merged, news
}

// ContentNumber returns the number of the last change that was more than a beat.
func (r *Registry) ContentNumber() uint64 {
	return r.content
}

// Endpoint returns one endpoint.
func (r *Registry) Endpoint(id unit.EndpointID) (Endpoint, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Drain notes that a lifetime takes no new requests, whatever its reports say. It reports whether that is news.
func (r *Registry) Drain(l Lifetime) bool {
	e, ok := r.entries[l.Endpoint]
	if !ok || e.Born != l.Born || e.Draining || e.Left {
		return false
	}
	e.Draining = true
	r.contentChanged(e)
	return true
}

// Replaced reports whether a later lifetime is known under the same id, or under another one at the same address.
func (r *Registry) Replaced(l Lifetime) bool {
	e, ok := r.entries[l.Endpoint]
	if !ok || e.Born != l.Born {
		return ok && e.Born > l.Born
	}
	other, ok := r.at(e.Address)
	return ok && other.ID != l.Endpoint && other.Born > l.Born
}

// Present returns the endpoints that haven't left, by id.
func (r *Registry) Present() []Endpoint {
	var present []Endpoint
	for _, e := range r.sorted() {
		if !e.Left && e.Address != "" {
			present = append(present, e.Endpoint)
		}
	}
	return present
}

// Prune forgets endpoints that haven't been heard of for long.
func (r *Registry) Prune(now unit.Moment) {
	for id, e := range r.entries {
		if now.Sub(e.HeardAt) > forgetAfter {
			delete(r.entries, id)
			r.order.Remove(e.place)
			if r.byAddress[e.Address] == id {
				delete(r.byAddress, e.Address)
			}
		}
	}
}

func (r *Registry) sorted() []*entry {
	return slices.SortedFunc(maps.Values(r.entries), func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
}
