package cachedparts

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a reader whose state differs from the source's, whatever changes are made and whenever updates are
// read.
func TestReadersAgreeWithTheSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, reader := New(), New()
		read := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			change := Change{
				Place:   Place(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "place")),
				Cleared: rapid.IntRange(0, 9).Draw(t, "clear") == 0,
			}
			for range rapid.IntRange(0, 4).Draw(t, "parts") {
				part := Part(rapid.Uint64Range(1, 5).Draw(t, "part"))
				if rapid.Bool().Draw(t, "add") {
					change.Added = append(change.Added, part)
				} else {
					change.Removed = append(change.Removed, part)
				}
			}
			source.Apply([]Change{change})
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				source.Forget("a")
			}
			if rapid.Bool().Draw(t, "reads") {
				update := source.ChangesSince(read)
				reader.Merge(update)
				read = update.Number
			}
		}
		reader.Merge(source.ChangesSince(read))
		for _, place := range []Place{"a", "b"} {
			assert.Equal(t, reader.Known(place), source.Known(place), "%s", place)
			for part := Part(1); part <= 5; part++ {
				assert.Equal(t, reader.Holds(place, part), source.Holds(place, part), "%s %d", place, part)
			}
		}
	})
}

// Guards against a reader that lags further behind than the log reaches and misses some changes.
func TestAReaderThatLagsGetsEverything(t *testing.T) {
	source := New()
	source.Apply([]Change{{Place: "a", Added: []Part{1}}})
	number := source.ChangesSince(0).Number
	for i := range 3 * maxLogEntries {
		source.Apply([]Change{{Place: "b", Added: []Part{Part(i)}}})
	}
	update := source.ChangesSince(number)
	assert.Assert(t, update.Full, fmt.Sprint(len(update.Changes)))
}
