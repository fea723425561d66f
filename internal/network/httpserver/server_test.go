package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testLimits are wide enough for every request of these tests.
var testLimits = Limits{Bytes: 64 << 10, Timeout: time.Minute}

// start serves with limits that the test may replace. It returns the limits, the server and the result of Serve.
func start(t *testing.T) (*atomic.Pointer[Limits], *Server, chan error) {
	t.Helper()
	socket, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limits := &atomic.Pointer[Limits]{}
	limits.Store(&testLimits)
	s := New(socket, Options{
		Limits: func() Limits { return *limits.Load() },
		Configure: func(Limits) *http.Server {
			return &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})} //nolint:gosec // New sets the timeout
		},
		Track: func(net.Conn, http.ConnState) {},
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	return limits, s, served
}

// client is one connection.
type client struct {
	net.Conn
	answers *bufio.Reader
}

func dial(t *testing.T, s *Server) *client {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.socket.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &client{Conn: c, answers: bufio.NewReader(c)}
}

// status sends a request with a header of some size and returns the status of the answer.
func (c *client) status(t *testing.T, headerBytes int) int {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Large: %s\r\n\r\n", strings.Repeat("x", headerBytes))
	assert.NilError(t, err)
	answer, err := http.ReadResponse(c.answers, nil)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	return answer.StatusCode
}

// Guards against changed limits that don't reach new connections, and against earlier connections that are cut by a change.
func TestChangedLimitsTakeEffectForNewConnections(t *testing.T) {
	limits, s, _ := start(t)
	const headerBytes = 20 << 10
	earlier := dial(t, s)
	assert.Equal(t, earlier.status(t, headerBytes), http.StatusOK)
	cases := []struct {
		name   string
		limits Limits
		status int
	}{
		{"a smaller header", Limits{Bytes: 8 << 10, Timeout: time.Minute}, http.StatusRequestHeaderFieldsTooLarge},
		{"the same", Limits{Bytes: 8 << 10, Timeout: time.Minute}, http.StatusRequestHeaderFieldsTooLarge},
		{"a larger header", testLimits, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limits.Store(&c.limits)
			assert.Equal(t, dial(t, s).status(t, headerBytes), c.status)
			assert.Equal(t, earlier.status(t, headerBytes), http.StatusOK)
		})
	}
	limits.Store(&Limits{Bytes: 8 << 10, Timeout: 100 * time.Millisecond})
	slow := dial(t, s)
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	_, err = slow.answers.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, earlier.status(t, headerBytes), http.StatusOK)
}

// Guards against a stop that misses the connections from before a change of the limits, and against instances that are kept for ever.
func TestStoppingReachesConnectionsOfAllLimits(t *testing.T) {
	limits, s, served := start(t)
	var clients []*client
	for i := range 3 {
		limits.Store(&Limits{Bytes: testLimits.Bytes + i, Timeout: testLimits.Timeout})
		c := dial(t, s)
		assert.Equal(t, c.status(t, 1), http.StatusOK)
		clients = append(clients, c)
	}
	assert.Equal(t, s.Connections(), int64(3))
	assert.NilError(t, s.StopListening())
	assert.ErrorIs(t, <-served, net.ErrClosed)
	for _, c := range clients { // idle ones are closed at once
		_, err := c.answers.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
	}
	assert.Assert(t, s.Close() != nil) // the listener is closed already
}

// Guards against Close while the limits change, after which a new instance would go on accepting connections.
func TestCloseEndsServing(t *testing.T) {
	limits, s, served := start(t)
	open := dial(t, s)
	assert.Equal(t, open.status(t, 1), http.StatusOK)
	limits.Store(&Limits{Bytes: 8 << 10, Timeout: time.Minute})
	assert.Equal(t, dial(t, s).status(t, 1), http.StatusOK)
	assert.NilError(t, s.Close())
	err := <-served
	assert.Assert(t, errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed), "%v", err)
	_, err = open.answers.ReadByte()
	assert.Assert(t, err != nil)
	assert.ErrorIs(t, s.begin().Serve(s.socket), http.ErrServerClosed)
}
