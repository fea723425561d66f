package comeback

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Replays 1,000 callers that are refused in one moment, as when a quarter of the engines is lost. With one time for all they come
// back within a third of a second and are refused again. The bounds: nobody is told more than the third of its time that callers
// honour, and no tenth of that time gets twice its share.
func TestRefusedCallersComeBackEvenly(t *testing.T) {
	cases := []struct {
		name       string
		left, room time.Duration
	}{
		{name: "4 s left", left: 4 * time.Second, room: 300 * time.Millisecond},
		{name: "12 s left", left: 12 * time.Second, room: 300 * time.Millisecond},
		{name: "no estimate", left: 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 3))
			const callers, tenths = 1_000, 10
			earliest, latest := max(c.room, leastAfter), min(c.left/3, mostAfter)
			var back [tenths]int
			for range callers {
				after := Refusal{Room: c.room, Left: c.left, Draw: random.Float64()}.After()
				assert.Assert(t, after >= earliest && after <= latest, "%s", after)
				back[min(int(tenths*(after-earliest)/(latest-earliest)), tenths-1)]++
			}
			for i, count := range back {
				assert.Assert(t, count <= 2*callers/tenths, "%d of %d callers come back in tenth %d", count, callers, i)
			}
		})
	}
}

// Guards against callers that have hardly any time left and all come back at once, or are told to come back at once.
func TestCallersWithLittleTimeAreSpreadToo(t *testing.T) {
	first, last := Refusal{Left: 100 * time.Millisecond}.After(), Refusal{Left: 100 * time.Millisecond, Draw: 0.99}.After()
	assert.Assert(t, first >= leastAfter)
	assert.Assert(t, last > first)
	assert.Assert(t, Refusal{Room: time.Hour, Left: time.Hour}.After() <= mostAfter)
}
