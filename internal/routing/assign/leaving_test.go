package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// Guards against sending to an endpoint that has said that it leaves or that is in a pause it asked for, whatever arrives in
// between and in which order: late and new reports, answers of an earlier lifetime, a new lifetime. Guards also against an
// endpoint that gets no requests although it neither leaves nor pauses.
func TestNothingIsSentToEndpointsThatLeaveOrPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const endpoints = 3
		now := at(0)
		a := New(testSettings)
		var born [endpoints]int64
		leaving, until := map[registry.Lifetime]bool{}, map[registry.Lifetime]unit.Moment{}
		report := func() {
			known := make([]registry.Endpoint, 0, endpoints)
			for i := range endpoints {
				e := endpoint(fmt.Sprint("e", i), 1, now)
				e.Born = born[i]
				known = append(known, e)
			}
			setEndpoints(a, known...)
		}
		report()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, endpoints-1).Draw(t, "endpoint")
			life := registry.Lifetime{Endpoint: unit.EndpointID(fmt.Sprint("e", i)), Born: born[i] - int64(rapid.IntRange(0, 1).Draw(t, "earlier"))}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				report()
			case 1:
				a.MarkLeaving(life)
				leaving[life] = true
			case 2:
				asked := time.Duration(rapid.IntRange(1, 5000).Draw(t, "asked")) * time.Millisecond
				a.Pause(now, life, asked, rapid.Float64Range(0, 1).Draw(t, "draw"))
				until[life] = max(until[life], now.Add(asked))
			case 3:
				born[i] += 2
				report()
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pass")) * time.Millisecond)
				report()
			}
			available := 0
			for i := range endpoints {
				l := registry.Lifetime{Endpoint: unit.EndpointID(fmt.Sprint("e", i)), Born: born[i]}
				if !leaving[l] && until[l].Add(maxPauseJitter) <= now {
					available++
				}
			}
			choice, ok := a.Choose(now, newPromptWork("s", "o"), nil)
			assert.Assert(t, ok || available == 0, "%d endpoints take requests", available)
			if ok {
				l := registry.Lifetime{Endpoint: choice.Endpoint, Born: choice.Born}
				assert.Assert(t, !leaving[l] && until[l] <= now, "%v", l)
			}
		}
	})
}

// Guards against pauses without a limit, and against hosts that all return at the same moment.
func TestPausesAreBoundedAndEndSpread(t *testing.T) {
	cases := []struct {
		name            string
		asked           time.Duration
		earliest, after time.Duration // range of the moment at which the endpoint gets requests again
	}{
		{name: "none"},
		{name: "negative", asked: -time.Second},
		{name: "half a second", asked: 500 * time.Millisecond, earliest: 500 * time.Millisecond, after: 625 * time.Millisecond},
		{name: "ten seconds", asked: 10 * time.Second, earliest: 10 * time.Second, after: 10500 * time.Millisecond},
		{name: "a year", asked: 365 * 24 * time.Hour, earliest: time.Minute, after: time.Minute + 500*time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings
			settings.LongestPause = time.Minute
			a := New(settings)
			setEndpoints(a, endpoint("e", 1, 0))
			l := registry.Lifetime{Endpoint: "e", Born: 1}
			assert.Equal(t, a.Pause(0, l, c.asked, 0), unit.Moment(c.earliest))
			assert.Equal(t, a.Pause(0, l, c.asked, 1), unit.Moment(c.after))
			resumes, paused := a.PauseRemaining(0, "llm")
			assert.Equal(t, paused, c.after > 0)
			assert.Equal(t, resumes, c.after)
		})
	}
}
