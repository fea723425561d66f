package shipper

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/chain"
)

// Guards against entries that are dropped from the buffer before a majority of the archives has synced them.
func TestShipAcknowledgesOnlyWhatAMajorityHasSynced(t *testing.T) {
	tests := []struct {
		name     string
		receipts map[unit.HostName]uint64 // archives that aren't listed can't be reached
		want     uint64
	}{
		{"all", map[unit.HostName]uint64{"a": 3, "b": 3, "c": 3}, 3},
		{"one unreachable", map[unit.HostName]uint64{"a": 3, "b": 3}, 3},
		{"one behind", map[unit.HostName]uint64{"a": 3, "b": 1}, 1},
		{"only one", map[unit.HostName]uint64{"a": 3}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			writer := chain.New("entry-1", 1, chain.DefaultLimits())
			for range 3 {
				writer.Append(chain.Entry{Kind: chain.KindDecision})
			}
			send := func(_ context.Context, to unit.HostName, _ []byte) ([]byte, error) {
				through, ok := test.receipts[to]
				if !ok {
					return nil, fault.Unreachable.New("%s is down", to)
				}
				return codec.Marshal(Receipt{Through: through})
			}
			s := New("entry-1", writer, []unit.HostName{"a", "b", "c"}, send, 1)
			s.shipBatch(t.Context(), writer.Batch(10))
			batch := writer.Batch(10)
			assert.Equal(t, batch.AcknowledgedThrough, test.want)
			assert.Equal(t, len(batch.Entries), 3-int(test.want))
		})
	}
}

// Guards against a batch that is sent to all archives although a majority suffices, and against one that isn't sent to the
// third archive when one of the first two is down.
func TestShipSendsToABareMajority(t *testing.T) {
	for _, test := range []struct {
		down unit.HostName
		want int
	}{{"", 2}, {"a", 2}, {"b", 2}, {"c", 2}} {
		writer := chain.New("entry-1", 1, chain.DefaultLimits())
		writer.Append(chain.Entry{Kind: chain.KindDecision})
		var mu sync.Mutex
		stored := map[unit.HostName]bool{}
		send := func(_ context.Context, to unit.HostName, payload []byte) ([]byte, error) {
			if to == test.down {
				return nil, fault.Unreachable.New("%s is down", to)
			}
			batch, err := Unpack(payload)
			assert.NilError(t, err)
			mu.Lock()
			defer mu.Unlock()
			stored[to] = true
			return codec.Marshal(Receipt{Through: batch.Entries[0].Sequence})
		}
		s := New("entry-1", writer, []unit.HostName{"a", "b", "c"}, send, 1)
		assert.Assert(t, s.shipBatch(t.Context(), writer.Batch(1)))
		assert.Equal(t, len(stored), test.want, "down: %q", test.down)
	}
}

// Guards against a payload from a peer that crashes an archive or exhausts its memory.
func FuzzUnpack(f *testing.F) {
	good, err := Pack(chain.Batch{Host: "entry-1", Incarnation: 1, Entries: []chain.Entry{{Sequence: 1}}})
	assert.NilError(f, err)
	f.Add(good)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Unpack(data)
	})
}
