package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/callers/meter"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
)

// testWire is a minimal endpoint protocol.
var testWire = EndpointProtocol{
	Encode: func(h http.Header, o RequestInfo) {
		h.Set("Id", string(o.Request))
		h.Set("Customer", string(o.Customer))
		h.Set("After", o.ResumeAfter)
	},
	NotRun:           func(_ int, h http.Header) bool { return h.Get("Not-Run") != "" },
	Misdirected:      func(status int) bool { return status == http.StatusMisdirectedRequest },
	AnswersRequest:   func(h http.Header, id unit.RequestID) bool { return h.Get("Id") == string(id) },
	FromEndpoint:     func(h http.Header) bool { return h.Get("Mark") != "" },
	AnnouncesLeaving: func(h http.Header) bool { return h.Get("Leaving") != "" },
	RequestedPause: func(_ int, h http.Header) time.Duration {
		pause, _ := time.ParseDuration(h.Get("Pause")) // 0 without the header
		return pause
	},
	RequestLimit: func(h http.Header) (float64, bool) {
		if h.Get("Limit") == "" {
			return requestlimit.None, true
		}
		limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
		return limit, err == nil
	},
	Brittle: func(h http.Header) (float64, bool) {
		perSecond, err := strconv.ParseFloat(h.Get("Brittle"), 64)
		return perSecond, err == nil
	},
	Weights: func(http.Header) (decisions.WeightsNumber, bool) { return 0, false },
}

// fakeEndpoint is an endpoint that sends the raw answers of a test. ID in an answer is replaced by the request's id.
type fakeEndpoint struct {
	address  string
	listener net.Listener

	mu       sync.Mutex
	requests []*http.Request
	asked    chan struct{} // gets a value for each request
	closed   chan struct{} // gets a value when the router closes a connection that was stalled
}

// At the end of an answer: stall sends nothing more until the router closes the connection, reset resets the connection.
const stall, reset = "hold", "reset"

func newFakeEndpoint(t *testing.T, next func() string) *fakeEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return newFakeEndpointAt(listener, next)
}

func newFakeEndpointAt(listener net.Listener, next func() string) *fakeEndpoint {
	s := &fakeEndpoint{address: listener.Addr().String(), listener: listener, asked: make(chan struct{}, 10), closed: make(chan struct{}, 10)}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(socket, next)
		}
	}()
	return s
}

func (s *fakeEndpoint) serve(socket net.Conn, next func() string) {
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		answer := next()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		s.asked <- struct{}{}
		text, stalled := strings.CutSuffix(strings.ReplaceAll(answer, "ID", r.Header.Get("Id")), stall)
		text, resets := strings.CutSuffix(text, reset)
		_, _ = io.WriteString(socket, text)
		if tcp, ok := socket.(*net.TCPConn); ok && resets {
			_ = tcp.SetLinger(0)
			return
		}
		if stalled {
			_, _ = reader.ReadByte()
			s.closed <- struct{}{}
			return
		}
		if strings.Contains(answer, "Connection: close") {
			return
		}
	}
}

func (s *fakeEndpoint) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

const (
	success            = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\nContent-Length: 4\r\n\r\ndone"
	refused            = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	misdirected        = "HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	serverError        = "HTTP/1.1 500 Internal Server Error\r\nId: ID\r\nMark: m\r\nContent-Length: 3\r\n\r\nbad"
	unconfirmedRefusal = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nMark: m\r\nContent-Length: 0\r\n\r\n"
	unmarked           = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\ndone"
	truncated          = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\nContent-Length: 9\r\nConnection: close\r\n\r\ndone"
	streamHead         = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\nConnection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvent         = "f\r\nid: 1\ndata: a\n\n\r\n"
	secondEvent        = "f\r\nid: 2\ndata: b\n\n\r\n"
	halfSecondEvent    = "7\r\nid: 2\nd\r\n"
	lastChunk          = "0\r\n\r\n"
)

func testTable(t *testing.T) *table.Table {
	t.Helper()
	route := func(name string, kind table.Kind, most int, resumable bool) table.Route {
		return table.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, Objective: 100 * time.Millisecond,
			Targets: []table.Target{{Service: "s", Weight: 1}}, MaxEndpoints: most, Resumable: resumable, Public: name != "keyed",
		}
	}
	result := &table.Table{
		Version: 1, Services: []table.Service{{Name: "s", MaxConnections: 10}},
		Routes: []table.Route{
			route("safe", table.KindSafe, 2, false), route("wide", table.KindSafe, 3, false), route("once", table.KindOnce, 1, false), route("keyed", table.KindOnce, 1, false),
			route("spread", table.KindOnce, 2, false),
			route("stream", table.KindStream, 1, false), route("resumable", table.KindStream, 2, true),
		},
		Customers: []table.Customer{{Name: "c", Keys: []string{"k"}}},
	}
	assert.NilError(t, result.Compile())
	return result
}

func newTestHandler(t *testing.T, endpoints ...*fakeEndpoint) *Handler {
	t.Helper()
	return newLimitedHandler(t, retrybudget.Settings{Ratio: 1, Extra: 100, Window: time.Second}, endpoints...)
}

func newLimitedHandler(t *testing.T, limits retrybudget.Settings, endpoints ...*fakeEndpoint) *Handler {
	t.Helper()
	clock := timer.New()
	routes := testTable(t)
	h := New(Dependencies{
		Now: clock.Now, Log: eventlog.Discard(), Meter: meter.New(metrics.NewSet(), 10), Wire: testWire, Pool: exchange.New(clock.Now), Table: func() *table.Table { return routes },
		Connections: func(*table.Service) int { return 10 }, Allowance: limits,
		FindStream: func(context.Context, streamorigin.Query) (streamorigin.Origin, bool) {
			return streamorigin.Origin{}, false
		},
		TryPart: func(context.Context, crashcause.Cause, int) bool { return false }, InStep: func() bool { return true },
		Assign: assign.Settings{ReportSilence: time.Hour},
	})
	var known []registry.Endpoint
	for i, e := range endpoints {
		known = append(known, registry.Endpoint{Report: registry.Report{
			ID: unit.EndpointID(fmt.Sprint("e", i)), Service: "s", Address: e.address, Slots: 5, Born: 1,
		}})
	}
	h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) { a.SetEndpoints(known, routes.Service, nil, nil) })
	return h
}

// newTestServer returns a server whose requests the handler serves, after change has changed their calls.
func newTestServer(h *Handler, change func(*Call)) *httptest.Server {
	return httptest.NewServer(newTestFront(h, change))
}

func newTestFront(h *Handler, change func(*Call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call := &Call{
			ID: "r1", Arrived: h.Now(), Method: r.Method, Host: "h", Path: r.URL.Path, Target: r.RequestURI, Header: http.Header{},
			Timeout: 2 * time.Second, Body: func(int64) ([]byte, error) { return []byte("question"), nil },
		}
		change(call)
		h.Serve(r.Context(), w, call)
	}
}

// serveOnce sends one request through the handler over a real connection.
func serveOnce(t *testing.T, h *Handler, path, key string) (status int, header http.Header, body string, err error) {
	t.Helper()
	return servePrompt(t, h, path, key, nil)
}

// servePrompt is like serveOnce, for a request with a prompt.
func servePrompt(t *testing.T, h *Handler, path, key string, prompt *Prompt) (status int, header http.Header, body string, err error) {
	t.Helper()
	return serveChanged(t, h, path, func(call *Call) { call.Key, call.Prompt = key, prompt })
}

// serveChanged is like serveOnce, for a call that change has changed.
func serveChanged(t *testing.T, h *Handler, path string, change func(*Call)) (status int, header http.Header, body string, err error) {
	t.Helper()
	server := newTestServer(h, change)
	defer server.Close()
	return post(t, http.DefaultClient, server.URL+path)
}

func post(t *testing.T, client *http.Client, url string) (status int, header http.Header, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, nil)
	assert.NilError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err
}

// Guards against a status that says that a request did not run although it may have, and against a request that runs too often.
func TestWhatACallerIsTold(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		key    string
		first  []string // the endpoints' answers, in the order in which requests reach either of them
		status int
		body   string
		sends  int
	}{
		{name: "answered", path: "/safe/x", first: []string{success}, status: 200, body: "done", sends: 1},
		{name: "safe, first fails", path: "/safe/x", first: []string{serverError, success}, status: 200, body: "done", sends: 2},
		{name: "safe, both fail", path: "/safe/x", first: []string{serverError, serverError}, status: 500, body: "bad", sends: 2},
		{name: "safe, first is cut", path: "/safe/x", first: []string{truncated, success}, status: 200, body: "done", sends: 2},
		{name: "safe, first has no mark", path: "/safe/x", first: []string{unmarked, success}, status: 200, body: "done", sends: 2},
		{name: "once, fails", path: "/once/x", first: []string{serverError, success}, status: 500, body: "bad", sends: 1},
		{name: "once, is cut", path: "/once/x", first: []string{truncated, success}, status: 502, sends: 1},
		{name: "once, fails, though two endpoints are allowed", path: "/spread/x", first: []string{serverError, success}, status: 500, body: "bad", sends: 1},
		{name: "once, is cut, though two endpoints are allowed", path: "/spread/x", first: []string{truncated, success}, status: 502, sends: 1},
		{name: "once, has no mark", path: "/once/x", first: []string{unmarked, success}, status: 502, sends: 1},
		{name: "once, refused and sent elsewhere", path: "/once/x", first: []string{refused, success}, status: 200, body: "done", sends: 2},
		{name: "once, another endpoint at the address", path: "/once/x", first: []string{misdirected, success}, status: 200, body: "done", sends: 2},
		{name: "once, refused everywhere", path: "/once/x", first: []string{refused, refused}, status: 503, sends: 2},
		{name: "once, claims to be busy without saying that it didn't run", path: "/once/x", first: []string{unconfirmedRefusal, success}, status: 502, sends: 1},
		{name: "no route", path: "/none/x", first: []string{success}, status: 404},
		{name: "no key", path: "/keyed/x", first: []string{success}, status: 401},
		{name: "known key", path: "/keyed/x", key: "k", first: []string{success}, status: 200, body: "done", sends: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, given := answersInOrder(c.first)
			h := newTestHandler(t, newFakeEndpoint(t, next), newFakeEndpoint(t, next))
			status, header, body, err := serveOnce(t, h, c.path, c.key)
			assert.NilError(t, err)
			assert.Equal(t, status, c.status)
			if c.body != "" {
				assert.Equal(t, body, c.body)
			}
			assert.Equal(t, given(), c.sends)
			if status == http.StatusServiceUnavailable {
				assert.Assert(t, header.Get("Retry-After") != "")
			}
		})
	}
}

// answersInOrder returns two functions: next returns the answers in order and then repeats the last one, given returns how often
// next was called.
func answersInOrder(answers []string) (next func() string, given func() int) {
	var mu sync.Mutex
	sent := 0
	next = func() string {
		mu.Lock()
		defer mu.Unlock()
		sent++
		return answers[min(sent, len(answers))-1]
	}
	given = func() int {
		mu.Lock()
		defer mu.Unlock()
		return sent
	}
	return next, given
}

// Guards against a stream with a missing, repeated or truncated event, and against one that looks complete but isn't.
func TestStreamsAreCompleteOrBroken(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		first  []string
		body   string
		status int
		broken bool
		sends  int
	}{
		{name: "whole", path: "/stream/x", first: []string{streamHead + firstEvent + secondEvent + lastChunk}, status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", sends: 1},
		{name: "breaks within an event and is resumed", path: "/resumable/x", first: []string{streamHead + firstEvent + halfSecondEvent, streamHead + secondEvent + lastChunk}, status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", sends: 2},
		{name: "the resumed one repeats an event", path: "/resumable/x", first: []string{streamHead + firstEvent, streamHead + firstEvent + secondEvent + lastChunk}, status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", sends: 2},
		{name: "breaks and may not be resumed", path: "/stream/x", first: []string{streamHead + firstEvent, streamHead + secondEvent + lastChunk}, status: 200, body: "id: 1\ndata: a\n\n", broken: true, sends: 1},
		{name: "ends within an event as if complete", path: "/stream/x", first: []string{streamHead + firstEvent + halfSecondEvent + lastChunk}, status: 200, body: "id: 1\ndata: a\n\n", broken: true, sends: 1},
		{name: "breaks before its first event", path: "/stream/x", first: []string{streamHead}, status: 502, sends: 1},
		{name: "breaks twice", path: "/resumable/x", first: []string{streamHead + firstEvent, streamHead + halfSecondEvent}, status: 200, body: "id: 1\ndata: a\n\n", broken: true, sends: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, given := answersInOrder(c.first)
			status, _, body, err := serveOnce(t, newTestHandler(t, newFakeEndpoint(t, next), newFakeEndpoint(t, next)), c.path, "")
			assert.Equal(t, status, c.status)
			assert.Equal(t, err != nil, c.broken, "%v", err)
			if c.status == http.StatusOK {
				assert.Equal(t, body, c.body)
			}
			assert.Equal(t, given(), c.sends)
		})
	}
}

// Guards against a request that waits although no endpoint can serve it.
func TestARequestThatNobodyCanServeIsRefusedAtOnce(t *testing.T) {
	h := newTestHandler(t)
	status, header, body, err := serveOnce(t, h, "/once/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, fault.Name(fault.NoEndpoint.New(""))+"\n")
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, h.Running(), 0)
}

// Guards against a request that is sent to an endpoint although its body couldn't be read completely, and against a refusal that doesn't say
// that the request hasn't run.
func TestABodyThatIsNotReadIsRefused(t *testing.T) {
	cases := []struct {
		err    error
		status int
	}{
		{fault.TooLarge.New("too many bytes"), http.StatusRequestEntityTooLarge},
		{fault.BodyTimeout.New("the body stopped"), http.StatusRequestTimeout},
		{fault.Overloaded.New("no memory for the body"), http.StatusServiceUnavailable},
		{fault.BadInput.New("not a body"), http.StatusBadRequest},
	}
	for _, c := range cases {
		endpoint := newFakeEndpoint(t, func() string { return success })
		h := newTestHandler(t, endpoint)
		recorder := httptest.NewRecorder()
		h.Serve(context.Background(), recorder, &Call{
			ID: "r1", Arrived: h.Now(), Method: http.MethodPost, Host: "h", Path: "/once/x", Target: "/once/x", Header: http.Header{},
			Body: func(int64) ([]byte, error) { return nil, c.err },
		})
		assert.Equal(t, recorder.Code, c.status)
		assert.Equal(t, endpoint.count(), 0)
	}
}

// Guards against attempts that reached no endpoint counting against the allowance for retries.
func TestAnAttemptThatReachedNobodyIsNoRetry(t *testing.T) {
	unreachable := newFakeEndpoint(t, func() string { return success })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable.address = listener.Addr().String()
	assert.NilError(t, listener.Close())
	working := newFakeEndpoint(t, func() string { return success })
	h := newLimitedHandler(t, retrybudget.Settings{Window: time.Second}, unreachable, working)
	for range 5 {
		status, _, _, err := serveOnce(t, h, "/once/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
}

// cancellableFlight begins an attempt that Sweep may cancel, and returns the context that is cancelled then.
func cancellableFlight(t *testing.T, h *Handler, now unit.Moment) (context.Context, assign.Choice) {
	t.Helper()
	w := &assign.Request{Service: "s", Objective: time.Second}
	choice, ok := h.assigner.Choose(now, w, nil)
	assert.Assert(t, ok)
	flight := h.assigner.Begin(now, w, choice)
	ctx, cancel := context.WithCancelCause(t.Context())
	h.cancellable[flight] = cancellableAttempt{"s", cancel}
	return ctx, choice
}

// Guards against an attempt that is cancelled although the allowance for retries is used up.
func TestASilentEndpointIsWaitedForWithoutAnAllowance(t *testing.T) {
	cases := []struct {
		name    string
		limits  retrybudget.Settings
		givenUp bool
	}{
		{name: "allowance", limits: retrybudget.Settings{Ratio: 1, Extra: 10, Window: time.Second}, givenUp: true},
		{name: "no allowance", limits: retrybudget.Settings{Window: time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := newFakeEndpoint(t, func() string { return stall })
			h := newLimitedHandler(t, c.limits, endpoint)
			now := unit.Moment(time.Second)
			h.Now = func() unit.Moment { return now }
			ctx, _ := cancellableFlight(t, h, now)
			h.ledger.CountRequest(now, "s")
			now = now.Add(10 * time.Second)
			h.ledger.CountRequest(now, "s")
			h.Sweep(t.Context())
			assert.Equal(t, ctx.Err() != nil, c.givenUp)
		})
	}
}

// Guards against a request that goes on waiting on an open connection to an endpoint that accepts no new connections any more.
func TestAnUnreachableEndpointIsGivenUpBeforeItsTime(t *testing.T) {
	endpoint := newFakeEndpoint(t, func() string { return stall })
	h := newTestHandler(t, endpoint)
	var clock atomic.Int64 // checks that Sweep starts read it while the test moves it on
	clock.Store(int64(time.Second))
	h.Now = func() unit.Moment { return unit.Moment(clock.Load()) }
	ctx, choice := cancellableFlight(t, h, h.Now())
	assert.NilError(t, endpoint.listener.Close())
	clock.Add(int64(300 * time.Millisecond))
	h.check(t.Context(), assign.Check{Endpoint: choice.Endpoint, Service: "s", Address: choice.Address})
	h.Sweep(t.Context())
	assert.NilError(t, ctx.Err(), "a single failure may be a lost packet")
	clock.Add(int64(100 * time.Millisecond))
	h.check(t.Context(), assign.Check{Endpoint: choice.Endpoint, Service: "s", Address: choice.Address})
	h.Sweep(t.Context())
	assert.Assert(t, ctx.Err() != nil)
}

// Guards against first attempts that are taken for retries after a refusal, and against retries that aren't recognized.
func TestACallerWithLessTimeCameBack(t *testing.T) {
	cases := []struct {
		name     string
		timeouts []time.Duration // timeouts that callers state, in order of arrival
		last     bool            // whether the last caller is taken to have been refused before
	}{
		{name: "first", timeouts: []time.Duration{4 * time.Second}},
		{name: "all alike", timeouts: []time.Duration{4 * time.Second, 4 * time.Second}},
		{name: "a little time on the way", timeouts: []time.Duration{4 * time.Second, 3950 * time.Millisecond}},
		{name: "after a refusal", timeouts: []time.Duration{4 * time.Second, 3700 * time.Millisecond}, last: true},
		{name: "no time stated", timeouts: []time.Duration{4 * time.Second, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHandler(t)
			refusedBefore := false
			for _, timeout := range c.timeouts {
				r := &request{h: h, call: &Call{Timeout: timeout}, route: &table.Route{Name: "r"}}
				refusedBefore = r.probablyRefusedBefore()
			}
			assert.Equal(t, refusedBefore, c.last)
		})
	}
}
