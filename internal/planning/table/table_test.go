package table

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

func validTable() *Table {
	return &Table{
		Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}, {Name: "keep", Store: &Store{Address: "10.0.0.1:1"}}},
		Routes: []Route{
			{Name: "one", Host: "h", Prefix: "/x/", Kind: KindSafe, Timeout: time.Second, Targets: []Target{{"a", 90}, {"b", 10}}},
			{Name: "two", Host: "h", Prefix: "/x/y/", Kind: KindOnce, Timeout: time.Second, Targets: []Target{{"b", 1}}},
		},
		Customers: []Customer{{Name: "c", Keys: []string{"k1", "k2"}}, {Name: "d", Keys: []string{"k3"}}},
	}
}

// Guards against an invalid table that is accepted.
func TestFaultyTablesAreRefused(t *testing.T) {
	cases := []struct {
		name       string
		invalidate func(t *Table)
	}{
		{name: "no version", invalidate: func(t *Table) { t.Version = 0 }},
		{name: "unknown service", invalidate: func(t *Table) { t.Routes[0].Targets[1].Service = "none" }},
		{name: "a store as service", invalidate: func(t *Table) { t.Routes[0].Targets[1].Service = "keep" }},
		{name: "same host and prefix", invalidate: func(t *Table) { t.Routes[1].Prefix = "/x/" }},
		{name: "no weight", invalidate: func(t *Table) { t.Routes[1].Targets[0].Weight = 0 }},
		{name: "negative weight", invalidate: func(t *Table) { t.Routes[0].Targets[1].Weight = -1 }},
		{name: "no targets", invalidate: func(t *Table) { t.Routes[0].Targets = nil }},
		{name: "no timeout", invalidate: func(t *Table) { t.Routes[0].Timeout = 0 }},
		{name: "unknown kind", invalidate: func(t *Table) { t.Routes[0].Kind = "" }},
		{name: "no host", invalidate: func(t *Table) { t.Routes[0].Host = "" }},
		{name: "prefix without slashes", invalidate: func(t *Table) { t.Routes[0].Prefix = "x" }},
		{name: "shared key", invalidate: func(t *Table) { t.Customers[1].Keys = []string{"k1"} }},
		{name: "service twice", invalidate: func(t *Table) { t.Services[1].Name = "a" }},
	}
	assert.NilError(t, validTable().Compile())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			invalid := validTable()
			c.invalidate(invalid)
			assert.Assert(t, errorx.IsOfType(invalid.Compile(), fault.BadInput))
		})
	}
}

// Guards against a request that gets the route of a shorter prefix or of another host.
func TestTheLongestPrefixWins(t *testing.T) {
	routes := validTable()
	assert.NilError(t, routes.Compile())
	cases := []struct {
		host, path, want string
	}{
		{"h", "/x/1", "one"}, {"h", "/x/y/1", "two"}, {"h", "/x/yy/1", "one"}, {"h", "/x", ""}, {"other", "/x/1", ""}, {"h", "/X/1", ""},
	}
	for _, c := range cases {
		route, ok := routes.Route(c.host, c.path)
		assert.Equal(t, ok, c.want != "", c.path)
		if ok {
			assert.Equal(t, route.Name, c.want)
		}
	}
}

// Guards against services that get another share of a route's requests than their weight says.
func TestTargetsGetTheirWeight(t *testing.T) {
	routes := validTable()
	assert.NilError(t, routes.Compile())
	got := map[ServiceName]int{}
	for draw := range 100 {
		got[routes.Routes[0].Pick(float64(draw)/100)]++
	}
	assert.DeepEqual(t, got, map[ServiceName]int{"a": 90, "b": 10})
	assert.Equal(t, routes.Routes[0].Pick(1), ServiceName("b"))
}

// Guards against a shortest objective that is taken from routes of another kind or service. It decides how long the requests
// of a service may wait.
func TestTheShortestObjectiveIsThatOfStreams(t *testing.T) {
	result := &Table{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Routes: []Route{
		{Name: "1", Host: "h", Prefix: "/1/", Kind: KindStream, Timeout: time.Second, Objective: 800, Targets: []Target{{"a", 1}}},
		{Name: "2", Host: "h", Prefix: "/2/", Kind: KindStream, Timeout: time.Second, Objective: 500, Targets: []Target{{"a", 1}, {"b", 1}}},
		{Name: "3", Host: "h", Prefix: "/3/", Kind: KindSafe, Timeout: time.Second, Objective: 100, Targets: []Target{{"a", 1}, {"c", 1}}},
		{Name: "4", Host: "h", Prefix: "/4/", Kind: KindStream, Timeout: time.Second, Targets: []Target{{"a", 1}}},
	}}
	assert.NilError(t, result.Compile())
	for _, c := range []struct {
		service ServiceName
		want    time.Duration
	}{{"a", 500}, {"b", 500}, {"c", 0}, {"unknown", 0}} {
		assert.Equal(t, result.ShortestObjective(c.service), c.want, "%s", c.service)
	}
}

// Guards against classes that are taken from routes of another kind or service, or in another order than that of their urgency.
func TestStreamPrioritiesAreSorted(t *testing.T) {
	result := &Table{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}}, Routes: []Route{
		{Name: "1", Host: "h", Prefix: "/1/", Kind: KindStream, Timeout: time.Second, Priority: 5, Objective: 1500, Targets: []Target{{"a", 1}}},
		{Name: "2", Host: "h", Prefix: "/2/", Kind: KindStream, Timeout: time.Second, Priority: 1, Objective: 600, Targets: []Target{{"a", 1}, {"b", 1}}},
		{Name: "3", Host: "h", Prefix: "/3/", Kind: KindSafe, Timeout: time.Second, Priority: 0, Objective: 100, Targets: []Target{{"a", 1}}},
		{Name: "4", Host: "h", Prefix: "/4/", Kind: KindStream, Timeout: time.Second, Priority: 1, Objective: 500, Targets: []Target{{"a", 1}}},
	}}
	assert.NilError(t, result.Compile())
	assert.DeepEqual(t, result.StreamPriorities("a"), []int{1, 5})
	assert.DeepEqual(t, result.StreamObjectives("a"), []time.Duration{500, 1500})
	assert.DeepEqual(t, result.StreamPriorities("b"), []int{1})
}

// Guards against a customer that uses cached parts of another one while either of them is isolated, whatever customers were isolated before.
func TestIsolatedCustomersShareNoCachedParts(t *testing.T) {
	names := []unit.CustomerID{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		makers := map[string]map[unit.CustomerID]bool{} // by the scope in which they have made parts
		for version := range rapid.IntRange(2, 12).Draw(t, "versions") {
			changed := &Table{Version: Version(version + 1)}
			for _, name := range names {
				if rapid.Bool().Draw(t, "exists") {
					changed.Customers = append(changed.Customers, Customer{Name: name, Isolated: rapid.Bool().Draw(t, "isolated")})
				}
			}
			assert.NilError(t, changed.Compile())
			for i := range changed.Customers {
				c := &changed.Customers[i]
				scope := changed.CacheScope(c).String()
				for maker := range makers[scope] {
					assert.Assert(t, maker == c.Name || !changed.isolated[maker] && !c.Isolated, "%s uses parts of %s", c.Name, maker)
				}
				if makers[scope] == nil {
					makers[scope] = map[unit.CustomerID]bool{}
				}
				makers[scope][c.Name] = true
			}
		}
	})
}
