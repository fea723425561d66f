// Package retrybudget limits the extra attempts of requests, which are those beyond the first, to a fraction of the
// requests of each service. The limit holds over all hosts together: each host counts its own requests and uses an
// equal share of the fixed number of extra attempts.
package retrybudget

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// bucketCount is the number of equal parts of the window that are counted separately.
const bucketCount = 20

// safetyFactor is the fraction of the limit that is used. The rest compensates for counting in whole buckets: the limit
// holds for every window of the sum over all hosts, wherever it begins.
const safetyFactor = 0.75

// Settings are the limits for all hosts together.
type Settings struct {
	Ratio  float64       // extra attempts for each request of the window
	Extra  float64       // extra attempts in each window in addition
	Window time.Duration // duration over which both are counted
}

// Budget counts the requests and extra attempts of one host. It is a deterministic state machine and not safe for
// concurrent use.
type Budget struct {
	settings Settings
	hosts    int
	services map[table.ServiceName]*serviceCounts
}

type serviceCounts struct {
	bucket        int64 // number of the current bucket since the start of the clock
	requests      [bucketCount]int
	extraAttempts [bucketCount]int
}

// New returns a budget without any counts.
func New(settings Settings) *Budget {
	return &Budget{settings: settings, hosts: 1, services: map[table.ServiceName]*serviceCounts{}}
}

// SetHosts sets the number of hosts that share the fixed number of extra attempts.
func (l *Budget) SetHosts(hosts int) {
	l.hosts = max(hosts, 1)
}

// CountRequest counts the first attempt of a request.
func (l *Budget) CountRequest(now unit.Moment, service table.ServiceName) {
	c := l.countsAt(now, service)
	c.requests[c.bucket%bucketCount]++
}

// Allows reports whether another extra attempt would be within the limit.
func (l *Budget) Allows(now unit.Moment, service table.ServiceName) bool {
	c := l.countsAt(now, service)
	requests, extraAttempts := 0, 0
	for i := range bucketCount {
		requests += c.requests[i]
		extraAttempts += c.extraAttempts[i]
	}
	allowed := safetyFactor * (l.settings.Ratio*float64(requests) + l.settings.Extra/float64(l.hosts))
	return float64(extraAttempts+1) <= allowed
}

// Take counts an extra attempt, or returns false if it would exceed the limit.
func (l *Budget) Take(now unit.Moment, service table.ServiceName) bool {
	if !l.Allows(now, service) {
		return false
	}
	c := l.countsAt(now, service)
	c.extraAttempts[c.bucket%bucketCount]++
	return true
}

// countsAt returns the counts of a service, with all buckets emptied that are older than the window.
func (l *Budget) countsAt(now unit.Moment, service table.ServiceName) *serviceCounts {
	c, ok := l.services[service]
	if !ok {
		c = &serviceCounts{}
		l.services[service] = c
	}
	current := int64(now) / max(int64(l.settings.Window)/bucketCount, 1)
	for skipped := 0; c.bucket < current && skipped < bucketCount; skipped++ {
		c.bucket++
		c.requests[c.bucket%bucketCount], c.extraAttempts[c.bucket%bucketCount] = 0, 0
	}
	if c.bucket < current {
		*c = serviceCounts{bucket: current}
	}
	return c
}
