package timer

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Every calls step immediately and then at each interval until ctx ends. Steps never overlap: if a step takes longer than the
// interval, the next one starts when it returns, and further ticks during the step are skipped.
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
