package assign

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// minUnconnected is the number of endpoints of a service, or all of them if there are fewer, to which no connection could be made
	// since any endpoint of the service was last heard, from which on this host counts as cut off from the service.
	minUnconnected = 6
	// probeInterval is the time between two rounds of checks of a service from which this host may be cut off.
	probeInterval = time.Second
	// minDoubtful is the number of endpoints of a service, or all of them if there are fewer, to which connections must have failed within
	// doubtTime for the service to stay in doubt although something was heard since. Open connections to endpoints may outlive the path on
	// which new ones are made; their answers then alternate with failed connections every few milliseconds.
	minDoubtful = 2
	doubtTime   = 2 * time.Second
)

// Reach says how many of the services a host reaches. Other hosts are told it.
type Reach uint8

// The values of Reach.
const (
	ReachesAll Reach = iota
	ReachesSome
	ReachesNone
)

// contact is what the endpoints of a service together show about this host's connection to them.
type contact struct {
	heardAt  unit.Moment // when any of them last sent something or accepted a connection
	failedAt unit.Moment // when a connection to any of them last failed
	probedAt unit.Moment // when a round of checks last began
}

// contactOf returns the contact with a service, which may be changed.
func (a *Assigner) contactOf(service table.ServiceName) *contact {
	c, ok := a.contacts[service]
	if !ok {
		c = &contact{}
		a.contacts[service] = c
	}
	return c
}

// inDoubt reports whether nothing was heard since a connection failed.
func (c *contact) inDoubt() bool {
	return c.failedAt > c.heardAt
}

// CutOff reports whether this host reaches no endpoint of the service: connections to several, or to all of them, have failed since any
// was last heard. It doesn't say whether other hosts reach them.
func (a *Assigner) CutOff(service table.ServiceName) bool {
	c, ok := a.contacts[service]
	if !ok || !c.inDoubt() {
		return false
	}
	failed, all := 0, len(a.services[service])
	for _, r := range a.services[service] {
		if r.connectFailedAt > c.heardAt {
			failed++
		}
	}
	return all > 0 && failed >= min(all, minUnconnected)
}

// failsOften reports whether connections to several endpoints of the service have failed lately.
func (a *Assigner) failsOften(now unit.Moment, service table.ServiceName) bool {
	failed, all := 0, len(a.services[service])
	for _, r := range a.services[service] {
		if r.connectFailedAt > 0 && now.Sub(r.connectFailedAt) < doubtTime {
			failed++
		}
	}
	return all > 0 && failed >= min(all, minDoubtful)
}

// Reach returns how many of the services with endpoints this host reaches, and whether it may be cut off from one of them: connections to
// its endpoints fail, even if others still answer.
func (a *Assigner) Reach(now unit.Moment) (reach Reach, inDoubt bool) {
	all, lost := 0, 0
	for service, endpoints := range a.services {
		if len(endpoints) == 0 {
			continue
		}
		all++
		c, ok := a.contacts[service]
		inDoubt = inDoubt || ok && c.inDoubt() || a.failsOften(now, service)
		if a.CutOff(service) {
			lost++
		}
	}
	switch lost {
	case 0:
		return ReachesAll, inDoubt
	case all:
		return ReachesNone, inDoubt
	default:
		return ReachesSome, inDoubt
	}
}

// OtherEndpoints returns up to the given number of endpoints, other than one, that were heard most recently.
func (a *Assigner) OtherEndpoints(except unit.EndpointID, most int) []Check {
	others := make([]*replica, 0, len(a.replicas))
	for _, id := range slices.Sorted(maps.Keys(a.replicas)) {
		if id != except {
			others = append(others, a.replicas[id])
		}
	}
	slices.SortStableFunc(others, func(x, y *replica) int { return cmp.Compare(y.lastByteAt, x.lastByteAt) })
	checks := make([]Check, 0, most)
	for _, r := range others[:min(len(others), most)] {
		checks = append(checks, Check{r.ID, r.Service, r.Address})
	}
	return checks
}

// Reached records that the endpoint accepted a connection or answered a request, even if it refused to run it.
func (a *Assigner) Reached(now unit.Moment, id unit.EndpointID) {
	if r, ok := a.replicas[id]; ok {
		a.contactOf(r.Service).heardAt = now
	}
}

// notConnected records that no connection to the endpoint could be made.
func (a *Assigner) notConnected(now unit.Moment, r *replica) {
	r.connectFailedAt = now
	a.contactOf(r.Service).failedAt = now
}

// probes returns the endpoints to check in order to find out whether this host is cut off from a service, or still is. Those that were
// checked longest ago come first.
func (a *Assigner) probes(now unit.Moment) []Check {
	var checks []Check
	for _, service := range slices.Sorted(maps.Keys(a.contacts)) {
		c := a.contacts[service]
		if !c.inDoubt() || now.Sub(c.heardAt) < checkSilence || now.Sub(c.probedAt) < probeInterval {
			continue
		}
		c.probedAt = now
		endpoints := slices.Clone(a.services[service])
		slices.SortStableFunc(endpoints, func(x, y *replica) int { return cmp.Compare(x.checkedAt, y.checkedAt) })
		for _, r := range endpoints[:min(len(endpoints), minUnconnected)] {
			r.checkedAt = now
			checks = append(checks, Check{r.ID, r.Service, r.Address})
		}
	}
	return checks
}
