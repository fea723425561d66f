package exchange

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Answer is the answer to one request. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	body   *body
}

// body is the body of an answer and what is needed to end its exchange.
type body struct {
	connection *connection
	pending    *pending
	response   *http.Response
	stopCancel func() bool
	complete   bool
	closed     bool
	// writeEnded is set when written has been received, sent if the whole request was sent.
	writeEnded, sent bool
}

// Read reads from the body. It returns io.EOF only after the whole body, and fault.BrokenAnswer when the answer breaks off. A body that
// ends with its connection counts as whole only if the whole request had been sent.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.response.Body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && a.EndsWithConnection() && !a.body.requestSentAtEnd():
		err = fault.BrokenAnswer.New("%s ended its answer with the connection before it had the whole request", a.body.connection.peer.endpoint)
	case errors.Is(err, io.EOF):
		a.body.complete = true
	default:
		err = fault.BrokenAnswer.Wrap(err, "the answer of %s broke off", a.body.connection.peer.endpoint)
	}
	return n, err
}

// ReadAll reads the whole body. It fails with fault.BrokenAnswer if the answer breaks off or has more than the given number of bytes.
func (a *Answer) ReadAll(most int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a, most+1))
	if err == nil && int64(len(data)) > most {
		err = fault.BrokenAnswer.New("the answer of %s has more than %d bytes", a.body.connection.peer.endpoint, most)
	}
	return data, err
}

// Close ends the exchange. A connection whose answer wasn't read to its end is closed, which cancels the work of the endpoint.
func (a *Answer) Close() {
	b := a.body
	if b.closed {
		return
	}
	b.closed = true
	stopped := b.stopCancel()
	reusable := stopped && b.complete && !b.response.Close && b.wholeRequestSent() && b.connection.reader.Buffered() == 0
	b.pending.reusable <- reusable && !a.EndsWithConnection()
}

// EndsWithConnection reports whether the answer has neither a length nor chunks, so that its body ends where the endpoint closes the
// connection. Such a body also looks complete if the endpoint's process ended.
func (a *Answer) EndsWithConnection() bool {
	r := a.body.response
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.StatusCode != http.StatusNoContent
}

// wholeRequestSent reports whether the request was sent completely. An endpoint that answers earlier still expects the rest of it.
func (b *body) wholeRequestSent() bool {
	if b.writeEnded {
		return b.sent
	}
	select {
	case err := <-b.pending.written:
		b.writeEnded, b.sent = true, err == nil
	default:
	}
	return b.sent
}

// requestSentAtEnd ends the sending of the request, because the endpoint has closed the connection, and reports whether all of it had been
// sent. When a connection is reset, either the write or the read gets the error, and the other one an end without an error.
func (b *body) requestSentAtEnd() bool {
	if !b.writeEnded {
		_ = b.connection.socket.SetWriteDeadline(time.Now()) // fails only if the connection is closed, which ends the write, too
		b.writeEnded, b.sent = true, <-b.pending.written == nil
	}
	return b.sent
}
