package timer

import (
	"context"
	"time"
)

const (
	// suspensionCheckInterval is the time between two checks whether the machine was suspended.
	suspensionCheckInterval = 500 * time.Millisecond
	// minSuspension is the shortest reported suspension; the two clocks aren't read at the same moment.
	minSuspension = 50 * time.Millisecond
)

// ReportSuspensions calls report with the length of each suspension of the machine, shortly after it has ended, until ctx ends.
func ReportSuspensions(ctx context.Context, s *Service, report func(time.Duration)) error {
	known := s.Suspended()
	return Every(ctx, s, suspensionCheckInterval, func(context.Context) {
		if now := s.Suspended(); now-known >= minSuspension {
			report(now - known)
			known = now
		}
	})
}
