package connections

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an answer that breaks off and looks whole to a client of HTTP/1.0, which knows no chunks (MIXED, ORDER).
func TestABrokenAnswerDoesNotLookWhole(t *testing.T) {
	cases := []struct {
		name, path, version string
		breaks              bool
		body                string
	}{
		{name: "HTTP/1.0, broken off", path: "/broken", version: "1.0", breaks: true},
		{name: "HTTP/1.0, broken off before the first byte", path: "/unanswered", version: "1.0", breaks: true},
		{name: "HTTP/1.0, whole", path: "/whole", version: "1.0", body: "part"},
	}
	limit := New(Options{Most: 10, HeadMemory: testHeadMemory, Reclaim: func() bool { return false }})
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, ConnState: limit.Track, ConnContext: Context,
		Handler: limit.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/unanswered" {
				_, _ = io.WriteString(w, "part")
				assert.Check(t, http.NewResponseController(w).Flush())
			}
			if r.URL.Path != "/whole" {
				panic(http.ErrAbortHandler)
			}
		}), Refuse),
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(limit.Listener(socket, false)) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client, err := net.Dial("tcp", socket.Addr().String())
			assert.NilError(t, err)
			defer client.Close()
			_, err = fmt.Fprintf(client, "GET %s HTTP/%s\r\nHost: h\r\n\r\n", c.path, c.version)
			assert.NilError(t, err)
			data, err := io.ReadAll(client)
			assert.Equal(t, err != nil, c.breaks, "%q %v", data, err)
			if !c.breaks {
				assert.Assert(t, strings.HasSuffix(string(data), "\r\n\r\n"+c.body), "%q", data)
			}
		})
	}
}
