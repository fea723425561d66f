// Package exchange sends single requests to endpoints over persistent HTTP/1.1 connections. It never sends a request twice,
// returns an answer only to the request whose id it carries, and reports for every failure whether a byte of the request was sent.
package exchange

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// dialTimeout limits how long opening a connection may take. Data centres of a region are a few milliseconds apart, and a host
	// that is down doesn't answer at all.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long the kernel waits for a peer to acknowledge data before the connection counts as broken.
	unackedTimeout = 3 * time.Second
	// defaultIdle is how long a connection may be idle if its endpoint names no limit.
	defaultIdle = 30 * time.Second
	// checkedIdle is how long a connection that a check has opened may be idle. No answer has named a limit for it yet.
	checkedIdle = 2 * time.Second
	// minReuseLimit is the idle time up to which connections are always used again. If a connection ends within resetWindow of a
	// request after it was idle for longer, the endpoint had probably dropped it without notice. The pool then limits the idle
	// time of the connections that it uses again; the limit doubles every reuseLimitDoubling.
	minReuseLimit, resetWindow, reuseLimitDoubling = 100 * time.Millisecond, 30 * time.Millisecond, 3 * time.Second
	// idleShare is the share of an endpoint's own idle limit after which a connection isn't used again, so that a request isn't
	// sent while the endpoint closes the connection.
	idleShare = 0.7
	// minConnections is the number of connections to an endpoint that a host may always open.
	minConnections = 4
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// NotListening is the failure of a connection that the endpoint's machine refused: the machine is reachable, but no process
// listens at the address.
var NotListening = fault.Unreachable.NewSubtype("not-listening")

var (
	connectionsOpened    = metrics.NewCounter("citronglade_endpoint_connections_opened_total")
	connectionsForgotten = metrics.NewCounter("citronglade_endpoint_connections_forgotten_total")
	answersDiscarded     = metrics.NewCounter("citronglade_endpoint_answers_discarded_total")
)

// Request is one request for one endpoint.
type Request struct {
	Endpoint unit.EndpointID
	Address  string // IP:port
	Method   string
	Target   string // path and query, as the endpoint gets it
	Host     string
	Header   http.Header
	Body     []byte
	// Matches reports whether an answer with this header belongs to the request. Other answers are read and discarded.
	Matches func(http.Header) bool
	// MaxConnections limits the connections from this host to the endpoint.
	MaxConnections int
}

// Pool holds the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection to an address. Tests replace it before the pool is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	now  func() unit.Moment

	mu        sync.Mutex
	endpoints map[endpointAddress]*endpointConnections
	// reuseLimit limits the idle time of connections that are used again, as it was set when an endpoint had last dropped an idle
	// connection; it grows from then on, see maxReuseIdle. 0 means that no endpoint has dropped one.
	reuseLimit   time.Duration
	reuseLimitAt unit.Moment // when reuseLimit was set
}

// endpointAddress is an endpoint together with its address. Another endpoint may use the same address later.
type endpointAddress struct {
	endpoint unit.EndpointID
	address  string
}

// endpointConnections holds the connections to one endpoint at one address.
type endpointConnections struct {
	idle []*connection // ordered by last use, the most recent one last
	open int           // number of connections that are idle, in use or being opened
}

// New returns an empty pool.
func New(now func() unit.Moment) *Pool {
	return &Pool{Dial: dial, now: now, endpoints: map[endpointAddress]*endpointConnections{}}
}

// Send sends a request and waits for the head of its answer. It fails with fault.Unreachable if no connection can be made, with
// fault.Overloaded if all connections that may be open are in use (in both cases no byte was sent), and with fault.BrokenAnswer if
// the endpoint may have run the request. When ctx ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return c.exchange(ctx, r)
}

// Check opens a connection to an endpoint and keeps it for later requests. It fails with fault.Unreachable after two attempts. If
// the endpoint has as many open connections as it may have, Check opens none and returns false.
func (p *Pool) Check(ctx context.Context, endpoint unit.EndpointID, address string, maxConnections int) (opened bool, err error) {
	peer := endpointAddress{endpoint, address}
	if !p.reserveSlot(peer, max(maxConnections, minConnections)) {
		return false, nil
	}
	c, err := p.open(ctx, peer)
	if err != nil {
		// The failure may be due to a lost packet: try once more.
		if !p.reserveSlot(peer, max(maxConnections, minConnections)) {
			return false, nil
		}
		c, err = p.open(ctx, peer)
	}
	if err != nil {
		return false, err
	}
	c.returnToPool(checkedIdle)
	return true, nil
}

// acquire returns an idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, r Request) (*connection, error) {
	peer := endpointAddress{r.Endpoint, r.Address}
	if c := p.acquireIdle(peer); c != nil {
		return c, nil
	}
	if !p.reserveSlot(peer, max(r.MaxConnections, minConnections)) {
		return nil, fault.Overloaded.New("all connections to %s are in use", r.Endpoint)
	}
	return p.open(ctx, peer)
}

// open opens a connection for which a slot is reserved.
func (p *Pool) open(ctx context.Context, peer endpointAddress) (*connection, error) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	socket, err := p.Dial(limited, peer.address)
	cancel()
	if err != nil {
		p.releaseSlot(peer)
		kind := fault.Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = NotListening
		}
		return nil, kind.Wrap(err, "cannot connect to %s at %s", peer.endpoint, peer.address)
	}
	connectionsOpened.Inc()
	c := newConnection(p, peer, socket)
	go c.read()
	return c, nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: unackedTimeout, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

func (p *Pool) acquireIdle(peer endpointAddress) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[peer]
	for s != nil && len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		now := p.now()
		if now < c.usableUntil && now.Sub(c.idleSince) <= p.maxReuseIdle(now) && c.claim() {
			c.idleBefore = now.Sub(c.idleSince)
			return c
		}
		// Closing the connection ends its reading goroutine, which releases its slot.
		c.close()
	}
	return nil
}

// noteEarlyClose reduces the idle time after which connections are used again, if a connection ended as soon as a request was
// sent on it after an idle time. Endpoints may drop idle connections without notice; the next request on them is lost then, and
// it is unknown whether it ran.
func (p *Pool) noteEarlyClose(c *connection, sent *pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if c.idleBefore < minReuseLimit || now.Sub(sent.sentAt) > resetWindow {
		return
	}
	p.reuseLimit, p.reuseLimitAt = max(minReuseLimit, min(c.idleBefore, p.maxReuseIdle(now))/2), now
	connectionsForgotten.Inc()
}

// maxReuseIdle returns how long a connection may have been idle to be used again. p.mu must be held.
func (p *Pool) maxReuseIdle(now unit.Moment) time.Duration {
	if p.reuseLimit == 0 {
		return defaultIdle
	}
	return time.Duration(min(float64(p.reuseLimit)*math.Exp2(float64(now.Sub(p.reuseLimitAt))/float64(reuseLimitDoubling)), float64(defaultIdle)))
}

func (p *Pool) reserveSlot(peer endpointAddress, maxConnections int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[peer]
	if s == nil {
		s = &endpointConnections{}
		p.endpoints[peer] = s
	}
	if s.open >= maxConnections {
		return false
	}
	s.open++
	return true
}

// releaseSlot releases the slot of a connection that has ended.
func (p *Pool) releaseSlot(peer endpointAddress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[peer]
	if s == nil {
		return
	}
	s.open--
	if s.open <= 0 {
		delete(p.endpoints, peer)
	}
}

// addIdle adds a connection to the idle ones.
func (p *Pool) addIdle(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.endpoints[c.peer]; s != nil {
		s.idle = append(s.idle, c)
	}
}

// removeIdle removes a connection that has ended from the idle ones.
func (p *Pool) removeIdle(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[c.peer]
	if s == nil {
		return
	}
	for i, other := range s.idle {
		if other == c {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			return
		}
	}
}

// CloseIdle closes the idle connections to an endpoint that is gone.
func (p *Pool) CloseIdle(endpoint unit.EndpointID) {
	p.mu.Lock()
	var closing []*connection
	for peer, s := range p.endpoints {
		if peer.endpoint == endpoint {
			closing = append(closing, s.idle...)
			s.idle = nil
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// Prune closes connections that have been idle for longer than their usableUntil allows.
func (p *Pool) Prune() {
	now := p.now()
	p.mu.Lock()
	var closing []*connection
	for _, s := range p.endpoints {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now < c.usableUntil {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		s.idle = kept
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}
