package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/emulator/harness"
)

const (
	feedInterval     = 20 * time.Millisecond
	maxBatchEvents   = 1000
	maxPendingEvents = 100_000
)

// Event is one cache event of the endpoint protocol.
type Event struct {
	Kind   string      `json:"kind"`
	Digest unit.Digest `json:"digest"`
}

// EventBatch is the body of POST /endpoint/v1/cache-events.
type EventBatch struct {
	Endpoint      string           `json:"endpoint-id"`
	Incarnation   unit.Incarnation `json:"incarnation"`
	FirstSequence uint64           `json:"first-sequence"`
	Events        []Event          `json:"events"`
}

type pendingEvent struct {
	Event
	incarnation unit.Incarnation
	sequence    uint64
	due         time.Time
}

// eventFeed sends cache events to one entry host. Sequence numbers are assigned after sampling, separately for each feed
// and incarnation, so that a gap in them always means a lost event. It is safe for concurrent use.
type eventFeed struct {
	endpoint string
	settings func() (delay time.Duration, loss float64)
	post     func(ctx context.Context, batch EventBatch) error

	mu       sync.Mutex
	random   *rand.Rand
	sample   int
	sequence uint64
	latest   unit.Incarnation
	pending  []pendingEvent
}

func (f *eventFeed) add(incarnation unit.Incarnation, event Event) {
	delay, _ := f.settings()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sample > 1 && event.Kind != eventCleared && int(event.Digest[15])%f.sample != 0 {
		return
	}
	if incarnation != f.latest {
		f.latest, f.sequence = incarnation, 0
	}
	f.sequence++
	if len(f.pending) >= maxPendingEvents {
		return // the sequence number stays unused, so that the receiver detects the loss by the gap
	}
	f.pending = append(f.pending, pendingEvent{event, incarnation, f.sequence, time.Now().Add(delay)})
}

func (f *eventFeed) setSample(sample int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sample = sample
}

func (f *eventFeed) run(ctx context.Context) {
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.flush(ctx, now)
		}
	}
}

func (f *eventFeed) flush(ctx context.Context, now time.Time) {
	_, loss := f.settings()
	for {
		batch, ok := f.nextBatch(now)
		if !ok {
			return
		}
		if f.shouldDrop(loss) {
			continue
		}
		if err := f.post(ctx, batch); err != nil {
			klog.V(2).Infof("engine: cache events from %d on were not delivered: %v", batch.FirstSequence, err)
			return
		}
	}
}

func (f *eventFeed) shouldDrop(loss float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return loss > 0 && f.random.Float64() < loss
}

// nextBatch removes and returns the next due events that have consecutive sequence numbers. The numbers start again at 1
// with each incarnation, so that a batch never contains events of two incarnations.
func (f *eventFeed) nextBatch(now time.Time) (EventBatch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 || f.pending[0].due.After(now) {
		return EventBatch{}, false
	}
	first := f.pending[0]
	batch := EventBatch{Endpoint: f.endpoint, Incarnation: first.incarnation, FirstSequence: first.sequence}
	for i, event := range f.pending {
		if event.sequence != first.sequence+uint64(i) || event.due.After(now) || i == maxBatchEvents {
			break
		}
		batch.Events = append(batch.Events, event.Event)
	}
	f.pending = f.pending[len(batch.Events):]
	return batch, true
}

func (e *Emulator) newEventFeed(entry string, number uint64) *eventFeed {
	return &eventFeed{
		endpoint: string(e.options.Endpoint),
		random:   rand.New(rand.NewPCG(e.options.Seed, number)),
		settings: func() (time.Duration, float64) {
			settings := e.currentSettings()
			return e.scale(time.Duration(settings.EventDelay)), settings.EventLoss
		},
		post: func(ctx context.Context, batch EventBatch) error {
			return e.announcer.Post(ctx, entry, "/endpoint/v1/cache-events", batch, nil)
		},
	}
}

func (e *Emulator) onAnnounceAnswer(entry string, answer harness.Answer) {
	if f, ok := e.feeds[entry]; ok {
		f.setSample(answer.CacheEventSample)
	}
}
