package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against an endpoint that goes on working for a caller that has disconnected.
func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	endpoint := newFakeEndpoint(t, func() string { return stall })
	h := newTestHandler(t, endpoint)
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { assert.Check(t, recover() == http.ErrAbortHandler) }() //nolint:errorlint // the value that Serve panics with
		h.Serve(ctx, httptest.NewRecorder(), &Call{
			ID: "r1", Arrived: h.Now(), Method: http.MethodPost, Host: "h", Path: "/stream/x", Target: "/stream/x", Header: http.Header{},
			Body: func(int64) ([]byte, error) { return nil, nil },
		})
	}()
	<-endpoint.asked
	leave()
	<-done
	<-endpoint.closed
}

// Guards against an empty success for a caller that closes only its sending side, and so can still read an answer.
func TestACallerThatOnlyStopsSendingGetsNoSuccess(t *testing.T) {
	cases := []struct {
		name string
		path string
		body func(int64) ([]byte, error)
	}{
		{name: "while an endpoint works", path: "/once/x"},
		{name: "while an endpoint works on a stream", path: "/resumable/x"},
		{name: "in the middle of the body", path: "/once/x", body: func(int64) ([]byte, error) { return nil, fault.CallerLeft.New("test") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := newFakeEndpoint(t, func() string { return stall })
			h := newTestHandler(t, endpoint)
			server := newTestServer(h, func(call *Call) {
				if c.body != nil {
					call.Body = c.body
				}
			})
			defer server.Close()
			socket, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer socket.Close()
			_, err = io.WriteString(socket, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			assert.NilError(t, err)
			if c.body == nil {
				<-endpoint.asked
			}
			assert.NilError(t, socket.(*net.TCPConn).CloseWrite())
			answer, err := io.ReadAll(socket)
			assert.NilError(t, err)
			assert.Equal(t, string(answer), "")
			assert.Equal(t, h.Running(), 0)
		})
	}
}
