// Package codec encodes messages and stored records as deterministic CBOR and decodes them with limits on depth and size.
package codec

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 17
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// Marshal returns the deterministic CBOR encoding of value: equal values are encoded as equal bytes on every host.
func Marshal(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot encode %T", value)
	}
	return data, nil
}

// Unmarshal decodes data into value. Unknown fields are ignored, so that an older version can read a newer message. Data that
// isn't valid, exceeds the limits or doesn't fit value fails with fault.BadPeer.
func Unmarshal(data []byte, value any) error {
	if err := decoder.Unmarshal(data, value); err != nil {
		return fault.BadPeer.Wrap(err, "cannot decode %d bytes as %T", len(data), value)
	}
	return nil
}

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		// The encoder doesn't check text, and one bad name from outside must not make a whole message unreadable.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
