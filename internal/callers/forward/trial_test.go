package forward

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
)

// Guards against harmless parts that stay blocked since no request tries them, against requests that try a part without permission, against
// questions about parts that certainly crash endpoints, and against callers who are told to come back when a trial is long over, or at once
// with a part that stays blocked.
func TestABlockedPartIsTriedOnlyWithPermission(t *testing.T) {
	id := func(part string) crashcause.PartID { return crashcause.NewPartID("m", part) }
	cases := []struct {
		name    string
		parts   []string
		granted bool
		asked   []crashcause.PartID
		status  int
		backBy  time.Duration // latest time after which a refused caller may come back, 0 for an hour and more
	}{
		{name: "a part that isn't blocked", parts: []string{"sound", "last"}, status: http.StatusOK},
		{name: "granted", parts: []string{"subject", "last"}, granted: true, asked: []crashcause.PartID{id("subject")}, status: http.StatusOK},
		{name: "not granted", parts: []string{"subject", "last"}, asked: []crashcause.PartID{id("subject")}, status: http.StatusServiceUnavailable, backBy: 5 * time.Second},
		{name: "with a part that certainly crashes endpoints", parts: []string{"subject", "deadly", "last"}, granted: true, status: http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := newFakeEndpoint(t, func() string { return success })
			h := newTestHandler(t, endpoint)
			var asked []crashcause.PartID
			h.TryPart = func(_ context.Context, cause crashcause.Cause, engines int) bool {
				assert.Equal(t, engines, 1)
				asked = append(asked, cause.Part)
				return c.granted
			}
			h.WithCrashCauses(func(r *crashcause.Register) {
				for i, parts := range [][]string{{"subject", "deadly"}, {"subject", "other"}, {"subject", "deadly"}, {"deadly"}, {"other"}, {"other"}, {"deadly"}, {"deadly"}} {
					var crashed []crashcause.Part
					for position, part := range parts {
						crashed = append(crashed, crashcause.Part{ID: id(part), Position: uint8(position)})
					}
					r.RecordCrash(h.Now().Add(time.Duration(i-20)*time.Second), registry.Lifetime{Endpoint: "gone", Born: int64(i)}, crashed)
				}
			})
			prompt := &Prompt{Model: "m"}
			for _, part := range c.parts {
				prompt.Parts = append(prompt.Parts, assign.Part{ID: part})
			}
			status, header, _, err := servePrompt(t, h, "/safe/x", "", prompt)
			assert.NilError(t, err)
			assert.Equal(t, status, c.status)
			assert.DeepEqual(t, asked, c.asked)
			if c.status != http.StatusOK {
				assert.Equal(t, endpoint.count(), 0)
				seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				after := time.Duration(seconds * float64(time.Second))
				assert.Assert(t, c.backBy == 0 && after > time.Hour || after <= c.backBy, "%s", after)
				return
			}
			status, _, _, err = servePrompt(t, h, "/safe/y", "", prompt)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.DeepEqual(t, asked, c.asked) // an answered part isn't blocked any more
		})
	}
}
