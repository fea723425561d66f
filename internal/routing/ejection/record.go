package ejection

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// record holds the reports about one endpoint. The counts decay with the half-life of the settings.
type record struct {
	id                  unit.EndpointID
	reports             float64
	failures            float64
	successes           float64
	totalDuration       float64 // in nanoseconds, over the decayed successes
	decayedAt           unit.Moment
	consecutiveFailures int
	ejections           int
	ejectedAt           unit.Moment
	ejectedUntil        unit.Moment // end of the last ejection, 0 if there was none
}

func (r *record) decay(now unit.Moment, halfLife time.Duration) {
	if now <= r.decayedAt {
		return
	}
	factor := math.Exp2(-float64(now.Sub(r.decayedAt)) / float64(halfLife))
	r.reports *= factor
	r.failures *= factor
	r.successes *= factor
	r.totalDuration *= factor
	r.decayedAt = now
}

func (r *record) add(failed bool, took time.Duration) {
	r.reports++
	if failed {
		r.failures++
		r.consecutiveFailures++
		return
	}
	r.consecutiveFailures = 0
	r.successes++
	r.totalDuration += float64(took)
}

func (r *record) ejected(now unit.Moment) bool {
	return now < r.ejectedUntil
}

// eject starts an ejection. It drops the reports so far, so that they don't count against the endpoint afterwards.
func (r *record) eject(now unit.Moment, s Settings) {
	if r.ejectedUntil != 0 && now.Sub(r.ejectedUntil) >= s.ResetAfter {
		r.ejections = 0
	}
	length := s.LongestEjection
	if r.ejections < 16 {
		length = min(s.FirstEjection<<r.ejections, s.LongestEjection)
	}
	r.ejections++
	r.ejectedAt, r.ejectedUntil = now, now.Add(length)
	r.reports, r.failures, r.successes, r.totalDuration = 0, 0, 0, 0
	r.consecutiveFailures = 0
}

func (r *record) failureRate() float64 {
	return r.failures / r.reports
}

func (r *record) meanDuration() float64 {
	return r.totalDuration / r.successes
}
