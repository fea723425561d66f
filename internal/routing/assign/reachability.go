package assign

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// checkSilence is the silence after which a new connection is opened to check whether an endpoint can be reached, and
	// checkInterval the minimum time between two checks of an endpoint.
	checkSilence, checkInterval = 250 * time.Millisecond, time.Second
	// minFailedChecks is the number of consecutive failures after which requests that wait at an endpoint are given up. A single
	// failure may be a lost packet.
	minFailedChecks = 2
	// heardWindow is how long an endpoint counts as reachable after it has sent something.
	heardWindow = 400 * time.Millisecond
	// unreachableReportTime is how long this host reports to others that an endpoint couldn't be reached.
	unreachableReportTime = 2500 * time.Millisecond
	// minHostReports is the number of other hosts that must report an endpoint as unreachable, or all of them if there are fewer.
	minHostReports = 2
)

// Check asks for a connection check of an endpoint that may be unreachable.
type Check struct {
	Endpoint unit.EndpointID
	Service  table.ServiceName
	Address  string
}

// Checks returns the endpoints that should be checked now: those at which a request has waited longer than expected while the
// endpoint sent nothing, and some of each service from which this host may be cut off.
func (a *Assigner) Checks(now unit.Moment) []Check {
	checks := a.probes(now)
	for _, r := range a.replicas {
		if now.Sub(r.checkedAt) < checkInterval {
			continue
		}
		for f := range r.flights {
			if !f.answering && f.silence(now) > max(checkSilence, f.expected) {
				r.checkedAt = now
				checks = append(checks, Check{r.ID, r.Service, r.Address})
				break
			}
		}
	}
	return checks
}

// CheckFailed records that no connection could be made to the endpoint.
func (a *Assigner) CheckFailed(now unit.Moment, id unit.EndpointID) {
	if r, ok := a.replicas[id]; ok {
		r.recordEnding(now, EndedUnreachable)
		a.notConnected(now, r)
	}
}

// silence returns the time since the endpoint last sent something, or since the request was sent if that is later.
func (f *Attempt) silence(now unit.Moment) time.Duration {
	return now.Sub(max(f.sentAt, f.replica.lastByteAt))
}

// failedChecks reports whether the endpoint has been unreachable or silent at least minFailedChecks times in a row, the last time
// after since, and has sent nothing afterwards.
func (r *replica) failedChecks(since unit.Moment) bool {
	return r.failuresInRow >= minFailedChecks && r.unreachableAt > since && r.lastByteAt < r.unreachableAt
}

// reachability returns, as 0 or 1 each, whether this host has heard from the endpoint lately and whether it can't reach it. Other
// hosts are told both.
func (r *replica) reachability(now unit.Moment) (heard, unheard int) {
	switch {
	case r.failuresInRow > 0 && r.lastByteAt < r.unreachableAt && now.Sub(r.unreachableAt) < unreachableReportTime:
		return 0, 1
	case r.lastByteAt > 0 && now.Sub(r.lastByteAt) < heardWindow:
		return 1, 0
	default:
		return 0, 0
	}
}

// suspected reports whether the endpoint should get requests only if no other endpoint can take them. An endpoint that couldn't
// be reached gets one request at a time until it answers. It gets none while its reports are missing as well; otherwise every
// host would lose a request there after each pause. Reports of other hosts count unless this host has heard from the endpoint
// lately.
func (a *Assigner) suspected(now unit.Moment, r *replica) bool {
	if r.failuresInRow > 0 && (a.reportsMissing(now, r) || r.awaitsFirstByte()) {
		return true
	}
	return r.others.UnreachableBy >= min(minHostReports, a.hosts-1) && r.others.UnreachableBy > r.others.ReachableBy && now.Sub(r.lastByteAt) > heardWindow
}

// reportsMissing reports whether the endpoint's reports are missing although the loads from other hosts are up to date.
func (a *Assigner) reportsMissing(now unit.Moment, r *replica) bool {
	return now.Sub(r.heardAt) > a.settings.ReportSilence && now.Sub(a.loadsAt) < a.settings.ReportSilence
}

// awaitsFirstByte reports whether a request of this host waits for its first byte at the endpoint.
func (r *replica) awaitsFirstByte() bool {
	for f := range r.flights {
		if !f.answering {
			return true
		}
	}
	return false
}
