package assign

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// checkAfter is the silence from which a new connection shows whether an endpoint can be reached, and checkPause the
	// time between two of these checks.
	checkAfter, checkPause = 250 * time.Millisecond, time.Second
	// checksNeeded is the number of failures in a row after which requests that wait at an endpoint are given up. A single
	// one may be a lost packet.
	checksNeeded = 2
	// heardLately is how long an endpoint counts as heard after something came from it.
	heardLately = 400 * time.Millisecond
	// unheardMemory is how long other hosts are told that an endpoint couldn't be reached.
	unheardMemory = 2500 * time.Millisecond
	// hostsNeeded is the number of other hosts whose word counts, where there are that many.
	hostsNeeded = 2
)

// Check is an endpoint that may be unreachable.
type Check struct {
	Endpoint unit.EndpointID
	Service  table.ServiceName
	Address  string
}

// Checks returns the endpoints that should be checked now: a request waits there for longer than expected while nothing
// comes.
func (a *Assigner) Checks(now unit.Moment) []Check {
	var checks []Check
	for _, r := range a.replicas {
		if now.Sub(r.checkedAt) < checkPause {
			continue
		}
		for f := range r.flights {
			if !f.begun && f.quiet(now) > max(checkAfter, f.expected) {
				r.checkedAt = now
				checks = append(checks, Check{r.ID, r.Service, r.Address})
				break
			}
		}
	}
	return checks
}

// CheckFailed notes that no connection could be made to the endpoint.
func (a *Assigner) CheckFailed(now unit.Moment, id unit.EndpointID) {
	if r, ok := a.replicas[id]; ok {
		r.note(now, EndedUnreachable)
	}
}

// quiet is how long nothing has come from the endpoint since the request was sent.
func (f *Flight) quiet(now unit.Moment) time.Duration {
	return now.Sub(max(f.sentAt, f.replica.answeredAt))
}

// failedChecks reports whether the endpoint has been unreachable several times in a row since that moment.
func (r *replica) failedChecks(since unit.Moment) bool {
	return r.inRow >= checksNeeded && r.failedAt > since && r.answeredAt < r.failedAt
}

// witness says for other hosts whether this one hears the endpoint, as 0 or 1 each.
func (r *replica) witness(now unit.Moment) (heard, unheard int) {
	switch {
	case r.inRow > 0 && r.answeredAt < r.failedAt && now.Sub(r.failedAt) < unheardMemory:
		return 0, 1
	case r.answeredAt > 0 && now.Sub(r.answeredAt) < heardLately:
		return 1, 0
	default:
		return 0, 0
	}
}

// suspects reports whether the endpoint shall get a request only where no other one can. An endpoint that couldn't be reached
// gets one request at a time until it answers, and none while its reports are missing too: every host would lose a request
// there for each pause. Other hosts' word counts unless something came from the endpoint lately.
func (a *Assigner) suspects(now unit.Moment, r *replica) bool {
	if r.inRow > 0 && (a.silent(now, r) || r.probed()) {
		return true
	}
	return r.others.Unheard >= min(hostsNeeded, a.hosts-1) && r.others.Unheard > r.others.Heard && now.Sub(r.answeredAt) > heardLately
}

// silent reports whether the endpoint's reports are missing while this host gets those of others.
func (a *Assigner) silent(now unit.Moment, r *replica) bool {
	return now.Sub(r.heardAt) > a.settings.ReportSilence && now.Sub(a.loadsAt) < a.settings.ReportSilence
}

// probed reports whether a request of this host waits for its first byte.
func (r *replica) probed() bool {
	for f := range r.flights {
		if !f.begun {
			return true
		}
	}
	return false
}
