// Package tally packs what hosts have in hand at many endpoints into few bytes. Every host gets it several times a second, so that
// endpoints are named by the indexes of the sender's registry and tokens are rounded.
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
	// tokenStep is the number of tokens to which memory and unread prompts are rounded up.
	tokenStep = 64
	// mostEntries bounds what a foreign message may hold, 20 times the replicas of the largest installation.
	mostEntries = 12_000
	// mostValue bounds a field of an entry.
	mostValue = 1 << 40
)

// Tally is what is in hand at each endpoint.
type Tally map[registry.Index]assign.Load

// Add adds other to t.
func (t Tally) Add(other Tally) {
	for index, load := range other {
		t[index] = t[index].Add(load)
	}
}

// Pack returns the encoded tally: for each endpoint the distance to the index before it and its fields, as variable-length numbers.
func (t Tally) Pack() []byte {
	packed := make([]byte, 0, 8*len(t))
	last := registry.Index(0)
	for _, index := range slices.Sorted(maps.Keys(t)) {
		load := t[index]
		packed = binary.AppendUvarint(packed, uint64(index-last))
		for _, field := range []int64{
			int64(load.Requests), steps(load.Tokens), steps(load.Unread), int64(load.Long), int64(load.Heard), int64(load.Unheard),
		} {
			packed = binary.AppendUvarint(packed, uint64(max(field, 0)))
		}
		last = index
	}
	return packed
}

func steps(tokens unit.Tokens) int64 {
	return (int64(tokens) + tokenStep - 1) / tokenStep
}

// Unpack reads an encoded tally. It fails with fault.BadPeer.
func Unpack(packed []byte) (Tally, error) {
	t := Tally{}
	last := uint64(0)
	for len(packed) > 0 {
		var fields [7]uint64
		for i := range fields {
			value, size := binary.Uvarint(packed)
			if size <= 0 || value > mostValue {
				return nil, fault.BadPeer.New("entry %d of a tally can't be read", len(t))
			}
			fields[i], packed = value, packed[size:]
		}
		last += fields[0]
		if fields[0] == 0 || last > uint64(^registry.Index(0)) || len(t) == mostEntries {
			return nil, fault.BadPeer.New("entry %d of a tally has a wrong index", len(t))
		}
		t[registry.Index(last)] = assign.Load{
			Requests: int(fields[1]), Tokens: unit.Tokens(fields[2] * tokenStep), Unread: unit.Tokens(fields[3] * tokenStep),
			Long: int(fields[4]), Heard: int(fields[5]), Unheard: int(fields[6]),
		}
	}
	return t, nil
}
