package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	readBuffer = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxDiscarded bounds the foreign answers that are dropped in front of the awaited one.
	maxDiscarded = 4
	// backgroundBody is the size from which a body is sent beside waiting for the answer, which may come before its end.
	backgroundBody = 16 << 10
	// maxDrain bounds what is read from a foreign answer before its connection is given up.
	maxDrain = 1 << 20
)

var errHeadTooLarge = errors.New("the head of the answer is too large")

// connection is one connection to an endpoint. A goroutine of its own reads it all the time, so that a connection that the
// endpoint closes or sends unasked bytes on is never used again.
type connection struct {
	pool   *Pool
	at     place
	socket net.Conn
	reader *bufio.Reader
	limit  *limitedReader
	// usableUntil is when an idle connection becomes too old; it is written before the connection is put back.
	usableUntil unit.Moment
	keptAt      unit.Moment   // when it was put back last
	rested      time.Duration // how long it was idle before the current request

	mu      sync.Mutex
	waiting *pending // the request that waits for its answer
	claimed bool     // taken from the shelf for a request
	closed  bool
}

// pending is a request on its way.
type pending struct {
	request Request
	head    chan headResult // gets the answer's head or the failure
	read    chan bool       // gets whether the connection may be used again once the answer was read
	written chan error      // gets the result of sending the request
	sentAt  unit.Moment
}

type headResult struct {
	response *http.Response
	err      error
}

// limitedReader bounds what is read for the head of one answer.
type limitedReader struct {
	from  io.Reader
	left  int
	bound bool
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.bound {
		return l.from.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.from.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

func newConnection(p *Pool, at place, socket net.Conn) *connection {
	limit := &limitedReader{from: socket}
	return &connection{pool: p, at: at, socket: socket, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer), claimed: true}
}

// claim marks an idle connection as taken. It fails when the connection has ended.
func (c *connection) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.claimed {
		return false
	}
	c.claimed = true
	return true
}

func (c *connection) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.socket.Close()
}

// read hands each answer to the request that waits for it, until the connection ends.
func (c *connection) read() {
	defer c.pool.release(c.at)
	defer c.pool.drop(c)
	defer c.close()
	for {
		c.limit.bound = false
		_, err := c.reader.Peek(1)
		p := c.pendingRequest()
		if p == nil {
			return // the endpoint closed an idle connection or sent unasked bytes
		}
		if err != nil {
			c.pool.noteEnd(c, p)
			p.head <- headResult{err: fault.BrokenAnswer.Wrap(err, "the connection to %s ended before the answer", c.at.endpoint)}
			return
		}
		response, err := c.readHead(p.request) //nolint:bodyclose // the body is read through Answer
		p.head <- headResult{response: response, err: err}
		if err != nil || !<-p.read {
			return
		}
		c.putBack(idleLimit(response.Header))
	}
}

func (c *connection) pendingRequest() *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.closed = true
	}
	return c.waiting
}

// readHead reads heads until one belongs to the request.
func (c *connection) readHead(r Request) (*http.Response, error) {
	for range maxDiscarded {
		c.limit.bound, c.limit.left = true, maxHeadBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		c.limit.bound = false
		if err != nil {
			return nil, fault.BrokenAnswer.Wrap(err, "cannot read the answer of %s", c.at.endpoint)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(response.Header) {
			return response, nil
		}
		answersDiscarded.Inc()
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrain))
		if err != nil || n == maxDrain || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, fault.BrokenAnswer.New("%s answered another request", c.at.endpoint)
		}
	}
	return nil, fault.BrokenAnswer.New("%s sent %d answers to other requests", c.at.endpoint, maxDiscarded)
}

// putBack keeps the connection for the next request, for so long at most.
func (c *connection) putBack(idle time.Duration) {
	c.keptAt = c.pool.now()
	c.usableUntil = c.keptAt.Add(idle)
	c.mu.Lock()
	c.waiting, c.claimed = nil, false
	closed := c.closed
	c.mu.Unlock()
	if !closed {
		c.pool.keep(c)
	}
}

// idleLimit returns how long a connection may be idle before it isn't used again.
func idleLimit(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.ParseFloat(value, 64)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds * idleShare * float64(time.Second))
		}
	}
	return defaultIdle
}

// exchange sends the request on a connection that was taken for it.
func (c *connection) exchange(ctx context.Context, r Request) (*Answer, error) {
	p := &pending{request: r, head: make(chan headResult, 1), read: make(chan bool, 1), written: make(chan error, 1), sentAt: c.pool.now()}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, fault.Unreachable.New("the connection to %s has ended", c.at.endpoint)
	}
	c.waiting = p
	c.mu.Unlock()
	stop := context.AfterFunc(ctx, c.close)
	if len(r.Body) >= backgroundBody {
		go func() { p.written <- c.write(r) }()
	} else if err := c.write(r); err != nil {
		p.written <- err
	} else {
		p.written <- nil
	}
	result := <-p.head
	if result.err != nil {
		stop()
		if ctx.Err() != nil {
			return nil, fault.BrokenAnswer.Wrap(ctx.Err(), "gave up waiting for %s", c.at.endpoint)
		}
		return nil, result.err
	}
	answer := &Answer{Status: result.response.StatusCode, Header: result.response.Header}
	answer.body = &body{connection: c, pending: p, response: result.response, stop: stop}
	return answer, nil
}

func (c *connection) write(r Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n")
	if len(r.Body) < backgroundBody {
		head.Write(r.Body)
		_, err := c.socket.Write(head.Bytes())
		return err
	}
	if _, err := c.socket.Write(head.Bytes()); err != nil {
		return err
	}
	_, err := c.socket.Write(r.Body)
	return err
}
