package chain

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

func appendEntries(w *Writer, entries int) {
	for i := range entries {
		w.Append(Entry{Kind: KindDecision, AtUnixMilli: int64(i), Limit: 0.1})
	}
}

// Guards against entries that are lost, repeated or out of order after any sequence of appends, batches and
// acknowledgements, and against a chain that is broken after encoding and decoding.
func TestBatchesContinueTheChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		writer := New("h", 1, DefaultLimits())
		var stored Link
		appended := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			more := rapid.IntRange(0, 4).Draw(t, "append")
			appendEntries(writer, more)
			appended += more
			data, err := codec.Marshal(writer.Batch(rapid.IntRange(0, 5).Draw(t, "limit")))
			assert.NilError(t, err)
			var batch Batch
			assert.NilError(t, codec.Unmarshal(data, &batch))
			assert.Equal(t, batch.AcknowledgedThrough, stored.Sequence)
			end, err := VerifyLink(stored, batch)
			assert.NilError(t, err)
			if rapid.Bool().Draw(t, "reply arrives") {
				stored = end
				writer.Acknowledge(end.Sequence)
			}
		}
		assert.Equal(t, writer.BufferLevel().Entries, appended-int(stored.Sequence))
		writer.Acknowledge(uint64(appended) + 1)
		assert.Equal(t, writer.BufferLevel().Entries, appended-int(stored.Sequence))
	})
}

// Guards against a broken chain that VerifyLink accepts, or whose first wrong entry it reports wrongly.
func TestVerifyLinkFindsEveryBreak(t *testing.T) {
	for _, test := range []struct {
		name   string
		at     uint64
		change func(*Batch)
	}{
		{"edit", 2, func(b *Batch) { b.Entries[1].Reason = "x" }},
		{"removal", 3, func(b *Batch) { b.Entries = append(b.Entries[:1], b.Entries[2:]...) }},
		{"missing start", 2, func(b *Batch) { b.Entries = b.Entries[1:] }},
		{"order", 2, func(b *Batch) { b.Entries[0], b.Entries[1] = b.Entries[1], b.Entries[0] }},
		{"skipped number", 9, func(b *Batch) {
			b.Entries[2].Sequence = 9
			b.Entries[2].Hash, _ = b.Entries[2].ComputeHash()
		}},
		{"other host", 1, func(b *Batch) { b.Host = "other" }},
		{"other incarnation", 1, func(b *Batch) { b.Incarnation = 2 }},
		{"hash recomputed after an edit", 3, func(b *Batch) {
			b.Entries[1].Reason = "x"
			b.Entries[1].Hash, _ = b.Entries[1].ComputeHash()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			writer := New("h", 1, DefaultLimits())
			appendEntries(writer, 3)
			batch := writer.Batch(3)
			test.change(&batch)
			_, err := VerifyLink(Link{}, batch)
			assert.Assert(t, errorx.IsOfType(err, Broken))
			at, _ := errorx.ExtractProperty(err, BrokenAt)
			assert.Equal(t, at, test.at)
		})
	}
}

// Guards against a full buffer that Admit doesn't report, or that drops the attempts and final answers of admitted requests.
func TestFullBufferIsAnnouncedAndDropsNothing(t *testing.T) {
	for _, limits := range []Limits{{Entries: 3, Bytes: 1 << 20}, {Entries: 100, Bytes: 3 * 100}} {
		writer := New("h", 1, limits)
		assert.NilError(t, writer.Admit())
		appendEntries(writer, 3)
		assert.Assert(t, errorx.IsOfType(writer.Admit(), fault.Overloaded))
		appendEntries(writer, 2)
		assert.Equal(t, len(writer.Batch(9).Entries), 5)
		writer.Acknowledge(4)
		assert.NilError(t, writer.Admit())
	}
}

// Guards against batches that are too large for a frame.
func TestBatchStaysWithinAFrame(t *testing.T) {
	writer := New("h", 1, DefaultLimits())
	for range 3 {
		writer.Append(Entry{Reason: string(make([]byte, maxBatchBytes/2))})
	}
	assert.Equal(t, len(writer.Batch(9).Entries), 1)
}
