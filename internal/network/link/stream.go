package link

import (
	"context"
	"io"

	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// abortedStream is the error code of a stream that ends without a regular end, or that its reader doesn't want any more.
const abortedStream quic.StreamErrorCode = 1

// OpenStream sends one message to the host named to and returns the stream with which its handler answers. The stream must be closed; it is
// also closed when ctx ends. A failure to connect or to open a stream is fault.Unreachable: the message wasn't sent. A later failure is
// fault.BrokenAnswer.
func (l *Link) OpenStream(ctx context.Context, to unit.HostName, kind string, payload []byte) (io.ReadCloser, error) {
	p, ok := l.peer(to)
	if !ok {
		return nil, fault.Unreachable.New("the address of host %q isn't known", to)
	}
	_, stream, err := l.openStream(ctx, p)
	if err != nil {
		return nil, err
	}
	answer := &answerStream{link: l, stream: stream}
	answer.stop = context.AfterFunc(ctx, answer.abort)
	written, err := writeFrame(stream, envelope{Kind: kind, Payload: payload})
	l.bytesSent.Add(uint64(written))
	if err == nil {
		err = stream.Close()
	}
	if err != nil {
		_ = answer.Close()
		return nil, fault.BrokenAnswer.Wrap(err, "cannot send %q to %s", kind, to)
	}
	return answer, nil
}

// answerStream is the reading end of an answer's stream.
type answerStream struct {
	link   *Link
	stream *quic.Stream
	stop   func() bool
}

// Read returns io.EOF at the regular end of the answer, and fault.BrokenAnswer if it ends otherwise.
func (a *answerStream) Read(b []byte) (int, error) {
	n, err := a.stream.Read(b)
	a.link.bytesReceived.Add(uint64(n))
	if err != nil && err != io.EOF { //nolint:errorlint // the stream returns io.EOF as it is
		err = fault.BrokenAnswer.Wrap(err, "the stream broke off")
	}
	return n, err
}

// Close ends the stream. The handler's context ends if it hasn't returned.
func (a *answerStream) Close() error {
	a.stop()
	a.abort()
	return nil
}

func (a *answerStream) abort() {
	a.stream.CancelRead(abortedStream)
	a.stream.CancelWrite(abortedStream)
}

// serveStream answers a call with the stream that its handler writes.
func (l *Link) serveStream(from unit.HostName, stream *quic.Stream, handler StreamHandler, payload []byte) {
	err := handler(stream.Context(), from, payload, countedWriter{l, stream})
	if err != nil {
		klog.V(2).Infof("link: a stream to %s ended: %v", from, err)
		stream.CancelWrite(abortedStream)
		return
	}
	_ = stream.Close()
}

// countedWriter counts the bytes that are written to a stream.
type countedWriter struct {
	link *Link
	*quic.Stream
}

func (w countedWriter) Write(b []byte) (int, error) {
	n, err := w.Stream.Write(b)
	w.link.bytesSent.Add(uint64(n))
	return n, err
}
