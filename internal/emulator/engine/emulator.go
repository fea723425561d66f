package engine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/emulator/harness"
)

// Emulator is one engine. It is safe for concurrent use.
type Emulator struct {
	options   Options
	listener  *harness.Listener
	announcer *harness.Announcer
	feeds     map[string]*feed // by entry base URL, fixed after New
	exports   chan exportJob
	client    *http.Client
	sequence  atomic.Uint64 // announcements
	turns     atomic.Uint64 // requests
	idle      chan struct{} // signals that no request is running

	mu       sync.Mutex
	running  context.Context // of Run; crashes restart under it
	settings Settings
	life     *life
	down     bool
	weights  weightsState
	draining bool
	counts   Counters
	reports  []loadReport
}

// life is what a crash ends: everything that belongs to one incarnation.
type life struct {
	incarnation unit.Incarnation
	ctx         context.Context
	end         context.CancelFunc
	slots       *gate
	prefill     *gate
	cache       *pieceCache

	mu           sync.Mutex
	prefillDone  time.Time // end of the last prefill step
	running      int
	queued       int
	queuedTokens unit.Tokens
}

// New returns an emulator; Run starts it.
func New(options Options) *Emulator {
	options = options.withDefaults()
	e := &Emulator{
		options:  options,
		feeds:    map[string]*feed{},
		exports:  make(chan exportJob, maxQueuedExports),
		client:   &http.Client{Timeout: storeTimeout},
		idle:     make(chan struct{}, 1),
		running:  context.Background(),
		settings: options.Settings,
	}
	for i, entry := range options.Entries {
		e.feeds[entry] = e.newFeed(entry, uint64(i))
	}
	e.weights = weightsState{model: options.Model, current: options.Weights}
	e.life = e.newLife(options.Incarnation)
	e.listener = harness.NewListener(options.Listen, e.Handler())
	e.announcer = harness.NewAnnouncer(harness.Options{
		Entries:  options.Entries,
		Key:      options.AnnounceKey,
		Interval: options.AnnounceEvery,
		Build:    e.announcement,
		OnAnswer: e.answered,
	})
	return e
}

// Run listens, loads the weights and announces until ctx ends. Open connections are dropped at the end.
func (e *Emulator) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	e.mu.Lock()
	e.running = ctx
	e.weights.loading = true
	e.mu.Unlock()
	if err := e.listener.Open(ctx); err != nil {
		return err
	}
	defer e.listener.Close()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { e.startWeights(ctx) })
	group.Go(func() { e.exportPieces(ctx) })
	for _, f := range e.feeds {
		group.Go(func() { f.run(ctx) })
	}
	e.announcer.Run(ctx)
	<-ctx.Done()
	e.current().end()
	e.client.CloseIdleConnections()
	return nil
}

// Address returns the bound address; it waits until Run listens.
func (e *Emulator) Address() string {
	return e.listener.Address()
}

// Incarnation returns the number of the current life.
func (e *Emulator) Incarnation() unit.Incarnation {
	return e.current().incarnation
}

// Handler returns the HTTP interface.
func (e *Emulator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("POST /engine/v1/orders", e.order)
	mux.HandleFunc("POST /engine/v1/drain", e.drain)
	mux.HandleFunc("GET /engine/v1/state", e.state)
	mux.HandleFunc("GET /emulator/v1/counters", e.reportCounters)
	mux.HandleFunc("POST /emulator/v1/settings", e.adjust)
	mux.HandleFunc("POST /emulator/v1/crash", e.crashOnDemand)
	return mux
}

func (e *Emulator) newLife(incarnation unit.Incarnation) *life {
	ctx, end := context.WithCancel(context.Background())
	l := &life{
		incarnation: incarnation,
		ctx:         ctx,
		end:         end,
		slots:       newGate(e.options.Slots),
		prefill:     newGate(1),
	}
	l.cache = newPieceCache(e.options.CachePieces, func(kind string, digest unit.Digest) {
		for _, f := range e.feeds {
			f.add(incarnation, Event{Kind: kind, Digest: digest})
		}
	})
	return l
}

func (e *Emulator) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

func (e *Emulator) currentSettings() Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings
}

func (e *Emulator) scale(d time.Duration) time.Duration {
	return harness.Scale(d, e.options.TimeScale)
}

// slow scales a computing time, which slow mode lengthens.
func (e *Emulator) slow(d time.Duration) time.Duration {
	return harness.Scale(e.scale(d), e.currentSettings().SlowFactor)
}
