package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// rawEvents cuts a stream of server-sent events into whole events without changing a byte.
type rawEvents struct {
	from  *bufio.Reader
	event []byte
}

func newRawEvents(from io.Reader) *rawEvents {
	return &rawEvents{from: bufio.NewReaderSize(from, 2<<10)}
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
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = bytes.Clone(bytes.TrimSpace(value))
		}
	}
}

func (r *rawEvents) appendLine() error {
	for {
		piece, err := r.from.ReadSlice('\n')
		r.event = append(r.event, piece...)
		if len(r.event) > maxEventBytes {
			return fault.BrokenAnswer.New("an event is longer than %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
