package relay

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// Writer is the http.ResponseWriter of the host that takes a relayed request. It is safe for concurrent use by one writer of the answer and
// one caller of KeepAlive.
type Writer struct {
	stream  stream
	header  http.Header
	mu      sync.Mutex
	started bool // a head or a refusal to take the request was written
	failure error
}

// stream is what the answer is written to.
type stream interface {
	io.Writer
	SetWriteDeadline(at time.Time) error
}

// NewWriter returns a writer that has written nothing.
func NewWriter(to stream) *Writer {
	return &Writer{stream: to, header: http.Header{}}
}

// Header returns the header that WriteHeader sends.
func (w *Writer) Header() http.Header {
	return w.header
}

// WriteHeader sends the head of the answer. Further calls are ignored, as are calls after Decline.
func (w *Writer) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHead(status)
}

func (w *Writer) writeHead(status int) {
	if w.started {
		return
	}
	w.started = true
	payload, err := codec.Marshal(head{Status: status, Header: w.header})
	if err != nil {
		w.failure = err
		return
	}
	w.write(frameHead, payload)
}

// Write sends bytes of the body at once.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHead(http.StatusOK)
	for sent := 0; sent < len(b) && w.failure == nil; {
		chunk := b[sent:min(len(b), sent+maxFrameBytes)]
		w.write(frameBody, chunk)
		sent += len(chunk)
	}
	if w.failure != nil {
		return 0, w.failure
	}
	return len(b), nil
}

// write sends a frame unless an earlier one failed. w.mu must be held.
func (w *Writer) write(kind frameKind, payload []byte) {
	if w.failure == nil {
		w.failure = writeFrame(w.stream, kind, payload)
	}
}

// FlushError does nothing, since Write sends the bytes at once. It returns the first failure.
func (w *Writer) FlushError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failure
}

// SetWriteDeadline limits the time that writes may take.
func (w *Writer) SetWriteDeadline(at time.Time) error {
	return w.stream.SetWriteDeadline(at)
}

// KeepAlive sends a frame without content, so that the connection stays open while there is nothing to send.
func (w *Writer) KeepAlive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(frameAlive, nil)
}

// Decline says that this host doesn't take the request, which has not run. It does nothing once the answer has begun.
func (w *Writer) Decline(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started {
		return
	}
	w.started = true
	w.write(frameDeclined, []byte(fault.Name(cause)))
}

// End says that the answer is complete. It returns the first failure.
func (w *Writer) End() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.started {
		return fault.Internal.New("the relayed request got no answer")
	}
	w.write(frameEnd, nil)
	return w.failure
}
