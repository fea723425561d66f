// Package service emulates a plain service replica whose calls may not be repeated. It counts executions for each
// idempotency key, so that a test can see a call that ran twice.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/emulator/harness"
)

const maxBodyBytes = 8 << 20

// Failure is where an emulated call fails.
type Failure string

const (
	// FailNever answers every call.
	FailNever Failure = ""
	// FailBefore drops the connection before the call is executed.
	FailBefore Failure = "before"
	// FailAfter drops the connection after the call was executed, so that the caller can't know the outcome.
	FailAfter Failure = "after"
	// FailStatus executes nothing and answers 500.
	FailStatus Failure = "status"
)

// Options set up an emulated service replica. Times are multiplied by TimeScale.
type Options struct {
	Listen        string // address to listen on, port 0 for a free one
	Endpoint      unit.EndpointID
	DataCentre    unit.DataCentre
	Service       string
	Incarnation   unit.Incarnation // 0 takes the wall clock in milliseconds
	Slots         int
	Entries       []string // base URLs of entry hosts
	AnnounceKey   string
	AnnounceEvery time.Duration // not scaled; 0 is 500 ms
	TimeScale     float64       // 0 is 1
	Settings      Settings
}

// Settings are the adjustable parts of the behaviour, also the body of POST /emulator/v1/settings.
type Settings struct {
	Latency     harness.Duration `json:"latency"`      // before the execution
	AnswerDelay harness.Duration `json:"answer-delay"` // between the execution and the answer
	Failure     Failure          `json:"failure"`
	FailEvery   int              `json:"fail-every"`   // fail every n-th call; 0 and 1 fail all
	AnswerBytes int              `json:"answer-bytes"` // pads the answer to this size
	Silent      bool             `json:"silent"`       // stop announcing
}

// Emulator is one service replica. It is safe for concurrent use.
type Emulator struct {
	options  Options
	listener *harness.Listener
	sequence atomic.Uint64
	running  atomic.Int64
	draining atomic.Bool

	mu         sync.Mutex
	settings   Settings
	calls      int
	executions map[string]int
	total      int
}

// Executions is the body of GET /emulator/v1/executions.
type Executions struct {
	Total int            `json:"total"`
	Keys  map[string]int `json:"keys"` // executions for each Idempotency-Key
}

// New returns an emulator; Run starts it.
func New(options Options) *Emulator {
	if options.Incarnation == 0 {
		options.Incarnation = unit.Incarnation(time.Now().UnixMilli())
	}
	e := &Emulator{options: options, settings: options.Settings, executions: map[string]int{}}
	e.listener = harness.NewListener(options.Listen, e.Handler())
	return e
}

// Run listens and announces until ctx ends.
func (e *Emulator) Run(ctx context.Context) error {
	return e.listener.Serve(ctx, harness.Options{
		Entries: e.options.Entries, Key: e.options.AnnounceKey, Interval: e.options.AnnounceEvery, Build: e.announcement,
	})
}

// Address returns the bound address; it waits until Run listens.
func (e *Emulator) Address() string {
	return e.listener.Address()
}

// Handler returns the HTTP interface.
func (e *Emulator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /emulator/v1/executions", e.report)
	mux.HandleFunc("POST /emulator/v1/settings", e.adjust)
	mux.HandleFunc("POST /emulator/v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		e.draining.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", e.call)
	return mux
}

// Executions returns how often each key was executed.
func (e *Emulator) Executions() Executions {
	e.mu.Lock()
	defer e.mu.Unlock()
	keys := make(map[string]int, len(e.executions))
	for key, count := range e.executions {
		keys[key] = count
	}
	return Executions{Total: e.total, Keys: keys}
}

func (e *Emulator) call(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Citronglade-Incarnation", strconv.FormatUint(uint64(e.options.Incarnation), 10))
	if refused := e.refuse(w, r); refused {
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body is too large or was cut off", http.StatusBadRequest)
		return
	}
	settings, failure := e.next()
	// A service doesn't undo a call whose caller has gone away, so the pauses ignore the request's context.
	e.sleep(settings.Latency)
	switch failure {
	case FailBefore:
		panic(http.ErrAbortHandler)
	case FailStatus:
		http.Error(w, "emulated failure", http.StatusInternalServerError)
		return
	case FailNever, FailAfter:
	}
	count := e.execute(r.Header.Get("Idempotency-Key"))
	e.sleep(settings.AnswerDelay)
	if failure == FailAfter {
		panic(http.ErrAbortHandler)
	}
	e.answer(w, r, body, count, settings.AnswerBytes)
}

// refuse answers before anything runs: 409 for another incarnation than expected, 503 while draining.
func (e *Emulator) refuse(w http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("Citronglade-Incarnation")
	if expected != "" && expected != strconv.FormatUint(uint64(e.options.Incarnation), 10) {
		w.Header().Set("Citronglade-Refused", "incarnation")
		http.Error(w, "other incarnation", http.StatusConflict)
		return true
	}
	if e.draining.Load() {
		w.Header().Set("Citronglade-Refused", "draining")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (e *Emulator) next() (Settings, Failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	settings := e.settings
	if settings.FailEvery > 1 && e.calls%settings.FailEvery != 0 {
		return settings, FailNever
	}
	return settings, settings.Failure
}

func (e *Emulator) execute(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.total++
	if key == "" {
		return 1
	}
	e.executions[key]++
	return e.executions[key]
}

func (e *Emulator) answer(w http.ResponseWriter, r *http.Request, body []byte, count, size int) {
	answer := map[string]any{
		"service":    e.options.Service,
		"endpoint":   e.options.Endpoint,
		"method":     r.Method,
		"path":       r.URL.Path,
		"body-bytes": len(body),
		"execution":  count,
	}
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, "cannot encode the answer", http.StatusInternalServerError)
		return
	}
	for len(data) < size {
		data = append(data, ' ')
	}
	_, _ = w.Write(data)
}

func (e *Emulator) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Executions())
}

func (e *Emulator) adjust(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	settings := e.settings
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&settings); err != nil {
		http.Error(w, "cannot read the settings", http.StatusBadRequest)
		return
	}
	e.settings = settings
	w.WriteHeader(http.StatusNoContent)
}

func (e *Emulator) sleep(d harness.Duration) {
	time.Sleep(harness.Scale(time.Duration(d), e.options.TimeScale))
}

func (e *Emulator) announcement() (harness.Announcement, bool) {
	e.mu.Lock()
	silent := e.settings.Silent
	e.mu.Unlock()
	running := int(e.running.Load())
	return harness.Announcement{
		Endpoint:    string(e.options.Endpoint),
		Kind:        "service",
		Address:     e.Address(),
		DataCentre:  string(e.options.DataCentre),
		Incarnation: uint64(e.options.Incarnation),
		Service:     e.options.Service,
		Slots:       e.options.Slots,
		Draining:    e.draining.Load(),
		Sequence:    e.sequence.Add(1),
		Load:        harness.Load{Running: running, FreeSlots: max(0, e.options.Slots-running)},
	}, !silent
}
