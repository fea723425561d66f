package relay

import (
	"encoding/binary"
	"io"
	"net/http"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// frameKind is the first byte of a frame. The length of the payload follows in four bytes, big-endian, and then the payload.
type frameKind byte

const (
	frameHead     frameKind = iota + 1 // CBOR of a head, before any body
	frameBody                          // bytes of the body
	frameEnd                           // the answer is complete; no payload
	frameDeclined                      // instead of a head: the reason why the host didn't take the request, which has not run
	frameAlive                         // nothing new; no payload
)

const (
	frameHeaderBytes = 5
	// maxFrameBytes limits the payload of one frame.
	maxFrameBytes = 1 << 20
)

// head is the status and the header of an answer.
type head struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
}

func writeFrame(w io.Writer, kind frameKind, payload []byte) error {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	frame[0] = byte(kind)
	binary.BigEndian.PutUint32(frame[1:], uint32(len(payload)))
	_, err := w.Write(append(frame, payload...))
	return err
}

// readFrame reads a frame up to its payload, whose size it returns. It fails with fault.BrokenAnswer.
func readFrame(r io.Reader) (frameKind, int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, fault.BrokenAnswer.Wrap(err, "the relayed answer broke off")
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > maxFrameBytes {
		return 0, 0, fault.BrokenAnswer.New("a frame of the relayed answer has %d bytes", size)
	}
	return frameKind(header[0]), int(size), nil
}

func readPayload(r io.Reader, size int) ([]byte, error) {
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, fault.BrokenAnswer.Wrap(err, "the relayed answer broke off")
	}
	return payload, nil
}

func decodeHead(payload []byte) (head, error) {
	var h head
	if err := codec.Unmarshal(payload, &h); err != nil {
		return h, fault.BrokenAnswer.Wrap(err, "cannot read the head of the relayed answer")
	}
	if h.Status < http.StatusOK || h.Status > 999 {
		return h, fault.BrokenAnswer.New("the relayed answer has status %d", h.Status)
	}
	return h, nil
}
