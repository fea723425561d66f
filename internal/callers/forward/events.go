package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"

	"github.com/citronglade/citronglade/internal/base/buffermemory"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// maxEventBytes is the largest size of one event.
const maxEventBytes = 1 << 20

// rawEventReader splits a stream of server-sent events into events without changing a byte.
type rawEventReader struct {
	from   *bufio.Reader
	event  []byte
	memory *buffermemory.Share // for the buffer
}

func newRawEventReader(from io.Reader, memory *buffermemory.Share) *rawEventReader {
	return &rawEventReader{from: bufio.NewReaderSize(from, 2<<10), memory: memory}
}

// next returns the bytes of the next event, including the empty line that ends it, and the event's id if it has one. At the end of
// a complete stream it returns io.EOF. It fails with fault.BrokenAnswer if the stream ends within an event.
func (r *rawEventReader) next() (raw, id []byte, err error) {
	r.event = r.event[:0]
	for {
		start := len(r.event)
		if err := r.appendLine(); err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.event)) > 0 {
				err = fault.BrokenAnswer.New("the stream ended within an event")
			}
			return nil, nil, err
		}
		line := bytes.TrimRight(r.event[start:], "\r\n")
		if len(line) == 0 {
			return r.event, id, nil
		}
		if !isField(line) {
			return nil, nil, fault.BrokenAnswer.New("a line of the stream is not a field of a server-sent event")
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = bytes.Clone(bytes.TrimSpace(value))
		}
	}
}

func (r *rawEventReader) appendLine() error {
	for {
		piece, err := r.from.ReadSlice('\n')
		if err := r.grow(len(piece)); err != nil {
			return err
		}
		r.event = append(r.event, piece...)
		if len(r.event) > maxEventBytes {
			return fault.BrokenAnswer.New("an event is longer than %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// grow makes room for more bytes in the event's buffer and reserves the memory for them.
func (r *rawEventReader) grow(more int) error {
	if len(r.event)+more <= cap(r.event) {
		return nil
	}
	before := cap(r.event)
	grown := slices.Grow(r.event, max(more, before))
	if err := r.memory.Grow(int64(cap(grown) - before)); err != nil {
		return err
	}
	r.event = grown
	return nil
}

// isField reports whether a line can be part of a server-sent event: a comment, or a field name with or without a value.
func isField(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	if found && len(name) == 0 {
		return true // a comment
	}
	for _, c := range name {
		if c != '-' && c != '_' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return found || slices.Contains([]string{"data", "event", "id", "retry"}, string(name))
}
