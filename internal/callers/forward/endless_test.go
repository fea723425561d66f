package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/timer"
)

// babble is what an endpoint sends: a beginning, then the same piece again and again until its connection is closed.
type babble struct {
	beginning, piece string
	pause            time.Duration // between two pieces
}

// newBabbler is an endpoint that never ends what it sends. The channels get a value for each request and when its connection was closed.
func newBabbler(t *testing.T, b babble) (address string, asked, closed chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	asked, closed = make(chan struct{}, 100), make(chan struct{}, 100)
	serve := func(socket net.Conn) {
		defer socket.Close()
		r, err := http.ReadRequest(bufio.NewReader(socket))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		asked <- struct{}{}
		_, err = io.WriteString(socket, strings.ReplaceAll(b.beginning, "ID", r.Header.Get("Id")))
		for err == nil && (b.pause == 0 || timer.Sleep(t.Context(), b.pause)) {
			_, err = io.WriteString(socket, b.piece)
		}
		closed <- struct{}{}
	}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(socket)
		}
	}()
	return listener.Addr().String(), asked, closed
}

// Guards against bytes without end at any point of an answer: a caller that isn't answered within its time or gets something that
// looks complete, memory that grows with them, and a connection that stays open.
func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\n"
		slow = 20 * time.Millisecond
	)
	long := strings.Repeat("x", 4096)
	line := long + "\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(long), long)
	cases := []struct {
		name string
		babble
		stream    bool
		answered  bool // by the endpoint itself
		elsewhere bool // also where it may not be repeated, as it says that it did not run the request
	}{
		{name: "no answer", babble: babble{"", long, 0}},
		{name: "no answer, slowly", babble: babble{"", "x", slow}},
		{name: "a line of the head", babble: babble{ok + "X: ", long, 0}},
		{name: "a line of the head, slowly", babble: babble{ok + "X: ", "x", slow}},
		{name: "lines of the head", babble: babble{ok, "X: " + line, 0}},
		{name: "lines of the head, slowly", babble: babble{ok, "X: y\r\n", slow}},
		{name: "interim answers", babble: babble{"", "HTTP/1.1 100 Continue\r\n\r\n", 0}},
		{name: "interim answers, slowly", babble: babble{"", "HTTP/1.1 100 Continue\r\n\r\n", 10 * slow}},
		{name: "answers to others", babble: babble{"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n", 0}},
		{name: "the body of an answer to another", babble: babble{"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", long, 0}},
		{name: "the body of an answer to another, slowly", babble: babble{"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", slow}},
		{name: "a body without a length", babble: babble{ok + "\r\n", long, 0}},
		{name: "a body without a length, slowly", babble: babble{ok + "\r\n", "x", slow}},
		{name: "a body of a great length", babble: babble{ok + "Content-Length: 1099511627776\r\n\r\n", long, 0}},
		{name: "chunks", babble: babble{ok + "Transfer-Encoding: chunked\r\n\r\n", chunk, 0}},
		{name: "chunks, slowly", babble: babble{ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", slow}},
		{name: "the size of a chunk", babble: babble{ok + "Transfer-Encoding: chunked\r\n\r\n", "0", 0}},
		{name: "the trailer of chunks", babble: babble{ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + line, 0}},
		{name: "after a refusal's head", babble: babble{"HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n\r\n", long, 0}, elsewhere: true},
		{name: "after a refusal's head, slowly", babble: babble{"HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n\r\n", "x", slow}, elsewhere: true},
		{name: "after an answer", babble: babble{ok + "Content-Length: 4\r\n\r\ndone", long, 0}, answered: true},
		{name: "after an answer, slowly", babble: babble{ok + "Content-Length: 4\r\n\r\ndone", "x", slow}, answered: true},
		{name: "a line of a stream", babble: babble{ok + "\r\n", long, 0}, stream: true},
		{name: "a line of a stream, slowly", babble: babble{ok + "\r\n", "x", slow}, stream: true},
		{name: "a line of a stream after an event", babble: babble{ok + "\r\nid: 1\ndata: a\n\ndata: ", long, 0}, stream: true},
		{name: "lines of a stream that are none of an event", babble: babble{ok + "\r\n", "\x01\x02\x03 <>\n\n", 0}, stream: true},
		{name: "an event of a stream", babble: babble{ok + "\r\n", "data: " + line, 0}, stream: true},
	}
	for _, c := range cases {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, repeatable %t", c.name, repeatable), func(t *testing.T) {
				t.Parallel()
				path, healthy, expected := "/once/x", good, "done"
				switch {
				case c.stream && repeatable:
					path, healthy, expected = "/resumable/x", events+one+two+end, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
				case c.stream:
					path = "/stream/x"
				case repeatable:
					path = "/safe/x"
				}
				address, asked, closed := newBabbler(t, c.babble)
				other := newStandIn(t, func() string { return healthy })
				go func() {
					for range other.asked {
					}
				}()
				t.Cleanup(func() { close(other.asked) })
				reached := false
				for range 40 { // until the draw of a new host falls on the babbler
					h := newTestHandler(t, &standIn{address: address}, other)
					ctx, stop := context.WithCancel(t.Context())
					go func() {
						for timer.Sleep(ctx, 20*time.Millisecond) {
							h.Sweep(ctx)
						}
					}()
					began := time.Now()
					status, _, body, err := serveOnce(t, h, path, "")
					took := time.Since(began)
					stop()
					assert.Equal(t, h.held.Load(), int64(0))
					select {
					case <-asked:
						reached = true
					default:
						continue
					}
					assert.Assert(t, took < 2500*time.Millisecond, "the caller waits 2 s, it took %s", took)
					if repeatable || c.elsewhere || c.answered {
						assert.NilError(t, err)
						assert.Equal(t, status, http.StatusOK)
						assert.Equal(t, body, expected)
					} else {
						assert.Assert(t, err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout, "%d %q", status, body)
					}
					<-closed
					break
				}
				assert.Assert(t, reached)
			})
		}
	}
}
