package dispatch

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errWritesStopped = errors.New("the attempt has ended, the connection accepts no more writes")

// connection counts the bytes handed to the operating system. After stopWrites it rejects writes, so that a write that the
// transport starts later can't add to the count that stopWrites returned.
type connection struct {
	net.Conn

	mu            sync.Mutex
	written       int64
	writesStopped bool
}

// Write implements net.Conn. The bytes are counted before they are written, because a write that fails may still have sent
// some of them.
func (c *connection) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.writesStopped {
		c.mu.Unlock()
		return 0, errWritesStopped
	}
	c.written += int64(len(data))
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *connection) stopWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.written
}

func (c *connection) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// connectionTracker records the connections that one attempt uses. The transport switches to another connection only if it
// wrote nothing to the previous one.
type connectionTracker struct {
	mu    sync.Mutex
	uses  []connectionUse
	ended bool
}

type connectionUse struct {
	conn          *connection
	writtenBefore int64 // bytes that earlier attempts wrote to the connection
	reused        bool
}

func (t *connectionTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *connectionTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	if t.ended {
		conn.stopWrites()
		return
	}
	t.uses = append(t.uses, connectionUse{conn: conn, writtenBefore: conn.bytesWritten(), reused: info.Reused})
}

// stopWrites stops all writes of the attempt and reports whether any byte may have been sent. It is called only after a
// failure, since it makes the connections unusable.
func (t *connectionTracker) stopWrites() (wrote bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	for _, used := range t.uses {
		if used.conn.stopWrites() > used.writtenBefore {
			wrote = true
		}
	}
	return wrote
}

func (t *connectionTracker) reused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.uses) > 0 && t.uses[len(t.uses)-1].reused
}
