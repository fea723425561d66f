package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Operation is one step of a Delta. It inserts the bytes in Insert, or copies Count lines of the base from line From on,
// counted from 0.
type Operation struct {
	From   int    `cbor:"from,omitempty"`
	Count  int    `cbor:"count,omitempty"`
	Insert []byte `cbor:"insert,omitempty"`
}

// Delta turns the lines of one sheet into those of another. It holds the hex SHA-256 digests of both sheets, so that
// applying it to another base is detected.
type Delta struct {
	BaseDigest   string      `cbor:"base-digest"`
	ResultDigest string      `cbor:"result-digest"`
	Operations   []Operation `cbor:"operations"`
}

// Apply returns the new sheet. It fails with fault.Corrupt if base isn't the delta's base or the result doesn't have the
// expected digest; the caller must then request the whole configuration.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if digestOf(base) != d.BaseDigest {
		return nil, fault.Corrupt.New("the delta belongs to sheet %s", d.BaseDigest)
	}
	lines := splitLines(base)
	var result []byte
	for _, operation := range d.Operations {
		result = append(result, operation.Insert...)
		if operation.From < 0 || operation.Count < 0 || operation.From > len(lines) ||
			operation.Count > len(lines)-operation.From {
			return nil, fault.Corrupt.New("the delta copies lines that the base doesn't have")
		}
		for _, line := range lines[operation.From : operation.From+operation.Count] {
			result = append(result, line...)
		}
		if len(result) > maxSheetBytes {
			return nil, fault.Corrupt.New("the delta's result is over %d bytes", maxSheetBytes)
		}
	}
	if digestOf(result) != d.ResultDigest {
		return nil, fault.Corrupt.New("the delta's result is not sheet %s", d.ResultDigest)
	}
	return result, nil
}

// size estimates the encoded size in bytes: the digests, the inserted lines and 16 bytes for each operation. It leaves out
// the few bytes of framing.
func (d Delta) size() int {
	size := len(d.BaseDigest) + len(d.ResultDigest)
	for _, operation := range d.Operations {
		size += 16 + len(operation.Insert)
	}
	return size
}

// diffSheets returns the delta from base to result. For each line of the result, it copies the next line of the base if
// that is equal, otherwise the first equal line of the base, and it inserts lines that the base doesn't have. Rows may
// move, and the cost is linear in the size of both sheets.
func diffSheets(base, result []byte) Delta {
	delta := Delta{BaseDigest: digestOf(base), ResultDigest: digestOf(result)}
	baseLines := splitLines(base)
	first := make(map[string]int, len(baseLines))
	for i := len(baseLines) - 1; i >= 0; i-- {
		first[string(baseLines[i])] = i
	}
	next := 0
	for _, line := range splitLines(result) {
		at, known := next, next < len(baseLines) && bytes.Equal(baseLines[next], line)
		if !known {
			at, known = first[string(line)]
		}
		if known {
			delta.copyLine(at)
			next = at + 1
		} else {
			delta.insertLine(line)
			// An edited row usually keeps its place, so the base line that it replaces is skipped.
			next++
		}
	}
	return delta
}

func (d *Delta) copyLine(at int) {
	if len(d.Operations) > 0 {
		last := &d.Operations[len(d.Operations)-1]
		if last.Count > 0 && last.From+last.Count == at {
			last.Count++
			return
		}
	}
	d.Operations = append(d.Operations, Operation{From: at, Count: 1})
}

func (d *Delta) insertLine(line []byte) {
	if len(d.Operations) > 0 {
		last := &d.Operations[len(d.Operations)-1]
		if last.Count == 0 {
			last.Insert = append(last.Insert, line...)
			return
		}
	}
	d.Operations = append(d.Operations, Operation{Insert: bytes.Clone(line)})
}

func splitLines(data []byte) [][]byte {
	if len(data) == 0 {
		return nil
	}
	return bytes.SplitAfter(data, []byte("\n"))
}

func digestOf(sheet []byte) string {
	sum := sha256.Sum256(sheet)
	return hex.EncodeToString(sum[:])
}
