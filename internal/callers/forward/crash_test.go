package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

// beginning is the head of an answer that breaks off.
const beginning = "HTTP/1.1 200 OK\r\nConnection: close\r\n"

// newCrashingStandIn is an endpoint that goes down as soon as it is asked.
func newCrashingStandIn(t *testing.T) *standIn {
	t.Helper()
	var s *standIn
	s = newStandIn(t, func() string {
		_ = s.listener.Close()
		return beginning
	})
	return s
}

// heldAgainst counts the crashes and quarantines that the handler remembers.
func heldAgainst(h *Handler) (crashes, quarantines int) {
	h.WithRegister(func(q *quarantine.Register) {
		for _, n := range q.Export(h.Now()) {
			switch {
			case n.Round > 0:
				quarantines++
			case !n.Served:
				crashes++
			}
		}
	})
	return crashes, quarantines
}

// Guards against a third endpoint that is lost to one request where more than two may be tried, and against callers who aren't told
// that the request did not run and when it may.
func TestARequestThatCrashedTwoEndpointsIsNotSentToAThird(t *testing.T) {
	endpoints := []*standIn{newCrashingStandIn(t), newCrashingStandIn(t), newCrashingStandIn(t)}
	crashed := func() int { return endpoints[0].count() + endpoints[1].count() + endpoints[2].count() }
	h := newTestHandler(t, endpoints...)
	status, _, _, err := serveOnce(t, h, "/wide/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, crashed(), 2)
	status, header, body, err := serveOnce(t, h, "/wide/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, fault.Name(fault.Quarantined.New(""))+"\n")
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, crashed(), 2)
}

// Guards against a quarantine of requests that had no part in a crash: connections were lost, or what they asked was answered since.
func TestOnlyCrashesAreHeldAgainstARequest(t *testing.T) {
	cases := []struct {
		name      string
		endpoints []*standIn
		crashes   int
	}{
		{name: "answers are cut", endpoints: []*standIn{newStandIn(t, func() string { return cut }), newStandIn(t, func() string { return cut })}},
		{name: "one crashes, the other answers", endpoints: []*standIn{newCrashingStandIn(t), newStandIn(t, func() string { return good })}},
		{name: "one crashes, answers of the other are cut", endpoints: []*standIn{newCrashingStandIn(t), newStandIn(t, func() string { return cut })}, crashes: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHandler(t, c.endpoints...)
			for range 4 {
				status, _, _, err := serveOnce(t, h, "/safe/x", "")
				assert.NilError(t, err)
				assert.Assert(t, status == http.StatusOK || status == http.StatusBadGateway, "%d", status)
			}
			crashes, quarantines := heldAgainst(h)
			assert.Equal(t, crashes, c.crashes)
			assert.Equal(t, quarantines, 0)
		})
	}
}
