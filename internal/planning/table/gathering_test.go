package table

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against streams that are gathered at the cost of other prompts although the operator hasn't put them first in both respects, urgency and
// objective, and against requests that change their placement on such services.
func TestOnlyTheMostUrgentAndFastestStreamsAreGathered(t *testing.T) {
	route := func(name string, priority int, objective, gap time.Duration) Route {
		return Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: KindStream, Timeout: time.Second, HasPrompt: true, Priority: priority, Objective: objective, MaxEventGap: gap,
			Targets: []Target{{"s", 1}},
		}
	}
	const gap = 400 * time.Millisecond
	cases := []struct {
		name   string
		routes []Route
		want   map[string]Gathering
	}{
		{name: "most urgent with the shortest objective", routes: []Route{route("short", 0, 500, gap), route("large", 2, 1500, gap)}, want: map[string]Gathering{"short": GatherStream, "large": GatherApart}},
		{name: "in another order", routes: []Route{route("large", 2, 1500, gap), route("mid", 1, 900, gap), route("short", 0, 500, gap)}, want: map[string]Gathering{"short": GatherStream, "mid": GatherApart, "large": GatherApart}},
		{name: "most urgent with a longer objective", routes: []Route{route("drafts", 0, 800, gap), route("scores", 1, 500, gap)}, want: map[string]Gathering{}},
		{name: "equal objectives", routes: []Route{route("a", 0, 500, gap), route("b", 1, 500, gap)}, want: map[string]Gathering{}},
		{name: "one priority", routes: []Route{route("a", 1, 500, gap), route("b", 1, 900, gap)}, want: map[string]Gathering{}},
		{name: "one route", routes: []Route{route("a", 0, 500, gap)}, want: map[string]Gathering{}},
		{name: "no longest pause", routes: []Route{route("a", 0, 500, 0), route("b", 1, 900, 0)}, want: map[string]Gathering{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := &Table{Version: 1, Services: []Service{{Name: "s"}}, Routes: c.routes}
			assert.NilError(t, table.Compile())
			for i := range table.Routes {
				r := &table.Routes[i]
				assert.Equal(t, table.Gathering("s", r), c.want[r.Name], r.Name)
			}
			assert.Equal(t, table.Gathering("unknown", &table.Routes[0]), GatherNone)
		})
	}
}

// Guards against less urgent requests that are made to wait although their callers accept hardly more than those of the most urgent ones.
func TestOnlyMuchLongerObjectivesMakeAClassPatient(t *testing.T) {
	for _, c := range []struct {
		other time.Duration
		want  bool
	}{{1500, true}, {1000, true}, {999, false}, {600, false}, {500, false}} {
		known := &Table{Version: 1, Services: []Service{{Name: "s"}}}
		for priority, objective := range []time.Duration{500, c.other} {
			known.Routes = append(known.Routes, Route{
				Name: "r", Host: "h", Prefix: "/" + string(rune('a'+priority)) + "/", Kind: KindStream, Timeout: time.Second, HasPrompt: true, Priority: priority,
				Objective: objective, MaxEventGap: 400, Targets: []Target{{"s", 1}},
			})
		}
		assert.NilError(t, known.Compile())
		assert.Equal(t, known.HasPatientClasses("s"), c.want, "%d", c.other)
	}
}
