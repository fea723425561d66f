package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
)

// newEarlyEndpoint returns the address of an endpoint that answers as soon as it has read a request's head, and then calls end. The
// connection is closed when end has returned.
func newEarlyEndpoint(t *testing.T, answer string, end func(socket *net.TCPConn)) string {
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
			go func() {
				defer socket.Close()
				r, err := http.ReadRequest(bufio.NewReader(socket))
				if err != nil {
					return
				}
				_, _ = io.WriteString(socket, strings.ReplaceAll(answer, "ID", r.Header.Get("Id")))
				end(socket.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against the beginning of an answer that is taken for a complete one: an endpoint answers a long upload at once, without a length,
// and closes the connection while the upload is being written. The write then gets the connection's error, and the read gets an end.
func TestAnAnswerThatBreaksTheUploadIsNotComplete(t *testing.T) {
	cases := []struct {
		name string
		end  func(socket *net.TCPConn)
	}{
		{name: "reset", end: func(socket *net.TCPConn) { _ = socket.SetLinger(0) }},
		{name: "closed with unread bytes", end: func(*net.TCPConn) {}},
		{name: "no more answer, the upload is never read", end: func(socket *net.TCPConn) {
			_ = socket.CloseWrite()
			_ = timer.Sleep(t.Context(), time.Minute)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := newEarlyEndpoint(t, "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nhalf of it", c.end)
			for range 50 { // which of the two gets the connection's error depends on the moment
				p := New(timer.New().Now)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				a, err := p.Send(ctx, Request{
					Endpoint: "e", Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Body: make([]byte, 16<<20),
				})
				if err == nil {
					_, err = a.ReadAll(1 << 20)
					a.Close()
				}
				cancel()
				assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%v", err)
			}
		})
	}
}
