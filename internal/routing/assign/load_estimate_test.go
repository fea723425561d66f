package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
)

// Guards against a level that adds more or less than the amount, or that lowers an engine's load.
func TestTheWaterLevelAddsTheAmount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		levels := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 40).Draw(t, "levels")
		amount := rapid.Float64Range(0, 1e6).Draw(t, "amount")
		height := waterLevel(append([]float64{}, levels...), amount)
		added := 0.0
		for _, level := range levels {
			added += max(0, height-level)
		}
		assert.Assert(t, added > amount-1 && added < amount+1, "%v added, want %v", added, amount)
	})
	assert.Equal(t, waterLevel(nil, 5), 0.0)
}

// Simulates many hosts that decide on the same stale loads, in which a few engines are idle, as after a rollout. Guards against
// sending several times as many requests to the idle engines as to the others.
func TestManyHostsDoNotFillTheSameEngines(t *testing.T) {
	const engines, hosts, idle, rate, subjects = 60, 80, 6, 10, 50 // rate is requests per second of one host
	sent := map[unit.EndpointID]int{}
	for host := range hosts {
		a := New(testSettings)
		a.SetHosts(hosts)
		var known []registry.Endpoint
		others := map[unit.EndpointID]Load{}
		for e := range engines {
			k := endpoint(fmt.Sprintf("e%02d", e), 1, at(0))
			known = append(known, k)
			if e >= idle {
				others[k.ID] = Load{Requests: 10, Tokens: 60_000, PendingPrefill: 24_000}
			}
		}
		setEndpoints(a, known...)
		for _, k := range known {
			change := cachedparts.Change{Place: cachedparts.Place(k.ID)}
			for subject := range subjects {
				change.Added = append(change.Added, newPromptWork(fmt.Sprint("s", subject), "").partsAt(1)[0])
			}
			a.SetHoldings(at(0), cachedparts.Update{Changes: []cachedparts.Change{change}})
		}
		for ms := 0; ms < 3_000; ms += 1_000 / rate {
			now := at(ms + host)
			a.SetLoads(now.Add(-100*time.Millisecond), others)
			w := newPromptWork(fmt.Sprint("s", (ms/100*hosts+host)%subjects), fmt.Sprint("o", ms*hosts+host))
			w.ShortestObjective = w.Objective
			choice, ok := a.Choose(now, w, nil)
			assert.Assert(t, ok)
			flight := a.Begin(now, w, choice)
			if ms >= 2_000 { // the send rate has been learned
				sent[choice.Endpoint]++
			}
			a.Began(now.Add(50*time.Millisecond), flight)
			a.End(now.Add(90*time.Millisecond), flight, EndedComplete)
		}
	}
	toIdle := 0
	for e := range idle {
		toIdle += sent[unit.EndpointID(fmt.Sprintf("e%02d", e))]
	}
	all := hosts * rate
	// Within the 0.35 s by which the loads are out of date, the hosts send 280 requests. About 15 of them fill the idle engines
	// up to the level of the others.
	assert.Assert(t, toIdle <= 3*all*idle/engines, "%d of %d requests went to %d of %d engines", toIdle, all, idle, engines)
}
