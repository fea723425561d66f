package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
)

// memoryNetwork connects callers, a handler and endpoints without sockets, so that a test can run in a synctest bubble: there, time passes
// only while all goroutines wait, and results don't depend on the speed of the machine.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
	open      []net.Conn                 // both ends
}

// newMemoryNetwork returns a network whose connections are closed at the end of the test.
func newMemoryNetwork(t *testing.T) *memoryNetwork {
	t.Helper()
	n := &memoryNetwork{listeners: map[string]*memoryListener{}}
	t.Cleanup(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, end := range n.open {
			_ = end.Close()
		}
	})
	return n
}

// listen returns a listener that is closed at the end of the test.
func (n *memoryNetwork) listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l := &memoryListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (n *memoryNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	near, far := net.Pipe()
	n.open = append(n.open, near, far)
	n.mu.Unlock()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect gives a handler the network and the clock of the bubble.
func (n *memoryNetwork) connect(h *Handler) {
	began := time.Now()
	h.Now = func() unit.Moment { return unit.Moment(time.Since(began)) }
	h.Pool = exchange.New(h.Now)
	h.Pool.Dial = n.dial
}

// client returns a client for addresses of the network. Each of its requests has a connection of its own.
func (n *memoryNetwork) client() *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, address) }
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

type memoryListener struct {
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return l }

func (l *memoryListener) Network() string { return "memory" }

func (l *memoryListener) String() string { return l.address }
