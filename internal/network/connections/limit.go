// Package connections limits the connections that clients open to a host, over all of its listeners. When there are too many, those that wait
// for a request are closed first.
package connections

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// ReservedDescriptors are left for the listeners, the files and the connections between hosts.
	ReservedDescriptors = 200
	// Of the other descriptors, clients may use clientShare in clientShareOf; the rest is left for connections to endpoints.
	clientShare, clientShareOf = 3, 4
	// minConnections is the limit on machines with very few descriptors.
	minConnections = 16
	// memoryShare is the part of the memory that connections may take: one third. connectionBytes is what one takes beside the header that
	// its client sends: both buffers and the stack.
	memoryShare     = 3
	connectionBytes = 16 << 10
	// maxHeaderBytes is the largest header on any machine.
	maxHeaderBytes = 64 << 20
	// headMemoryShare is the part of the memory that the heads of all connections may take: one eighth. It belongs to that of the connections.
	headMemoryShare = 8
	// Of the memory for heads, those of requests that are served may take servedShare in servedShareOf, and those over smallHeadBytes
	// largeShare in servedShareOf. The rest is left for heads that are being read.
	servedShare, largeShare, servedShareOf = 3, 2, 4
	smallHeadBytes                         = 64 << 10
	// retryAfter is sent with a refusal for lack of memory.
	retryAfter = time.Second
)

var (
	closedIdle    = metrics.NewCounter(`citronglade_connections_closed_total{state="waiting"}`)
	closedAtOnce  = metrics.NewCounter(`citronglade_connections_closed_total{state="new"}`)
	closedForBody = metrics.NewCounter(`citronglade_connections_closed_total{state="body"}`)
	closedForHead = metrics.NewCounter(`citronglade_connections_closed_total{state="head"}`)
	headsRefused  = metrics.NewCounter("citronglade_heads_refused_total")
)

// errClosed is returned to net/http for a connection that was closed because of the limit. It answers no request then.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Most returns the limit for a process with the given number of descriptors and bytes of memory, whose clients send headers of at most the
// given size. 0 descriptors or bytes are no bound.
func Most(descriptors int, memoryBytes, headerBytes int64) int {
	most := descriptors
	if descriptors > 0 {
		most = (descriptors - ReservedDescriptors) * clientShare / clientShareOf
	}
	if fits := int(memoryBytes / memoryShare / (headerBytes + connectionBytes)); fits > 0 && (most <= 0 || fits < most) {
		most = fits
	}
	if descriptors <= 0 && memoryBytes <= 0 {
		return 0
	}
	return max(most, minConnections)
}

// MaxHeaderBytes returns the largest header for which Most returns at least its smallest limit within the memory, which is 0 if it isn't known.
func MaxHeaderBytes(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return maxHeaderBytes
	}
	return min(max(memoryBytes/memoryShare/minConnections-connectionBytes, connectionBytes), maxHeaderBytes)
}

// HeadMemory returns the memory that the heads of all connections may take. 0 is no bound.
func HeadMemory(memoryBytes int64) int64 {
	return memoryBytes / headMemoryShare
}

// Options are the parameters of New.
type Options struct {
	Most       int   // connections, 0 for no limit
	HeadMemory int64 // of all connections together in bytes, 0 for no limit
	// Reclaim gives up a request whose body makes no progress, and returns false if there is none. It is called when no connection waits for a
	// request, or when the head of a small request finds no memory.
	Reclaim func() bool
}

// Limit counts the connections of all listeners of a host and the memory that the heads of their requests take, and closes those beyond the
// limit. It is safe for concurrent use.
type Limit struct {
	options Options // SetMost changes Most, for which the lock must be held

	mu      sync.Mutex
	open    map[net.Conn]*list.Element // nil while a request is served
	waiting list.List                  // connections without a complete header, the one that has waited longest first
	heads   int64                      // memory of all heads
	served  int64                      // the part of it that belongs to requests that are served
	closing int                        // connections with a head that are closed and haven't ended yet
	ended   sync.Cond                  // one of these has ended, or was closed while it waits for memory
	report  Report
}

// Report says how many connections were closed and requests refused because of the limit.
type Report struct {
	Closed  int
	Refused int
	Open    int   // at the time of the report
	Heads   int64 // memory of the heads at the time of the report
}

// New returns a limit.
func New(o Options) *Limit {
	l := &Limit{options: o, open: map[net.Conn]*list.Element{}}
	l.ended.L = &l.mu
	return l
}

// Listener returns a listener whose connections are counted. Track and Context must be called for them. With tls, all bytes count like those of
// a handshake.
func (l *Limit) Listener(socket net.Listener, tls bool) net.Listener {
	return &listener{Listener: socket, limit: l, tls: tls}
}

// SetMost replaces the limit, which must not be 0 before or afterwards. If it is lowered, connections that wait for a request are closed when the
// next one is opened.
func (l *Limit) SetMost(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.Most = most
}

// Track is called for each change of a connection's state; see http.Server.ConnState.
func (l *Limit) Track(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := counted(c); known != nil {
		l.trackHead(known, state)
	}
	if l.options.Most <= 0 {
		return
	}
	element, known := l.open[c]
	switch {
	case !known && state != http.StateNew:
		return // closed by this package
	case element != nil:
		l.waiting.Remove(element)
	}
	switch state {
	case http.StateNew:
		l.makeRoom(c)
	case http.StateActive:
		l.open[c] = nil
	case http.StateIdle:
		l.open[c] = l.waiting.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		delete(l.open, c)
	}
}

// makeRoom adds a new connection, and closes one if there are too many: the one that has waited longest for a request, or else the new one
// unless a request is given up for it.
func (l *Limit) makeRoom(c net.Conn) {
	for len(l.open) > l.options.Most && l.waiting.Len() > 0 { // the limit was lowered
		l.closeWaiting()
	}
	if len(l.open) >= l.options.Most {
		switch {
		case l.waiting.Len() > 0:
			l.closeWaiting()
		case l.options.Reclaim():
			l.report.Closed++
			closedForBody.Inc()
		default:
			l.report.Closed++
			closedAtOnce.Inc()
			l.close(c)
			return
		}
	}
	l.open[c] = l.waiting.PushBack(c)
}

// closeWaiting closes the connection that has waited longest for a request. There must be one.
func (l *Limit) closeWaiting() {
	l.report.Closed++
	closedIdle.Inc()
	l.close(l.waiting.Remove(l.waiting.Front()).(net.Conn)) //nolint:forcetypeassert // the list holds connections only
}

// close closes a connection without waiting for its client.
func (l *Limit) close(c net.Conn) {
	delete(l.open, c)
	if known := counted(c); known != nil {
		l.closeHead(known)
	}
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn() // the end of a TLS connection would be written first
	}
	_ = c.Close() // it isn't used any more
}

// Report returns what was closed since the last call.
func (l *Limit) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	report.Open, report.Heads = len(l.open), l.heads
	l.report = Report{}
	return report
}
