package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// serveOnce answers the first request on each connection with the whole answer if kept is set, and then each request with the text, after
// which it closes or resets the connection.
func serveOnce(t *testing.T, listener net.Listener, kept bool, text func() string, reset bool) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer socket.Close()
			reader := bufio.NewReader(socket)
			for answerWhole := kept; ; answerWhole = false {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				id := r.Header.Get("Id")
				if answerWhole {
					_, _ = io.WriteString(socket, strings.ReplaceAll(whole, "ID", id))
					continue
				}
				_, _ = io.WriteString(socket, strings.ReplaceAll(text(), "ID", id))
				if reset {
					assert.Check(t, socket.(*net.TCPConn).SetLinger(0))
				}
				return
			}
		}()
	}
}

// Guards against a head that breaks off at any byte and is taken for the head of an answer, which then has an empty or a short body.
func TestAHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	heads := []struct{ name, text string }{
		{name: "with a length", text: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"},
		{name: "with chunks", text: "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n"},
		{name: "that ends with the connection", text: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: ID\r\n\r\n"},
		{name: "of HTTP/1.0", text: "HTTP/1.0 200 OK\nId: ID\nContent-Length: 0\n\n"},
		{name: "of a success without a body", text: "HTTP/1.1 204 No Content\r\nId: ID\r\n\r\n"},
	}
	before := []struct {
		name, text string
		kept       bool
	}{
		{name: "first answer"},
		{name: "after an interim answer", text: "HTTP/1.1 100 Continue\r\n\r\n"},
		{name: "after early hints", text: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		{name: "after an answer to another request", text: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok"},
		{name: "on a kept connection", kept: true},
	}
	for _, b := range before {
		for _, reset := range []bool{false, true} {
			var text atomic.Value
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go serveOnce(t, listener, b.kept, func() string { return text.Load().(string) }, reset)
			p := New(func() unit.Moment { return 0 })
			for _, head := range heads {
				for cut := range len(head.text) {
					text.Store(b.text + head.text[:cut])
					if b.kept {
						_, _, err := send(t, p, listener.Addr().String(), "first")
						assert.NilError(t, err)
						waitForIdle(p)
					}
					status, body, err := send(t, p, listener.Addr().String(), "r")
					assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%s, head %s cut after %d bytes, reset %v: status %d body %q error %v",
						b.name, head.name, cut, reset, status, body, err)
				}
			}
		}
	}
}
