package table

import (
	"math"
	"time"
)

// Gathering says how the requests of a route are placed relative to the service's most urgent streams.
type Gathering uint8

const (
	// GatherNone is for services that don't gather streams.
	GatherNone Gathering = iota
	// GatherStream is for the most urgent streams of a service, which are gathered on few engines.
	GatherStream
	// GatherApart is for the other prompts of such a service, which avoid these engines.
	GatherApart
)

// gathering is what decides whether the streams of a service are gathered.
type gathering struct {
	priority  int           // of the most urgent stream routes
	objective time.Duration // the longest one of these routes
	other     time.Duration // the shortest objective of the other stream routes, 0 if there are none
	gap       time.Duration // the longest pause that callers of the most urgent streams accept
}

// compileGathering determines the services whose streams are gathered: those whose most urgent stream routes have the shortest objective, and name the longest
// pause that callers accept. If urgency and objectives disagree, neither class can be served at the cost of the other one.
func (t *Table) compileGathering() {
	t.gathering = map[ServiceName]gathering{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.gathers() {
			continue
		}
		for _, target := range r.Targets {
			g, ok := t.gathering[target.Service]
			if !ok {
				g = gathering{priority: math.MaxInt}
			}
			t.gathering[target.Service] = g.with(r)
		}
	}
}

func (r *Route) gathers() bool {
	return r.Kind == KindStream && r.HasPrompt && r.Objective > 0
}

func (g gathering) with(r *Route) gathering {
	switch {
	case r.Priority < g.priority:
		other := g.objective
		if g.other > 0 && (other == 0 || g.other < other) {
			other = g.other
		}
		return gathering{priority: r.Priority, objective: r.Objective, other: other, gap: r.MaxEventGap}
	case r.Priority == g.priority:
		g.objective, g.gap = max(g.objective, r.Objective), max(g.gap, r.MaxEventGap)
	case g.other == 0 || r.Objective < g.other:
		g.other = r.Objective
	}
	return g
}

// patientFactor is the ratio of objectives from which a less urgent class can wait for a more urgent one and still be served in time.
const patientFactor = 2

// HasPatientClasses reports whether the less urgent stream routes of a service that gathers streams have much longer objectives than the most urgent ones.
func (t *Table) HasPatientClasses(name ServiceName) bool {
	g, ok := t.gathering[name]
	return ok && g.objective > 0 && g.other >= patientFactor*g.objective
}

// Gathering returns how requests of a route to a service are placed.
func (t *Table) Gathering(name ServiceName, r *Route) Gathering {
	g, ok := t.gathering[name]
	switch {
	case !ok || !r.gathers() || g.gap <= 0 || g.other <= g.objective:
		return GatherNone
	case r.Priority == g.priority:
		return GatherStream
	default:
		return GatherApart
	}
}
