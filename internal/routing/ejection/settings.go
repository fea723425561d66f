// Package ejection temporarily excludes endpoints that fail or are slow compared with the others.
package ejection

import (
	"time"
)

// Settings configures what counts as an outlier and how long it is ejected.
type Settings struct {
	// ConsecutiveFailures is the number of consecutive failures after which an endpoint is ejected.
	ConsecutiveFailures int
	// MinimumReports is the decayed number of reports below which an endpoint isn't compared with the others.
	MinimumReports float64
	// FailureExcess is how far an endpoint's failure rate may lie above the median of the group, as a difference of
	// rates.
	FailureExcess float64
	// An endpoint is ejected if its mean duration exceeds both SlowFactor times the median of the group and
	// MinSlowDuration. The minimum avoids ejections because of noise in short durations.
	SlowFactor      float64
	MinSlowDuration time.Duration
	// FirstEjection is the duration of the first ejection. It doubles with each further one up to LongestEjection, and
	// starts again at FirstEjection after ResetAfter without an ejection.
	FirstEjection, LongestEjection, ResetAfter time.Duration
	// HalfLife is the half-life of reports.
	HalfLife time.Duration
	// ReviewInterval is the interval at which endpoints are compared with each other.
	ReviewInterval time.Duration
}

// Defaults returns the settings for entry hosts. The first ejection takes as long as an engine needs to restart and
// load its weights, a few seconds.
func Defaults() Settings {
	return Settings{
		ConsecutiveFailures: 5,
		MinimumReports:      8,
		FailureExcess:       0.3,
		SlowFactor:          3,
		MinSlowDuration:     100 * time.Millisecond,
		FirstEjection:       3 * time.Second,
		LongestEjection:     2 * time.Minute,
		ResetAfter:          5 * time.Minute,
		HalfLife:            10 * time.Second,
		ReviewInterval:      time.Second,
	}
}
