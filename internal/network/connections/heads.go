package connections

import (
	"container/list"
	"math"
	"net"
	"net/http"
	"strconv"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// addHead takes memory for a piece of a head. If there is none, it closes the connections that wait with the largest heads, and waits until they
// have ended. It fails if the connection itself is closed.
func (l *Limit) addHead(c *connection, bytes int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.head += bytes
	l.heads += bytes
	if l.options.HeadMemory <= 0 || l.options.Most <= 0 {
		return nil
	}
	for !c.closed && l.heads > l.options.HeadMemory {
		if l.closing == 0 && !l.closeLargest() {
			break
		}
		if !c.closed && l.closing > 0 {
			l.ended.Wait()
		}
	}
	if c.closed {
		return errClosed
	}
	return nil
}

// closeLargest closes the connection with the largest head of those that have not sent it completely, of several the one that has waited longest.
// It returns false if there is none.
func (l *Limit) closeLargest() bool {
	var largest *list.Element
	most := int64(0)
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if known := counted(e.Value.(net.Conn)); known != nil && known.head > most { //nolint:forcetypeassert // the list holds connections only
			largest, most = e, known.head
		}
	}
	if largest == nil {
		return false
	}
	l.report.Closed++
	closedForHead.Inc()
	l.close(l.waiting.Remove(largest).(net.Conn)) //nolint:forcetypeassert // as above
	return true
}

// closeHead marks a connection as closed because of the limit. The lock must be held.
func (l *Limit) closeHead(c *connection) {
	c.closed = true
	if c.head > 0 {
		c.closing = true
		l.closing++
	}
	l.ended.Broadcast() // it may be waiting for memory
}

// trackHead updates the memory of a head after a change of the connection's state. The lock must be held.
func (l *Limit) trackHead(c *connection, state http.ConnState) {
	switch state {
	case http.StateNew:
	case http.StateActive:
		c.running.Store(true)
	case http.StateIdle:
		l.releaseHead(c)
		c.head = c.ahead.Load()
		l.heads += c.head
		c.deadlines.Store(0)
		c.running.Store(false)
	case http.StateClosed, http.StateHijacked:
		l.releaseHead(c)
	}
}

// releaseHead returns the memory of a head. The lock must be held.
func (l *Limit) releaseHead(c *connection) {
	if c.closing {
		c.closing = false
		l.closing--
		l.ended.Broadcast()
	}
	l.heads -= c.head
	l.served -= c.served
	c.head, c.served = 0, 0
}

// drop returns the memory of a head that nobody uses any more.
func (l *Limit) drop(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseHead(c)
}

// Handler returns a handler that refuses requests whose heads would take more memory than those of all served requests may. refuse writes the
// answer to a fault.Overloaded with a time to wait; Refuse does it for clients that expect no format.
func (l *Limit) Handler(next http.Handler, refuse func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(contextKey{}).(*connection)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		switch served, closed := l.serve(c); {
		case served:
			c.serve(next, w, r)
		case closed:
			panic(http.ErrAbortHandler) // nobody reads an answer
		default:
			r.Header, r.Trailer = nil, nil // the rest of the body may take a second
			l.drop(c)
			refuse(w, fault.Overloaded.New("the heads of all requests together take too much memory").WithProperty(fault.RetryAfter, retryAfter))
		}
	})
}

// serve passes a request to the handler. If the answer breaks off, the connection of a client of HTTP/1.0 is reset: without chunks, a connection
// that is closed looks like the end of the answer.
func (c *connection) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	whole := false
	defer func() {
		if !whole && !r.ProtoAtLeast(1, 1) {
			_ = c.SetLinger(0) // fails only if the connection is closed
		}
	}()
	next.ServeHTTP(w, r)
	whole = true
}

// Refuse answers with status 503 and the error as text.
func Refuse(w http.ResponseWriter, err error) {
	if after, ok := fault.RetryAfterOf(err); ok {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// serve counts the head of a connection for the requests that are served. It returns false if there is no memory for it, or if the connection was
// closed.
func (l *Limit) serve(c *connection) (served, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false, true
	}
	share := int64(servedShare)
	small := c.head <= smallHeadBytes
	if !small {
		share = largeShare
	}
	if l.options.HeadMemory > 0 && l.served > 0 && l.served+c.head > l.options.HeadMemory*share/servedShareOf {
		l.report.Refused++
		headsRefused.Inc()
		if small {
			l.options.Reclaim()
		}
		return false, false
	}
	c.served = c.head
	l.served += c.served
	return true, false
}
