package forward

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/permit"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
)

// withHeaderLine adds a header line to an answer.
func withHeaderLine(line, answer string) string {
	head, rest, _ := strings.Cut(answer, "\r\n")
	return head + "\r\n" + line + "\r\n" + rest
}

// Guards against further requests to an endpoint that has just said, in any kind of answer, that it is leaving or wants a pause.
func TestAnEndpointThatLeavesOrPausesGetsNothingMore(t *testing.T) {
	cases := []struct {
		name, path, answer string
		obeyed             bool
	}{
		{name: "success, leaves", path: "/once/x", answer: withHeaderLine("Leaving: 1", success), obeyed: true},
		{name: "failure, leaves", path: "/once/x", answer: withHeaderLine("Leaving: 1", serverError), obeyed: true},
		{name: "refusal, leaves", path: "/once/x", answer: withHeaderLine("Leaving: 1", refused), obeyed: true},
		{name: "head of a stream, leaves", path: "/stream/x", answer: withHeaderLine("Leaving: 1", streamHead+firstEvent+lastChunk), obeyed: true},
		{name: "stream that breaks off, leaves", path: "/resumable/x", answer: withHeaderLine("Leaving: 1", streamHead+firstEvent), obeyed: true},
		{name: "an answer of another endpoint", path: "/once/x", answer: withHeaderLine("Leaving: 1", misdirected)},
		{name: "refusal with a pause", path: "/once/x", answer: withHeaderLine("Pause: 30s", refused), obeyed: true},
		{name: "refusal without a mark, with a pause", path: "/once/x", answer: withHeaderLine("Pause: 30s", unconfirmedRefusal), obeyed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := newFakeEndpoint(t, func() string { return c.answer })
			h := newTestHandler(t, endpoint)
			for range 5 {
				_, _, _, _ = serveOnce(t, h, c.path, "") //nolint:dogsled // only what reaches the endpoint counts
			}
			assert.Equal(t, endpoint.count() == 1, c.obeyed, "%d requests", endpoint.count())
		})
	}
}

// Guards against a request that waits, or is refused without a Retry-After header, when every endpoint has asked for a pause.
func TestWithAllEndpointsPausedCallersAreToldWhenToComeBack(t *testing.T) {
	answer := withHeaderLine("Pause: 1500ms", refused)
	h := newTestHandler(t, newFakeEndpoint(t, func() string { return answer }), newFakeEndpoint(t, func() string { return answer }))
	for range 3 {
		began := h.Now()
		status, header, _, err := serveOnce(t, h, "/once/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 0 && after <= 2, "%g", after)
		assert.Assert(t, h.Now().Sub(began) < time.Second)
	}
}

// Guards against a host that goes on sending to an endpoint that has named a limit for all hosts, as if the limit were its own, and against
// one that stops because of a value that can't be read or is meant for another endpoint.
func TestAnEndpointThatNamesALimitGetsNothingWithoutAPermit(t *testing.T) {
	cases := []struct {
		name, path, answer string
		limited            bool
	}{
		{name: "success", path: "/once/x", answer: withHeaderLine("Limit: 5", success), limited: true},
		{name: "failure", path: "/once/x", answer: withHeaderLine("Limit: 5", serverError), limited: true},
		{name: "refusal", path: "/once/x", answer: withHeaderLine("Limit: 5", refused), limited: true},
		{name: "head of a stream", path: "/stream/x", answer: withHeaderLine("Limit: 5", streamHead+firstEvent+lastChunk), limited: true},
		{name: "zero", path: "/once/x", answer: withHeaderLine("Limit: 0", success), limited: true},
		{name: "unreadable", path: "/once/x", answer: withHeaderLine("Limit: many", success)},
		{name: "more than hosts ever send", path: "/once/x", answer: withHeaderLine("Limit: 1e12", success)},
		{name: "an answer of another endpoint", path: "/once/x", answer: withHeaderLine("Limit: 5", misdirected)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := newFakeEndpoint(t, func() string { return c.answer })
			h := newTestHandler(t, endpoint)
			for range 3 {
				_, _, _, _ = serveOnce(t, h, c.path, "") //nolint:dogsled // only what reaches the endpoint counts
			}
			assert.Equal(t, endpoint.count() == 1, c.limited, "%d requests", endpoint.count())
		})
	}
}

// Guards against a request that is held although no permit is in sight, or refused without a Retry-After header, and against one that is
// refused although the host has a permit or gets one within a short time.
func TestWithAllEndpointsAtTheirLimitsARequestIsRefusedUnlessAPermitComes(t *testing.T) {
	endpoint := newFakeEndpoint(t, func() string { return withHeaderLine("Limit: 50", success) })
	h := newTestHandler(t, endpoint)
	send := func() int {
		status, header, _, err := serveOnce(t, h, "/once/x", "")
		assert.NilError(t, err)
		assert.Equal(t, header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
		return status
	}
	grant := func() {
		h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) {
			a.AddPermits("e0", permit.Batch{Permits: 1, Until: h.Now().Add(time.Minute)})
		})
		h.PermitsArrived()
	}
	assert.Equal(t, send(), http.StatusOK)
	grant()
	assert.Equal(t, send(), http.StatusOK)
	// One request waits for its permit.
	served := make(chan int, 1)
	go func() { served <- send() }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.permits.waiting == 1 {
			return poll.Success()
		}
		return poll.Continue("the request doesn't wait")
	}, poll.WithDelay(time.Millisecond))
	grant()
	assert.Equal(t, <-served, http.StatusOK)
	assert.Equal(t, send(), http.StatusServiceUnavailable, "no permit came in time")
	began := h.Now()
	assert.Equal(t, send(), http.StatusServiceUnavailable)
	assert.Assert(t, h.Now().Sub(began) < maxPermitWait, "the wait before was in vain")
	assert.Equal(t, endpoint.count(), 3)
}
