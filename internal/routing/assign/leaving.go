package assign

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// defaultLongestPause is Settings.LongestPause where none is set. A pause beyond it is rather a fault of the endpoint.
	defaultLongestPause = time.Hour
	// pauseSpread is the part of a pause, up to mostPauseSpread, over which hosts come back to an endpoint after it. Those that were
	// turned away in the same moment were told the same time.
	pauseSpread, mostPauseSpread = 0.25, 500 * time.Millisecond
)

// takes reports whether the endpoint may get a request: it hasn't said that it leaves and hasn't asked for a pause.
func (r *replica) takes(now unit.Moment) bool {
	return !r.Draining && !r.leaving && r.aloneUntil <= now
}

// Leaves notes that an endpoint has said that it leaves. Reports of the same lifetime don't undo that. It reports whether it is news.
func (a *Assigner) Leaves(l registry.Lifetime) bool {
	r, ok := a.replicas[l.Endpoint]
	if !ok || r.Born != l.Born || r.leaving {
		return false
	}
	r.leaving = true
	return !r.Draining
}

// Leaving returns the lifetimes that have said to this host that they leave and not yet in their reports.
func (a *Assigner) Leaving() []registry.Lifetime {
	var leaving []registry.Lifetime
	for _, r := range a.replicas {
		if r.leaving && !r.Draining {
			leaving = append(leaving, registry.Lifetime{Endpoint: r.ID, Born: r.Born})
		}
	}
	return leaving
}

// Pause notes that an endpoint wants nothing from this host for so long, and returns until when it gets nothing. The draw, from 0 up to
// 1, spreads the return of hosts.
func (a *Assigner) Pause(now unit.Moment, l registry.Lifetime, asked time.Duration, draw float64) unit.Moment {
	r, ok := a.replicas[l.Endpoint]
	if !ok || r.Born != l.Born || asked <= 0 {
		return now
	}
	longest := a.settings.LongestPause
	if longest <= 0 {
		longest = defaultLongestPause
	}
	asked = min(asked, longest)
	spread := min(time.Duration(pauseSpread*float64(asked)), mostPauseSpread)
	r.aloneUntil = max(r.aloneUntil, now.Add(asked+time.Duration(draw*float64(spread))))
	return r.aloneUntil
}

// Resumes returns how long it takes until the first of a service's endpoints that asked for a pause may get requests again, and
// whether there is one.
func (a *Assigner) Resumes(now unit.Moment, service table.ServiceName) (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, r := range a.services[service] {
		if r.Draining || r.leaving || r.aloneUntil <= now {
			continue
		}
		if left := r.aloneUntil.Sub(now); !found || left < first {
			first, found = left, true
		}
	}
	return first, found
}
