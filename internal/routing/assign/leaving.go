package assign

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// defaultLongestPause is the default of Settings.LongestPause. A longer pause is more likely a fault of the endpoint.
	defaultLongestPause = time.Hour
	// After a pause, hosts return to the endpoint over a time of pauseJitter times the pause, at most maxPauseJitter. Without it,
	// hosts that were refused at the same moment, and so were told the same time, would all return at once.
	pauseJitter, maxPauseJitter = 0.25, 500 * time.Millisecond
)

// acceptsRequests reports whether the endpoint may get requests: it isn't draining, hasn't said that it leaves, and isn't in a
// pause that it asked for.
func (r *replica) acceptsRequests(now unit.Moment) bool {
	return !r.Draining && !r.leaving && r.requestedPauseUntil <= now
}

// MarkLeaving records that an endpoint said in an answer that it leaves. Later reports of the same lifetime don't undo that. It
// reports whether this was unknown so far.
func (a *Assigner) MarkLeaving(l registry.Lifetime) bool {
	r, ok := a.replicas[l.Endpoint]
	if !ok || r.Born != l.Born || r.leaving {
		return false
	}
	r.leaving = true
	return !r.Draining
}

// Leaving returns the lifetimes of endpoints that told this host that they leave but whose reports don't say so yet.
func (a *Assigner) Leaving() []registry.Lifetime {
	var leaving []registry.Lifetime
	for _, r := range a.replicas {
		if r.leaving && !r.Draining {
			leaving = append(leaving, registry.Lifetime{Endpoint: r.ID, Born: r.Born})
		}
	}
	return leaving
}

// CountEndpoints returns the number of a service's endpoints that aren't leaving.
func (a *Assigner) CountEndpoints(service table.ServiceName) int {
	count := 0
	for _, r := range a.services[service] {
		if !r.Draining && !r.leaving {
			count++
		}
	}
	return count
}

// Pause records that an endpoint asks this host to send nothing for a time, and returns the moment until which it gets nothing.
// The draw, a random number in [0, 1), spreads the moments at which hosts return.
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
	jitter := min(time.Duration(pauseJitter*float64(asked)), maxPauseJitter)
	r.requestedPauseUntil = max(r.requestedPauseUntil, now.Add(asked+time.Duration(draw*float64(jitter))))
	return r.requestedPauseUntil
}

// PauseRemaining returns the time until the first pause of one of the service's endpoints ends, and whether any endpoint is in a pause
// that it asked for.
func (a *Assigner) PauseRemaining(now unit.Moment, service table.ServiceName) (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, r := range a.services[service] {
		if r.Draining || r.leaving || r.requestedPauseUntil <= now {
			continue
		}
		if left := r.requestedPauseUntil.Sub(now); !found || left < first {
			first, found = left, true
		}
	}
	return first, found
}
