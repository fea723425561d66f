package stream

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/fault"
)

func token(attempt, index int, text string) Chunk {
	return Chunk{Attempt: attempt, Index: index, Indexed: true, Text: []byte(text)}
}

func last(attempt, index int, text string) Chunk {
	c := token(attempt, index, text)
	c.Finish = "stop"
	return c
}

// Guards against tokens that are lost, repeated or reordered when attempts break off, overlap or arrive late: in every case the
// caller must get the plain concatenation of the tokens.
func TestMergedAttemptsEqualPlainConcatenation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "één ", "🛢", "b c"}), 1, 30).Draw(t, "tokens")
		m := New(0)
		var got strings.Builder
		finishes, attempt := 0, 0
		add := func(index, attempt int) {
			c := token(attempt, index, tokens[index])
			if index == len(tokens)-1 {
				c.Finish = "stop"
			}
			forward, err := m.Add(c)
			assert.NilError(t, err)
			if forward {
				got.Write(c.Text)
				finishes += len(c.Finish) / len("stop")
			}
		}
		for !m.Finished() {
			attempt++
			assert.NilError(t, m.Begin(attempt))
			point, ok := m.Resume()
			assert.Assert(t, ok)
			assert.Equal(t, string(point.Text), strings.Join(tokens[:point.Token], ""))
			from := rapid.IntRange(0, point.Token).Draw(t, "from") // an engine may repeat delivered tokens
			until := rapid.IntRange(from, len(tokens)).Draw(t, "until")
			for index := from; index < until; index++ {
				add(index, attempt)
				if rapid.Bool().Draw(t, "late") {
					late := rapid.IntRange(0, len(tokens)-1).Draw(t, "late token")
					add(late, rapid.IntRange(0, attempt-1).Draw(t, "late attempt"))
				}
				if rapid.Bool().Draw(t, "duplicate") {
					add(rapid.IntRange(from, index).Draw(t, "duplicate token"), attempt)
				}
			}
			assert.Equal(t, m.End(attempt) == nil, m.Finished())
		}
		assert.Equal(t, got.String(), strings.Join(tokens, ""))
		assert.Equal(t, finishes, 1)
	})
}

// Guards against streams that continue after a gap, with the text of another answer, or past their end, and against an end
// without a finish reason that looks complete.
func TestChunksThatDoNotContinueTheAnswerFail(t *testing.T) {
	unindexed := Chunk{Attempt: 2, Text: []byte("x")}
	cases := []struct {
		name  string
		chunk Chunk
	}{
		{"gap", token(2, 3, "c")},
		{"negative index", token(2, -1, "c")},
		{"repeated token with another text", token(2, 1, "B")},
		{"repeated token with an end", last(2, 1, "b")},
		{"text without index", unindexed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMergerAtSecondAttempt(t)
			forward, err := m.Add(c.chunk)
			assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%v", err)
			assert.Assert(t, !forward)
			point, ok := m.Resume()
			assert.Assert(t, ok)
			assert.DeepEqual(t, point, ResumePoint{Token: 2, Text: []byte("ab")})
		})
	}
	m := newMergerAtSecondAttempt(t)
	assert.Assert(t, errorx.IsOfType(m.End(2), fault.BrokenAnswer))
	assert.NilError(t, m.End(1), "a late end of an earlier attempt")
	_, err := m.Add(last(2, 2, "c"))
	assert.NilError(t, err)
	_, err = m.Add(token(2, 3, "d"))
	assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer))
	assert.NilError(t, m.End(2))
	assert.Assert(t, m.Begin(2) != nil, "an attempt number used twice")
}

// newMergerAtSecondAttempt returns a merger that has delivered "a" and "b" in attempt 1 and has begun attempt 2.
func newMergerAtSecondAttempt(t *testing.T) *Merger {
	t.Helper()
	m := New(0)
	assert.NilError(t, m.Begin(1))
	for _, c := range []Chunk{token(1, 0, "a"), token(1, 1, "b")} {
		forward, err := m.Add(c)
		assert.NilError(t, err)
		assert.Assert(t, forward)
	}
	assert.NilError(t, m.Begin(2))
	return m
}

// Guards against resuming an answer that can't be continued: it is finished, longer than the kept text, or contains more than
// text.
func TestAnswersThatCannotBeResumed(t *testing.T) {
	opaque := token(1, 0, "")
	opaque.Opaque = true
	for _, c := range []Chunk{last(1, 0, "a"), token(1, 0, "abcdef"), opaque} {
		m := New(5)
		assert.NilError(t, m.Begin(1))
		forward, err := m.Add(c)
		assert.NilError(t, err)
		assert.Assert(t, forward)
		_, ok := m.Resume()
		assert.Assert(t, !ok)
	}
}

// Guards against usage events that are lost at the end of an answer or inserted between its tokens.
func TestEventsWithoutTokenStayAtTheEnds(t *testing.T) {
	m := New(0)
	assert.NilError(t, m.Begin(1))
	steps := []struct {
		chunk   Chunk
		forward bool
	}{
		{Chunk{Attempt: 1}, true},
		{token(1, 0, "a"), true},
		{Chunk{Attempt: 1}, false},
		{last(1, 1, "b"), true},
		{Chunk{Attempt: 1}, true},
		{Chunk{Attempt: 0}, false},
	}
	for i, step := range steps {
		forward, err := m.Add(step.chunk)
		assert.NilError(t, err)
		assert.Equal(t, forward, step.forward, "step %d", i)
	}
}
