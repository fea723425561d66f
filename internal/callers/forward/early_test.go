package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// newEarlyEndpoint returns an endpoint that answers as soon as it has read a request's head, and then resets the connection. The body of
// the request stays unread.
func newEarlyEndpoint(t *testing.T, answer string) *fakeEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(socket)); err == nil {
				_, _ = io.WriteString(socket, strings.ReplaceAll(answer, "ID", r.Header.Get("Id")))
			}
			_ = socket.(*net.TCPConn).SetLinger(0)
			_ = socket.Close()
		}
	}()
	return &fakeEndpoint{address: listener.Addr().String()}
}

// Guards against a truncated answer, or one whose status isn't valid, that a caller gets as a complete one: an endpoint answers a long
// upload at once and resets the connection while the upload is being written. The endpoint may have run the request, so it is repeated at
// another endpoint only where its route allows that, and otherwise the caller gets 502.
func TestEarlyAndInvalidAnswersAreNotForwarded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\n"
	cases := []struct {
		name, answer string
	}{
		{name: "no length", answer: head + "\r\nhalf of it"},
		{name: "no length, an event", answer: head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"},
		{name: "a length", answer: head + "Content-Length: 100\r\n\r\nhalf of it"},
		{name: "chunks", answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{name: "status 000", answer: "HTTP/1.1 000 None\r\nId: ID\r\nMark: m\r\nContent-Length: 0\r\n\r\n"},
		{name: "status 000 before an answer", answer: "HTTP/1.1 000 None\r\nId: ID\r\nMark: m\r\n\r\n" + success},
		{name: "status 99", answer: "HTTP/1.1 99 Odd\r\nId: ID\r\nMark: m\r\nContent-Length: 0\r\n\r\n"},
		{name: "status 099 before an answer", answer: "HTTP/1.1 099 Odd\r\nId: ID\r\nMark: m\r\n\r\n" + success},
		{name: "status 600", answer: "HTTP/1.1 600 Odd\r\nId: ID\r\nMark: m\r\nContent-Length: 4\r\n\r\ndone"},
		{name: "interim answers", answer: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)},
	}
	for _, c := range cases {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				for range 8 { // what the router reads depends on the moment of the reset
					endpoints := []*fakeEndpoint{newEarlyEndpoint(t, c.answer)}
					if path == "/safe/x" {
						endpoints = append(endpoints, newFakeEndpoint(t, func() string { return success }))
					}
					h := newTestHandler(t, endpoints...)
					status, _, body, err := serveChanged(t, h, path, func(call *Call) {
						call.Body = func(int64) ([]byte, error) { return make([]byte, 8<<20), nil }
					})
					switch {
					case path == "/safe/x":
						assert.NilError(t, err)
						assert.Equal(t, status, http.StatusOK, body)
						assert.Equal(t, body, "done")
					case err == nil:
						assert.Equal(t, status, http.StatusBadGateway, body)
					default:
						assert.Equal(t, path, "/stream/x", "%v", err) // the caller's connection is aborted
					}
				}
			})
		}
	}
}
