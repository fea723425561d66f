// Package chain writes and verifies the record of one host's incarnation, a hash chain: the entries are numbered, and each
// has the hash of the entry before.
package chain

import (
	"sync"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// maxBatchBytes keeps a batch well below 16 MiB, the largest frame between the system's own processes.
const maxBatchBytes = 4 << 20

// Limits bounds the buffer of entries that the archives haven't acknowledged.
type Limits struct {
	Entries int
	Bytes   int
}

// BufferLevel is the fill level of the buffer. When Full is set, new requests must be refused until entries are acknowledged.
// Requests that were decided before may still append their attempts and final answers.
type BufferLevel struct {
	Entries, Bytes int
	Full           bool
	Reason         string // the limit that was reached
}

// Writer appends entries to the chain and buffers them until they are acknowledged. It is safe for concurrent use.
type Writer struct {
	mu           sync.Mutex
	host         unit.HostName
	incarnation  unit.Incarnation
	limits       Limits
	end          Link
	acknowledged uint64
	buffer       []bufferedEntry
	bytes        int
}

type bufferedEntry struct {
	entry Entry
	size  int
}

// DefaultLimits returns limits that suffice for the entries of about 10 s at 1,000 requests/s on one host.
func DefaultLimits() Limits {
	return Limits{Entries: 40_000, Bytes: 32 << 20}
}

// New returns the writer of one incarnation of a host. The incarnation must not have been used before.
func New(host unit.HostName, incarnation unit.Incarnation, limits Limits) *Writer {
	return &Writer{host: host, incarnation: incarnation, limits: limits}
}

// Admit fails with fault.Overloaded when the buffer is full. An entry host calls it before it chooses an endpoint for a
// request, so that it makes no decision that can't be recorded.
func (w *Writer) Admit() error {
	pressure := w.BufferLevel()
	if pressure.Full {
		return fault.Overloaded.New("the record's buffer is full: %s", pressure.Reason)
	}
	return nil
}

// Append numbers, chains and buffers an entry, and returns it with these fields set. It never drops an entry. Beyond the
// limits the buffer grows only by the entries of requests that are already admitted; the admission queue bounds their number.
func (w *Writer) Append(e Entry) Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.Host, e.Incarnation = w.host, w.incarnation
	e.Sequence, e.Previous, e.Hash = w.end.Sequence+1, w.end.Hash, ""
	data, err := codec.Marshal(e)
	if err != nil {
		// All fields of an entry have types that the codec encodes.
		panic(err)
	}
	e.Hash = hashOf(data)
	w.end = Link{Sequence: e.Sequence, Hash: e.Hash}
	size := len(data) + len(e.Hash)
	w.buffer = append(w.buffer, bufferedEntry{entry: e, size: size})
	w.bytes += size
	return e
}

// Batch returns the oldest entries that aren't acknowledged, in order: at most limit entries and 4 MiB, but at least one entry
// if there is any. The entries stay in the buffer, so that a batch can be sent to several archives and sent again.
func (w *Writer) Batch(limit int) Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := Batch{Host: w.host, Incarnation: w.incarnation, AcknowledgedThrough: w.acknowledged}
	size := 0
	for _, b := range w.buffer[:min(limit, len(w.buffer))] {
		size += b.size
		if size > maxBatchBytes && len(batch.Entries) > 0 {
			break
		}
		batch.Entries = append(batch.Entries, b.entry)
	}
	return batch
}

// Acknowledge removes the entries up to and including the sequence number through, which a majority of the archives has
// synced. It ignores numbers beyond the last appended entry.
func (w *Writer) Acknowledge(through uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if through > w.end.Sequence {
		return
	}
	for len(w.buffer) > 0 && w.buffer[0].entry.Sequence <= through {
		w.bytes -= w.buffer[0].size
		w.buffer[0] = bufferedEntry{}
		w.buffer = w.buffer[1:]
		w.acknowledged++
	}
}

// BufferLevel returns the fill level of the buffer.
func (w *Writer) BufferLevel() BufferLevel {
	w.mu.Lock()
	defer w.mu.Unlock()
	pressure := BufferLevel{Entries: len(w.buffer), Bytes: w.bytes}
	switch {
	case pressure.Entries >= w.limits.Entries:
		pressure.Full, pressure.Reason = true, "too many entries wait for the archives"
	case pressure.Bytes >= w.limits.Bytes:
		pressure.Full, pressure.Reason = true, "too many bytes wait for the archives"
	}
	return pressure
}

// End returns the link of the last appended entry.
func (w *Writer) End() Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.end
}
