package relay

import (
	"errors"
	"io"
	"net/http"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Declined is the failure of a request that the other host didn't take: it has not run.
var Declined = fault.Unreachable.NewSubtype("declined")

// Answer is the answer to a relayed request. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	stream io.ReadCloser
	left   int  // bytes of the current body frame that haven't been read
	ended  bool // the end of the answer was read
}

// Receive waits for the head of an answer. It fails with Declined if the other host didn't take the request, and with fault.BrokenAnswer if
// an endpoint may have run it. After a failure the stream is closed.
func Receive(stream io.ReadCloser) (*Answer, error) {
	a := &Answer{stream: stream}
	if err := a.readHead(); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return a, nil
}

func (a *Answer) readHead() error {
	for {
		kind, size, err := readFrame(a.stream)
		if err != nil {
			return err
		}
		payload, err := readPayload(a.stream, size)
		if err != nil {
			return err
		}
		switch kind {
		case frameAlive:
		case frameDeclined:
			return Declined.New("the other host declined: %s", payload)
		case frameHead:
			h, err := decodeHead(payload)
			a.Status, a.Header = h.Status, h.Header
			return err
		default:
			return fault.BrokenAnswer.New("the relayed answer begins with a frame of kind %d", kind)
		}
	}
}

// Read reads from the body. It returns io.EOF only after the whole body, and fault.BrokenAnswer when the answer breaks off.
func (a *Answer) Read(b []byte) (int, error) {
	for a.left == 0 {
		if a.ended {
			return 0, io.EOF
		}
		kind, size, err := readFrame(a.stream)
		if err != nil {
			return 0, err
		}
		switch {
		case kind == frameBody:
			a.left = size
		case kind == frameEnd && size == 0:
			a.ended = true
		case kind == frameAlive && size == 0:
		default:
			return 0, fault.BrokenAnswer.New("the relayed answer contains a frame of kind %d with %d bytes", kind, size)
		}
	}
	n, err := a.stream.Read(b[:min(len(b), a.left)])
	a.left -= n
	if errors.Is(err, io.EOF) {
		err = nil // the next frame is missing, which the next call notices
		if n == 0 {
			err = fault.BrokenAnswer.New("the relayed answer ended inside a frame")
		}
	}
	return n, err
}

// Close ends the answer. The other host cancels the request if the answer wasn't read to its end.
func (a *Answer) Close() {
	_ = a.stream.Close()
}
