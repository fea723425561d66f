package forward

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// saying adds a header line to an answer.
func saying(line, answer string) string {
	head, rest, _ := strings.Cut(answer, "\r\n")
	return head + "\r\n" + line + "\r\n" + rest
}

// Guards against requests for an endpoint that has just said in an answer, of whatever kind, that it leaves or wants a pause.
func TestAnEndpointThatLeavesOrPausesGetsNothingMore(t *testing.T) {
	cases := []struct {
		name, path, answer string
		heeded             bool
	}{
		{name: "success, leaves", path: "/once/x", answer: saying("Leaving: 1", good), heeded: true},
		{name: "failure, leaves", path: "/once/x", answer: saying("Leaving: 1", failed), heeded: true},
		{name: "refusal, leaves", path: "/once/x", answer: saying("Leaving: 1", refused), heeded: true},
		{name: "head of a stream, leaves", path: "/stream/x", answer: saying("Leaving: 1", events+one+end), heeded: true},
		{name: "stream that breaks off, leaves", path: "/resumable/x", answer: saying("Leaving: 1", events+one), heeded: true},
		{name: "an answer of another endpoint", path: "/once/x", answer: saying("Leaving: 1", other)},
		{name: "refusal with a pause", path: "/once/x", answer: saying("Pause: 30s", refused), heeded: true},
		{name: "refusal without a mark, with a pause", path: "/once/x", answer: saying("Pause: 30s", falsely), heeded: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := newStandIn(t, func() string { return c.answer })
			h := newTestHandler(t, endpoint)
			for range 5 {
				_, _, _, _ = serveOnce(t, h, c.path, "") //nolint:dogsled // only what reaches the endpoint counts
			}
			assert.Equal(t, endpoint.count() == 1, c.heeded, "%d requests", endpoint.count())
		})
	}
}

// Guards against a request that waits, or is refused without a time to come back, when every endpoint has asked for a pause.
func TestWithAllEndpointsPausedCallersAreToldWhenToComeBack(t *testing.T) {
	answer := saying("Pause: 1500ms", refused)
	h := newTestHandler(t, newStandIn(t, func() string { return answer }), newStandIn(t, func() string { return answer }))
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
