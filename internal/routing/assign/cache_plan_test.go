package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
)

// reportHeldPart reports that a place has cached the shared part of the prompt and has just evicted a number of other parts.
func reportHeldPart(a *Assigner, now unit.Moment, place string, w *Request, evicted int) {
	change := cachedparts.Change{Place: cachedparts.Place(place), Added: []cachedparts.Part{w.partsAt(1)[0]}}
	for i := range evicted {
		part := cachedparts.NewPart("other", fmt.Sprint(place, i))
		a.holdings.Apply([]cachedparts.Change{{Place: cachedparts.Place(place), Added: []cachedparts.Part{part}}})
		change.Removed = append(change.Removed, part)
	}
	a.SetHoldings(now, cachedparts.Update{Changes: []cachedparts.Change{change}})
}

// Guards against sources that have evicted the parts by the time that the request begins after its wait.
func TestTheSourceIsWhereThePartsWillStillBe(t *testing.T) {
	cases := []struct {
		name           string
		wait           time.Duration
		replicaEvicted int
		storeHolds     bool
		storeBusy      bool
		want           string
	}{
		{name: "a replica that evicts nothing", storeHolds: true, want: "source:80"},
		{name: "a replica that evicts much", replicaEvicted: 3, wait: time.Second, storeHolds: true, want: "store:1"},
		{name: "a replica that evicts much, and a busy store", replicaEvicted: 3, wait: time.Second, storeHolds: true, storeBusy: true, want: "source:80"},
		{name: "a replica that evicts much, without a store", replicaEvicted: 3, wait: time.Second, want: "source:80"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := at(1_000)
			a := newAssignerWith(endpoint("reader", 1, now), endpoint("source", 1, now))
			w := newPromptWork("s", "o")
			w.prepare()
			a.SetStore(&table.Store{Address: "store:1", LinkBytesPerSecond: 1e9})
			a.holdings.Apply([]cachedparts.Change{{Place: "reader", Cleared: true}, {Place: "store:1", Cleared: true}})
			reportHeldPart(a, now, "source", w, c.replicaEvicted)
			if c.storeHolds {
				reportHeldPart(a, now, "store:1", w, 0)
			}
			if c.storeBusy {
				a.storeFetches.add(now, 2e9)
			}
			candidates := a.services["llm"]
			reader := candidates[0]
			if reader.ID != "reader" {
				reader = candidates[1]
			}
			position := 0
			for i, r := range candidates {
				if r == reader {
					position = i
				}
			}
			plan := a.planCache(now, reader, w, a.estimate(now, w, candidates), position, c.wait)
			assert.Equal(t, plan.source, c.want)
		})
	}
}

// Guards against an expected time that ignores the parts that an engine will have evicted before it begins the request.
func TestPartsThatWillBeDroppedAreExpectedToBeRead(t *testing.T) {
	now := at(1_000)
	recomputed := func(evicted int, wait time.Duration) unit.Tokens {
		a := newAssignerWith(endpoint("e", 1, now))
		w := newPromptWork("s", "o")
		w.prepare()
		reportHeldPart(a, now, "e", w, evicted)
		candidates := a.services["llm"]
		return a.planCache(now, candidates[0], w, a.estimate(now, w, candidates), 0, wait).recomputed
	}
	assert.Assert(t, recomputed(0, time.Second) < 600)
	assert.Assert(t, recomputed(4, 100*time.Millisecond) < recomputed(4, time.Second))
	assert.Assert(t, recomputed(4, time.Second) > 3000)
}

// Guards against an eviction rate that doesn't decay, and against counting a restart of the endpoint as evictions.
func TestEvictionRatesDecay(t *testing.T) {
	rates := evictionRates{}
	rates.record(at(0), []cachedparts.Change{{Place: "e", Removed: []cachedparts.Part{1, 2, 3, 4}}})
	assert.Equal(t, rates.rate(at(0), "e", 2), 1.0)
	assert.Assert(t, rates.rate(at(10_000), "e", 2) < 0.01)
	rates.record(at(10), []cachedparts.Change{{Place: "e", Cleared: true, Removed: []cachedparts.Part{5}}})
	assert.Equal(t, rates.rate(at(10), "e", 2), 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{18, 90, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			a := New(testSettings)
			var known []registry.Endpoint
			for i := range engines {
				known = append(known, endpoint(fmt.Sprintf("e%03d", i), 1, at(1_000)))
			}
			setEndpoints(a, known...)
			for i, k := range known {
				reportHeldPart(a, at(1_000), string(k.ID), newPromptWork(fmt.Sprint("s", i%40), "o"), 3)
			}
			b.ResetTimer()
			for i := range b.N {
				_, _ = a.Choose(at(1_100), newPromptWork(fmt.Sprint("s", i%40), "o"), nil)
			}
		})
	}
}
