package driver

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// maxDatagram is the size of the receive buffers in bytes; no UDP payload is larger.
const maxDatagram = 1 << 16

// Relay forwards UDP datagrams from one host to the link address of another, and the replies back. A blocked relay drops the
// datagrams of both directions without an error, as a network partition does.
type Relay struct {
	socket  net.PacketConn
	target  string
	blocked atomic.Bool

	mu       sync.Mutex
	upstream map[string]net.Conn // sockets to the target, by the sender's address
	closed   bool
}

// NewRelay starts a relay that listens on a free loopback port and forwards to target.
func NewRelay(target string) (*Relay, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0") //nolint:noctx // closed by Close
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot open a relay to %s", target)
	}
	r := &Relay{socket: socket, target: target, upstream: map[string]net.Conn{}}
	go r.forward()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	return r.socket.LocalAddr().String()
}

// SetBlocked makes the relay drop all datagrams (true) or forward them (false).
func (r *Relay) SetBlocked(blocked bool) {
	r.blocked.Store(blocked)
}

// Close closes all sockets of the relay, which also ends its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.socket.Close()
	for _, connection := range r.upstream {
		_ = connection.Close()
	}
}

func (r *Relay) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := r.socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		if r.blocked.Load() {
			continue
		}
		if connection := r.connectionFor(from); connection != nil {
			_, _ = connection.Write(buffer[:size])
		}
	}
}

// connectionFor returns the socket that forwards the datagrams of one sender to the target, and opens it if needed. It returns
// nil if the relay is closed or the socket cannot be opened.
func (r *Relay) connectionFor(sender net.Addr) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if connection, ok := r.upstream[sender.String()]; ok || r.closed {
		return connection
	}
	connection, err := net.Dial("udp", r.target) //nolint:noctx // dialing UDP doesn't block
	if err != nil {
		return nil
	}
	r.upstream[sender.String()] = connection
	go r.forwardReplies(connection, sender)
	return connection
}

func (r *Relay) forwardReplies(connection net.Conn, sender net.Addr) {
	buffer := make([]byte, maxDatagram)
	for {
		size, err := connection.Read(buffer)
		switch {
		case err == nil && !r.blocked.Load():
			_, _ = r.socket.WriteTo(buffer[:size], sender)
		case err != nil && r.isClosed():
			return
		}
		// While the relay is open, a read error means that the target's port is closed. The target may be restarted, so the
		// socket stays open.
	}
}

func (r *Relay) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}
