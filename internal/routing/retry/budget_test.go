package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Guards against a once-only request that runs twice, an answer whose parts come from different executions, and work
// after the deadline.
func TestAllow(t *testing.T) {
	later := unit.Moment(time.Second)
	cases := []struct {
		attempt Attempt
		allowed bool
		reason  string
	}{
		{Attempt{Repeatable: true, Number: 1, Wrote: true, Deadline: later}, true, "the request is idempotent"},
		{Attempt{Repeatable: true, Number: 1, Wrote: true, Refused: true, Deadline: later}, true, "the request is idempotent"},
		{Attempt{Repeatable: true, Number: 3, Wrote: true, Deadline: later}, false, "all attempts have been made"},
		{Attempt{Repeatable: true, Number: 1, Wrote: true, Deadline: 5}, false, "the deadline has passed"},
		{Attempt{OnceOnly: true, Number: 1, Wrote: true, Deadline: later}, false, "a once-only request was sent and may have run"},
		{Attempt{OnceOnly: true, Repeatable: true, Number: 1, Wrote: true, Deadline: later}, false, "a once-only request was sent and may have run"},
		{Attempt{OnceOnly: true, Number: 1, Wrote: true, Refused: true, Deadline: later}, false, "a once-only request was sent and may have run"},
		{Attempt{OnceOnly: true, Number: 1, Refused: true, Deadline: later}, true, "the connection was refused"},
		{Attempt{OnceOnly: true, Number: 1, Deadline: later}, true, "nothing was sent"},
		{Attempt{OnceOnly: true, Number: 1, Refused: true, Deadline: 4}, false, "the deadline has passed"},
		{Attempt{Number: 1, Wrote: true, Deadline: later}, false, "the sheet doesn't call the request idempotent, and it was sent"},
		{
			Attempt{Repeatable: true, Number: 1, Wrote: true, Delivered: true, Deadline: later},
			false, "a part of the answer was delivered and the stream can't be resumed",
		},
		{
			Attempt{Repeatable: true, Number: 1, Wrote: true, Delivered: true, Resumable: true, Deadline: later},
			true, "the stream can be resumed",
		},
	}
	for _, c := range cases {
		allowed, reason := New().Allow(5, c.attempt)
		assert.Equal(t, allowed, c.allowed, "%+v", c.attempt)
		assert.Equal(t, reason, c.reason)
	}
}

// Guards against retries that double the load during an outage, and against an idle system that never retries.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		var now unit.Moment
		requests, retries := 0, 0
		for range rapid.IntRange(1, 30).Draw(t, "phases") {
			pause := time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Millisecond
			failing := rapid.IntRange(0, 10).Draw(t, "failing")
			for i := range 100 {
				now = now.Add(pause)
				requests++
				b.CountRequest(now)
				if i%10 >= failing {
					continue
				}
				if ok, _ := b.Allow(now, Attempt{Repeatable: true, Number: 1, Wrote: true, Deadline: unit.Never}); ok {
					retries++
				}
			}
		}
		allowed := budgetRatio*float64(requests) + minRetries*(1+now.Sub(0).Seconds()/window.Seconds())
		assert.Assert(t, float64(retries) <= allowed, "%d retries of %d requests", retries, requests)
	})
	b := New()
	retries := 0
	for i := range 10_000 { // 100 requests/s, half of them fail
		now := unit.Moment(i) * unit.Moment(10*time.Millisecond)
		b.CountRequest(now)
		if ok, _ := b.Allow(now, Attempt{Repeatable: true, Number: 1 + i%2*2, Wrote: true, Deadline: unit.Never}); ok {
			retries++
		}
	}
	assert.Assert(t, retries <= 1000 && retries > 900, "%d retries of 10,000 requests", retries)
	ok, _ := New().Allow(0, Attempt{Repeatable: true, Number: 1, Wrote: true, Deadline: unit.Never})
	assert.Assert(t, ok, "an idle system retries")
}
