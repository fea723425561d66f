package exchange

import (
	"bytes"
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

// FuzzAnswer guards against bytes from an endpoint that crash the process, are taken for the answer to another request, or are
// read without a limit. Bytes that are no complete answer must fail with fault.BrokenAnswer.
func FuzzAnswer(f *testing.F) {
	const most = 1 << 12
	own := strings.ReplaceAll(whole, "ID", "1")
	for _, seed := range []string{
		own, own + own, strings.ReplaceAll(own, "Id: 1", "Id: 2") + own, own[:20], own[:len(own)-1], "", "\r\n\r\n", "\x00\xff",
		"HTTP/1.1 100 Continue\r\n\r\n" + own, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9),
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end of the connection",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeadBytes), "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", maxHeadBytes/6),
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + strings.Repeat("x", 2*most),
		"HTTP/1.1 503 Full\r\nId: 1\r\nRetry-After: 2\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = io.CopyN(io.Discard, far, 1) // the request has arrived
			go func() { _, _ = io.Copy(io.Discard, far) }()
			_, _ = io.Copy(far, bytes.NewReader(sent))
			_ = far.Close()
		}()
		p := New(timer.New().Now)
		c := newConnection(p, endpointAddress{"e", "a"}, near)
		go c.read()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		answer, err := c.exchange(ctx, Request{
			Endpoint: "e", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{},
			Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
		})
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%v", err)
			return
		}
		defer answer.Close()
		assert.Equal(t, answer.Header.Get("Id"), "1")
		data, err := answer.ReadAll(most)
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%v", err)
			return
		}
		assert.Assert(t, len(data) <= most)
	})
}
