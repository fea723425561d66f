package forward

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/admission/usage"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// newUsageHandler returns a handler whose customer has a limit on all routes, and whose meter is in contact with a control host.
func newUsageHandler(t *testing.T, endpoints ...*fakeEndpoint) *Handler {
	t.Helper()
	h := newTestHandler(t, endpoints...)
	routes := testTable(t)
	for i := range routes.Routes {
		routes.Routes[i].Public = false
	}
	routes.Customers[0].Limit = &usagelimit.Limit{PerSecond: 1_000, Burst: 10_000, Unit: usagelimit.Tokens, Unstated: 300}
	assert.NilError(t, routes.Compile())
	h.Table = func() *table.Table { return routes }
	// The answer is dated an hour ahead, so that it doesn't get too old during the test.
	h.WithUsage(func(m *usage.Meter) {
		m.Accept(h.Now().Add(time.Hour), m.Report(h.Now()), usage.Levels{Hosts: 1, Covered: 1, Known: true})
	})
	return h
}

func counted(h *Handler) (admitted int64) {
	h.WithUsage(func(m *usage.Meter) {
		for _, a := range m.Report(h.Now()).Amounts {
			admitted += a.Admitted
		}
	})
	return admitted
}

// Guards against refusals by a limit that come late, after the body has been read, that reach an endpoint, or that don't tell the caller when to
// come back and that the request hasn't run.
func TestARequestOverItsLimitIsRefusedBeforeItsBody(t *testing.T) {
	endpoint := newFakeEndpoint(t, func() string { return success })
	h := newUsageHandler(t, endpoint)
	limit := *h.Table().Customers[0].Limit
	h.WithUsage(func(m *usage.Meter) { m.Take(h.Now(), "c", limit, 100*limit.Capacity()) })
	before := counted(h)
	recorder := httptest.NewRecorder()
	h.Serve(context.Background(), recorder, &Call{
		ID: "r1", Arrived: h.Now(), Method: http.MethodPost, Host: "h", Path: "/once/x", Target: "/once/x", Key: "k", Header: http.Header{},
		Timeout: 2 * time.Second, Body: func(int64) ([]byte, error) {
			t.Error("the body is read")
			return nil, nil
		},
	})
	assert.Equal(t, recorder.Code, http.StatusTooManyRequests)
	assert.Equal(t, recorder.Body.String(), fault.Name(fault.OverLimit.New(""))+"\n")
	after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after <= 2, "%g", after)
	assert.Equal(t, endpoint.count(), 0)
	assert.Equal(t, h.Running(), 0)
	assert.Equal(t, counted(h), before)
}

// Guards against a request that isn't counted, is counted for each attempt or again by a host it is relayed to, or stays counted although no
// endpoint ran it.
func TestWhatCountsAgainstALimit(t *testing.T) {
	stated := func(c *Call) { c.Stated = &TokenCounts{Prompt: 900, Output: 40} }
	cases := []struct {
		name, path string
		answers    []string // of the endpoint, one after the other
		change     func(*Call)
		status     int
		want       int64
	}{
		{name: "served", path: "/once/x", answers: []string{success}, change: stated, status: 200, want: 940},
		{name: "without token counts", path: "/once/x", answers: []string{success}, status: 200, want: 300},
		{name: "with parts that have more tokens than the prompt", path: "/once/x", answers: []string{success}, change: func(c *Call) {
			stated(c)
			c.Prompt = &Prompt{Model: "m", Tokens: 900, Parts: []assign.Part{{ID: "a", Tokens: 800}, {ID: "b", Tokens: 800}}}
		}, status: 200, want: 1_640},
		{name: "with parts whose sum overflows", path: "/once/x", answers: []string{success}, change: func(c *Call) {
			stated(c)
			c.Prompt = &Prompt{Model: "m", Tokens: 900, Parts: []assign.Part{{ID: "a", Tokens: math.MaxInt64}, {ID: "b", Tokens: math.MaxInt64}}}
		}, status: 200, want: 1e9},
		{name: "several attempts", path: "/spread/x", answers: []string{refused, success}, change: stated, status: 200, want: 940},
		{name: "an attempt that may have run and one that did", path: "/safe/x", answers: []string{truncated, success}, change: stated, status: 200, want: 940},
		{name: "failed by its endpoint", path: "/once/x", answers: []string{serverError}, change: stated, status: 500, want: 940},
		{name: "may have run", path: "/once/x", answers: []string{truncated}, change: stated, status: 502, want: 940},
		{name: "refused by all endpoints", path: "/spread/x", answers: []string{refused, refused}, change: stated, status: 503},
		{name: "no endpoint", path: "/once/x", change: stated, status: 503},
		{name: "a body that is too large", path: "/once/x", answers: []string{success}, change: func(c *Call) {
			stated(c)
			c.Body = func(int64) ([]byte, error) { return nil, fault.TooLarge.New("test") }
		}, status: 413},
		{name: "a caller that left before the end of its body", path: "/once/x", answers: []string{success}, change: func(c *Call) {
			stated(c)
			c.Body = func(int64) ([]byte, error) { return nil, fault.CallerLeft.New("test") }
		}},
		{name: "relayed by another host", path: "/once/x", answers: []string{success}, change: func(c *Call) {
			stated(c)
			c.Relayed = &Relayed{From: "10.0.0.9", TableVersion: 1, Decline: func(error) {}}
		}, status: 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			asked := 0
			answer := func() string {
				asked++
				return c.answers[min(asked, len(c.answers))-1]
			}
			var endpoints []*fakeEndpoint
			if len(c.answers) > 0 {
				first := newFakeEndpoint(t, answer)
				endpoints = append(endpoints, first, &fakeEndpoint{address: first.address})
			}
			h := newUsageHandler(t, endpoints...)
			status, _, _, err := serveChanged(t, h, c.path, func(call *Call) {
				call.Key = "k"
				if c.change != nil {
					c.change(call)
				}
			})
			assert.Equal(t, err != nil, c.status == 0, "%v", err)
			assert.Equal(t, status, c.status)
			assert.Equal(t, counted(h), c.want)
		})
	}
}
