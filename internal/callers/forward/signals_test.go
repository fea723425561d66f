package forward

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
