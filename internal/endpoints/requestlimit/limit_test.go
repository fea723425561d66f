package requestlimit

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against hosts that disagree for good about a limit because they heard of its changes in a different order or twice.
func TestLimitsMergeAlikeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := []float64{0, 0.5, 1, 200, None}
		changes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Limit {
			return Limit{Version: rapid.Uint32Range(0, 4).Draw(t, "version"), PerSecond: rapid.SampledFrom(values).Draw(t, "per second")}
		}), 1, 8).Draw(t, "changes")
		merge := func(order []Limit) Limit {
			merged := Limit{}
			for _, l := range order {
				merged = merged.Merge(l).Merge(l)
			}
			return merged
		}
		other := slices.Clone(changes)
		slices.Reverse(other)
		assert.Equal(t, merge(changes), merge(other))
	})
}

// Guards against an endpoint that gets nothing for good, or is flooded, because it names an unusual number.
func TestUnusualLimits(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		inForce   bool
		rate      float64
	}{
		{name: "none", perSecond: None, rate: None},
		{name: "zero", perSecond: 0, inForce: true, rate: minRate},
		{name: "almost zero", perSecond: 1e-300, inForce: true, rate: minRate},
		{name: "one", perSecond: 1, inForce: true, rate: 1},
		{name: "enormous", perSecond: 1e300, rate: None},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := Limit{}.Changed(c.perSecond)
			assert.Equal(t, l.InForce(), c.inForce)
			assert.Equal(t, l.Rate(), c.rate)
			assert.Equal(t, l.Changed(c.perSecond), l, "a repeated value is no change")
		})
	}
	known := Limit{}.Changed(2)
	assert.Equal(t, known.Merge(Limit{Version: 9, PerSecond: math.NaN()}), known)
	assert.Equal(t, known.Changed(None).Rate(), None)
	assert.Assert(t, known.Loosens(3) && known.Loosens(None) && !known.Loosens(1) && !Limit{}.Loosens(5))
}
