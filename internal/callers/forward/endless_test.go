package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/buffermemory"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
)

// endlessOutput is what an endpoint sends: a beginning, then the same text again and again until its connection is closed.
type endlessOutput struct {
	beginning, repeated string
	pause               time.Duration // between two repetitions
	begin               chan struct{} // closed when answers may begin, nil if they begin at once
}

// maxEndlessOutput and maxEndlessTime are the number of bytes and the time after which an endpoint's output counts as accepted without end.
// They are more than any limit on answers.
const maxEndlessOutput, maxEndlessTime = 64 << 20, 10 * time.Second

// serveEndless serves an endpoint whose output never ends. The channel asked gets a value for each request, closed one for each connection
// that was closed.
func serveEndless(t *testing.T, listener net.Listener, output endlessOutput) (asked, closed chan struct{}) {
	t.Helper()
	asked, closed = make(chan struct{}, 100), make(chan struct{}, 100)
	serve := func(socket net.Conn) {
		defer socket.Close()
		r, err := http.ReadRequest(bufio.NewReader(socket))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		asked <- struct{}{}
		if output.begin != nil {
			<-output.begin
		}
		_, err = io.WriteString(socket, strings.ReplaceAll(output.beginning, "ID", r.Header.Get("Id")))
		began := time.Now()
		for sent := 0; err == nil && (output.pause == 0 || timer.Sleep(t.Context(), output.pause)); sent += len(output.repeated) {
			if !assert.Check(t, sent < maxEndlessOutput && time.Since(began) < maxEndlessTime, "the output is read without end") {
				return
			}
			_, err = io.WriteString(socket, output.repeated)
		}
		closed <- struct{}{}
	}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(socket)
		}
	}()
	return asked, closed
}

// Guards against output without end at any point of an answer: a caller that isn't answered in time or gets something that looks
// complete, memory that grows with the output, and a connection that stays open.
func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\n"
		slow = 20 * time.Millisecond
	)
	long := strings.Repeat("x", 4096)
	line := long + "\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(long), long)
	cases := []struct {
		name string
		endlessOutput
		stream    bool
		answered  bool // the endless endpoint's own answer is complete
		elsewhere bool // the endless endpoint says that it did not run the request, so the other one may run it
	}{
		{name: "no answer", endlessOutput: endlessOutput{"", long, 0, nil}},
		{name: "no answer, slowly", endlessOutput: endlessOutput{"", "x", slow, nil}},
		{name: "a line of the head", endlessOutput: endlessOutput{ok + "X: ", long, 0, nil}},
		{name: "a line of the head, slowly", endlessOutput: endlessOutput{ok + "X: ", "x", slow, nil}},
		{name: "lines of the head", endlessOutput: endlessOutput{ok, "X: " + line, 0, nil}},
		{name: "lines of the head, slowly", endlessOutput: endlessOutput{ok, "X: y\r\n", slow, nil}},
		{name: "interim answers", endlessOutput: endlessOutput{"", "HTTP/1.1 100 Continue\r\n\r\n", 0, nil}},
		{name: "interim answers, slowly", endlessOutput: endlessOutput{"", "HTTP/1.1 100 Continue\r\n\r\n", 10 * slow, nil}},
		{name: "answers to others", endlessOutput: endlessOutput{"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n", 0, nil}},
		{name: "the body of an answer to another", endlessOutput: endlessOutput{"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", long, 0, nil}},
		{name: "the body of an answer to another, slowly", endlessOutput: endlessOutput{"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", slow, nil}},
		{name: "a body without a length", endlessOutput: endlessOutput{ok + "\r\n", long, 0, nil}},
		{name: "a body without a length, slowly", endlessOutput: endlessOutput{ok + "\r\n", "x", slow, nil}},
		{name: "a body of a great length", endlessOutput: endlessOutput{ok + "Content-Length: 1099511627776\r\n\r\n", long, 0, nil}},
		{name: "chunks", endlessOutput: endlessOutput{ok + "Transfer-Encoding: chunked\r\n\r\n", chunk, 0, nil}},
		{name: "chunks, slowly", endlessOutput: endlessOutput{ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", slow, nil}},
		{name: "the size of a chunk", endlessOutput: endlessOutput{ok + "Transfer-Encoding: chunked\r\n\r\n", "0", 0, nil}},
		{name: "the trailer of chunks", endlessOutput: endlessOutput{ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + line, 0, nil}},
		{name: "after a refusal's head", endlessOutput: endlessOutput{"HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n\r\n", long, 0, nil}, elsewhere: true},
		{name: "after a refusal's head, slowly", endlessOutput: endlessOutput{"HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n\r\n", "x", slow, nil}, elsewhere: true},
		{name: "after an answer", endlessOutput: endlessOutput{ok + "Content-Length: 4\r\n\r\ndone", long, 0, nil}, answered: true},
		{name: "after an answer, slowly", endlessOutput: endlessOutput{ok + "Content-Length: 4\r\n\r\ndone", "x", slow, nil}, answered: true},
		{name: "a line of a stream", endlessOutput: endlessOutput{ok + "\r\n", long, 0, nil}, stream: true},
		{name: "a line of a stream, slowly", endlessOutput: endlessOutput{ok + "\r\n", "x", slow, nil}, stream: true},
		{name: "a line of a stream after an event", endlessOutput: endlessOutput{ok + "\r\nid: 1\ndata: a\n\ndata: ", long, 0, nil}, stream: true},
		{name: "lines of a stream that are none of an event", endlessOutput: endlessOutput{ok + "\r\n", "\x01\x02\x03 <>\n\n", 0, nil}, stream: true},
		{name: "an event of a stream", endlessOutput: endlessOutput{ok + "\r\n", "data: " + line, 0, nil}, stream: true},
	}
	for _, c := range cases {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, repeatable %t", c.name, repeatable), func(t *testing.T) {
				t.Parallel()
				path, healthy, expected := "/once/x", success, "done"
				switch {
				case c.stream && repeatable:
					path, healthy, expected = "/resumable/x", streamHead+firstEvent+secondEvent+lastChunk, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
				case c.stream:
					path = "/stream/x"
				case repeatable:
					path = "/safe/x"
				}
				reached := false
				for range 40 { // a new handler chooses at random: until one chooses the endless endpoint
					if reached {
						break
					}
					synctest.Test(t, func(t *testing.T) {
						status, body, took, err := serveBesideEndless(t, c.endlessOutput, path, healthy, &reached)
						if !reached {
							return
						}
						assert.Assert(t, took < 2500*time.Millisecond, "the caller waits 2 s, it took %s", took)
						if repeatable || c.elsewhere || c.answered {
							assert.NilError(t, err)
							assert.Equal(t, status, http.StatusOK, "%s", body)
							assert.Equal(t, body, expected)
						} else {
							assert.Assert(t, err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout, "%d %q", status, body)
						}
					})
				}
				assert.Assert(t, reached)
			})
		}
	}
}

// serveBesideEndless serves one request with an endless endpoint and another one that sends the healthy answer. It says whether the request
// reached the endless endpoint, and then returns what the caller got when the endless endpoint's connection has been closed.
func serveBesideEndless(
	t *testing.T, output endlessOutput, path, healthy string, reached *bool,
) (status int, body string, took time.Duration, err error) {
	t.Helper()
	network := newMemoryNetwork(t)
	asked, closed := serveEndless(t, network.listen(t, "endless:1"), output)
	other := newFakeEndpointAt(network.listen(t, "healthy:1"), func() string { return healthy })
	h := newTestHandler(t, &fakeEndpoint{address: "endless:1"}, other)
	network.connect(h)
	server := &http.Server{Handler: newTestFront(h, func(*Call) {}), ReadHeaderTimeout: time.Second}
	front := network.listen(t, "front:1")
	go func() { _ = server.Serve(front) }()
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for timer.Sleep(t.Context(), 20*time.Millisecond) {
			h.Sweep(t.Context())
		}
	}()
	began := time.Now()
	status, _, body, err = post(t, network.client(), "http://front:1"+path)
	took = time.Since(began)
	synctest.Wait()
	assert.Equal(t, h.memory.Used(), int64(0))
	select {
	case <-asked:
		*reached = true
		select {
		case <-closed:
		case <-time.After(2 * maxEndlessTime):
			t.Error("the connection to the endless endpoint stays open")
		}
	default:
	}
	return status, body, took, err
}

// Guards against an endpoint whose answers never end and leave no memory for the answers of other endpoints.
func TestOneEndpointDoesNotUseUpTheMemoryForAnswers(t *testing.T) {
	const callers, memory = 40, 32 * initialBufferBytes
	beginning := "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\nContent-Length: 1000000\r\n\r\n" + "x"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	// The endpoint must not be ejected for the first answers that break off before the last caller's request has reached it.
	output := endlessOutput{beginning: beginning, repeated: "x", pause: 20 * time.Millisecond, begin: make(chan struct{})}
	asked, closed := serveEndless(t, listener, output)
	sound := newFakeEndpoint(t, func() string { return success })
	h := newTestHandler(t)
	h.Connections = func(*table.Service) int { return callers }
	h.memory = buffermemory.New(memory, fault.BrokenAnswer)
	use := func(id unit.EndpointID, address string) {
		known := []registry.Endpoint{{Report: registry.Report{ID: id, Service: "s", Address: address, Slots: callers, Born: 1}}}
		h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) { a.SetEndpoints(known, h.Table().Service, nil, nil) })
	}
	use("endless", listener.Addr().String())
	server := newTestServer(h, func(*Call) {})
	defer server.Close()
	failed := make(chan struct{}, callers)
	for range callers {
		go func() {
			defer func() { failed <- struct{}{} }()
			call, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/once/x", nil)
			assert.Check(t, err)
			response, err := http.DefaultClient.Do(call)
			if assert.Check(t, err) {
				assert.Check(t, response.StatusCode >= http.StatusInternalServerError)
				assert.Check(t, response.Body.Close())
			}
		}()
	}
	for range callers {
		<-asked
	}
	close(output.begin)
	for h.memory.Used() < memory/2 || len(failed) < callers-memory/initialBufferBytes {
		runtime.Gosched()
	}
	use("sound", sound.address)
	for range 5 {
		status, _, body, err := serveOnce(t, h, "/once/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, "%q", body)
	}
	for range callers {
		<-failed
		<-closed
	}
	assert.Equal(t, h.memory.Used(), int64(0))
}
