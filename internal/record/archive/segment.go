package archive

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/record/chain"
)

const (
	// recordHeaderBytes is the size of a record's header: the payload's length and the CRC-32C of length and payload, 4 bytes
	// each.
	recordHeaderBytes = 8
	maxRecordBytes    = 64 << 20
)

// payloadPrefix starts every payload: the CBOR encoding of a map with one pair, whose key is "entries".
var payloadPrefix = []byte("\xa1\x67entries")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errTorn is the error for a record that isn't intact; at the end of a segment it is a torn write.
var errTorn = fault.Corrupt.NewSubtype("torn-record")

// recordPayload is the payload of a record: the entries that one sync made durable. Each sync follows the write of exactly
// one record, so a crash can only damage the last record. If an intact record follows a damaged one, the damage came later.
type recordPayload struct {
	Entries []chain.Entry `cbor:"entries"`
}

func encodeRecord(entries []chain.Entry) ([]byte, error) {
	payload, err := codec.Marshal(recordPayload{Entries: entries})
	if err != nil {
		return nil, err
	}
	record := make([]byte, recordHeaderBytes, recordHeaderBytes+len(payload))
	binary.LittleEndian.PutUint32(record, uint32(len(payload)))
	record = append(record, payload...)
	binary.LittleEndian.PutUint32(record[4:], checksum(record))
	return record, nil
}

// decodeRecord reads the record at the start of data and returns its size.
func decodeRecord(data []byte) (entries []chain.Entry, size int, err error) {
	size, ok := recordSize(data)
	if !ok {
		return nil, 0, errTorn.New("the record's length or checksum is wrong")
	}
	var g recordPayload
	if err := codec.Unmarshal(data[recordHeaderBytes:size], &g); err != nil {
		return nil, 0, fault.Corrupt.Wrap(err, "the record's checksum is right but its payload is not")
	}
	return g.Entries, size, nil
}

// recordSize returns the size of the intact record at the start of data.
func recordSize(data []byte) (size int, ok bool) {
	if len(data) < recordHeaderBytes {
		return 0, false
	}
	length := binary.LittleEndian.Uint32(data)
	if length > maxRecordBytes || int(length) > len(data)-recordHeaderBytes ||
		!bytes.HasPrefix(data[recordHeaderBytes:recordHeaderBytes+int(length)], payloadPrefix) {
		return 0, false
	}
	size = recordHeaderBytes + int(length)
	return size, binary.LittleEndian.Uint32(data[4:]) == checksum(data[:size])
}

func checksum(record []byte) uint32 {
	return crc32.Update(crc32.Checksum(record[:4], castagnoli), castagnoli, record[recordHeaderBytes:])
}

// decodeSegment returns the entries of a segment and the size of its intact records. If the segment ends with a torn record,
// intact is less than the segment's length. A damaged record before an intact one fails with fault.Corrupt.
func decodeSegment(data []byte) (entries []chain.Entry, intact int, err error) {
	for intact < len(data) {
		found, size, err := decodeRecord(data[intact:])
		if errorx.IsOfType(err, errTorn) {
			if at, ok := findIntactRecord(data[intact+1:]); ok {
				return entries, intact, fault.Corrupt.New(
					"the record at byte %d is damaged and an intact one follows at byte %d", intact, intact+1+at)
			}
			return entries, intact, nil
		}
		if err != nil {
			return entries, intact, err
		}
		entries = append(entries, found...)
		intact += size
	}
	return entries, intact, nil
}

// findIntactRecord returns the offset of the first intact record in data.
func findIntactRecord(data []byte) (at int, ok bool) {
	for at := range data {
		if _, ok := recordSize(data[at:]); ok {
			return at, true
		}
	}
	return 0, false
}
