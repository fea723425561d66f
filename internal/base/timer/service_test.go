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
