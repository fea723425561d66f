// Package exchange sends single requests to endpoints over kept HTTP/1.1 connections. It never sends a request twice, gives
// an answer only to the request whose id it carries, and says of every failure whether a byte of the request was sent.
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
	// dialTimeout bounds a new connection. Data centres of a region are a few milliseconds apart, and a host that is down
	// doesn't answer at all.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long the kernel waits for a peer to acknowledge data before the connection counts as broken.
	unackedTimeout = 3 * time.Second
	// defaultIdle is how long a connection is kept whose endpoint names no limit.
	defaultIdle = 30 * time.Second
	// checkedIdle is how long a connection is kept that a check has opened. It has no answer that names a limit.
	checkedIdle = 2 * time.Second
	// leastRest is the idle time up to which connections are always used again. A connection that ends within resetTime of a
	// request after a longer rest was probably forgotten; the bound that follows doubles every restDoubling.
	leastRest, resetTime, restDoubling = 100 * time.Millisecond, 30 * time.Millisecond, 3 * time.Second
	// idleShare is the part of an endpoint's own idle limit after which a connection isn't used again, so that a request
	// doesn't cross the endpoint's close.
	idleShare = 0.7
	// leastConnections is the number of connections to an endpoint that a host may always open.
	leastConnections = 4
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// NotListening is a connection that the endpoint's machine refused: it is reachable, and no process listens at the address.
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
	// Matches says whether an answer with this header belongs to the request. An answer that doesn't is read and dropped.
	Matches func(http.Header) bool
	// MaxConnections bounds the connections to the endpoint from this host.
	MaxConnections int
}

// Pool holds the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	now func() unit.Moment

	mu        sync.Mutex
	endpoints map[place]*shelf
	// rest bounds how long connections may have been idle, after some were found dead; 0 means that none were.
	rest   time.Duration
	restAt unit.Moment // when it was bounded
}

// place is an endpoint at an address. An address may be used by another endpoint later.
type place struct {
	endpoint unit.EndpointID
	address  string
}

// shelf holds the connections to one place.
type shelf struct {
	idle []*connection // the most recently used one last
	open int           // idle ones and those in use
}

// New returns an empty pool.
func New(now func() unit.Moment) *Pool {
	return &Pool{now: now, endpoints: map[place]*shelf{}}
}

// Send sends a request and waits for the head of its answer. It fails with fault.Unreachable if there is no connection, with
// fault.Overloaded if all that may be open are in use (in both cases no byte was sent), and with fault.BrokenAnswer if the
// endpoint may have run the request. When ctx ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.take(ctx, r)
	if err != nil {
		return nil, err
	}
	return c.exchange(ctx, r)
}

// Check opens a connection to an endpoint and keeps it for later requests. It fails with fault.Unreachable after two attempts,
// and doesn't try where most connections are open.
func (p *Pool) Check(ctx context.Context, endpoint unit.EndpointID, address string, most int) error {
	at := place{endpoint, address}
	if !p.reserve(at, max(most, leastConnections)) {
		return nil
	}
	c, err := p.open(ctx, at)
	if err != nil {
		// A lost packet looks like an unreachable host.
		if !p.reserve(at, max(most, leastConnections)) {
			return nil
		}
		c, err = p.open(ctx, at)
	}
	if err != nil {
		return err
	}
	c.putBack(checkedIdle)
	return nil
}

// take returns an idle connection or opens one.
func (p *Pool) take(ctx context.Context, r Request) (*connection, error) {
	at := place{r.Endpoint, r.Address}
	if c := p.takeIdle(at); c != nil {
		return c, nil
	}
	if !p.reserve(at, max(r.MaxConnections, leastConnections)) {
		return nil, fault.Overloaded.New("all connections to %s are in use", r.Endpoint)
	}
	return p.open(ctx, at)
}

// open makes a connection for which a place is reserved.
func (p *Pool) open(ctx context.Context, at place) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: unackedTimeout, Control: setUserTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", at.address)
	if err != nil {
		p.release(at)
		kind := fault.Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = NotListening
		}
		return nil, kind.Wrap(err, "cannot connect to %s at %s", at.endpoint, at.address)
	}
	connectionsOpened.Inc()
	c := newConnection(p, at, socket)
	go c.read()
	return c, nil
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

func (p *Pool) takeIdle(at place) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[at]
	for s != nil && len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		now := p.now()
		if now < c.usableUntil && now.Sub(c.keptAt) <= p.longestRest(now) && c.claim() {
			c.rested = now.Sub(c.keptAt)
			return c
		}
		// Closing it ends its reader, which gives its place on the shelf back.
		c.close()
	}
	return nil
}

// noteEnd notes a connection that ended as soon as a request was sent on it. Endpoints may forget idle connections without notice;
// whatever is sent next is lost then, and nobody knows whether it ran.
func (p *Pool) noteEnd(c *connection, sent *pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if c.rested < leastRest || now.Sub(sent.sentAt) > resetTime {
		return
	}
	p.rest, p.restAt = max(leastRest, min(c.rested, p.longestRest(now))/2), now
	connectionsForgotten.Inc()
}

// longestRest is how long a connection may have been idle to be used again. The lock must be held.
func (p *Pool) longestRest(now unit.Moment) time.Duration {
	if p.rest == 0 {
		return defaultIdle
	}
	return time.Duration(min(float64(p.rest)*math.Exp2(float64(now.Sub(p.restAt))/float64(restDoubling)), float64(defaultIdle)))
}

func (p *Pool) reserve(at place, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[at]
	if s == nil {
		s = &shelf{}
		p.endpoints[at] = s
	}
	if s.open >= most {
		return false
	}
	s.open++
	return true
}

// release gives back the place of a connection that has ended.
func (p *Pool) release(at place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[at]
	if s == nil {
		return
	}
	s.open--
	if s.open <= 0 {
		delete(p.endpoints, at)
	}
}

// keep puts a connection back for later requests.
func (p *Pool) keep(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.endpoints[c.at]; s != nil {
		s.idle = append(s.idle, c)
	}
}

// drop takes an idle connection that has ended off its shelf.
func (p *Pool) drop(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[c.at]
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

// Forget closes the idle connections to an endpoint that is gone.
func (p *Pool) Forget(endpoint unit.EndpointID) {
	p.mu.Lock()
	var closing []*connection
	for at, s := range p.endpoints {
		if at.endpoint == endpoint {
			closing = append(closing, s.idle...)
			s.idle = nil
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// Prune closes connections that have been idle for longer than they may be used.
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
