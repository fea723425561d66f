package connections

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	// byteMemory is the memory that a byte of a head takes: in the line that is read, and in the field that it becomes.
	byteMemory = 2
	// fieldMemory is the memory that a field of a head or an entry of a list takes, however short it is: in the map of the fields, twice while
	// the map grows, and in the copies that are forwarded.
	fieldMemory = 256
	// handshakeByteMemory is the memory that a byte of a TLS handshake takes: names of protocols may have one byte and another for their length.
	handshakeByteMemory = 32
	// bufferBytes is what net/http reads ahead of a request.
	bufferBytes = 4 << 10
)

// connection counts what its client sends as the head of a request.
type connection struct {
	*net.TCPConn
	limit *Limit
	tls   bool

	running   atomic.Bool  // a request is served, so what is read belongs to its body
	ahead     atomic.Int64 // memory for what may have been read of the next head together with a body
	deadlines atomic.Int64 // for reading, since the last request was answered

	// The limit's lock protects the following fields.
	head    int64 // memory that the head takes
	served  int64 // the part of head that is counted for requests that are served
	closed  bool  // because of the limit
	closing bool  // closed with a head, and not ended yet
}

// listener accepts connections that a limit counts.
type listener struct {
	net.Listener
	limit *Limit
	tls   bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		return &connection{TCPConn: tcp, limit: l.limit, tls: l.tls}, nil
	}
	return c, err
}

// Read implements net.Conn. It fails if the head finds no memory.
func (c *connection) Read(p []byte) (int, error) {
	if !c.running.Load() && c.deadlines.Load() <= 1 && c.ahead.Swap(0) > 0 {
		c.limit.drop(c) // the server has nothing of the next head
	}
	n, err := c.TCPConn.Read(p)
	if n <= 0 {
		return n, err
	}
	if c.running.Load() {
		if !c.tls {
			c.readAhead(p, n)
		}
		return n, err
	}
	if failure := c.limit.addHead(c, c.memory(p[:n])); failure != nil {
		return 0, failure
	}
	return n, err
}

// SetReadDeadline implements net.Conn. net/http sets a deadline before it waits for the next request, and others once it has the first bytes.
func (c *connection) SetReadDeadline(at time.Time) error {
	c.deadlines.Add(1)
	return c.TCPConn.SetReadDeadline(at)
}

// readAhead records what may belong to the next head: nothing of a piece that is read past the server's buffer, and the single byte with which
// the server finds out that its client has gone.
func (c *connection) readAhead(p []byte, n int) {
	switch {
	case len(p) == 1:
		c.ahead.Add(c.memory(p[:n]))
	case len(p) <= bufferBytes:
		c.ahead.Store(c.memory(p[:n]))
	default:
		c.ahead.Store(0)
	}
}

// memory returns the memory that a piece of a head takes.
func (c *connection) memory(piece []byte) int64 {
	if c.tls {
		return handshakeByteMemory * int64(len(piece))
	}
	fields := bytes.Count(piece, []byte{'\n'}) + bytes.Count(piece, []byte{','})
	return byteMemory*int64(len(piece)) + fieldMemory*int64(fields)
}

// counted returns the connection below TLS, nil if it isn't counted.
func counted(c net.Conn) *connection {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	known, _ := c.(*connection)
	return known
}

type contextKey struct{}

// Context returns the context for the requests of a connection; see http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, counted(c))
}
