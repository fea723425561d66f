package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against a head that breaks off at any byte and is taken for the head of an answer, which then has an empty or a short body.
func TestAHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	const kept = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	heads := []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\nContent-Length: 0\n\n",
	}
	cases := []struct {
		name    string
		attempt Attempt
		kept    bool // the connection has carried a whole answer before
	}{
		{name: "engine", attempt: Attempt{Engine: true, Method: http.MethodPost, Path: "/v1/chat/completions"}},
		{name: "resumed at an engine", attempt: Attempt{Engine: true, Method: http.MethodPost, Path: "/v1/chat/completions", ResumeFrom: 3}},
		{name: "service", attempt: Attempt{Method: http.MethodPost, Path: "/x"}},
		{name: "service, nothing to send", attempt: Attempt{Method: http.MethodGet, Path: "/x"}},
		{name: "service, kept connection", attempt: Attempt{Method: http.MethodGet, Path: "/x"}, kept: true},
		{name: "engine, kept connection", attempt: Attempt{Engine: true, Method: http.MethodPost, Path: "/v1/chat/completions"}, kept: true},
		{name: "service, once only", attempt: Attempt{Method: http.MethodPost, Path: "/x", OnceOnly: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var text atomic.Value
			address := serve(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for answerWhole := c.kept; ; answerWhole = false {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if !answerWhole {
						_, _ = io.WriteString(conn, text.Load().(string))
						return
					}
					_, _ = io.WriteString(conn, kept)
				}
			})
			d := newDispatcher(t, Options{})
			c.attempt.Endpoint, c.attempt.Address = "e", address
			for _, head := range heads {
				for cut := range len(head) {
					text.Store(head[:cut])
					if c.kept {
						answer, err := d.Send(context.Background(), c.attempt)
						assert.NilError(t, err)
						_, err = readAnswer(t, answer)
						assert.NilError(t, err)
					}
					answer, err := d.Send(context.Background(), c.attempt)
					if err == nil {
						_, err = readAnswer(t, answer)
					}
					assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "cut after %d bytes of %q: status %d, %v", cut, head, answer.Status, err)
				}
			}
		})
	}
}
