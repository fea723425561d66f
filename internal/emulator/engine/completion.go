package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// maxDecodeLag limits how far the token schedule may lag behind the clock. Within this limit the next tokens follow sooner,
// so that timers that fire late do not lower the decode rate.
const maxDecodeLag = 5 * time.Millisecond

func (e *Emulator) handleCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	j, err := e.parseRequest(w, r, chat)
	if err != nil {
		e.mu.Lock()
		e.setIdentityHeaders(w)
		e.mu.Unlock()
		writeError(w, http.StatusBadRequest, "bad-input", err.Error())
		return
	}
	s, ok := e.admit(w, r, j)
	if !ok {
		return
	}
	e.setOutputAndPieces(j)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	defer e.signalRequestEnded()
	defer func() { s.markComputed(j, j.uncomputed) }()
	if err := e.process(ctx, s, j, w); err == nil {
		e.updateCounters(func(c *Counters) { c.Finished++ })
		return
	}
	if s.ctx.Err() != nil {
		panic(http.ErrAbortHandler) // a crashed engine ends the connection without an answer
	}
	e.updateCounters(func(c *Counters) { c.Cancelled++ })
}

// setIdentityHeaders sets the headers that tell which incarnation and weights a response comes from. The caller holds e.mu
// until the request is admitted, so that the weights cannot change in between.
func (e *Emulator) setIdentityHeaders(w http.ResponseWriter) {
	w.Header().Set("Citronglade-Incarnation", strconv.FormatUint(uint64(e.state.incarnation), 10))
	w.Header().Set("Citronglade-Weights", string(e.weights.current))
	e.requestLimit.Apply(w.Header(), e.settings.RequestLimit)
	e.brittleness.Apply(w.Header(), e.settings.Brittle)
}

// admit adds a request to the queue, or refuses it before any of it is executed and returns false.
func (e *Emulator) admit(w http.ResponseWriter, r *http.Request, j *job) (*incarnationState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setIdentityHeaders(w)
	if status, reason := e.refusal(r.Header); status != 0 {
		e.counts.Refused++
		writeError(w, status, reason, "the engine refuses the request before running it: "+reason)
		return nil, false
	}
	j.model, j.weights = e.weights.model, e.weights.current
	j.rank.sequence = e.requestSequence.Add(1)
	e.counts.Requests++
	e.state.mu.Lock()
	e.state.queued++
	e.state.queuedTokens += j.promptTokens
	j.uncomputed = j.promptTokens
	e.state.mu.Unlock()
	return e.state, true
}

func (e *Emulator) refusal(header http.Header) (status int, reason string) {
	incarnation := header.Get("Citronglade-Incarnation")
	weights := header.Get("Citronglade-Weights")
	switch {
	case incarnation != "" && incarnation != strconv.FormatUint(uint64(e.state.incarnation), 10):
		return http.StatusConflict, "incarnation"
	case e.down:
		return http.StatusServiceUnavailable, "down"
	case e.draining:
		return http.StatusServiceUnavailable, "draining"
	case e.weights.loading:
		return http.StatusServiceUnavailable, "loading"
	case weights != "" && weights != string(e.weights.current):
		return http.StatusConflict, "weights"
	case e.settings.Brittle > 0 && e.isFull():
		if e.brittleness.Reject(time.Now(), e.settings.Brittle) {
			go e.Crash()
		}
		return http.StatusServiceUnavailable, "full"
	default:
		return 0, ""
	}
}

// isFull reports whether all slots are taken. A brittle engine lets no request wait.
func (e *Emulator) isFull() bool {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	return e.state.running+e.state.queued >= e.options.Slots
}

func (e *Emulator) process(ctx context.Context, s *incarnationState, j *job, w http.ResponseWriter) error {
	arrived := time.Now()
	err := s.slots.acquire(ctx, j.rank)
	s.mu.Lock()
	s.queued--
	if err == nil {
		s.running++
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	defer s.requestDone()
	j.waited = time.Since(arrived)
	if err := e.compute(ctx, s, j); err != nil {
		return err
	}
	if e.options.PoisonMarker != "" && strings.Contains(j.prompt, e.options.PoisonMarker) {
		e.Crash()
		return context.Canceled
	}
	header := w.Header()
	header.Set("Citronglade-Cached-Tokens", strconv.FormatInt(int64(j.cached), 10))
	header.Set("Citronglade-Imported-Tokens", strconv.FormatInt(int64(j.imported), 10))
	header.Set("Citronglade-Queue-Ms", strconv.FormatInt(j.waited.Milliseconds(), 10))
	e.checkDelivered(j)
	return e.decode(ctx, s, j, newResponseWriter(w, j))
}

// markComputed subtracts prompt tokens from the reported load because they have been computed, imported or found
// in the cache, or because their request has ended.
func (s *incarnationState) markComputed(j *job, tokens unit.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.uncomputed -= tokens
	s.queuedTokens -= tokens
}

func (s *incarnationState) requestDone() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.slots.release()
}

func (e *Emulator) signalRequestEnded() {
	select {
	case e.requestEnded <- struct{}{}:
	default:
	}
}

// checkDelivered counts resumed requests, and among them those whose delivered text differs from the beginning of the answer
// that this engine generates.
func (e *Emulator) checkDelivered(j *job) {
	if j.resumeFrom == 0 {
		return
	}
	matches := j.delivered == j.output.text(0, j.resumeFrom)
	e.updateCounters(func(c *Counters) {
		c.Resumed++
		if !matches {
			c.ResumeMismatches++
		}
	})
}

// decode writes the tokens from the resume point on. The event of the last token contains the finish reason.
func (e *Emulator) decode(ctx context.Context, s *incarnationState, j *job, a *responseWriter) error {
	due := time.Now()
	for index := j.resumeFrom; index < j.maxTokens; index++ {
		if earliest := time.Now().Add(-maxDecodeLag); due.Before(earliest) {
			due = earliest
		}
		due = due.Add(e.decodeTime(s))
		if err := sleepUntil(ctx, due); err != nil {
			return err
		}
		e.updateCounters(func(c *Counters) { c.OutputTokens++ })
		if err := a.writeToken(index, j.output.token(index), index == j.maxTokens-1); err != nil {
			return err
		}
	}
	if j.resumeFrom >= j.maxTokens {
		if err := a.writeToken(j.resumeFrom, "", true); err != nil {
			return err
		}
	}
	return a.finish(unit.Tokens(max(j.maxTokens, j.resumeFrom)))
}
