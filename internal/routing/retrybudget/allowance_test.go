package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Guards against hosts that together exceed the limit in some window, however requests and failures are distributed.
func TestHostsTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}
		hosts := rapid.IntRange(1, 7).Draw(t, "hosts")
		ledgers := make([]*Budget, hosts)
		for i := range ledgers {
			ledgers[i] = New(settings)
			ledgers[i].SetHosts(hosts)
		}
		type event struct {
			at           unit.Moment
			extraAttempt bool
		}
		var events []event
		now := unit.Moment(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			ledger := ledgers[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			ledger.CountRequest(now, "s")
			events = append(events, event{now, false})
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if ledger.Take(now, "s") {
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			requests, extraAttempts := 0.0, 0.0
			for _, e := range events[i:] {
				if e.at.Sub(events[i].at) >= settings.Window {
					break
				}
				if e.extraAttempt {
					extraAttempts++
				} else {
					requests++
				}
			}
			assert.Assert(t, extraAttempts <= settings.Ratio*requests+settings.Extra, "%v extra attempts of %v requests", extraAttempts, requests)
		}
	})
}

// Guards against a service that fails all its requests and gets no retries even after a quiet period.
func TestTheAllowanceComesBack(t *testing.T) {
	l := New(Settings{Ratio: 0.2, Extra: 10, Window: time.Second})
	taken := 0
	for l.Take(0, "s") {
		taken++
	}
	assert.Equal(t, taken, 7)
	assert.Assert(t, !l.Take(unit.Moment(500*time.Millisecond), "s"))
	assert.Assert(t, l.Take(unit.Moment(1100*time.Millisecond), "s"))
}
