package versionage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
)

func at(seconds int) unit.Moment {
	return unit.Moment(time.Duration(seconds) * time.Second)
}

func newest(version int) map[unit.ModelName]decisions.WeightsNumber {
	return map[unit.ModelName]decisions.WeightsNumber{"m": decisions.WeightsNumber(version)}
}

// Guards against a replaced version that seems younger to a host that learned of its successors late, or from other hosts.
func TestTheAgeOfAVersionIsTheLargestThatIsKnown(t *testing.T) {
	cases := []struct {
		name     string
		learn    func(h *History)
		version  decisions.WeightsNumber
		age      time.Duration // at 100 s
		replaced bool
	}{
		{name: "nothing known", learn: func(*History) {}, version: 1},
		{name: "the newest", learn: func(h *History) { h.Learn(at(90), newest(2)) }, version: 2},
		{name: "learned", learn: func(h *History) { h.Learn(at(90), newest(2)) }, version: 1, age: 10 * time.Second, replaced: true},
		{name: "learned again", learn: func(h *History) { h.Learn(at(90), newest(2)); h.Learn(at(95), newest(2)) }, version: 1, age: 10 * time.Second, replaced: true},
		{name: "replaced twice", learn: func(h *History) { h.Learn(at(90), newest(2)); h.Learn(at(95), newest(3)) }, version: 1, age: 10 * time.Second, replaced: true},
		{name: "told to be older", learn: func(h *History) {
			h.Learn(at(99), newest(3))
			h.Merge(at(100), Ages{"m": {{Version: 2, Age: 9 * time.Second}, {Version: 3, Age: 3 * time.Second}}})
		}, version: 2, age: 3 * time.Second, replaced: true},
		{name: "told of a version between", learn: func(h *History) {
			h.Learn(at(99), newest(3))
			h.Merge(at(100), Ages{"m": {{Version: 2, Age: 9 * time.Second}}})
		}, version: 1, age: 9 * time.Second, replaced: true},
		{name: "told to be younger", learn: func(h *History) {
			h.Learn(at(90), newest(2))
			h.Merge(at(100), Ages{"m": {{Version: 2, Age: time.Second}}})
		}, version: 1, age: 10 * time.Second, replaced: true},
		{name: "not told", learn: func(h *History) { h.Assume(newest(2)) }, version: 1, age: unknownAge, replaced: true},
		{name: "not told at first", learn: func(h *History) {
			h.Assume(newest(2))
			h.Merge(at(100), Ages{"m": {{Version: 2, Age: time.Second}}})
		}, version: 1, age: time.Second, replaced: true},
		{name: "known, so not assumed", learn: func(h *History) { h.Learn(at(99), newest(2)); h.Assume(newest(2)) }, version: 1, age: time.Second, replaced: true},
		{name: "another model", learn: func(h *History) { h.Learn(at(90), map[unit.ModelName]decisions.WeightsNumber{"n": 2}) }, version: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := New()
			c.learn(h)
			age, replaced := h.SinceReplaced(at(100), "m", c.version)
			assert.Equal(t, replaced, c.replaced)
			assert.Equal(t, age, c.age)
		})
	}
}

// Guards against an age that gets smaller on its way to another host or when old versions are dropped, as long as it matters.
func TestAgesNeverShrinkOnTheirWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(), New()
		named := map[int]unit.Moment{}
		now := at(1000)
		last := 1
		for range rapid.IntRange(1, 2*maxVersions).Draw(t, "versions") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "pause")) * time.Millisecond)
			last += rapid.IntRange(1, 3).Draw(t, "step")
			named[last] = now
			first.Learn(now, newest(last))
			if rapid.Bool().Draw(t, "late") {
				second.Learn(now.Add(time.Second), newest(last))
			}
		}
		now = now.Add(2 * time.Second)
		encoded, err := codec.Marshal(first.Ages(now))
		assert.NilError(t, err)
		var told Ages
		assert.NilError(t, codec.Unmarshal(encoded, &told))
		second.Merge(now, told)
		for version := range last {
			var replacedAt unit.Moment
			for successor := version + 1; replacedAt == 0; successor++ {
				replacedAt = named[successor]
			}
			for name, h := range map[string]*History{"first": first, "second": second} {
				age, replaced := h.SinceReplaced(now, "m", decisions.WeightsNumber(version))
				assert.Assert(t, replaced)
				want := min(now.Sub(replacedAt), toldAge)
				assert.Assert(t, age >= want-resolution, "%s host: version %d was replaced %s ago, not %s", name, version, want, age)
			}
		}
		assert.Assert(t, len(first.models["m"]) <= maxVersions)
	})
}

// Guards against changes that readers miss, and against messages that repeat what readers know.
func TestTheNumberGrowsWithNewsOnly(t *testing.T) {
	h := New()
	before := h.Number()
	assert.Assert(t, before > 0)
	h.Learn(at(1), newest(2))
	learned := h.Number()
	assert.Assert(t, learned > before)
	h.Learn(at(2), newest(2))
	h.Merge(at(5), Ages{"m": {{Version: 2, Age: 4*time.Second + resolution/2}}})
	assert.Equal(t, h.Number(), learned)
	h.Merge(at(5), Ages{"m": {{Version: 2, Age: 4*time.Second + 2*resolution}}})
	assert.Assert(t, h.Number() > learned)
}
