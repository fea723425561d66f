// Package tally encodes the load of many endpoints in few bytes. Every host receives it several times a second, so
// endpoints are identified by their indexes in the sender's registry and numbers of tokens are rounded.
package tally

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

const (
	// tokenStep is the unit to which the token counts for memory and unread prompts are rounded up.
	tokenStep = 64
	// maxEntries limits the entries in a message from another host. It is 20 times the number of replicas in the
	// largest installation.
	maxEntries = 12_000
	// maxValue limits the value of each field of an entry.
	maxValue = 1 << 40
)

// EndpointLoads is the load at each endpoint.
type EndpointLoads map[registry.Index]assign.Load

// Add adds other to t.
func (t EndpointLoads) Add(other EndpointLoads) {
	for index, load := range other {
		t[index] = t[index].Add(load)
	}
}

// Pack returns the encoded tally: for each endpoint, the difference to the previous endpoint's index and the fields of
// its load, as variable-length numbers.
func (t EndpointLoads) Pack() []byte {
	packed := make([]byte, 0, 8*len(t))
	last := registry.Index(0)
	for _, index := range slices.Sorted(maps.Keys(t)) {
		load := t[index]
		packed = binary.AppendUvarint(packed, uint64(index-last))
		for _, field := range []int64{
			int64(load.Requests), tokenSteps(load.Tokens), tokenSteps(load.PendingPrefill), int64(load.Long), int64(load.ReachableBy), int64(load.UnreachableBy),
		} {
			packed = binary.AppendUvarint(packed, uint64(max(field, 0)))
		}
		last = index
	}
	return packed
}

func tokenSteps(tokens unit.Tokens) int64 {
	return (int64(tokens) + tokenStep - 1) / tokenStep
}

// Unpack decodes an encoded tally. It fails with fault.BadPeer.
func Unpack(packed []byte) (EndpointLoads, error) {
	t := EndpointLoads{}
	last := uint64(0)
	for len(packed) > 0 {
		var fields [7]uint64
		for i := range fields {
			value, size := binary.Uvarint(packed)
			if size <= 0 || value > maxValue {
				return nil, fault.BadPeer.New("tally entry %d can't be decoded", len(t))
			}
			fields[i], packed = value, packed[size:]
		}
		last += fields[0]
		if fields[0] == 0 || last > uint64(^registry.Index(0)) || len(t) == maxEntries {
			return nil, fault.BadPeer.New("tally entry %d has an invalid index", len(t))
		}
		t[registry.Index(last)] = assign.Load{
			Requests: int(fields[1]), Tokens: unit.Tokens(fields[2] * tokenStep), PendingPrefill: unit.Tokens(fields[3] * tokenStep),
			Long: int(fields[4]), ReachableBy: int(fields[5]), UnreachableBy: int(fields[6]),
		}
	}
	return t, nil
}
