package codec

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

type sample struct {
	Name  string            `cbor:"name"`
	Pairs map[string]uint64 `cbor:"pairs"`
}

// Guards against encodings that depend on the iteration order of maps, which would make the replicas of a log differ.
func TestMarshalIsDeterministic(t *testing.T) {
	value := sample{Name: "a", Pairs: map[string]uint64{"x": 1, "y": 2, "z": 3}}
	first, err := Marshal(value)
	assert.NilError(t, err)
	for range 20 {
		again, err := Marshal(value)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, first)
	}
}

// Guards against a text from outside that can be encoded but makes the whole message unreadable.
func TestTextThatIsNotUTF8ComesBack(t *testing.T) {
	value := sample{Name: "\xff\xfe", Pairs: map[string]uint64{"\xc3": 1}}
	data, err := Marshal(value)
	assert.NilError(t, err)
	var again sample
	assert.NilError(t, Unmarshal(data, &again))
	assert.DeepEqual(t, again, value)
}

// Guards against invalid data that crashes the decoder or gives an error without a fault type.
func FuzzUnmarshal(f *testing.F) {
	good, err := Marshal(sample{Name: "a"})
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var value sample
		if err := Unmarshal(data, &value); err != nil {
			assert.Assert(t, errorx.IsOfType(err, fault.BadPeer))
		}
	})
}
