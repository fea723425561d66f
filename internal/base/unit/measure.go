package unit

import (
	"time"
)

// Tokens is a number of tokens of a prompt or an answer.
type Tokens int64

// Moment is a point in monotonic time, in nanoseconds since the process started. Moments of different processes can't be
// compared.
type Moment time.Duration

// Never is the latest possible moment, for something that isn't due at any time.
const Never = Moment(1<<63 - 1)

// Add returns the moment d after m.
func (m Moment) Add(d time.Duration) Moment {
	return m + Moment(d)
}

// Sub returns the duration from earlier to m.
func (m Moment) Sub(earlier Moment) time.Duration {
	return time.Duration(m - earlier)
}

// Before reports whether m is earlier than other.
func (m Moment) Before(other Moment) bool {
	return m < other
}
