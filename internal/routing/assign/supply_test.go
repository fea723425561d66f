package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/holding"
)

// holds tells the assigner that a place holds the shared part of the prompt, and how many others it has just dropped.
func holds(a *Assigner, now unit.Moment, place string, w *Work, dropped int) {
	change := holding.Change{Place: holding.Place(place), Added: []holding.Part{w.partsAt(1)[0]}}
	for i := range dropped {
		part := holding.NewPart("other", fmt.Sprint(place, i))
		a.holdings.Apply([]holding.Change{{Place: holding.Place(place), Added: []holding.Part{part}}})
		change.Removed = append(change.Removed, part)
	}
	a.SetHoldings(now, holding.Update{Changes: []holding.Change{change}})
}

// Guards against sources that have dropped the parts when the request begins after its wait.
func TestTheSourceIsWhereThePartsWillStillBe(t *testing.T) {
	cases := []struct {
		name           string
		wait           time.Duration
		replicaDropped int
		storeHolds     bool
		storeBusy      bool
		want           string
	}{
		{name: "a replica that drops nothing", storeHolds: true, want: "source:80"},
		{name: "a replica that drops much", replicaDropped: 3, wait: time.Second, storeHolds: true, want: "store:1"},
		{name: "a replica that drops much, and a busy store", replicaDropped: 3, wait: time.Second, storeHolds: true, storeBusy: true, want: "source:80"},
		{name: "a replica that drops much, without a store", replicaDropped: 3, wait: time.Second, want: "source:80"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := at(1_000)
			a := serving(endpoint("reader", 1, now), endpoint("source", 1, now))
			w := prompt("s", "o")
			w.prepare()
			a.SetStore(&table.Store{Address: "store:1", LinkBytes: 1e9})
			a.holdings.Apply([]holding.Change{{Place: "reader", Cleared: true}, {Place: "store:1", Cleared: true}})
			holds(a, now, "source", w, c.replicaDropped)
			if c.storeHolds {
				holds(a, now, "store:1", w, 0)
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
			s := a.supply(now, reader, w, a.prospect(now, w, candidates), position, c.wait)
			assert.Equal(t, s.source, c.want)
		})
	}
}

// Guards against an expected time that leaves out what an engine will have dropped before it begins with the request.
func TestPartsThatWillBeDroppedAreExpectedToBeRead(t *testing.T) {
	now := at(1_000)
	again := func(dropped int, wait time.Duration) unit.Tokens {
		a := serving(endpoint("e", 1, now))
		w := prompt("s", "o")
		w.prepare()
		holds(a, now, "e", w, dropped)
		candidates := a.services["llm"]
		return a.supply(now, candidates[0], w, a.prospect(now, w, candidates), 0, wait).again
	}
	assert.Assert(t, again(0, time.Second) < 600)
	assert.Assert(t, again(4, 100*time.Millisecond) < again(4, time.Second))
	assert.Assert(t, again(4, time.Second) > 3000)
}

// Guards against a rate that outlives the parts that it counts, and against a restart that counts as dropping.
func TestTurnoverForgets(t *testing.T) {
	rates := turnover{}
	rates.note(at(0), []holding.Change{{Place: "e", Removed: []holding.Part{1, 2, 3, 4}}})
	assert.Equal(t, rates.rate(at(0), "e", 2), 1.0)
	assert.Assert(t, rates.rate(at(10_000), "e", 2) < 0.01)
	rates.note(at(10), []holding.Change{{Place: "e", Cleared: true, Removed: []holding.Part{5}}})
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
			set(a, known...)
			for i, k := range known {
				holds(a, at(1_000), string(k.ID), prompt(fmt.Sprint("s", i%40), "o"), 3)
			}
			b.ResetTimer()
			for i := range b.N {
				_, _ = a.Choose(at(1_100), prompt(fmt.Sprint("s", i%40), "o"), nil)
			}
		})
	}
}
