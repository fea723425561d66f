package timer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Guards against a manual clock that calls subscribers out of order, which would make replays of the same events differ.
func TestManualServiceCallsSubscribersInOrderOfTime(t *testing.T) {
	service := NewManual()
	var calls []string
	record := func(name string) func(unit.Moment) {
		return func(unit.Moment) { calls = append(calls, name) }
	}
	cancel := service.Subscribe(20*time.Millisecond, record("slow"))
	service.Subscribe(15*time.Millisecond, record("fast"))
	service.Advance(40 * time.Millisecond)
	assert.DeepEqual(t, calls, []string{"fast", "slow", "fast", "slow"})
	cancel()
	service.Advance(10 * time.Millisecond)
	assert.DeepEqual(t, calls, []string{"fast", "slow", "fast", "slow", "fast"})
	assert.Equal(t, service.Now(), unit.Moment(50*time.Millisecond))
}

// steppedClocks are the two clocks of a machine. The steady one stops while the machine is suspended.
type steppedClocks struct {
	steady, uninterrupted time.Duration
}

func (c *steppedClocks) run(d time.Duration) {
	c.steady += d
	c.uninterrupted += d
}

func (c *steppedClocks) suspend(d time.Duration) {
	c.uninterrupted += d
}

// Guards against leases and other bounds that outlast a suspension of the machine because its time doesn't count.
func TestTimeDuringASuspensionCounts(t *testing.T) {
	clocks := &steppedClocks{steady: time.Hour, uninterrupted: 3 * time.Hour}
	service := newFromClocks(func() time.Duration { return clocks.steady }, func() time.Duration { return clocks.uninterrupted })
	clocks.run(time.Second)
	assert.Equal(t, service.Now(), unit.Moment(time.Second))
	assert.Equal(t, service.Suspended(), time.Duration(0))
	clocks.suspend(4 * time.Second)
	assert.Equal(t, service.Now(), unit.Moment(5*time.Second))
	clocks.run(time.Second)
	assert.Equal(t, service.Now(), unit.Moment(6*time.Second))
	assert.Equal(t, service.Suspended(), 4*time.Second)
}
