// Package streamorigin records which software version of which service began a stream, so that the stream goes on at that version when
// its caller takes it up at another host. An entry host records a stream when it sends the request and tells a control host, which keeps
// it in memory and tells another one. A record takes 6 bytes in a message.
package streamorigin

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// Retention is how long a stream is remembered. A caller takes a stream up within the time that it waits for the whole answer.
	Retention = time.Minute
	// maxRecords limits the remembered streams. At 11,000 streams a second, two copies over 8 control hosts are 165,000 a minute.
	maxRecords = 400_000
	// maxUpdateIDs limits the streams in an update.
	maxUpdateIDs = 2000
	// idBytes is the length of an ID in a message. Among a million streams, one question in 280 million finds another stream's record.
	idBytes = 6
)

// ID identifies a stream by its customer and the id of the request that began it. It has idBytes bytes.
type ID uint64

// NewID returns the id of the stream that a customer's request began. Customers can't name each other's streams, or guess an id that
// equals that of another one's.
func NewID(customer unit.CustomerID, request unit.RequestID) ID {
	sum := sha256.Sum256([]byte(string(customer) + "\x00" + string(request)))
	return decodeID(sum[:idBytes])
}

func decodeID(data []byte) ID {
	var buffer [8]byte
	copy(buffer[len(buffer)-idBytes:], data[:idBytes])
	return ID(binary.BigEndian.Uint64(buffer[:]))
}

func appendID(data []byte, id ID) []byte {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(id))
	return append(data, buffer[len(buffer)-idBytes:]...)
}

// Origin says where a stream began.
type Origin struct {
	_        struct{} `cbor:",toarray"`
	Service  table.ServiceName
	Software unit.SoftwareVersion
}

// Batch holds the ids of streams of one origin, idBytes bytes each.
type Batch struct {
	_      struct{} `cbor:",toarray"`
	Origin Origin
	IDs    []byte
}

// Update contains the records that a peer hasn't received yet.
type Update struct {
	Number  uint64  `cbor:"1,keyasint"` // number of the last record that is included or was sent before
	Batches []Batch `cbor:"2,keyasint,omitempty"`
}

// Register remembers the origins of streams. It is a deterministic state machine and not safe for concurrent use.
type Register struct {
	records map[ID]record
	log     []logEntry // in ascending order of number; an entry whose record has a higher number is outdated
	number  uint64     // number of the last record
}

type record struct {
	origin Origin
	number uint64
}

type logEntry struct {
	id     ID
	number uint64
	at     unit.Moment
}

// New returns an empty register.
func New() *Register {
	return &Register{records: map[ID]record{}}
}

// Record records where a stream began and returns the number of the record. A later record of the same stream replaces an earlier one.
func (r *Register) Record(now unit.Moment, id ID, origin Origin) uint64 {
	r.prune(now)
	r.number++
	r.records[id] = record{origin, r.number}
	r.log = append(r.log, logEntry{id, r.number, now})
	return r.number
}

// Find returns where a stream began, or false if that isn't known.
func (r *Register) Find(id ID) (Origin, bool) {
	known, ok := r.records[id]
	return known.origin, ok
}

// Number returns the number of the last record.
func (r *Register) Number() uint64 {
	return r.number
}

// Since returns the records after the given number, the oldest first. To get the remaining ones, the peer asks again with the number of
// the update. A number that this register hasn't reached is treated as 0.
func (r *Register) Since(number uint64) Update {
	if number > r.number {
		number = 0
	}
	first, _ := slices.BinarySearchFunc(r.log, number+1, func(e logEntry, n uint64) int { return cmp.Compare(e.number, n) })
	update := Update{Number: r.number}
	for i, e := range r.log[first:] {
		if i == maxUpdateIDs {
			update.Number = e.number - 1
			break
		}
		if known := r.records[e.id]; known.number == e.number {
			update.add(known.origin, e.id)
		}
	}
	return update
}

func (u *Update) add(origin Origin, id ID) {
	i := slices.IndexFunc(u.Batches, func(b Batch) bool { return b.Origin == origin })
	if i < 0 {
		i, u.Batches = len(u.Batches), append(u.Batches, Batch{Origin: origin})
	}
	u.Batches[i].IDs = appendID(u.Batches[i].IDs, id)
}

// Merge adds a peer's records.
func (r *Register) Merge(now unit.Moment, batches []Batch) {
	for _, b := range batches {
		for ids := b.IDs; len(ids) >= idBytes; ids = ids[idBytes:] {
			r.Record(now, decodeID(ids), b.Origin)
		}
	}
}

// prune removes the records that are older than Retention, and the oldest ones over maxRecords.
func (r *Register) prune(now unit.Moment) {
	removed := 0
	for removed < len(r.log) && (now.Sub(r.log[removed].at) > Retention || len(r.log)-removed >= maxRecords) {
		if e := r.log[removed]; r.records[e.id].number == e.number {
			delete(r.records, e.id)
		}
		removed++
	}
	r.log = r.log[removed:]
}

// Prune removes the records that are older than Retention.
func (r *Register) Prune(now unit.Moment) {
	r.prune(now)
	r.log = slices.Clone(r.log) // releases the memory of the removed entries
}
