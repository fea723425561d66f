package shape_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/measure/shape"
)

var text = shape.Text{BytesPerToken: 1, PieceTokens: 2000}

func requests(t *testing.T, s shape.Shape, seed uint64, count int) []shape.Request {
	t.Helper()
	w := shape.New(s, seed, 100, text)
	var list []shape.Request
	for range count {
		r, err := w.Next()
		assert.NilError(t, err)
		list = append(list, r)
	}
	return list
}

// Guards against a workload that differs between runs with the same seed: a baseline and the variant that is compared with it
// would get different requests.
func TestWorkloadFollowsFromItsSeed(t *testing.T) {
	for _, s := range shape.Shapes {
		first, again := requests(t, s, 7, 300), requests(t, s, 7, 300)
		for i := range first {
			assert.Assert(t, string(first[i].Body) == string(again[i].Body) && first[i].At == again[i].At && first[i].NewTokens == again[i].NewTokens)
		}
		assert.Assert(t, string(requests(t, s, 7, 1)[0].Body) != string(requests(t, s, 8, 1)[0].Body))
	}
}

// Guards against poisoned messages that stand last, where no other request shares them, and against other requests that change with them.
func TestPoisonedMessagesAreAddedToAShareOfTheChatRequests(t *testing.T) {
	workload := func() *shape.Workload {
		return shape.New(shape.Shapes[0], 7, 100, shape.Text{BytesPerToken: 4, PieceTokens: 2000})
	}
	plain, poisoned := workload(), workload()
	poisoned.AddPoison("poisoned", 0.3)
	chats, added := 0, 0
	for range 500 {
		want, err := plain.Next()
		assert.NilError(t, err)
		got, err := poisoned.Next()
		assert.NilError(t, err)
		if want.Call.Model && want.Call.Chat {
			chats++
		}
		if !got.Poisoned {
			assert.Equal(t, string(got.Body), string(want.Body))
			continue
		}
		added++
		last := len(got.Messages) - 1
		assert.DeepEqual(t, slices.Delete(slices.Clone(got.Messages), last-1, last), want.Messages)
		assert.Equal(t, got.Messages[last-1].Content, "poisoned")
	}
	assert.Assert(t, chats > 100 && added > chats/5 && added < chats/2, "%d of %d", added, chats)
}

// Guards against shares that don't add up to 1: the remaining requests would all go to the first customer or call.
func TestSharesOfAShapeAddUpToOne(t *testing.T) {
	for _, s := range shape.Shapes {
		customers, calls := 0.0, 0.0
		for _, c := range s.Customers {
			customers += c.Share
		}
		for _, c := range s.Calls {
			calls += c.Share
		}
		assert.Assert(t, math.Abs(customers-1) < 1e-9 && math.Abs(calls-1) < 1e-9, "%s: %g, %g", s.Name, customers, calls)
	}
}

// Guards against a popularity order that doesn't change: the most popular subject must differ from one hour to the next.
func TestPopularPrefixesChangeEachHour(t *testing.T) {
	for _, s := range shape.Shapes {
		s.Hour = 15 * time.Second
		popular := map[int]map[string]int{}
		for _, r := range requests(t, s, 3, 3000) {
			if r.Call.Chat && r.Customer == s.Customers[0].ID {
				hour := int(r.At / s.Hour)
				if popular[hour] == nil {
					popular[hour] = map[string]int{}
				}
				popular[hour][r.Messages[1].Content]++
			}
		}
		assert.Assert(t, mostFrequent(popular[0]) != mostFrequent(popular[1]), s.Name)
	}
}

// Guards against a wrong upper bound of the hit rate: if preamble and subject were sent before, only the last, partial piece
// of a prompt counts as new tokens.
func TestNewTokensAreThoseThatNoCacheCanHold(t *testing.T) {
	seen := map[string]bool{}
	for _, r := range requests(t, shape.Shapes[0], 1, 500) {
		if !r.Call.Model {
			continue
		}
		partial := r.PromptTokens % text.PieceTokens
		if r.Call.Chat && seen[r.Messages[0].Content+r.Messages[1].Content] {
			// The question may also complete a piece that no earlier prompt contains.
			assert.Assert(t, r.NewTokens == partial || r.NewTokens == partial+text.PieceTokens, "%d of %d", r.NewTokens, r.PromptTokens)
		}
		assert.Assert(t, r.NewTokens >= partial && r.NewTokens <= r.PromptTokens)
		if r.Call.Chat {
			seen[r.Messages[0].Content+r.Messages[1].Content] = true
		}
	}
	assert.Assert(t, len(seen) > 50)
}

func mostFrequent(counts map[string]int) string {
	best, highest := "", 0
	for text, count := range counts {
		if count > highest {
			best, highest = text, count
		}
	}
	return best
}
