package prefix

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func prompt(messages ...string) Prompt {
	return Prompt{Customer: "vereniging", Model: "taalmodel", Weights: "w1", Messages: messages}
}

// Guards against reusing the cache of another customer, another model or older weights (requirement P1), and against
// two splits of the same bytes into messages that get the same digests.
func TestDigestsAreIsolated(t *testing.T) {
	text := strings.Repeat("x", 64)
	reference := prompt(text, "a")
	cases := []struct {
		name   string
		change func(p *Prompt)
	}{
		{"customer", func(p *Prompt) { p.Customer = "other" }},
		{"model", func(p *Prompt) { p.Model = "other" }},
		{"weights", func(p *Prompt) { p.Weights = "w2" }},
		{"customer runs into model", func(p *Prompt) { p.Customer, p.Model = "vereniging-t", "aalmodel" }},
		{"model runs into weights", func(p *Prompt) { p.Model, p.Weights = "taalmodelw", "1" }},
		{"text", func(p *Prompt) { p.Messages = []string{"y" + text[1:], "a"} }},
		{"message boundary", func(p *Prompt) { p.Messages = []string{text[:10], text[10:], "a"} }},
	}
	want := New(reference, 4, 4)
	assert.Equal(t, len(want.Digests), 4)
	for _, c := range cases {
		p := reference
		c.change(&p)
		for _, digest := range New(p, 4, 4).Digests {
			assert.Assert(t, !slices.Contains(want.Digests, digest), c.name)
		}
	}
}

// Guards against levels that don't end at whole pieces: prompts with the same system prompt would have unrelated homes.
func TestLevelsEndAtWholePieces(t *testing.T) {
	piece := strings.Repeat("p", 16)
	cases := []struct {
		name     string
		messages []string
		levels   []Level
		digests  int
	}{
		{"nothing", nil, nil, 0},
		{"partial piece", []string{piece[1:]}, nil, 0},
		{"exact", []string{piece}, []Level{{1}}, 1},
		{"rounded down", []string{piece + "12", piece + "34", "5"}, []Level{{1}, {2}}, 2},
		{"level without a piece of its own", []string{piece, "1", "2", piece}, []Level{{1}, {2}}, 2},
		{"three levels", []string{piece + piece, piece, piece}, []Level{{2}, {3}, {4}}, 4},
	}
	for _, c := range cases {
		chain := New(prompt(c.messages...), 4, 4)
		assert.DeepEqual(t, chain.Levels, c.levels)
		assert.Equal(t, len(chain.Digests), c.digests, c.name)
	}
}

// Guards against digests that depend on the text after a piece: prompts with a common prefix would share no pieces.
func TestNestedPromptsShareDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := rapid.StringMatching(`[ab ]{0,40}`)
		outer := rapid.SliceOfN(message, 0, 4).Draw(t, "outer")
		more := rapid.SliceOfN(message, 0, 3).Draw(t, "more")
		short := New(prompt(outer...), 2, 3)
		long := New(prompt(append(slices.Clone(outer), more...)...), 2, 3)
		assert.Assert(t, len(short.Digests) <= len(long.Digests))
		assert.DeepEqual(t, short.Digests, long.Digests[:len(short.Digests)])
		if n := len(short.Levels); n > 0 {
			assert.DeepEqual(t, short.Levels, long.Levels[:n])
			assert.Equal(t, short.Levels[n-1].Pieces, len(short.Digests))
		}
	})
}

// Guards against a crashing request that evades its quarantine with different white space or after a rollout.
func TestContentCoversTheMeaning(t *testing.T) {
	want := ContentDigest(prompt("user: a  b\n", "c"))
	folded := prompt(" user:\ta b", "c ")
	folded.Weights = "w2"
	assert.Equal(t, ContentDigest(folded), want)
	for _, other := range []Prompt{prompt("user: a b c"), prompt("user: ab", "c"), prompt("user: a", "b c")} {
		assert.Assert(t, ContentDigest(other) != want)
	}
	// Unicode white space is folded too, and long messages aren't truncated.
	wide := strings.Repeat("lot\u00a0\u2003éé\u0085", 2000)
	narrow := strings.Repeat("lot éé ", 2000)
	assert.Equal(t, ContentDigest(prompt(wide)), ContentDigest(prompt(narrow)))
	assert.Assert(t, ContentDigest(prompt(narrow+"x")) != ContentDigest(prompt(narrow)))
	assert.Assert(t, ContentDigest(prompt("x"+narrow)) != ContentDigest(prompt("y"+narrow)))
	foreign := prompt("user: a b", "c")
	foreign.Customer = "other"
	assert.Assert(t, ContentDigest(foreign) != want)
}

// BenchmarkNew hashes a prompt of 40 pieces, 320 kB, in three messages.
func BenchmarkNew(b *testing.B) {
	word := "stave "
	p := prompt(strings.Repeat(word, 160_000/6), strings.Repeat(word, 150_000/6), strings.Repeat(word, 10_000/6))
	b.ReportAllocs()
	for b.Loop() {
		New(p, DefaultPieceTokens, DefaultBytesPerToken)
	}
}
