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
	requestLimit         harness.RequestLimit
	brittleness          harness.Brittleness
	options              Options
	listener             *harness.Listener
	announcer            *harness.Announcer
	feeds                map[string]*eventFeed // by entry base URL, fixed after New
	exports              chan exportJob
	client               *http.Client
	announcementSequence atomic.Uint64 // last sequence number of an announcement
	requestSequence      atomic.Uint64 // last sequence number of a request
	requestEnded         chan struct{} // signals that a request has ended and the engine may be idle

	mu         sync.Mutex
	runContext context.Context // context of Run, also used by restarts after a crash
	settings   Settings
	state      *incarnationState
	down       bool
	weights    weightsState
	draining   bool
	counts     Counters
	reports    []loadReport
}

// incarnationState is the state of one incarnation. A crash discards it.
type incarnationState struct {
	incarnation unit.Incarnation
	ctx         context.Context
	end         context.CancelFunc
	slots       *prioritySemaphore
	prefill     *prioritySemaphore
	cache       *pieceCache

	mu             sync.Mutex
	prefillStepEnd time.Time // when the last prefill step ends or ended
	running        int
	queued         int
	queuedTokens   unit.Tokens
}

// New returns an emulator; Run starts it.
func New(options Options) *Emulator {
	options = options.withDefaults()
	e := &Emulator{
		options:      options,
		feeds:        map[string]*eventFeed{},
		exports:      make(chan exportJob, maxQueuedExports),
		client:       &http.Client{Timeout: storeTimeout},
		requestEnded: make(chan struct{}, 1),
		runContext:   context.Background(),
		settings:     options.Settings,
	}
	for i, entry := range options.Entries {
		e.feeds[entry] = e.newEventFeed(entry, uint64(i))
	}
	e.weights = weightsState{model: options.Model, current: options.Weights}
	e.state = e.newIncarnationState(options.Incarnation)
	e.listener = harness.NewListener(options.Listen, e.Handler())
	e.announcer = harness.NewAnnouncer(harness.Options{
		Entries:  options.Entries,
		Key:      options.AnnounceKey,
		Interval: options.AnnounceInterval,
		Build:    e.announcement,
		OnAnswer: e.onAnnounceAnswer,
	})
	return e
}

// Run listens, loads the weights and sends announcements until ctx ends. It closes open connections before it returns.
func (e *Emulator) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	e.mu.Lock()
	e.runContext = ctx
	e.weights.loading = true
	e.mu.Unlock()
	if err := e.listener.Open(ctx); err != nil {
		return err
	}
	defer e.listener.Close()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { e.loadInitialWeights(ctx) })
	group.Go(func() { e.exportPieces(ctx) })
	for _, f := range e.feeds {
		group.Go(func() { f.run(ctx) })
	}
	e.announcer.Run(ctx)
	<-ctx.Done()
	e.currentState().end()
	e.client.CloseIdleConnections()
	return nil
}

// Address returns the bound address; it waits until Run listens.
func (e *Emulator) Address() string {
	return e.listener.Address()
}

// Incarnation returns the current incarnation, which increases with each crash.
func (e *Emulator) Incarnation() unit.Incarnation {
	return e.currentState().incarnation
}

// Handler returns the HTTP interface.
func (e *Emulator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, true) })
	mux.HandleFunc("POST /engine/v1/orders", e.handleOrder)
	mux.HandleFunc("POST /engine/v1/drain", e.handleDrain)
	mux.HandleFunc("GET /engine/v1/state", e.handleState)
	mux.HandleFunc("GET /emulator/v1/counters", e.handleCounters)
	mux.HandleFunc("POST /emulator/v1/settings", e.handleSettings)
	mux.HandleFunc("POST /emulator/v1/crash", e.handleCrash)
	return mux
}

func (e *Emulator) newIncarnationState(incarnation unit.Incarnation) *incarnationState {
	ctx, end := context.WithCancel(context.Background())
	s := &incarnationState{
		incarnation: incarnation,
		ctx:         ctx,
		end:         end,
		slots:       newPrioritySemaphore(e.options.Slots),
		prefill:     newPrioritySemaphore(1),
	}
	s.cache = newPieceCache(e.options.CachePieces, func(kind string, digest unit.Digest) {
		for _, f := range e.feeds {
			f.add(incarnation, Event{Kind: kind, Digest: digest})
		}
	})
	return s
}

func (e *Emulator) currentState() *incarnationState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

func (e *Emulator) currentSettings() Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings
}

func (e *Emulator) scale(d time.Duration) time.Duration {
	return harness.Scale(d, e.options.TimeScale)
}

// scaleComputeTime applies TimeScale and SlowFactor to a prefill or decode time.
func (e *Emulator) scaleComputeTime(d time.Duration) time.Duration {
	return harness.Scale(e.scale(d), e.currentSettings().SlowFactor)
}
