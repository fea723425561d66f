package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// headerBytes is the size of the magic number (4), payload length (4), sequence number (8) and checksum (4).
	headerBytes     = 20
	maxPayloadBytes = 64 << 20
	// targetRecordBytes is the size of pending entries from which on they are written as a record. Each record is synced
	// before the next one is written, so only the last record can be incomplete.
	targetRecordBytes = 16 << 20
)

var (
	recordMagic   = [4]byte{'C', 'G', 'J', '1'}
	snapshotMagic = [4]byte{'C', 'G', 'S', '1'}
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// logChange is one change of the stored state. Reset empties the log, which continues after the snapshot with this index.
// Entries replace all stored entries from the index of the first one on. LogEnd is in the first record of a segment only: the index of
// the last entry in the log before it, so that a reader knows which snapshots cover the segments before.
type logChange struct {
	HardState *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Reset     *quorum.Index     `cbor:"2,keyasint,omitempty"`
	Entries   []quorum.Entry    `cbor:"3,keyasint,omitempty"`
	LogEnd    *quorum.Index     `cbor:"4,keyasint,omitempty"`
}

// encodeRecord returns the payload with a header of magic number, length, sequence number and checksum.
func encodeRecord(magic [4]byte, sequence uint64, payload []byte) []byte {
	data := make([]byte, headerBytes+len(payload))
	copy(data, magic[:])
	binary.LittleEndian.PutUint32(data[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(data[8:], sequence)
	copy(data[headerBytes:], payload)
	binary.LittleEndian.PutUint32(data[16:], checksum(data))
	return data
}

// checksum returns the checksum of an encoded record's length, sequence number and payload.
func checksum(data []byte) uint32 {
	sum := crc32.Update(0, castagnoli, data[4:16])
	return crc32.Update(sum, castagnoli, data[headerBytes:])
}

// decodeRecord decodes the record at the start of data. It fails with fault.Corrupt if the record is damaged or incomplete;
// the caller decides whether an incomplete record is valid as the end of the log.
func decodeRecord(magic [4]byte, data []byte) (sequence uint64, payload []byte, err error) {
	if len(data) < headerBytes {
		return 0, nil, fault.Corrupt.New("record header is truncated after %d bytes", len(data))
	}
	if [4]byte(data[:4]) != magic {
		return 0, nil, fault.Corrupt.New("record doesn't start with magic number %q", magic)
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxPayloadBytes || int(length) > len(data)-headerBytes {
		return 0, nil, fault.Corrupt.New("record with a payload of %d bytes is truncated or too large", length)
	}
	data = data[:headerBytes+int(length)]
	if checksum(data) != binary.LittleEndian.Uint32(data[16:]) {
		return 0, nil, fault.Corrupt.New("record checksum doesn't match")
	}
	return binary.LittleEndian.Uint64(data[8:]), data[headerBytes:], nil
}

// decodeChanges decodes the payload of a record whose checksum was verified. It fails with fault.Corrupt.
func decodeChanges(payload []byte) ([]logChange, error) {
	var changes []logChange
	if err := codec.Unmarshal(payload, &changes); err != nil {
		return nil, fault.Corrupt.Wrap(err, "record payload can't be decoded")
	}
	return changes, nil
}

// hasLaterRecord reports whether a valid record with a larger sequence number than after starts anywhere in data. If so, the
// bytes before it were damaged after they had been synced, because each record is synced before the next one is written.
func hasLaterRecord(data []byte, after uint64) bool {
	for at := 1; at+headerBytes <= len(data); at++ {
		if [4]byte(data[at:at+4]) != recordMagic {
			continue
		}
		if sequence, _, err := decodeRecord(recordMagic, data[at:]); err == nil && sequence > after {
			return true
		}
	}
	return false
}
