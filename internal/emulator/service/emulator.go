// Package service emulates a replica of a service whose calls must not be repeated. It counts the executions of each
// idempotency key, so that tests can detect a call that was executed twice.
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

// Failure is the point at which an emulated call fails.
type Failure string

const (
	// FailNever executes and answers every call.
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
	Listen           string // address to listen on, port 0 selects a free one
	Endpoint         unit.EndpointID
	DataCentre       unit.DataCentre
	Service          string
	Incarnation      unit.Incarnation // 0 selects the wall clock in milliseconds
	Slots            int
	Entries          []string // base URLs of entry hosts
	AnnounceKey      string
	AnnounceInterval time.Duration // not scaled; 0 means 500 ms
	TimeScale        float64       // 0 means 1
	Settings         Settings
}

// Settings can be changed at run time; they are also the body of POST /emulator/v1/settings.
type Settings struct {
	Latency     harness.Duration `json:"latency"`      // delay before the execution
	AnswerDelay harness.Duration `json:"answer-delay"` // delay between the execution and the answer
	Failure     Failure          `json:"failure"`
	FailEvery   int              `json:"fail-every"`   // apply Failure to every n-th call; 0 and 1 apply it to all
	AnswerBytes int              `json:"answer-bytes"` // minimum size of the answer, padded with spaces
	Silent      bool             `json:"silent"`       // stop announcing
	// RequestLimit is named in all answers, in requests/s from all hosts together; 0 names none.
	RequestLimit float64 `json:"request-limit"`
}

// Emulator is one service replica. It is safe for concurrent use.
type Emulator struct {
	options  Options
	listener *harness.Listener
	sequence atomic.Uint64
	running  atomic.Int64
	draining atomic.Bool
	limit    harness.RequestLimit

	mu              sync.Mutex
	settings        Settings
	calls           int
	executions      map[string]int
	totalExecutions int
}

// Executions is the body of GET /emulator/v1/executions.
type Executions struct {
	Total int            `json:"total"`
	Keys  map[string]int `json:"keys"` // executions for each Idempotency-Key
	// MostIn4s is the most calls in 4 s since the current request-limit was set.
	MostIn4s int `json:"most-in-4s"`
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
	mux.HandleFunc("GET /emulator/v1/executions", e.handleExecutions)
	mux.HandleFunc("POST /emulator/v1/settings", e.handleSettings)
	mux.HandleFunc("POST /emulator/v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		e.draining.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", e.handleCall)
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
	return Executions{Total: e.totalExecutions, Keys: keys, MostIn4s: e.limit.Most()}
}

func (e *Emulator) handleCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Citronglade-Incarnation", strconv.FormatUint(uint64(e.options.Incarnation), 10))
	e.mu.Lock()
	perSecond := e.settings.RequestLimit
	e.mu.Unlock()
	e.limit.Apply(w.Header(), perSecond)
	if refused := e.refuseCall(w, r); refused {
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body is too large or was cut off", http.StatusBadRequest)
		return
	}
	settings, failure := e.nextCall()
	// A service does not abort a call whose caller has disconnected, so the delays ignore the context of the request.
	e.sleep(settings.Latency)
	switch failure {
	case FailBefore:
		panic(http.ErrAbortHandler)
	case FailStatus:
		http.Error(w, "emulated failure", http.StatusInternalServerError)
		return
	case FailNever, FailAfter:
	}
	execution := e.countExecution(r.Header.Get("Idempotency-Key"))
	e.sleep(settings.AnswerDelay)
	if failure == FailAfter {
		panic(http.ErrAbortHandler)
	}
	e.writeAnswer(w, r, body, execution, settings.AnswerBytes)
}

// refuseCall answers a call that must not be executed and reports whether it did: 409 if the caller expects another
// incarnation, 503 while draining.
func (e *Emulator) refuseCall(w http.ResponseWriter, r *http.Request) bool {
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

func (e *Emulator) nextCall() (Settings, Failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	settings := e.settings
	if settings.FailEvery > 1 && e.calls%settings.FailEvery != 0 {
		return settings, FailNever
	}
	return settings, settings.Failure
}

func (e *Emulator) countExecution(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totalExecutions++
	if key == "" {
		return 1
	}
	e.executions[key]++
	return e.executions[key]
}

func (e *Emulator) writeAnswer(w http.ResponseWriter, r *http.Request, body []byte, execution, size int) {
	answer := map[string]any{
		"service":    e.options.Service,
		"endpoint":   e.options.Endpoint,
		"method":     r.Method,
		"path":       r.URL.Path,
		"body-bytes": len(body),
		"execution":  execution,
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

func (e *Emulator) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Executions())
}

func (e *Emulator) handleSettings(w http.ResponseWriter, r *http.Request) {
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
