package tally

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// Guards against a receiver that decodes other urgent loads than those that were sent, and against a change of the encoding of whole
// loads, which the previous build reads.
func TestUrgentLoadsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent, plain := EndpointLoads{}, EndpointLoads{}
		for range rapid.IntRange(0, 50).Draw(t, "endpoints") {
			index := registry.Index(rapid.Uint32Range(1, 5_000).Draw(t, "index"))
			load := assign.Load{Requests: rapid.IntRange(0, 50).Draw(t, "requests")}
			plain[index] = load
			for class := range rapid.IntRange(0, len(load.Urgent)).Draw(t, "classes") {
				load.Urgent[class] = assign.ClassLoad{
					Requests: rapid.IntRange(0, 30).Draw(t, "urgent"), Tokens: unit.Tokens(tokenStep * rapid.IntRange(0, 900).Draw(t, "tokens")),
					PendingPrefill: unit.Tokens(tokenStep * rapid.IntRange(0, 900).Draw(t, "unread")),
				}
			}
			sent[index] = load
		}
		assert.DeepEqual(t, sent.Pack(), plain.Pack())
		read, err := Unpack(sent.Pack())
		assert.NilError(t, err)
		assert.NilError(t, read.UnpackUrgent(sent.PackUrgent()))
		assert.DeepEqual(t, read, sent)
	})
}

// Guards against hosts of the previous build, which don't tell how urgent their requests are, whose load urgent requests then ignore.
func TestLoadsOfEarlierBuildsCountAsUrgent(t *testing.T) {
	loads := EndpointLoads{3: {Requests: 2, Tokens: 640, PendingPrefill: 64}}
	assert.NilError(t, loads.UnpackUrgent(nil))
	assert.Equal(t, loads[3].Urgent[0], assign.ClassLoad{Requests: 2, Tokens: 640, PendingPrefill: 64})
	assert.NilError(t, loads.UnpackUrgent(EndpointLoads{}.PackUrgent()))
}

func FuzzUnpackUrgent(f *testing.F) {
	f.Add([]byte{1, 3, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		loads := EndpointLoads{3: {Requests: 2, Tokens: 900}}
		if loads.UnpackUrgent(data) == nil {
			again := EndpointLoads{3: {Requests: 2, Tokens: 900}}
			assert.NilError(t, again.UnpackUrgent(loads.PackUrgent()))
			assert.DeepEqual(t, again, loads)
		}
	})
}

// Guards against urgent loads that take more than half of the 28 KB/s of control traffic of a host, in the largest installation with two
// classes.
func TestAnUrgentLoadTakesFewBytes(t *testing.T) {
	const endpoints, perSecond, budget = 600, 4, 28_000 / 2
	sent := EndpointLoads{}
	for i := range endpoints {
		load := assign.Load{Requests: 12, Tokens: 80_000, PendingPrefill: 9_000}
		load.Urgent[0] = assign.ClassLoad{Requests: 5, Tokens: 4_400, PendingPrefill: 800}
		sent[registry.Index(i+1)] = load
	}
	size := len(sent.PackUrgent())
	t.Logf("%d bytes for %d endpoints", size, endpoints)
	assert.Assert(t, size*perSecond <= budget)
}
