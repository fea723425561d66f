package retryafter

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retries that all come at once after 1,000 callers are refused at the same time, as when a quarter of the
// engines is lost. With one time for all callers, they retry within a third of a second and are refused again. No caller
// may be told to wait longer than the third of its remaining time that callers honour, and no tenth of the range may get
// more than twice its share.
func TestRetriesAfterRefusalsAreSpreadEvenly(t *testing.T) {
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
			earliest, latest := max(c.room, minRetryAfter), min(c.left/3, maxRetryAfter)
			var retries [tenths]int
			for range callers {
				after := Refusal{UntilCapacity: c.room, Remaining: c.left, Draw: random.Float64()}.After()
				assert.Assert(t, after >= earliest && after <= latest, "%s", after)
				retries[min(int(tenths*(after-earliest)/(latest-earliest)), tenths-1)]++
			}
			for i, count := range retries {
				assert.Assert(t, count <= 2*callers/tenths, "%d of %d callers retry in tenth %d", count, callers, i)
			}
		})
	}
}

// Guards against callers with little remaining time that all retry at the same time or are told to retry without a wait.
func TestCallersWithLittleTimeAreSpreadToo(t *testing.T) {
	first, last := Refusal{Remaining: 100 * time.Millisecond}.After(), Refusal{Remaining: 100 * time.Millisecond, Draw: 0.99}.After()
	assert.Assert(t, first >= minRetryAfter)
	assert.Assert(t, last > first)
	assert.Assert(t, Refusal{UntilCapacity: time.Hour, Remaining: time.Hour}.After() <= maxRetryAfter)
}
