package gateway

import (
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/host/hub"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// endpointUpdate is what one answer says about the endpoints, with their indexes resolved.
type endpointUpdate struct {
	changed            bool
	endpoints          []registry.Endpoint // all endpoints if changed is set, otherwise those that reported again
	updating, upcoming []unit.EndpointID
	otherLoads         map[unit.EndpointID]assign.Load // loads of other entry hosts, nil if the answer holds none
	permits            []endpointPermits
	speeds             map[unit.EndpointID]float64 // relative times of engines, nil if the answer holds none
}

// resolveAnswer resolves the indexes of an answer and determines whether the assigner needs all endpoints again. The lock must be held.
func (g *Gateway) resolveAnswer(reported []unit.EndpointID, answer *hub.SyncAnswer) endpointUpdate {
	v := endpointUpdate{updating: g.numbering.IDs(answer.Updating), upcoming: g.numbering.IDs(answer.Upcoming), otherLoads: g.otherHostsLoads(answer), speeds: g.resolveSpeeds(answer)}
	next := appliedState{registryContent: g.registry.ContentNumber(), updating: v.updating, upcoming: v.upcoming}
	if t := g.table.Load(); t != nil {
		next.tableVersion = t.Version
	}
	v.changed = next.registryContent != g.applied.registryContent || next.tableVersion != g.applied.tableVersion || !slices.Equal(next.updating, g.applied.updating) ||
		!slices.Equal(next.upcoming, g.applied.upcoming)
	if v.changed {
		g.applied, v.endpoints = next, g.registry.Present()
		return v
	}
	for _, id := range reported {
		if e, ok := g.registry.Endpoint(id); ok {
			v.endpoints = append(v.endpoints, e)
		}
	}
	return v
}

// otherHostsLoads returns the loads of the other entry hosts: the sum of all loads in the answer, minus this host's own report that the
// sum includes. It returns nil if the answer holds no loads.
func (g *Gateway) otherHostsLoads(answer *hub.SyncAnswer) map[unit.EndpointID]assign.Load {
	if !answer.HasLoads {
		return nil
	}
	total, err := tally.Unpack(answer.Loads)
	if err == nil && len(answer.UrgentLoads) > 0 {
		err = total.UnpackUrgent(answer.UrgentLoads)
	}
	if err != nil {
		g.Log.Error("loads-not-taken", "cause", err.Error())
		return nil
	}
	others := make(map[unit.EndpointID]assign.Load, len(total))
	for index, load := range total {
		if id, ok := g.numbering.ID(index); ok {
			others[id] = load
		}
	}
	for _, sent := range g.sentLoads {
		if sent.number != answer.IncludedLoadNumber {
			continue
		}
		for id, load := range sent.load {
			if other, ok := others[id]; ok {
				others[id] = other.Sub(load)
			}
		}
	}
	return others
}

// resolveSpeeds returns the relative times of engines in an answer, nil if it holds none.
func (g *Gateway) resolveSpeeds(answer *hub.SyncAnswer) map[unit.EndpointID]float64 {
	if len(answer.Speeds) == 0 {
		return nil
	}
	factors := make(map[unit.EndpointID]float64, len(answer.Speeds))
	for _, entry := range answer.Speeds {
		if id, ok := g.numbering.ID(entry.Engine); ok {
			factors[id], _ = entry.Values()
		}
	}
	return factors
}

// updateAssigner passes the data of an answer to the assigner and the retry budget. The request was sent at sentAt.
func (g *Gateway) updateAssigner(now, sentAt unit.Moment, v endpointUpdate, answer *hub.SyncAnswer) {
	t := g.table.Load()
	g.handler.WithRoutingState(func(a *assign.Assigner, l *retrybudget.Budget) {
		l.SetHosts(answer.EntryHosts)
		a.SetHosts(answer.EntryHosts)
		if t != nil {
			a.SetStore(t.Store())
		}
		a.SetNewest(sentAt, answer.Weights, answer.WeightsAges)
		if v.changed {
			a.SetEndpoints(v.endpoints, func(name table.ServiceName) (*table.Service, bool) {
				if t == nil {
					return nil, false
				}
				return t.Service(name)
			}, v.updating, v.upcoming)
		} else {
			a.UpdateReports(v.endpoints)
		}
		a.LearnLimits(now, v.endpoints)
		for _, p := range v.permits {
			a.AddPermits(p.endpoint, p.batch)
		}
		a.SetPermitsAge(now, answer.PermitsAge)
		if v.otherLoads != nil {
			if len(answer.UrgentLoads) == 0 { // from a control host of an earlier build
				for id, load := range v.otherLoads {
					v.otherLoads[id] = load.AllUrgent()
				}
			}
			a.SetLoads(now.Add(-answer.LoadsAge), v.otherLoads)
		}
		if v.speeds != nil {
			a.SetSpeeds(now, v.speeds)
		}
		a.SetHoldings(now, answer.Holding)
		if a.HasEndpoints() {
			g.endpointsSeen.Store(true)
		}
	})
}
