// Package registry tracks which endpoints exist, based on the reports that endpoints send about themselves. Reports may arrive
// late, twice, out of order, or from lifetimes that have ended; the registry orders them by the start of the lifetime and a
// sequence number. The same rules merge the registries of two hosts, so that the result doesn't depend on the order of arrival.
package registry

import (
	"cmp"
	"container/list"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// retentionPeriod is how long an endpoint is kept after its last report, also if it has left, so that a report that was delayed
// for up to this time isn't taken for one of a new endpoint.
const retentionPeriod = 2 * time.Minute

// minHeartbeatAdvance is the minimum by which the time of an endpoint's last report must advance to be propagated. Without it, two
// registries would send the same report back and forth for ever, as its computed time grows by the network delay on each hop.
const minHeartbeatAdvance = 250 * time.Millisecond

// maxEndpoints bounds the endpoints that a registry keeps, since anybody who reaches a control host may report some: those of 600 replicas, each
// replaced a dozen times within retentionPeriod.
const maxEndpoints = 8192

// Report is what an endpoint reports about itself.
type Report struct {
	ID         unit.EndpointID                            `cbor:"1,keyasint"`
	Service    table.ServiceName                          `cbor:"2,keyasint"`
	Address    string                                     `cbor:"3,keyasint"` // IP:port
	DataCentre unit.DataCentre                            `cbor:"4,keyasint"`
	Slots      int                                        `cbor:"5,keyasint,omitempty"` // maximum number of concurrent requests
	Draining   bool                                       `cbor:"6,keyasint,omitempty"` // accepts no new requests
	ColdFor    time.Duration                              `cbor:"7,keyasint,omitempty"` // remaining time of slow operation after the start
	Weights    map[unit.ModelName]decisions.WeightsNumber `cbor:"8,keyasint,omitempty"`
	Born       int64                                      `cbor:"9,keyasint"`  // start of the lifetime in Unix milliseconds, by the endpoint's clock
	Sequence   uint64                                     `cbor:"10,keyasint"` // increases with each report of a lifetime
	Software   unit.SoftwareVersion                       `cbor:"11,keyasint,omitempty"`
}

// Record is an endpoint as the sending registry knows it.
type Record struct {
	Report
	Left  bool          `cbor:"20,keyasint,omitempty"` // the lifetime is over
	Age   time.Duration `cbor:"21,keyasint,omitempty"` // time between the last report and the sending of the record
	Index Index         `cbor:"22,keyasint,omitempty"` // assigned by the registry that sent the record
	// Limit is the limit that the lifetime named in its answers.
	Limit requestlimit.Limit `cbor:"23,keyasint,omitzero"`
}

// Lifetime identifies one run of an endpoint, from its start to its end.
type Lifetime struct {
	Endpoint unit.EndpointID `cbor:"1,keyasint"`
	Born     int64           `cbor:"2,keyasint"` // as in Report
}

// Index identifies one lifetime of an endpoint in the messages of one registry, which assigns indexes in ascending order from 1.
type Index uint32

// Heartbeat is a repeated report in which only the time has changed. Most of the traffic between hosts is lists of heartbeats, so a
// heartbeat carries an index instead of names.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Index    Index    // assigned by the sender
	Sequence uint64
	Age      uint32 // in milliseconds
}

// NamedLimit is a change of the limit that an endpoint names in its answers. Limits may change with each answer, so a change carries an
// index instead of names.
type NamedLimit struct {
	_     struct{} `cbor:",toarray"`
	Index Index    // assigned by the sender
	Limit requestlimit.Limit
}

// Update contains the changes of a registry after the change number that the reader last received. Number is the sender's
// current change number.
type Update struct {
	Number     uint64       `cbor:"1,keyasint"`
	Records    []Record     `cbor:"2,keyasint,omitempty"`
	Heartbeats []Heartbeat  `cbor:"3,keyasint,omitempty"`
	Limits     []NamedLimit `cbor:"4,keyasint,omitempty"`
}

// Endpoint is the state of one endpoint, for use on the same host.
type Endpoint struct {
	Report
	Left    bool
	HeardAt unit.Moment
	Limit   requestlimit.Limit // named in the lifetime's answers
}

// entry is the registry's internal state of one endpoint id.
type entry struct {
	Endpoint
	index         Index
	contentNumber uint64        // change number of the last change other than a heartbeat
	limitNumber   uint64        // change number of the last change of the limit
	changeNumber  uint64        // change number of the last change, heartbeats and limits included
	orderElement  *list.Element // the entry's element in Registry.order
}

// Registry is a deterministic state machine. It isn't safe for concurrent use.
type Registry struct {
	entries       map[unit.EndpointID]*entry
	byAddress     map[string]unit.EndpointID // the newest lifetime at each address
	byIndex       map[Index]unit.EndpointID
	limited       map[unit.EndpointID]struct{} // endpoints that may have a limit in force
	software      softwareHistory
	order         *list.List // of *entry, in ascending order of changeNumber
	lastIndex     Index      // the highest index assigned so far
	changeNumber  uint64
	contentNumber uint64 // change number of the last change of any entry other than a heartbeat
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		entries: map[unit.EndpointID]*entry{}, byAddress: map[string]unit.EndpointID{}, order: list.New(),
		byIndex: map[Index]unit.EndpointID{}, limited: map[unit.EndpointID]struct{}{}, software: softwareHistory{},
	}
}

// ApplyReport applies a report. It returns false if a newer report or a later lifetime is already known, or if there is no room for it.
func (r *Registry) ApplyReport(now unit.Moment, report Report) bool {
	return r.merge(now, Record{Report: report})
}

// Full reports whether there is no room for a report. There is room for those of known endpoints, and of one that replaces another at its address.
func (r *Registry) Full(report Report) bool {
	if len(r.entries) < maxEndpoints {
		return false
	}
	_, known := r.entries[report.ID]
	replaced, taken := r.entryAt(report.Address)
	return !known && (!taken || report.Born < replaced.Born) && r.oldestLeft() == nil
}

// oldestLeft returns the endpoint that has left and changed least recently, nil if there is none.
func (r *Registry) oldestLeft() *entry {
	for element := r.order.Front(); element != nil; element = element.Next() {
		if e, _ := element.Value.(*entry); e.Left {
			return e
		}
	}
	return nil
}

// makeRoom removes an endpoint that has left if there are too many, and returns false if there is none.
func (r *Registry) makeRoom() bool {
	if len(r.entries) < maxEndpoints {
		return true
	}
	left := r.oldestLeft()
	if left == nil {
		return false
	}
	r.remove(left)
	return true
}

// remove forgets an endpoint.
func (r *Registry) remove(e *entry) {
	delete(r.entries, e.ID)
	delete(r.byIndex, e.index)
	delete(r.limited, e.ID)
	r.order.Remove(e.orderElement)
	if r.byAddress[e.Address] == e.ID {
		delete(r.byAddress, e.Address)
	}
}

// MarkLeft marks an endpoint as having left. born is the start of the lifetime that ends; 0 means the lifetime that is known.
func (r *Registry) MarkLeft(now unit.Moment, id unit.EndpointID, born int64) {
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

// Merge applies an update of another registry. sender is the numbering of that registry and is extended by the update's records.
// Merge returns the endpoints whose known lifetime has a heartbeat or a limit in the update.
func (r *Registry) Merge(now unit.Moment, update Update, sender *Numbering) []unit.EndpointID {
	for _, record := range update.Records {
		r.merge(now, record)
		sender.add(record)
	}
	var heard []unit.EndpointID
	for _, heartbeat := range update.Heartbeats {
		lifetime, ok := sender.lifetimes[heartbeat.Index]
		if !ok {
			continue
		}
		known, ok := r.entries[lifetime.Endpoint]
		if !ok || known.Born != lifetime.Born || known.Left {
			continue
		}
		known.Sequence = max(known.Sequence, heartbeat.Sequence)
		r.recordHeartbeat(known, now.Add(-time.Duration(heartbeat.Age)*time.Millisecond))
		heard = append(heard, lifetime.Endpoint)
	}
	for _, named := range update.Limits {
		lifetime, ok := sender.lifetimes[named.Index]
		if ok && r.LearnLimit(lifetime, named.Limit) {
			heard = append(heard, lifetime.Endpoint)
		}
	}
	return heard
}

// LearnLimit merges a limit that a lifetime named in an answer. It returns false if the lifetime is unknown or the change is known.
func (r *Registry) LearnLimit(l Lifetime, limit requestlimit.Limit) bool {
	e, ok := r.entries[l.Endpoint]
	if !ok || e.Born != l.Born || e.Left {
		return false
	}
	merged := e.Limit.Merge(limit)
	if merged == e.Limit {
		return false
	}
	e.Limit = merged
	if merged.InForce() {
		r.limited[l.Endpoint] = struct{}{}
	}
	r.changeNumber++
	e.limitNumber, e.changeNumber = r.changeNumber, r.changeNumber
	r.order.MoveToBack(e.orderElement)
	return true
}

// merge applies one record by the rules of the package comment. It returns false if a newer report or a later lifetime is known, or if there is no
// room for it.
func (r *Registry) merge(now unit.Moment, record Record) bool {
	known, ok := r.entries[record.ID]
	if ok && record.Born < known.Born {
		return false
	}
	heardAt := now.Add(-record.Age)
	if ok && record.Born == known.Born {
		return r.mergeSameLifetime(known, record, heardAt)
	}
	if other, taken := r.entryAt(record.Address); taken && other.ID != record.ID {
		if record.Born < other.Born {
			// A later lifetime uses this address, so the record is of an endpoint that has ended.
			return false
		}
		if !other.Left {
			other.Left = true
			r.recordContentChange(other)
		}
	}
	if !ok && !r.makeRoom() {
		return false
	}
	if ok {
		r.order.Remove(known.orderElement)
		delete(r.byIndex, known.index)
	}
	r.lastIndex++
	e := &entry{Endpoint: Endpoint{Report: record.Report, Left: record.Left, HeardAt: heardAt, Limit: record.Limit}, index: r.lastIndex}
	e.orderElement = r.order.PushBack(e)
	r.entries[record.ID], r.byIndex[e.index] = e, record.ID
	if e.Limit.InForce() {
		r.limited[record.ID] = struct{}{}
	}
	if record.Address != "" {
		r.byAddress[record.Address] = record.ID
	}
	r.software.record(e.Service, e.Software, e.HeardAt)
	r.recordContentChange(e)
	return true
}

// mergeSameLifetime merges a record of the known lifetime. Draining and Left are never reset within a lifetime.
func (r *Registry) mergeSameLifetime(known *entry, record Record, heardAt unit.Moment) bool {
	before := known.Endpoint
	newer := record.Sequence > known.Sequence
	if newer && !known.Left {
		known.Report = record.Report
	}
	// A report from before a weights upgrade may arrive after the upgrade is known.
	known.Weights, _ = mergeWeights(known.Weights, before.Weights)
	known.Weights, _ = mergeWeights(known.Weights, record.Weights)
	known.Draining = before.Draining || record.Draining
	known.Left = before.Left || record.Left
	if !sameContent(before, known.Endpoint) {
		r.recordContentChange(known)
	}
	r.recordHeartbeat(known, heardAt)
	r.LearnLimit(Lifetime{Endpoint: known.ID, Born: known.Born}, record.Limit)
	return newer
}

func sameContent(a, b Endpoint) bool {
	return a.Draining == b.Draining && a.Left == b.Left && a.Service == b.Service && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Slots == b.Slots && a.Software == b.Software && (a.ColdFor > 0) == (b.ColdFor > 0) && maps.Equal(a.Weights, b.Weights)
}

func (r *Registry) entryAt(address string) (*entry, bool) {
	id, ok := r.byAddress[address]
	if !ok || address == "" {
		return nil, false
	}
	e, ok := r.entries[id]
	return e, ok
}

func (r *Registry) recordContentChange(e *entry) {
	r.changeNumber++
	e.contentNumber, e.changeNumber, r.contentNumber = r.changeNumber, r.changeNumber, r.changeNumber
	r.order.MoveToBack(e.orderElement)
}

func (r *Registry) recordHeartbeat(e *entry, at unit.Moment) {
	if at < e.HeardAt.Add(minHeartbeatAdvance) {
		return
	}
	e.HeardAt = at
	r.software.record(e.Service, e.Software, at)
	r.changeNumber++
	e.changeNumber = r.changeNumber
	r.order.MoveToBack(e.orderElement)
}

// Since returns the changes after the given change number, the newest first. It returns everything for 0 and for a number that this
// registry hasn't reached.
func (r *Registry) Since(now unit.Moment, number uint64) Update {
	update := Update{Number: r.changeNumber}
	all := number > r.changeNumber
	for element := r.order.Back(); element != nil; element = element.Prev() {
		e, _ := element.Value.(*entry)
		age := max(now.Sub(e.HeardAt), 0)
		switch {
		case e.contentNumber > number || all:
			update.Records = append(update.Records, Record{Report: e.Report, Left: e.Left, Age: age, Index: e.index, Limit: e.Limit})
		case e.changeNumber > number:
			if e.limitNumber > number {
				update.Limits = append(update.Limits, NamedLimit{Index: e.index, Limit: e.Limit})
			}
			update.Heartbeats = append(update.Heartbeats, Heartbeat{Index: e.index, Sequence: e.Sequence, Age: uint32(min(age.Milliseconds(), math.MaxUint32))}) //nolint:gosec // bounded on both sides
		default:
			return update
		}
	}
	return update
}

// Index returns the index of an endpoint's current lifetime, or 0 if the endpoint isn't known.
func (r *Registry) Index(id unit.EndpointID) Index {
	if e, ok := r.entries[id]; ok {
		return e.index
	}
	return 0
}

// ID returns the endpoint whose current lifetime has the given index, or false if there is none.
func (r *Registry) ID(index Index) (unit.EndpointID, bool) {
	id, ok := r.byIndex[index]
	return id, ok
}

// Limited returns the present endpoints that name a limit, in no particular order.
func (r *Registry) Limited() []Endpoint {
	var limited []Endpoint
	for id := range r.limited {
		if e, ok := r.entries[id]; ok && e.Limit.InForce() && !e.Left && e.Address != "" {
			limited = append(limited, e.Endpoint)
		} else {
			delete(r.limited, id)
		}
	}
	return limited
}

// Indexes returns the indexes of the given endpoints and omits unknown endpoints.
func (r *Registry) Indexes(ids []unit.EndpointID) []Index {
	var indexes []Index
	for _, id := range ids {
		if index := r.Index(id); index != 0 {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// LearnWeights stores weights numbers that an endpoint has stated outside its reports. Weights numbers only increase within a
// lifetime. It returns whether a number has increased.
func (r *Registry) LearnWeights(id unit.EndpointID, born int64, weights map[unit.ModelName]decisions.WeightsNumber) bool {
	e, ok := r.entries[id]
	if !ok || e.Born != born {
		return false
	}
	merged, news := mergeWeights(e.Weights, weights)
	if news {
		e.Weights = merged
		r.recordContentChange(e)
	}
	return news
}

// mergeWeights returns the higher weights number of each model, and whether any of them is higher than in known.
func mergeWeights(known, update map[unit.ModelName]decisions.WeightsNumber) (map[unit.ModelName]decisions.WeightsNumber, bool) {
	merged, news := maps.Clone(known), false
	for model, number := range update {
		if number > merged[model] {
			if merged == nil {
				merged = map[unit.ModelName]decisions.WeightsNumber{}
			}
			merged[model], news = number, true
		}
	}
	return merged, news
}

// ContentNumber returns the change number of the last change other than a heartbeat.
func (r *Registry) ContentNumber() uint64 {
	return r.contentNumber
}

// Endpoint returns the endpoint with the given id, or false if it isn't known.
func (r *Registry) Endpoint(id unit.EndpointID) (Endpoint, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// MarkDraining marks a lifetime as accepting no new requests, whatever its reports say. It returns false if the lifetime is unknown, over,
// or already draining.
func (r *Registry) MarkDraining(l Lifetime) bool {
	e, ok := r.entries[l.Endpoint]
	if !ok || e.Born != l.Born || e.Draining || e.Left {
		return false
	}
	e.Draining = true
	r.recordContentChange(e)
	return true
}

// Replaced reports whether a later lifetime is known under the same id, or under another id at the same address.
func (r *Registry) Replaced(l Lifetime) bool {
	e, ok := r.entries[l.Endpoint]
	if !ok || e.Born != l.Born {
		return ok && e.Born > l.Born
	}
	other, ok := r.entryAt(e.Address)
	return ok && other.ID != l.Endpoint && other.Born > l.Born
}

// Present returns the endpoints that have an address and haven't left, sorted by id.
func (r *Registry) Present() []Endpoint {
	var present []Endpoint
	for _, e := range r.sortedByID() {
		if !e.Left && e.Address != "" {
			present = append(present, e.Endpoint)
		}
	}
	return present
}

// Prune removes the endpoints whose last report is older than retentionPeriod.
func (r *Registry) Prune(now unit.Moment) {
	for _, e := range r.entries {
		if now.Sub(e.HeardAt) > retentionPeriod {
			r.remove(e)
		}
	}
}

func (r *Registry) sortedByID() []*entry {
	return slices.SortedFunc(maps.Values(r.entries), func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
}
