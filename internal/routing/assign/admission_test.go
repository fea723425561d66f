package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against refusing a caller a second time while new callers are admitted.
func TestCallersWhoCameBackGoBeforeNewOnes(t *testing.T) {
	cases := []struct {
		name          string
		waiting       time.Duration
		fresh, second bool
	}{
		{name: "short", waiting: 200 * time.Millisecond, fresh: true, second: true},
		{name: "too long for new ones", waiting: 330 * time.Millisecond, second: true},
		{name: "too long", waiting: 500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newPromptWork("s", "o")
			w.ShortestObjective = 500 * time.Millisecond
			choice := Choice{QueueTime: c.waiting}
			assert.Equal(t, choice.Admits(w), c.fresh)
			w.PreviouslyRefused = true
			assert.Equal(t, choice.Admits(w), c.second)
			assert.Equal(t, choice.ExcessWait(w) == 0, c.second)
		})
	}
}
