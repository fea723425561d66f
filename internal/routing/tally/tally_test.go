package tally

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// Guards against a receiver that decodes a different load than the one that was sent.
func TestPackedLoadsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := EndpointLoads{}
		for range rapid.IntRange(0, 50).Draw(t, "endpoints") {
			sent[registry.Index(rapid.Uint32Range(1, 5_000).Draw(t, "index"))] = assign.Load{
				Requests: rapid.IntRange(0, 500).Draw(t, "requests"), Tokens: unit.Tokens(rapid.IntRange(0, 200_000).Draw(t, "tokens")),
				PendingPrefill: unit.Tokens(rapid.IntRange(0, 200_000).Draw(t, "unread")), ReachableBy: rapid.IntRange(0, 300).Draw(t, "heard"),
				UnreachableBy: rapid.IntRange(0, 300).Draw(t, "unheard"), Long: rapid.IntRange(0, 30).Draw(t, "long"),
			}
		}
		read, err := Unpack(sent.Pack())
		assert.NilError(t, err)
		assert.Equal(t, len(read), len(sent))
		for index, load := range sent {
			got := read[index]
			assert.Assert(t, got.Tokens >= load.Tokens && got.Tokens < load.Tokens+tokenStep)
			assert.Assert(t, got.PendingPrefill >= load.PendingPrefill && got.PendingPrefill < load.PendingPrefill+tokenStep)
			got.Tokens, got.PendingPrefill = load.Tokens, load.PendingPrefill
			assert.Equal(t, got, load)
		}
	})
}

// Guards against control traffic to a host that exceeds its budget: the target is 28 KB/s for all control traffic, with
// loads sent four times a second for 600 replicas.
func TestALoadTakesFewBytes(t *testing.T) {
	const endpoints, perSecond, budget = 600, 4, 28_000
	sent := EndpointLoads{}
	for i := range endpoints {
		sent[registry.Index(i+1)] = assign.Load{Requests: 12, Tokens: 80_000, PendingPrefill: 9_000, Long: 3, ReachableBy: 40}
	}
	size := len(sent.Pack())
	t.Logf("%d bytes for %d endpoints", size, endpoints)
	assert.Assert(t, size*perSecond <= budget)
}

func FuzzUnpack(f *testing.F) {
	f.Add(EndpointLoads{3: {Requests: 2, Tokens: 900}}.Pack())
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := Unpack(data)
		if err != nil {
			return
		}
		again, err := Unpack(read.Pack())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, read)
	})
}
