package engine

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/emulator/harness"
	"github.com/citronglade/citronglade/internal/emulator/store"
)

var pollOptions = []poll.SettingOp{poll.WithTimeout(10 * time.Second), poll.WithDelay(2 * time.Millisecond)}

func start(t *testing.T, options Options) *Emulator {
	t.Helper()
	options.Listen = "127.0.0.1:0"
	options.Endpoint = "engine-1"
	setDefault(&options.TimeScale, 0.01)
	setDefault(&options.LoadTime, -1)
	e := New(options)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})
	waitReady(t, e)
	return e
}

func waitReady(t *testing.T, e *Emulator) {
	t.Helper()
	e.Address()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a, up := e.announcement(); !up || a.Loading {
			return poll.Continue("loading")
		}
		return poll.Success()
	}, pollOptions...)
}

func send(t *testing.T, e *Emulator, path string, body any, header map[string]string) (*http.Response, string, error) {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+path, bytes.NewReader(data))
	assert.NilError(t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response, string(answer), err
}

func completion(prompt string, tokens int) map[string]any {
	return map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": true, "seed": 7}
}

// streamText concatenates the text of a stream's events and checks that the token indices are consecutive, starting at first.
func streamText(t *testing.T, stream string, first int) string {
	t.Helper()
	var text strings.Builder
	assert.Assert(t, strings.HasSuffix(stream, "data: [DONE]\n\n"), "stream does not end with [DONE]")
	for line := range strings.Lines(strings.TrimSuffix(stream, "data: [DONE]\n\n")) {
		line, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !isData {
			continue
		}
		var d responseBody
		assert.NilError(t, json.Unmarshal([]byte(line), &d))
		assert.Equal(t, *d.TokenIndex, first)
		first++
		text.WriteString(*d.Choices[0].Text)
	}
	return text.String()
}

// Guards against engines that generate different answers to the same request: a stream that is resumed on another engine
// would then not match the text delivered before.
func TestResumedStreamContinuesTheSameText(t *testing.T) {
	whole := Output("prompt", "w1", 7, 40)
	assert.Assert(t, strings.ContainsAny(whole, "🛢🍋语ö"), "no split character in %q", whole)
	e := start(t, Options{})
	_, stream, err := send(t, e, "/v1/completions", completion("prompt", 40), nil)
	assert.NilError(t, err)
	assert.Equal(t, streamText(t, stream, 0), whole)
	for _, from := range []int{1, 13, 39} {
		delivered := Output("prompt", "w1", 7, from)
		header := map[string]string{
			"Citronglade-Resume-From": strconv.Itoa(from),
			"Citronglade-Delivered":   base64.StdEncoding.EncodeToString([]byte(delivered)),
		}
		_, stream, err = send(t, e, "/v1/completions", completion("prompt", 40), header)
		assert.NilError(t, err)
		assert.Equal(t, delivered+streamText(t, stream, from), whole)
	}
	assert.Equal(t, e.Counters().ResumeMismatches, int64(0))
	_, _, err = send(t, e, "/v1/completions", completion("other", 40), map[string]string{
		"Citronglade-Resume-From": "1", "Citronglade-Delivered": base64.StdEncoding.EncodeToString([]byte("foreign")),
	})
	assert.NilError(t, err)
	assert.Equal(t, e.Counters().ResumeMismatches, int64(1))
}

// Guards against a chat answer that, when it is not streamed, differs from the text of a stream or lacks usage or headers.
func TestWholeAnswerCarriesTextUsageAndHeaders(t *testing.T) {
	e := start(t, Options{})
	messages := []Message{{"system", "be kind"}, {"user", "hallo"}}
	response, text, err := send(t, e, "/v1/chat/completions", map[string]any{
		"messages": []map[string]string{{"role": "system", "content": "be kind"}, {"role": "user", "content": "hallo"}},
	}, map[string]string{"Citronglade-Incarnation": strconv.FormatUint(uint64(e.Incarnation()), 10)})
	assert.NilError(t, err)
	var d responseBody
	assert.NilError(t, json.Unmarshal([]byte(text), &d))
	assert.Equal(t, d.Choices[0].Message.Content, Output(ChatPrompt(messages), "w1", 0, defaultOutputTokens))
	assert.Equal(t, *d.Choices[0].FinishReason, "stop")
	assert.Equal(t, d.Usage.CompletionTokens, unit.Tokens(defaultOutputTokens))
	assert.Equal(t, response.Header.Get("Citronglade-Weights"), "w1")
}

// Guards against a prefix cache that reuses pieces of another prompt, recomputes known ones, or grows without bound.
func TestCachedPrefixIsCountedAndBounded(t *testing.T) {
	e := start(t, Options{CachePieces: 3})
	cachedTokens := func(pieces ...byte) string {
		var names []string
		for _, piece := range pieces {
			names = append(names, unit.Digest{piece}.String())
		}
		response, _, err := send(t, e, "/v1/completions", completion("p", 1), map[string]string{
			"Citronglade-Pieces": strings.Join(names, ","), "Citronglade-Prompt-Tokens": strconv.Itoa(2000*len(pieces) + 100),
		})
		assert.NilError(t, err)
		return response.Header.Get("Citronglade-Cached-Tokens")
	}
	assert.Equal(t, cachedTokens(1, 2), "0")
	assert.Equal(t, cachedTokens(1, 2), "4000")
	assert.Equal(t, cachedTokens(1, 3), "2000")
	assert.Equal(t, cachedTokens(9), "0") // evicts piece 2, the least recently used one
	assert.Equal(t, cachedTokens(1, 3), "4000")
	assert.Equal(t, cachedTokens(1, 2), "2000")
	assert.Equal(t, cachedTokens(4, 5, 6), "0")
	assert.Equal(t, cachedTokens(9), "0") // evicts the last piece of the chain 4, 5, 6, so that the rest stays usable
	assert.Equal(t, cachedTokens(4, 5, 6), "4000")
	assert.Equal(t, e.Counters().CachedPieces, 3)
}

// Guards against requests that are executed although the router expected another incarnation or other weights, or although
// the engine is draining.
func TestRefusalsComeBeforeTheRequestRuns(t *testing.T) {
	e := start(t, Options{})
	cases := []struct {
		name, header, value string
		status              int
		drain               bool
		reason              string
	}{
		{"reused address", "Citronglade-Incarnation", "1", http.StatusConflict, false, "incarnation"},
		{"older weights", "Citronglade-Weights", "w0", http.StatusConflict, false, "weights"},
		{"draining", "X-Any", "1", http.StatusServiceUnavailable, true, "draining"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.drain {
				_, _, err := send(t, e, "/engine/v1/drain", nil, nil)
				assert.NilError(t, err)
			}
			response, _, err := send(t, e, "/v1/completions", completion("p", 1), map[string]string{c.header: c.value})
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, response.Header.Get("Citronglade-Refused"), c.reason)
			assert.Equal(t, e.Counters().Requests, int64(0))
		})
	}
}

// Guards against an engine that still answers its running requests when it crashes, keeps its cache, or restarts with the
// same incarnation.
func TestCrashDropsConnectionsAndComesBackEmpty(t *testing.T) {
	for _, poisoned := range []bool{false, true} {
		e := start(t, Options{PoisonMarker: "poison"})
		before := e.Incarnation()
		long := strings.Repeat("x", 8000)
		_, _, err := send(t, e, "/v1/completions", completion(long, 1), nil)
		assert.NilError(t, err)
		assert.Equal(t, e.Counters().CachedPieces, 1)
		if poisoned {
			_, _, err = send(t, e, "/v1/completions", completion("a poison b", 1), nil)
			assert.Assert(t, err != nil)
		} else {
			requestErr := make(chan error, 1)
			go func() {
				_, _, err := send(t, e, "/v1/completions", completion(long, 10000), nil)
				requestErr <- err
			}()
			poll.WaitOn(t, countersReach(e, func(c Counters) bool { return c.Running == 1 }), pollOptions...)
			_, _, err = send(t, e, "/emulator/v1/crash", nil, nil)
			assert.NilError(t, err)
			assert.Assert(t, <-requestErr != nil)
		}
		poll.WaitOn(t, countersReach(e, func(Counters) bool { return e.Incarnation() > before }), pollOptions...)
		waitReady(t, e)
		assert.Equal(t, e.Counters().CachedPieces, 0)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, _, err = send(t, e, "/v1/completions", completion("p", 1), nil); err != nil {
				return poll.Continue("%v", err)
			}
			return poll.Success()
		}, pollOptions...)
	}
}

func countersReach(e *Emulator, reached func(Counters) bool) poll.Check {
	return func(poll.LogT) poll.Result {
		if counts := e.Counters(); !reached(counts) {
			return poll.Continue("%+v", counts)
		}
		return poll.Success()
	}
}

// Guards against a request that keeps running although its caller disconnected before any of the response was written.
func TestClosedConnectionCancelsTheWork(t *testing.T) {
	e := start(t, Options{})
	body := completion("p", 10000)
	body["stream"] = false
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+"/v1/completions", bytes.NewReader(data))
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(request)
		ended <- err
	}()
	// The request is decoding when no prompt token is left to compute.
	poll.WaitOn(t, loadIs(e, harness.Load{Running: 1, FreeSlots: 15}), pollOptions...)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	poll.WaitOn(t, countersReach(e, func(c Counters) bool { return c.Cancelled == 1 && c.Running == 0 }), pollOptions...)
	assert.Assert(t, e.Counters().OutputTokens < 10000)
}

// Guards against an urgent request that waits behind deferrable ones, and a cancelled waiter that stays in the queue.
func TestSemaphoreServesSmallerPriorityFirst(t *testing.T) {
	semaphore := newPrioritySemaphore(1)
	assert.NilError(t, semaphore.acquire(t.Context(), rank{}))
	order := make(chan int, 3)
	ctx, cancel := context.WithCancel(t.Context())
	waitErr := make(chan error, 1)
	go func() { waitErr <- semaphore.acquire(ctx, rank{priority: 0, sequence: 1}) }()
	for sequence, priority := range []int{5, 1, 5} {
		go func() {
			if semaphore.acquire(t.Context(), rank{priority, uint64(sequence)}) == nil {
				order <- priority*10 + sequence
				semaphore.release()
			}
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		semaphore.mu.Lock()
		defer semaphore.mu.Unlock()
		if len(semaphore.waiting) < 4 {
			return poll.Continue("%d waiting", len(semaphore.waiting))
		}
		return poll.Success()
	}, pollOptions...)
	cancel()
	assert.ErrorIs(t, <-waitErr, context.Canceled)
	semaphore.release()
	assert.DeepEqual(t, []int{<-order, <-order, <-order}, []int{11, 50, 52})
}

// Guards against an order of a former leader that replaces newer weights on an engine that honours fencing, and against
// cached pieces that are kept after their weights have been replaced.
func TestOrdersAndFencing(t *testing.T) {
	for _, honours := range []bool{true, false} {
		e := start(t, Options{HonoursFencing: honours})
		_, _, err := send(t, e, "/v1/completions", completion(strings.Repeat("x", 8000), 1), nil)
		assert.NilError(t, err)
		sendOrder := func(weights string, fencing int) int {
			order := map[string]any{"order": "load", "model": "emulated", "weights-version": weights, "fencing-number": fencing}
			response, _, err := send(t, e, "/engine/v1/orders", order, nil)
			assert.NilError(t, err)
			return response.StatusCode
		}
		assert.Equal(t, sendOrder("w2", 5), http.StatusAccepted)
		waitReady(t, e)
		assert.Equal(t, e.Counters().CachedPieces, 0)
		assert.Equal(t, sendOrder("w2", 5), http.StatusOK)
		stale := sendOrder("w1", 4)
		waitReady(t, e)
		state, _ := e.announcement()
		if honours {
			assert.Equal(t, stale, http.StatusConflict)
			assert.Equal(t, state.Weights, "w2")
		} else {
			assert.Equal(t, stale, http.StatusAccepted)
			assert.Equal(t, state.Weights, "w1")
		}
	}
}

// Guards against lost events that leave no gap in the sequence numbers, and batches with events of two incarnations.
func TestLostEventsLeaveAGapInTheNumbers(t *testing.T) {
	e := New(Options{Entries: []string{"http://entry"}, Settings: Settings{EventDelay: harness.Duration(time.Hour)}})
	f := e.feeds["http://entry"]
	f.setSample(2)
	for i := range 6 {
		f.add(1, Event{Kind: eventStored, Digest: unit.Digest{15: byte(i)}})
	}
	f.add(2, Event{Kind: eventCleared})
	_, ok := f.nextBatch(time.Now())
	assert.Assert(t, !ok, "events were sent before their delay")
	f.pending = append(f.pending[:1], f.pending[2:]...) // drops the second event
	later := time.Now().Add(2 * time.Hour)
	var batches []EventBatch
	for batch, ok := f.nextBatch(later); ok; batch, ok = f.nextBatch(later) {
		batches = append(batches, batch)
	}
	assert.Equal(t, len(batches), 3)
	assert.Equal(t, batches[1].FirstSequence, uint64(3))
	assert.Equal(t, batches[2].Incarnation, unit.Incarnation(2))
	assert.Equal(t, batches[2].FirstSequence, uint64(1))
}

// Guards against an EventLoss setting that drops nothing, and dropped events that leave no gap in the sequence numbers.
func TestEventLossSkipsNumbers(t *testing.T) {
	e := New(Options{Entries: []string{"http://entry"}, Settings: Settings{EventLoss: 1}})
	f := e.feeds["http://entry"]
	var posted []uint64
	f.post = func(_ context.Context, batch EventBatch) error {
		posted = append(posted, batch.FirstSequence)
		return nil
	}
	for _, loss := range []float64{1, 0} {
		e.UpdateSettings(Settings{EventLoss: loss})
		f.add(1, Event{Kind: eventStored})
		f.flush(t.Context(), time.Now())
	}
	assert.DeepEqual(t, posted, []uint64{2})
}

// Guards against a piece that is recomputed although the cache store holds it, or imported by an engine with other weights.
func TestPiecesTravelThroughTheStore(t *testing.T) {
	s := store.New(store.Options{Listen: "127.0.0.1:0"})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.Run(ctx) }()
	first := start(t, Options{Store: s.Address()})
	second := start(t, Options{})
	other := start(t, Options{Weights: "w2"})
	header := map[string]string{
		"Citronglade-Pieces": unit.Digest{1}.String(), "Citronglade-Prompt-Tokens": "2000",
		"Citronglade-Import-From": s.Address(),
	}
	_, _, err := send(t, first, "/v1/completions", completion("p", 1), header)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Head(pieceURL(s.Address(), unit.Digest{1}))
		if err != nil || response.StatusCode != http.StatusOK {
			return poll.Continue("not exported yet")
		}
		return poll.Success()
	}, pollOptions...)
	for e, imported := range map[*Emulator]int64{second: 2000, other: 0} {
		_, _, err = send(t, e, "/v1/completions", completion("p", 1), header)
		assert.NilError(t, err)
		assert.Equal(t, e.Counters().ImportedTokens, imported)
		assert.Equal(t, e.Counters().RecomputedTokens, 2000-imported)
	}
}

// Guards against a weights store without a limit: more parallel loads than the limit must slow each other down.
func TestWeightStoreSlowsDownBeyondItsLimit(t *testing.T) {
	s := NewWeightStore(1)
	s.active.Add(3) // three other loads that stay active throughout
	began := time.Now()
	assert.NilError(t, s.Load(t.Context(), 20*time.Millisecond))
	assert.Assert(t, time.Since(began) >= 80*time.Millisecond)
}

// Guards against a crashed engine that continues to load weights and thereby slows down the loads of other engines.
func TestCrashFreesTheWeightStore(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		weights := NewWeightStore(1)
		e := New(Options{LoadTime: time.Hour, WeightStore: weights, RestartDelay: time.Hour})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if ordered {
				e.weights.pendingOrder = &Order{Model: "emulated", Weights: "w2"}
				e.loadOrderedWeights(t.Context(), e.state)
			} else {
				e.loadInitialWeights(t.Context())
			}
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if weights.active.Load() == 0 {
				return poll.Continue("not loading yet")
			}
			return poll.Success()
		}, pollOptions...)
		e.Crash()
		<-ended
		assert.Equal(t, weights.active.Load(), int64(0))
	}
}

// Guards against load reports that are newer than LoadReportAge allows.
func TestLoadReportsLag(t *testing.T) {
	e := New(Options{Settings: Settings{LoadReportAge: harness.Duration(time.Hour)}})
	e.state.running = 3
	assert.Equal(t, e.reportedLoad().Running, 0)
	e.UpdateSettings(Settings{})
	assert.Equal(t, e.reportedLoad().Running, 3)
}

func loadIs(e *Emulator, want harness.Load) poll.Check {
	return func(poll.LogT) poll.Result {
		if load := e.reportedLoad(); load != want {
			return poll.Continue("%+v", load)
		}
		return poll.Success()
	}
}

// Guards against a load report that omits prompts that wait for the prefill of others, and one that still counts the prompts
// of callers that have disconnected.
func TestLoadCountsPromptsThatWaitForPrefill(t *testing.T) {
	e := start(t, Options{PrefillRate: 1, TimeScale: 1})
	ctx, cancel := context.WithCancel(t.Context())
	for range 2 {
		go func() {
			data, _ := json.Marshal(completion(strings.Repeat("x", 4000), 1))
			request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+"/v1/completions", bytes.NewReader(data))
			_, _ = http.DefaultClient.Do(request)
		}()
	}
	poll.WaitOn(t, loadIs(e, harness.Load{Running: 2, QueuedTokens: 2000, FreeSlots: 14}), pollOptions...)
	cancel()
	poll.WaitOn(t, loadIs(e, harness.Load{FreeSlots: 16}), pollOptions...)
	assert.Assert(t, !e.currentState().prefillStepEnd.After(time.Now()), "a cancelled step still blocks the prefill")
}

// Guards against a deadlock from different lock orders in admission, prefill and load reports.
func TestConcurrentRequestsDoNotBlockEachOther(t *testing.T) {
	e := start(t, Options{TimeScale: 0.00001})
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 100 {
				body := strings.NewReader(`{"prompt":"` + strings.Repeat("x", 400) + `","max_tokens":1}`)
				e.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", body))
				e.announcement()
			}
		})
	}
	group.Wait()
	assert.Equal(t, e.Counters().Finished, int64(1600))
}

// Guards against a brittle engine that lets requests wait, doesn't say that it is brittle, or survives any number of rejections.
func TestABrittleEngineCrashesAfterTooManyRejections(t *testing.T) {
	e := start(t, Options{Slots: 1, Settings: Settings{Brittle: 2}})
	go func() { _, _, _ = send(t, e, "/v1/completions", completion("long", 100_000), nil) }()
	poll.WaitOn(t, countersReach(e, func(c Counters) bool { return c.Running == 1 }), pollOptions...)
	for range 2 {
		response, _, err := send(t, e, "/v1/completions", completion("p", 1), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, response.Header.Get("Citronglade-Brittle"), "2")
	}
	assert.Equal(t, e.Counters().Crashes, int64(0))
	_, _, _ = send(t, e, "/v1/completions", completion("p", 1), nil) // the crash may cut its answer off
	poll.WaitOn(t, countersReach(e, func(c Counters) bool { return c.Crashes == 1 }), pollOptions...)
}
