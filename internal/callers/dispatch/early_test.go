package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against a truncated answer, or one whose status isn't valid, that counts as a complete one: an endpoint answers a long upload at
// once and resets the connection while the upload is being written. The endpoint may have run the request.
func TestEarlyAndInvalidAnswersAreBroken(t *testing.T) {
	const head, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 102 Processing\r\n\r\n"
	cases := []struct {
		name, answer string
		endless      bool // the answer is sent again until the connection is closed
	}{
		{name: "no length", answer: head + "\r\nhalf of it"},
		{name: "a length", answer: head + "Content-Length: 100\r\n\r\nhalf of it"},
		{name: "chunks", answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{name: "status 000", answer: "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\ndone"},
		{name: "status 99", answer: "HTTP/1.1 99 Odd\r\nContent-Length: 4\r\n\r\ndone"},
		{name: "status 099", answer: "HTTP/1.1 099 Odd\r\nContent-Length: 4\r\n\r\ndone"},
		{name: "status 600", answer: "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\ndone"},
		{name: "status 999", answer: "HTTP/1.1 999 Odd\r\nContent-Length: 4\r\n\r\ndone"},
		{name: "interim answers without end", answer: interim, endless: true},
	}
	for _, c := range cases {
		for _, onceOnly := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				address := serve(t, func(conn net.Conn) {
					_, err := http.ReadRequest(bufio.NewReader(conn))
					for sends := 0; err == nil && (sends == 0 || c.endless); sends++ {
						_, err = io.WriteString(conn, c.answer)
					}
					_ = conn.(*net.TCPConn).SetLinger(0)
				})
				d := newDispatcher(t, Options{AnswerTimeout: 10 * time.Second})
				for range 8 { // what the transport reads depends on the moment of the reset
					answer, err := d.Send(t.Context(), Attempt{
						Address: address, Method: http.MethodPost, Path: "/", Body: make([]byte, 8<<20), OnceOnly: onceOnly,
					})
					assert.Assert(t, answer.Wrote)
					if err == nil {
						_, err = readAnswer(t, answer)
					}
					assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%d %v", answer.Status, err)
					assert.Assert(t, !strings.Contains(err.Error(), "no answer within"), "%v", err)
				}
			})
		}
	}
}
