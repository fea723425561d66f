package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// rawEvents cuts a stream of server-sent events into whole events without changing a byte.
type rawEvents struct {
	from  *bufio.Reader
	event []byte
	hold  func(bytes int) error // asks for memory
}

func newRawEvents(from io.Reader, hold func(int) error) *rawEvents {
	return &rawEvents{from: bufio.NewReaderSize(from, 2<<10), hold: hold}
}

// next returns the bytes of the next event with the empty line that ends it, and its id if it has one. At the end of a
// complete stream it returns io.EOF. A stream that ends within an event has broken off.
func (r *rawEvents) next() (raw, id []byte, err error) {
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
			return nil, nil, fault.BrokenAnswer.New("a line of the stream is no field of an event")
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = bytes.Clone(bytes.TrimSpace(value))
		}
	}
}

func (r *rawEvents) appendLine() error {
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

// grow makes room in the event's buffer, for which it asks.
func (r *rawEvents) grow(more int) error {
	if len(r.event)+more <= cap(r.event) {
		return nil
	}
	before := cap(r.event)
	grown := slices.Grow(r.event, max(more, before))
	if err := r.hold(cap(grown) - before); err != nil {
		return err
	}
	r.event = grown
	return nil
}

// isField reports whether a line can be one of a server-sent event: a comment, or a name with or without a value.
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
