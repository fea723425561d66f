package endpoint

import (
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Entry is an endpoint in the roster. The roster updates it in place, so holders of the pointer see later
// announcements.
type Entry struct {
	Announcement
	AnnouncedAt unit.Moment
	// InFlight and InFlightTokens count this host's own requests at the endpoint.
	InFlight       int
	InFlightTokens unit.Tokens
	// BegunSinceReport and EndedSinceReport count this host's requests that began or ended after the newest load
	// report, which therefore doesn't reflect them.
	BegunSinceReport, EndedSinceReport int
	// Restarted is set once the roster has seen an earlier incarnation: the current one started with an empty cache.
	Restarted bool

	revision uint64 // roster revision of the entry's last change
	group    *group
}

// Occupancy estimates the requests that run or wait at the endpoint now: the reported load, corrected by this host's
// requests since the report, and at least this host's requests in flight.
func (e *Entry) Occupancy() int {
	estimated := e.Load.Running + e.Load.Queued + e.BegunSinceReport - e.EndedSinceReport
	return max(estimated, e.InFlight, 0)
}

// QueueLength estimates the requests that must end before a new one can start: those in excess of the slots, or those
// reported as queued. Engines that announce no slots count as having one.
func (e *Entry) QueueLength() int {
	excess := e.Occupancy() - max(e.Slots, 1)
	queued := 0
	if e.Load.FreeSlots == 0 {
		queued = e.Load.Queued + min(e.BegunSinceReport-e.EndedSinceReport, 0)
	}
	// The new request takes a slot itself, so if the occupancy equals the slots, one request has to end first.
	return max(excess+1, queued, 0)
}

func (e *Entry) draining() bool {
	return e.Draining || e.DrainOrdered
}
