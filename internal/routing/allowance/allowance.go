// Package allowance keeps the attempts beyond the first of each request within a part of the requests, for each service.
// The part is shared by all hosts: each host counts its own requests and takes an equal part of the fixed extra.
package allowance

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// buckets is the number of equal parts of the window that are counted apart.
const buckets = 20

// margin is the part of the allowance that is used. The rest covers that windows of the sum over all hosts slide, while
// each host counts in whole buckets.
const margin = 0.75

// Settings are the limits that hold over all hosts together.
type Settings struct {
	Ratio  float64       // further attempts for each request of the window
	Extra  float64       // further attempts in each window on top of that
	Window time.Duration // over which both are counted
}

// Ledger counts the requests and further attempts of one host. It is a deterministic state machine, not safe for concurrent
// use.
type Ledger struct {
	settings Settings
	hosts    int
	services map[table.ServiceName]*count
}

type count struct {
	bucket   int64 // number of the current bucket since the clock's start
	requests [buckets]int
	further  [buckets]int
}

// New returns a ledger without counts.
func New(settings Settings) *Ledger {
	return &Ledger{settings: settings, hosts: 1, services: map[table.ServiceName]*count{}}
}

// SetHosts says how many hosts share the fixed extra.
func (l *Ledger) SetHosts(hosts int) {
	l.hosts = max(hosts, 1)
}

// Request counts the first attempt of a request.
func (l *Ledger) Request(now unit.Moment, service table.ServiceName) {
	c := l.at(now, service)
	c.requests[c.bucket%buckets]++
}

// Allows reports whether a further attempt would be within the allowance.
func (l *Ledger) Allows(now unit.Moment, service table.ServiceName) bool {
	c := l.at(now, service)
	requests, further := 0, 0
	for i := range buckets {
		requests += c.requests[i]
		further += c.further[i]
	}
	allowed := margin * (l.settings.Ratio*float64(requests) + l.settings.Extra/float64(l.hosts))
	return float64(further+1) <= allowed
}

// Take counts a further attempt, or returns false when it would exceed the allowance.
func (l *Ledger) Take(now unit.Moment, service table.ServiceName) bool {
	if !l.Allows(now, service) {
		return false
	}
	c := l.at(now, service)
	c.further[c.bucket%buckets]++
	return true
}

// at returns the counts of a service with all buckets that are older than the window emptied.
func (l *Ledger) at(now unit.Moment, service table.ServiceName) *count {
	c, ok := l.services[service]
	if !ok {
		c = &count{}
		l.services[service] = c
	}
	current := int64(now) / max(int64(l.settings.Window)/buckets, 1)
	for skipped := 0; c.bucket < current && skipped < buckets; skipped++ {
		c.bucket++
		c.requests[c.bucket%buckets], c.further[c.bucket%buckets] = 0, 0
	}
	if c.bucket < current {
		*c = count{bucket: current}
	}
	return c
}
