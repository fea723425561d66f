package harness

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerTimeout       = 10 * time.Second
	maxHeaderBytes      = 256 << 10
	relistenDelay       = 5 * time.Millisecond
	maxRelistenAttempts = 400
)

// Listener serves a handler on one address. To emulate a crash and restart, it can close all connections and reopen on
// the same address.
type Listener struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	server  *http.Server
	ready   chan struct{}
}

// NewListener returns a listener for address; port 0 selects a free port at Open.
func NewListener(address string, handler http.Handler) *Listener {
	return &Listener{handler: handler, address: address, ready: make(chan struct{})}
}

// Open listens and serves in the background.
func (l *Listener) Open(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	l.address = socket.Addr().String()
	l.server = &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func(server *http.Server) { _ = server.Serve(socket) }(l.server)
	select {
	case <-l.ready:
	default:
		close(l.ready)
	}
	return nil
}

// Serve listens and sends announcements until ctx ends.
func (l *Listener) Serve(ctx context.Context, announcements Options) error {
	if err := l.Open(ctx); err != nil {
		return err
	}
	defer l.Close()
	NewAnnouncer(announcements).Run(ctx)
	<-ctx.Done()
	return nil
}

// Reopen listens on the same address again and retries while the port is still in use.
func (l *Listener) Reopen(ctx context.Context) error {
	var err error
	for range maxRelistenAttempts {
		if err = l.Open(ctx); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(relistenDelay):
		}
	}
	return err
}

// Close closes the socket and all connections.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		_ = l.server.Close()
		l.server = nil
	}
}

// Address returns the bound address; it waits until the first Open.
func (l *Listener) Address() string {
	<-l.ready
	return l.ListenAddress()
}

// ListenAddress returns the bound address or, before the first Open, the configured one.
func (l *Listener) ListenAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}
