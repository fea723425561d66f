package engine

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// maxPrefillStepTokens limits the prompt tokens computed in one step, so that an urgent request waits for at most one
	// step of another request.
	maxPrefillStepTokens = 512
	// maxPrefillLag limits how much delay of the previous step's timer a step may compensate for.
	maxPrefillLag = 5 * time.Millisecond
)

// compute obtains the KV cache of the whole prompt: from the prefix cache, from the cache store, or by prefill. A piece is
// looked up again when its prefill is about to start, because another request with the same prefix may have computed it
// in the meantime.
func (e *Emulator) compute(ctx context.Context, s *incarnationState, j *job) error {
	remaining := j.promptTokens
	inPrefix := true
	for _, digest := range j.pieces {
		size := min(e.options.PieceTokens, remaining)
		remaining -= size
		cached, imported, err := e.computePiece(ctx, s, j, digest, size, inPrefix)
		if err != nil {
			return err
		}
		// Only a contiguous prefix can be reused; pieces after a missing one must be recomputed even if they are cached.
		inPrefix = inPrefix && (cached || imported)
	}
	if err := e.prefill(ctx, s, j, remaining, nil); err != nil {
		return err
	}
	s.cache.touch(j.pieces)
	e.updateCounters(func(c *Counters) {
		c.PromptTokens += int64(j.promptTokens)
		c.CachedTokens += int64(j.cached)
		c.ImportedTokens += int64(j.imported)
		c.RecomputedTokens += int64(j.promptTokens - j.cached - j.imported)
	})
	return nil
}

func (e *Emulator) computePiece(ctx context.Context, s *incarnationState, j *job, digest unit.Digest, size unit.Tokens, inPrefix bool) (cached, imported bool, err error) {
	if inPrefix && s.cache.contains(digest) {
		j.cached += size
		s.markComputed(j, size)
		return true, false, nil
	}
	if inPrefix && j.importFrom != "" && e.importPiece(ctx, j, digest, size) {
		j.imported += size
		s.markComputed(j, size)
		s.cache.add(digest)
		return false, true, ctx.Err()
	}
	found := false
	err = e.prefill(ctx, s, j, size, func() bool {
		found = inPrefix && s.cache.contains(digest)
		return found
	})
	if err != nil {
		return false, false, err
	}
	if found {
		j.cached += size
		s.markComputed(j, size)
		return true, false, nil
	}
	s.cache.add(digest)
	e.queueExport(digest, j.weights, size)
	return false, false, nil
}

// prefill computes tokens in steps, one request at a time. It returns without computing if done, called once before the
// first step, reports that the tokens are no longer needed.
func (e *Emulator) prefill(ctx context.Context, s *incarnationState, j *job, tokens unit.Tokens, done func() bool) error {
	for first := true; tokens > 0; first = false {
		began := time.Now()
		if err := s.prefill.acquire(ctx, j.rank); err != nil {
			return err
		}
		j.waited += time.Since(began)
		if first && done != nil && done() {
			s.prefill.release()
			return nil
		}
		step := min(tokens, maxPrefillStepTokens)
		err := e.waitPrefillStep(ctx, s, step)
		s.prefill.release()
		if err != nil {
			return err
		}
		s.markComputed(j, step)
		tokens -= step
	}
	return nil
}

// waitPrefillStep waits for the duration of one step. A step starts when the previous one was due to end, so that timers that
// fire late do not lower the prefill rate. The caller holds the prefill semaphore.
func (e *Emulator) waitPrefillStep(ctx context.Context, s *incarnationState, tokens unit.Tokens) error {
	seconds := float64(tokens) / e.options.PrefillRate
	// scaleComputeTime locks e.mu. It is called before s.mu is locked, because admission locks e.mu before s.mu.
	duration := e.scaleComputeTime(time.Duration(seconds * float64(time.Second)))
	start := time.Now()
	s.mu.Lock()
	if s.prefillStepEnd.After(start.Add(-maxPrefillLag)) {
		start = s.prefillStepEnd
	}
	due := start.Add(duration)
	s.prefillStepEnd = due
	s.mu.Unlock()
	err := sleepUntil(ctx, due)
	if err != nil {
		s.mu.Lock()
		s.prefillStepEnd = time.Now() // other requests can use the rest of a cancelled step
		s.mu.Unlock()
	}
	return err
}

// decodeTime returns the time to decode the next token, which grows with the number of requests in the batch.
func (e *Emulator) decodeTime(s *incarnationState) time.Duration {
	s.mu.Lock()
	others := max(0, s.running-1)
	s.mu.Unlock()
	return e.scaleComputeTime(e.options.DecodeTime + time.Duration(others)*e.options.DecodeTimeIncrement)
}
