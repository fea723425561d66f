package usage

import "encoding/binary"

// shortKey identifies a customer in short messages. Control hosts know all customers with limits, and so which of them share a short key; these have
// full keys in messages.
type shortKey uint32

func (k Key) short() shortKey {
	return shortKey(uint32(k)) //nolint:gosec // the lower half of the hash
}

// shortKeyBytes is the size of a short key.
const shortKeyBytes = 4

// shortAmount is an Amount with a short key.
type shortAmount struct {
	customer         shortKey
	admitted, others int64
}

// shortLevel is a Level with a short key.
type shortLevel struct {
	customer          shortKey
	level             int64
	offered, admitted uint64
}

// shortReport is the content of Report.Short: how many reports are unacknowledged, and amounts.
type shortReport struct {
	unacknowledged uint64
	amounts        []shortAmount
}

// shortLevels is the content of Levels.Short: Levels.Known, and levels.
type shortLevels struct {
	known  bool
	levels []shortLevel
}

func appendShortAmount(b []byte, a Amount) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(a.Customer.short()))
	b = binary.AppendVarint(b, a.Admitted)
	return binary.AppendVarint(b, a.Others)
}

// appendShortLevel leaves the rates out if the bucket is nearly full.
func appendShortLevel(b []byte, l Level) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(l.Customer.short()))
	b = binary.AppendVarint(b, l.Level)
	if l.Level == fullLevel {
		return b
	}
	b = binary.AppendUvarint(b, l.Offered)
	return binary.AppendUvarint(b, l.Admitted)
}

// decodeShortReport returns false for data that isn't a short report.
func decodeShortReport(data []byte) (shortReport, bool) {
	r := shortReader{data: data}
	decoded := shortReport{unacknowledged: r.uvarint()}
	for len(r.data) > 0 {
		decoded.amounts = append(decoded.amounts, shortAmount{customer: r.key(), admitted: r.varint(), others: r.varint()})
	}
	return decoded, !r.invalid
}

// decodeShortLevels returns false for data that isn't an answer to a short report.
func decodeShortLevels(data []byte) (shortLevels, bool) {
	r := shortReader{data: data}
	decoded := shortLevels{known: r.uvarint() != 0}
	for len(r.data) > 0 {
		l := shortLevel{customer: r.key(), level: r.varint()}
		if l.level != fullLevel {
			l.offered, l.admitted = r.uvarint(), r.uvarint()
		}
		decoded.levels = append(decoded.levels, l)
	}
	return decoded, !r.invalid
}

// shortReader reads values one after the other. After invalid data it has no data any more.
type shortReader struct {
	data    []byte
	invalid bool
}

func (r *shortReader) key() shortKey {
	if len(r.data) < shortKeyBytes {
		r.data, r.invalid = nil, true
		return 0
	}
	key := binary.BigEndian.Uint32(r.data)
	r.data = r.data[shortKeyBytes:]
	return shortKey(key)
}

func (r *shortReader) varint() int64 {
	v, n := binary.Varint(r.data)
	r.skip(n)
	return v
}

func (r *shortReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	r.skip(n)
	return v
}

func (r *shortReader) skip(n int) {
	if n <= 0 {
		r.data, r.invalid = nil, true
		return
	}
	r.data = r.data[n:]
}
