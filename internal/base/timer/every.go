package timer

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Every calls step at the interval until ctx ends, at once for the first time. A step that takes longer than the interval
// delays the next one.
func Every(ctx context.Context, s *Service, interval time.Duration, step func(context.Context)) error {
	ticks := make(chan struct{}, 1)
	cancel := s.Subscribe(interval, func(unit.Moment) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
	defer cancel()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
	}
}
