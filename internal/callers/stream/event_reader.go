package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// DefaultMaxEvent is the default limit for the size of a line and of an event, in bytes.
	DefaultMaxEvent = 1 << 20
	readBuffer      = 4 << 10
)

var byteOrderMark = []byte("\xef\xbb\xbf")

// Event is one server-sent event.
type Event struct {
	Name string // from the event field, usually empty
	Data []byte // data fields joined by line feeds; valid until the next call of Next
}

// IsDone reports whether this is the final event of a complete stream.
func (e Event) IsDone() bool {
	return bytes.Equal(e.Data, []byte("[DONE]"))
}

// EventReader reads server-sent events as the HTML standard defines them: lines end with LF, CR LF or CR, an empty line ends an
// event, and events without data are skipped. It isn't safe for concurrent use.
type EventReader struct {
	from    *bufio.Reader
	max     int
	line    []byte
	data    []byte
	name    string
	hasData bool // a data field of the current event was read
	skipLF  bool
	first   bool
}

// NewEventReader returns a reader of the events in r. Lines and events of more than maxBytes fail; 0 means DefaultMaxEvent.
func NewEventReader(r io.Reader, maxBytes int) *EventReader {
	if maxBytes <= 0 {
		maxBytes = DefaultMaxEvent
	}
	return &EventReader{from: bufio.NewReaderSize(r, readBuffer), max: maxBytes, first: true}
}

// Next returns the next event with data, and io.EOF at the end of the stream. It fails with fault.BrokenAnswer if the stream
// breaks off, ends within an event, or exceeds the size limit.
func (r *EventReader) Next() (Event, error) {
	r.data, r.name, r.hasData = r.data[:0], "", false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.endError(err)
		}
		if len(line) > 0 {
			if err := r.addField(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if r.hasData {
			return Event{Name: r.name, Data: r.data}, nil
		}
		r.name = ""
	}
}

// endError returns the error of Next for a failed read: io.EOF if the stream ended between events, fault.BrokenAnswer otherwise.
func (r *EventReader) endError(err error) error {
	switch {
	case errorx.IsOfType(err, fault.BrokenAnswer):
		return err
	case !errors.Is(err, io.EOF):
		return fault.BrokenAnswer.Wrap(err, "the stream broke")
	case len(r.line) > 0 || r.hasData:
		return fault.BrokenAnswer.New("the stream ended within an event")
	default:
		return io.EOF
	}
}

func (r *EventReader) addField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		r.name = string(value)
	case "data":
		if r.hasData {
			r.data = append(r.data, '\n')
		}
		if len(r.data)+len(value) > r.max {
			return fault.BrokenAnswer.New("an event is longer than %d bytes", r.max)
		}
		r.data = append(r.data, value...)
		r.hasData = true
	}
	return nil
}

// readLine returns the next line without its line ending. A CR ends the line at once; an LF that follows it is skipped when the
// next line is read, so that an event isn't delayed until more bytes arrive.
func (r *EventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		b, err := r.from.ReadByte()
		if err != nil {
			return nil, err
		}
		skip := r.skipLF && b == '\n'
		r.skipLF = b == '\r'
		switch {
		case skip:
		case b == '\n' || b == '\r':
			return r.endLine(), nil
		case len(r.line) >= r.max:
			return nil, fault.BrokenAnswer.New("a line of the stream is longer than %d bytes", r.max)
		default:
			r.line = append(r.line, b)
		}
	}
}

func (r *EventReader) endLine() []byte {
	line := r.line
	if r.first {
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	r.first = false
	return line
}
