package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Guards against a host that keeps its limit although the endpoints' queues grow, and against a limit that doesn't grow
// again afterwards.
func TestLimiterFollowsQueueWaits(t *testing.T) {
	l := New(0)
	l.SetRange(70, 7)
	assert.Equal(t, l.Slots(0, 0), 10)
	now := unit.Moment(0)
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		l.Observe(now, 200*time.Millisecond)
	}
	assert.Equal(t, l.Slots(now, 5), 5)
	for range 20 {
		now = now.Add(time.Second)
		l.Slots(now, l.Slots(now, 70))
	}
	assert.Equal(t, l.Slots(now, 70), 70)
}

// Guards against an idle host whose limit grows, so that it could use the high limit in one burst.
func TestLimiterDoesNotGrowWhileIdle(t *testing.T) {
	l := New(0)
	l.SetRange(70, 7)
	assert.Equal(t, l.Slots(unit.Moment(time.Hour), 0), 10)
}
