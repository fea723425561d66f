package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

// truncatedHead is the beginning of an answer that breaks off within its head.
const truncatedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n"

// newCrashingEndpoint returns an endpoint that goes down at its first request.
func newCrashingEndpoint(t *testing.T) *fakeEndpoint {
	t.Helper()
	var s *fakeEndpoint
	s = newFakeEndpoint(t, func() string {
		_ = s.listener.Close()
		return truncatedHead
	})
	return s
}

// countNotices counts the crashes and quarantines that the handler has recorded.
func countNotices(h *Handler) (crashes, quarantines int) {
	h.WithQuarantines(func(q *quarantine.Register) {
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

// Guards against a request that crashes a third endpoint where more than two may be tried, and against callers who aren't told
// that the request did not run and when to retry.
func TestARequestThatCrashedTwoEndpointsIsNotSentToAThird(t *testing.T) {
	endpoints := []*fakeEndpoint{newCrashingEndpoint(t), newCrashingEndpoint(t), newCrashingEndpoint(t)}
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

// Guards against parts of prompts that go on to crash endpoints because an answer that ended with its connection, after a first event,
// passes for a complete one.
func TestAnAnswerThatEndsWithItsEndpointClearsNoPart(t *testing.T) {
	var endpoints []*fakeEndpoint
	for range crashcause.CrashesNeeded + 1 {
		var s *fakeEndpoint
		s = newFakeEndpoint(t, func() string {
			_ = s.listener.Close()
			return closingHead + "id: 1\ndata: a\n\n"
		})
		endpoints = append(endpoints, s)
	}
	h := newTestHandler(t, endpoints...)
	clock, passed := h.Now, atomic.Int64{}
	h.Now = func() unit.Moment { return clock().Add(time.Duration(passed.Load())) }
	for i := range crashcause.CrashesNeeded {
		prompt := &Prompt{Model: "m", Parts: []assign.Part{{ID: "deadly"}, {ID: fmt.Sprint(i)}}}
		_, _, _, err := servePrompt(t, h, fmt.Sprint("/stream/", i), "", prompt)
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			crashes := 0
			h.WithCrashCauses(func(c *crashcause.Register) {
				for _, n := range c.Export(h.Now()) {
					if n.Lifetime != (registry.Lifetime{}) {
						crashes++
					}
				}
			})
			if crashes == i+1 {
				return poll.Success()
			}
			return poll.Continue("%d crashes are known", crashes)
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
		passed.Add(int64(time.Second))
	}
	status, header, _, err := servePrompt(t, h, "/stream/next", "", &Prompt{Model: "m", Parts: []assign.Part{{ID: "deadly"}, {ID: "next"}}})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
}

// Guards against a quarantine of requests that caused no crash: only their connections were lost, or another endpoint has answered
// them since.
func TestOnlyCrashesAreHeldAgainstARequest(t *testing.T) {
	cases := []struct {
		name      string
		endpoints []*fakeEndpoint
		crashes   int
	}{
		{name: "answers are cut", endpoints: []*fakeEndpoint{newFakeEndpoint(t, func() string { return truncated }), newFakeEndpoint(t, func() string { return truncated })}},
		{name: "one crashes, the other answers", endpoints: []*fakeEndpoint{newCrashingEndpoint(t), newFakeEndpoint(t, func() string { return success })}},
		{name: "one crashes, answers of the other are cut", endpoints: []*fakeEndpoint{newCrashingEndpoint(t), newFakeEndpoint(t, func() string { return truncated })}, crashes: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHandler(t, c.endpoints...)
			for range 4 {
				status, _, _, err := serveOnce(t, h, "/safe/x", "")
				assert.NilError(t, err)
				assert.Assert(t, status == http.StatusOK || status == http.StatusBadGateway, "%d", status)
			}
			crashes, quarantines := countNotices(h)
			assert.Equal(t, crashes, c.crashes)
			assert.Equal(t, quarantines, 0)
		})
	}
}
