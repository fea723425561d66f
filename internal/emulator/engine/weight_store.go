package engine

import (
	"context"
	"sync/atomic"
	"time"
)

const loadSteps = 20

// WeightStore emulates the rate-limited store that weights are loaded from. The emulators of a process can share one. It is
// safe for concurrent use.
type WeightStore struct {
	parallel int64
	active   atomic.Int64
}

// NewWeightStore returns a store that serves the given number of parallel loads at full speed. More loads slow each other
// down.
func NewWeightStore(parallel int) *WeightStore {
	return &WeightStore{parallel: max(1, int64(parallel))}
}

// Load takes loadTime, or longer while more than the parallel number of loads are active. It returns early when ctx
// ends.
func (s *WeightStore) Load(ctx context.Context, loadTime time.Duration) error {
	s.active.Add(1)
	defer s.active.Add(-1)
	if loadTime <= 0 {
		return ctx.Err()
	}
	for range loadSteps {
		step := loadTime / loadSteps
		if active := s.active.Load(); active > s.parallel {
			step = step * time.Duration(active) / time.Duration(s.parallel)
		}
		if err := sleepUntil(ctx, time.Now().Add(step)); err != nil {
			return err
		}
	}
	return nil
}

func sleepUntil(ctx context.Context, due time.Time) error {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
