// Package httpserver serves a listener over HTTP with limits for the headers of requests that may change while it is open. net/http reads them
// from the fields of a server, which must not change while it serves; so connections that are accepted after a change get a server of their
// own, and earlier ones keep theirs.
package httpserver

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the limits for the header of a request.
type Limits struct {
	Bytes   int           // net/http accepts 4 KiB more
	Timeout time.Duration // to send a header, from the opening of the connection or from the first byte of a later request
}

// Options are the parameters of New.
type Options struct {
	// Limits returns the limits in force. It is called for each connection.
	Limits func() Limits
	// Configure returns the other settings. It is called when the server begins and after each change of the limits.
	Configure func(Limits) *http.Server
	// Track is called for each change of a connection's state; see http.Server.ConnState.
	Track func(net.Conn, http.ConnState)
}

// Server serves one listener. It is safe for concurrent use.
type Server struct {
	options Options
	socket  net.Listener

	mu       sync.Mutex
	inUse    []*instance // the last one accepts connections
	stopping bool        // connections are closed after their next answer
	closed   bool
}

// instance is the server of the connections that were accepted under the same limits.
type instance struct {
	*http.Server
	limits Limits
	open   atomic.Int64 // connections
}

// New returns a server for the socket, which it closes.
func New(socket net.Listener, o Options) *Server {
	return &Server{options: o, socket: socket}
}

// Serve accepts connections until the listener is closed. It always returns an error: http.ErrServerClosed or net.ErrClosed after Close and
// StopListening. Requests may still be running then.
func (s *Server) Serve() error {
	var accepted net.Conn
	for {
		current := s.begin()
		l := &listener{Listener: s.socket, first: accepted, stale: func() bool { return s.options.Limits() != current.limits }}
		err := current.Serve(l)
		if l.rest == nil {
			return err
		}
		accepted = l.rest
	}
}

// begin returns an instance with the limits in force. Former instances without connections are dropped.
func (s *Server) begin() *instance {
	limits := s.options.Limits()
	i := &instance{Server: s.options.Configure(limits), limits: limits}
	i.MaxHeaderBytes, i.ReadHeaderTimeout = limits.Bytes, limits.Timeout
	i.ConnState = func(c net.Conn, state http.ConnState) {
		s.options.Track(c, state)
		switch state {
		case http.StateNew:
			i.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			i.open.Add(-1)
		case http.StateActive, http.StateIdle:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse = slices.DeleteFunc(s.inUse, func(former *instance) bool { return former.open.Load() == 0 })
	s.inUse = append(s.inUse, i)
	if s.stopping {
		i.SetKeepAlivesEnabled(false)
	}
	if s.closed {
		_ = i.Close() // has no connections yet
	}
	return i
}

// Connections returns the number of open connections.
func (s *Server) Connections() (open int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.inUse {
		open += i.open.Load()
	}
	return open
}

// StopListening closes the listener and the idle connections. Others are closed after their next answer. Unlike http.Server.Shutdown, it doesn't
// close a connection without an answer to a request that comes after it.
func (s *Server) StopListening() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, i := range s.inUse {
		i.SetKeepAlivesEnabled(false)
	}
	return s.socket.Close()
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	err := s.socket.Close() // first, since http.Server.Close waits until nothing is accepted any more
	for _, i := range s.inUse {
		_ = i.Close() // closes connections only
	}
	return err
}

// listener accepts connections for one instance, until the limits have changed. It leaves the socket open for the next instance.
type listener struct {
	net.Listener
	first net.Conn // accepted before the instance began, or nil
	stale func() bool
	rest  net.Conn // accepted after the limits had changed
}

// Accept implements net.Listener. It fails with net.ErrClosed if the connection is for the next instance.
func (l *listener) Accept() (net.Conn, error) {
	if c := l.first; c != nil {
		l.first = nil
		return c, nil
	}
	c, err := l.Listener.Accept()
	if err == nil && l.stale() {
		l.rest = c
		return nil, net.ErrClosed
	}
	return c, err
}

// Close implements net.Listener. Server closes the socket.
func (l *listener) Close() error {
	if l.first != nil {
		return l.first.Close()
	}
	return nil
}
