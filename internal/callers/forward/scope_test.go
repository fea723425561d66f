package forward

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
)

// customerTable returns a table with the customers "a" and "b", some of them isolated, and a route to engines.
func customerTable(t *testing.T, version table.Version, isolated ...unit.CustomerID) *table.Table {
	t.Helper()
	result := &table.Table{
		Version: version, Services: []table.Service{{Name: "s", MaxConnections: 10, Engine: &table.Engine{Slots: 8, CacheTokens: 100_000, Models: []unit.ModelName{"m"}}}},
		Routes: []table.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Kind: table.KindSafe, Timeout: 3 * time.Second, Objective: time.Second, HasPrompt: true, MaxEndpoints: 2,
			Targets: []table.Target{{Service: "s", Weight: 1}},
		}},
	}
	for _, name := range []unit.CustomerID{"a", "b"} {
		result.Customers = append(result.Customers, table.Customer{Name: name, Keys: []string{"key-" + string(name)}, Isolated: slices.Contains(isolated, name)})
	}
	assert.NilError(t, result.Compile())
	return result
}

// Guards against the use of cached parts that a customer made before it became isolated, also by a request that is sent once more after the
// change.
func TestPartsOfACustomerThatBecameIsolatedAreNotUsed(t *testing.T) {
	before, after := customerTable(t, 1), customerTable(t, 2, "a")
	cases := []struct {
		name       string
		duringSend bool // the table changes while the first endpoint has the request
	}{
		{name: "sent after the change"},
		{name: "sent once more after the change", duringSend: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var current atomic.Pointer[table.Table]
			current.Store(before)
			refuses := false
			e := newFakeEndpoint(t, func() string {
				if refuses {
					refuses = false
					current.Store(after)
					return refused
				}
				return success
			})
			h := newTestHandler(t)
			h.Table = current.Load
			var keys []string // in the order in which requests are sent
			h.Wire.Encode = func(header http.Header, order RequestInfo) {
				testWire.Encode(header, order)
				keys = append(keys, order.CacheKey)
			}
			var known []registry.Endpoint
			for _, id := range []unit.EndpointID{"e0", "e1"} {
				known = append(known, registry.Endpoint{Report: registry.Report{ID: id, Service: "s", Address: e.address, Slots: 8, Born: 1}})
			}
			h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) { a.SetEndpoints(known, before.Service, nil, nil) })
			prompt := &Prompt{Model: "m", Tokens: 100, Output: 10, Parts: []assign.Part{{ID: "x", Tokens: 90}, {ID: "y", Tokens: 10}}}
			send := func(key string) {
				status, _, body, err := servePrompt(t, h, "/r/x", key, prompt)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK, "%q", body)
			}
			send("key-a")
			send("key-b")
			assert.Equal(t, keys[0], keys[1], "customers share parts while none is isolated")
			assert.Equal(t, keys[0], "w0.")
			if refuses = c.duringSend; !refuses {
				current.Store(after)
			}
			send("key-b")
			send("key-a")
			shared, own := keys[len(keys)-2], keys[len(keys)-1]
			assert.Assert(t, shared != keys[0], "parts under %q were made by both", shared)
			assert.Assert(t, own != keys[0] && own != shared, "%q", own)
		})
	}
}
