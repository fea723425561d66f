// Package store emulates the cache store that engines export pieces to and import pieces from.
package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/emulator/harness"
)

const (
	maxPieceBytes   = 16 << 20
	maxPieces       = 1 << 20
	defaultMaxBytes = 64 << 20
)

// Options set up an emulated cache store.
type Options struct {
	Listen           string // address to listen on, port 0 selects a free one
	Endpoint         unit.EndpointID
	DataCentre       unit.DataCentre
	Incarnation      unit.Incarnation // 0 selects the wall clock in milliseconds
	Entries          []string         // base URLs of entry hosts
	AnnounceKey      string
	AnnounceInterval time.Duration // not scaled; 0 means 500 ms
	MaxBytes         int64         // memory for pieces, 64 MiB by default
	Latency          time.Duration // delay before each answer
	TimeScale        float64       // factor applied to Latency; 0 means 1
}

// Emulator holds pieces in memory, up to MaxBytes, and evicts the least recently used piece first. It is safe for
// concurrent use.
type Emulator struct {
	options  Options
	listener *harness.Listener
	sequence atomic.Uint64

	mu     sync.Mutex
	pieces *simplelru.LRU[unit.Digest, []byte]
	bytes  int64
	counts Counters
}

// Counters is the body of GET /emulator/v1/counters.
type Counters struct {
	Stored  int64 `json:"stored"`
	Evicted int64 `json:"evicted"`
	Hits    int64 `json:"hits"`
	Misses  int64 `json:"misses"`
	Pieces  int   `json:"pieces"`
	Bytes   int64 `json:"bytes"`
}

// New returns an emulator; Run starts it.
func New(options Options) *Emulator {
	if options.MaxBytes <= 0 {
		options.MaxBytes = defaultMaxBytes
	}
	if options.Incarnation == 0 {
		options.Incarnation = unit.Incarnation(time.Now().UnixMilli())
	}
	e := &Emulator{options: options}
	e.pieces, _ = simplelru.NewLRU(maxPieces, e.subtractBytes)
	e.listener = harness.NewListener(options.Listen, e.Handler())
	return e
}

// Run listens and sends announcements until ctx ends.
func (e *Emulator) Run(ctx context.Context) error {
	return e.listener.Serve(ctx, harness.Options{
		Entries: e.options.Entries, Key: e.options.AnnounceKey, Interval: e.options.AnnounceInterval, Build: e.announcement,
	})
}

// Address returns the bound address; it waits until Run listens.
func (e *Emulator) Address() string {
	return e.listener.Address()
}

// Handler returns the HTTP interface.
func (e *Emulator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /store/v1/pieces/{digest}", e.handlePut)
	mux.HandleFunc("GET /store/v1/pieces/{digest}", e.handleGet) // also serves HEAD
	mux.HandleFunc("GET /emulator/v1/counters", e.handleCounters)
	return mux
}

func (e *Emulator) handlePut(w http.ResponseWriter, r *http.Request) {
	digest, err := unit.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, min(maxPieceBytes, e.options.MaxBytes)))
	if err != nil {
		http.Error(w, "piece is too large or was cut off", http.StatusRequestEntityTooLarge)
		return
	}
	e.simulateLatency(r.Context())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces.Remove(digest)
	e.pieces.Add(digest, data)
	e.bytes += int64(len(data))
	e.counts.Stored++
	for e.bytes > e.options.MaxBytes {
		e.pieces.RemoveOldest()
		e.counts.Evicted++
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Emulator) handleGet(w http.ResponseWriter, r *http.Request) {
	digest, err := unit.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.simulateLatency(r.Context())
	data, ok := e.lookup(digest)
	if !ok {
		http.Error(w, "no such piece", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) //nolint:gosec // opaque bytes for engines, sent as application/octet-stream
}

func (e *Emulator) lookup(digest unit.Digest) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.pieces.Get(digest)
	if ok {
		e.counts.Hits++
	} else {
		e.counts.Misses++
	}
	return data, ok
}

func (e *Emulator) handleCounters(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	counts := e.counts
	counts.Pieces = e.pieces.Len()
	counts.Bytes = e.bytes
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counts)
}

func (e *Emulator) simulateLatency(ctx context.Context) {
	latency := harness.Scale(e.options.Latency, e.options.TimeScale)
	if latency <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(latency):
	}
}

// subtractBytes updates the byte count for a removed piece. The LRU calls it while e.mu is held.
func (e *Emulator) subtractBytes(_ unit.Digest, data []byte) {
	e.bytes -= int64(len(data))
}

func (e *Emulator) announcement() (harness.Announcement, bool) {
	return harness.Announcement{
		Endpoint:    string(e.options.Endpoint),
		Kind:        "store",
		Address:     e.Address(),
		DataCentre:  string(e.options.DataCentre),
		Incarnation: uint64(e.options.Incarnation),
		Sequence:    e.sequence.Add(1),
	}, true
}
