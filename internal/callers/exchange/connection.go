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
	// maxHeadBytes is the largest size of an answer's head.
	maxHeadBytes = 64 << 10
	// maxDiscardedAnswers limits the answers to other requests that are discarded before the expected one.
	maxDiscardedAnswers = 4
	// backgroundSendBytes is the size from which a request body is sent in the background, because the answer may arrive before
	// the whole body is sent.
	backgroundSendBytes = 16 << 10
	// maxDrainBytes limits what is read from an answer to another request before its connection is given up.
	maxDrainBytes = 1 << 20
	// minStatus and maxStatus are the first and the last status that HTTP defines a class for (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
)

var errHeadTooLarge = errors.New("the head of the answer is too large")

// connection is one connection to an endpoint. A goroutine reads from it all the time, so that a connection which the endpoint
// closes, or on which it sends bytes without a request, is never used again.
type connection struct {
	pool   *Pool
	peer   endpointAddress
	socket net.Conn
	reader *bufio.Reader
	limit  *limitedReader
	// usableUntil is when an idle connection becomes too old for use. It is written before the connection returns to the pool.
	usableUntil unit.Moment
	idleSince   unit.Moment   // when it last returned to the pool
	idleBefore  time.Duration // how long the connection was idle before the current request

	mu      sync.Mutex
	waiting *pending // the request that waits for its answer, nil if there is none
	inUse   bool     // claimed for a request, so not idle
	closed  bool
}

// pending is a request that is being sent or answered.
type pending struct {
	request  Request
	head     chan headResult // receives the head of the answer or the failure
	reusable chan bool       // receives whether the connection may be used again, once the answer was read
	written  chan error      // receives the result of sending the request
	sentAt   unit.Moment
}

type headResult struct {
	response *http.Response
	err      error
}

// limitedReader limits how much is read for the head of one answer.
type limitedReader struct {
	from    io.Reader
	left    int
	limited bool
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.limited {
		return l.from.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.from.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

func newConnection(p *Pool, peer endpointAddress, socket net.Conn) *connection {
	limit := &limitedReader{from: socket}
	return &connection{pool: p, peer: peer, socket: socket, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer), inUse: true}
}

// claim marks an idle connection as in use. It returns false when the connection has ended or is in use already.
func (c *connection) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.inUse {
		return false
	}
	c.inUse = true
	return true
}

func (c *connection) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.socket.Close()
}

// read passes each answer to the request that waits for it, until the connection ends.
func (c *connection) read() {
	defer c.pool.releaseSlot(c.peer)
	defer c.pool.removeIdle(c)
	defer c.close()
	for {
		c.limit.limited = false
		_, err := c.reader.Peek(1)
		p := c.pendingRequest()
		if p == nil {
			return // the endpoint closed an idle connection or sent bytes without a request
		}
		if err != nil {
			c.pool.noteEarlyClose(c, p)
			p.head <- headResult{err: fault.BrokenAnswer.Wrap(err, "the connection to %s ended before the answer", c.peer.endpoint)}
			return
		}
		response, err := c.readHead(p.request) //nolint:bodyclose // the body is read through Answer
		p.head <- headResult{response: response, err: err}
		if err != nil || !<-p.reusable {
			return
		}
		c.returnToPool(idleLimit(response.Header))
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

// readHead reads heads of answers until one belongs to the request.
func (c *connection) readHead(r Request) (*http.Response, error) {
	for range maxDiscardedAnswers {
		c.limit.limited, c.limit.left = true, maxHeadBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		c.limit.limited = false
		if err != nil {
			return nil, fault.BrokenAnswer.Wrap(err, "cannot read the answer of %s", c.peer.endpoint)
		}
		switch status := response.StatusCode; {
		case status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols:
			return nil, fault.BrokenAnswer.New("%s answered with status %d, which ends no request", c.peer.endpoint, status)
		case status < http.StatusOK:
			continue
		}
		if r.Matches == nil || r.Matches(response.Header) {
			return response, nil
		}
		answersDiscarded.Inc()
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
		if err != nil || n == maxDrainBytes || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, fault.BrokenAnswer.New("%s answered another request", c.peer.endpoint)
		}
	}
	return nil, fault.BrokenAnswer.New("%s sent %d answers to other requests", c.peer.endpoint, maxDiscardedAnswers)
}

// returnToPool makes the connection available to later requests for the given time.
func (c *connection) returnToPool(idle time.Duration) {
	c.idleSince = c.pool.now()
	c.usableUntil = c.idleSince.Add(idle)
	c.mu.Lock()
	c.waiting, c.inUse = nil, false
	closed := c.closed
	c.mu.Unlock()
	if !closed {
		c.pool.addIdle(c)
	}
}

// idleLimit returns how long a connection may be idle and still be used again, from the Keep-Alive header of its last answer.
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

// exchange sends the request on a connection that was claimed for it and waits for the head of its answer.
func (c *connection) exchange(ctx context.Context, r Request) (*Answer, error) {
	p := &pending{request: r, head: make(chan headResult, 1), reusable: make(chan bool, 1), written: make(chan error, 1), sentAt: c.pool.now()}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, fault.Unreachable.New("the connection to %s is closed", c.peer.endpoint)
	}
	c.waiting = p
	c.mu.Unlock()
	stop := context.AfterFunc(ctx, c.close)
	if len(r.Body) >= backgroundSendBytes {
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
			return nil, fault.BrokenAnswer.Wrap(ctx.Err(), "gave up waiting for %s", c.peer.endpoint)
		}
		return nil, result.err
	}
	answer := &Answer{Status: result.response.StatusCode, Header: result.response.Header}
	answer.body = &body{connection: c, pending: p, response: result.response, stopCancel: stop}
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
	if len(r.Body) < backgroundSendBytes {
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
