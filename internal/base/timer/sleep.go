package timer

import (
	"context"
	"time"
)

// Sleep waits for d on the real clock, or until ctx ends, and reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
