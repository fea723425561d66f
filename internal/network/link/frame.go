package link

import (
	"encoding/binary"
	"io"

	"github.com/citronglade/citronglade/internal/base/buffermemory"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// frameVersion is the first byte of every frame. It changes when older versions can't read the new format.
	frameVersion = 1
	// MaxFrameBytes is the maximum size of a frame's body.
	MaxFrameBytes = 16 << 20

	headerBytes = 5 // version (1 byte) and body length (4 bytes, big-endian)
	// firstBodyBytes is the size of the first piece of memory for a frame's body. Most messages are smaller.
	firstBodyBytes = 16 << 10
)

// envelope is the body of a frame. Requests and one-way messages have a kind and a payload, answers have a payload or an
// error.
type envelope struct {
	Kind      string `cbor:"1,keyasint,omitempty"`
	Payload   []byte `cbor:"2,keyasint,omitempty"`
	ErrorType string `cbor:"3,keyasint,omitempty"` // fault.Name of the error, empty if the call succeeded
	ErrorText string `cbor:"4,keyasint,omitempty"`
	Leader    string `cbor:"5,keyasint,omitempty"` // see fault.Leader
}

// writeFrame writes e as one frame (version, body length, CBOR body) and returns the number of bytes written.
func writeFrame(w io.Writer, e envelope) (int, error) {
	body, err := codec.Marshal(e)
	if err != nil {
		return 0, err
	}
	if len(body) > MaxFrameBytes {
		return 0, fault.TooLarge.New("message %q has %d bytes, at most %d are allowed", e.Kind, len(body), MaxFrameBytes)
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	frame[0] = frameVersion
	binary.BigEndian.PutUint32(frame[1:], uint32(len(body)))
	written, err := w.Write(append(frame, body...))
	if err != nil {
		return written, fault.Unreachable.Wrap(err, "cannot send message %q", e.Kind)
	}
	return written, nil
}

// readFrame reads one frame and returns its size. Another version fails with fault.BadPeer and an oversize body with
// fault.TooLarge, both before the body is read. A body that can't be decoded fails with fault.BadPeer, a truncated frame
// with fault.BrokenAnswer, and a body for which memory has no room with fault.Overloaded.
func readFrame(r io.Reader, memory *buffermemory.Share) (envelope, int, error) {
	var e envelope
	header := make([]byte, headerBytes)
	if _, err := io.ReadFull(r, header); err != nil {
		return e, 0, fault.BrokenAnswer.Wrap(err, "the stream ended before a frame")
	}
	if header[0] != frameVersion {
		return e, 0, fault.BadPeer.New("frame has version %d, this host reads %d", header[0], frameVersion)
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length > MaxFrameBytes {
		return e, 0, fault.TooLarge.New("frame announces %d bytes, at most %d are allowed", length, MaxFrameBytes)
	}
	body, err := readBody(r, int(length), memory)
	if err != nil {
		return e, 0, err
	}
	if err := codec.Unmarshal(body, &e); err != nil {
		return e, 0, err
	}
	return e, headerBytes + int(length), nil
}

// readBody reads the body of a frame. It takes memory in steps, so that a frame of which only a part arrives holds at most twice that part.
func readBody(r io.Reader, length int, memory *buffermemory.Share) ([]byte, error) {
	var body []byte
	for len(body) < length {
		step := min(max(firstBodyBytes, len(body)), length-len(body))
		if err := memory.Grow(int64(step)); err != nil {
			return nil, err
		}
		read := len(body)
		body = append(make([]byte, 0, read+step), body...)[:read+step]
		if _, err := io.ReadFull(r, body[read:]); err != nil {
			return nil, fault.BrokenAnswer.Wrap(err, "the stream ended inside a frame")
		}
	}
	return body, nil
}

// encodeError returns the answer for a failed call.
func encodeError(err error) envelope {
	e := envelope{ErrorType: fault.Name(err), ErrorText: err.Error()}
	if leader, ok := fault.LeaderOf(err); ok {
		e.Leader = leader
	}
	return e
}

// decodeError returns the error that encodeError was given, with the same fault type, text and leader. It returns nil if the
// call succeeded.
func (e envelope) decodeError() error {
	if e.ErrorType == "" {
		return nil
	}
	err := fault.ByName(e.ErrorType).New("%s", e.ErrorText)
	if e.Leader != "" {
		err = err.WithProperty(fault.Leader, e.Leader)
	}
	return err
}
