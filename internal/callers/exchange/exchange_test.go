package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
)

// scriptedEndpoint answers each request on a connection with the next text of its script.
func scriptedEndpoint(t *testing.T, script func(connection, request int) (answer string, closeAfter bool)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for connection := 0; ; connection++ {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(socket, connection, script)
		}
	}()
	return listener.Addr().String()
}

func serveScript(socket net.Conn, connection int, script func(connection, request int) (string, bool)) {
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for request := 0; ; request++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer, closeAfter := script(connection, request)
		if _, err := io.WriteString(socket, strings.ReplaceAll(answer, "ID", r.Header.Get("Id"))); err != nil || closeAfter {
			return
		}
	}
}

func send(t *testing.T, p *Pool, address, id string) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Send(ctx, Request{
		Endpoint: "e", Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("b"),
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return 0, "", err
	}
	defer a.Close()
	data, err := a.ReadAll(1 << 20)
	return a.Status, string(data), err
}

const whole = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"

// Guards against answers that are truncated, repeated or meant for another request being taken for the complete answer of a
// request.
func TestOnlyWholeAnswersToTheRequestCount(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		closes bool
		body   string
		broken bool
	}{
		{name: "whole", answer: whole, body: "ok"},
		{name: "no length, ends with the connection", answer: "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nok", closes: true, body: "ok"},
		{name: "cut body", answer: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nok", closes: true, broken: true},
		{name: "cut head", answer: "HTTP/1.1 200 OK\r\nId", closes: true, broken: true},
		{name: "cut chunks", answer: "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", closes: true, broken: true},
		{name: "no answer", closes: true, broken: true},
		{name: "foreign bytes", answer: "\x00\x01\x02 nonsense\r\n\r\n", closes: true, broken: true},
		{name: "late answer of another request first", answer: strings.NewReplacer("Id: ID", "Id: other", "ok", "no").Replace(whole) + whole, body: "ok"},
		{name: "interim answer first", answer: "HTTP/1.1 100 Continue\r\n\r\n" + whole, body: "ok"},
		{name: "two answers", answer: whole + whole, body: "ok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := scriptedEndpoint(t, func(int, int) (string, bool) { return c.answer, c.closes })
			_, body, err := send(t, New(timer.New().Now), address, "1")
			if c.broken {
				assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, body, c.body)
		})
	}
}

// Guards against a second answer on a kept connection reaching the next request.
func TestAnExtraAnswerEndsTheConnection(t *testing.T) {
	address := scriptedEndpoint(t, func(connection, _ int) (string, bool) {
		answer := strings.Replace(whole, "ok", fmt.Sprintf("%02d", connection), 1)
		return answer + answer, false
	})
	pool := New(timer.New().Now)
	for i := range 3 {
		_, body, err := send(t, pool, address, fmt.Sprint("request-", i))
		assert.NilError(t, err)
		assert.Equal(t, body, fmt.Sprintf("%02d", i))
	}
}

// Guards against a new connection for each request, which counts against the connections that an endpoint accepts.
func TestConnectionsAreKept(t *testing.T) {
	address := scriptedEndpoint(t, func(connection, request int) (string, bool) {
		return strings.Replace(whole, "ok", fmt.Sprint(connection, request)[0:2], 1), false
	})
	pool := New(timer.New().Now)
	for i := range 5 {
		_, body, err := send(t, pool, address, fmt.Sprint(i))
		assert.NilError(t, err)
		assert.Equal(t, body[0:1], "0")
		waitForIdle(pool)
	}
}

func waitForIdle(p *Pool) {
	for {
		p.mu.Lock()
		for _, s := range p.endpoints {
			if len(s.idle) > 0 {
				p.mu.Unlock()
				return
			}
		}
		p.mu.Unlock()
	}
}

// Guards against a refused connection counting as a request that may have run.
func TestARefusedConnectionSentNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, _, err = send(t, New(timer.New().Now), address, "1")
	assert.Assert(t, errorx.IsOfType(err, fault.Unreachable), "%v", err)
}

// Guards against checks that open more and more connections, and against a check that fails at a busy endpoint as if it were
// unreachable.
func TestACheckOpensAConnectionForTheNextRequest(t *testing.T) {
	address := scriptedEndpoint(t, func(connection, _ int) (string, bool) {
		return strings.Replace(whole, "ok", fmt.Sprintf("%02d", connection), 1), false
	})
	pool := New(timer.New().Now)
	opened, err := pool.Check(t.Context(), "e", address, 1)
	assert.NilError(t, err)
	assert.Assert(t, opened)
	_, body, err := send(t, pool, address, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "00")
	waitForIdle(pool)
	for range 2 * minConnections {
		opened, err = pool.Check(t.Context(), "e", address, 1)
		assert.NilError(t, err)
	}
	assert.Assert(t, !opened)
	assert.Equal(t, pool.endpoints[endpointAddress{"e", address}].open, minConnections)
}

// Guards against an endpoint that can't be reached passing a check.
func TestACheckFailsWhereNothingListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	pool := New(timer.New().Now)
	_, err = pool.Check(t.Context(), "e", address, 1)
	assert.Assert(t, errorx.IsOfType(err, fault.Unreachable), "%v", err)
	assert.Equal(t, len(pool.endpoints), 0)
}

// Guards against requests that go on being lost at an endpoint which drops idle connections without notice and resets them when
// the next request arrives.
func TestForgottenConnectionsAreNotUsedForLong(t *testing.T) {
	const dropAfter, pause = 150 * time.Millisecond, 200 * time.Millisecond
	clock := timer.NewManual()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer socket.Close()
				reader, last := bufio.NewReader(socket), clock.Now()
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if clock.Now().Sub(last) > dropAfter {
						_ = socket.(*net.TCPConn).SetLinger(0)
						return
					}
					_, _ = io.WriteString(socket, strings.ReplaceAll(whole, "ID", r.Header.Get("Id")))
					last = clock.Now()
				}
			}()
		}
	}()
	pool := New(clock.Now)
	lost := 0
	for i := range 10 {
		if _, _, err := send(t, pool, listener.Addr().String(), fmt.Sprint(i)); err != nil {
			assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%v", err)
			lost++
		} else {
			waitForIdle(pool)
		}
		clock.Advance(pause)
	}
	assert.Equal(t, lost, 1, "of 10 requests")
}
