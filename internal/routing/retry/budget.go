// Package retry decides whether a failed attempt may be repeated, and limits retries to a fraction of the requests.
package retry

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// MaxAttempts is the maximum number of attempts per request, including the first one.
	MaxAttempts = 3
	// budgetRatio is the maximum number of retries per request; a higher ratio would turn an outage into an overload.
	budgetRatio = 0.1
	// minRetries is the number of retries within the window that are always allowed, so that a failed attempt on an
	// idle system can be repeated.
	minRetries = 3
	// window is the time constant with which the counts of requests and retries decay.
	window = 10 * time.Second
)

// Attempt describes the failed attempt.
type Attempt struct {
	Repeatable bool        // the sheet marks the request as idempotent
	OnceOnly   bool        // the sheet marks the request as once-only
	Number     int         // 1 for the first attempt
	Wrote      bool        // at least one byte of the request was written
	Refused    bool        // the connection was refused
	Delivered  bool        // part of the answer has reached the caller
	Resumable  bool        // the stream can be continued after the delivered part
	Deadline   unit.Moment // for the first token, or for the whole stream once part of the answer was delivered
}

// Budget counts the requests and retries of one entry host. It is a deterministic state machine and not safe for
// concurrent use.
type Budget struct {
	requests, retries float64 // decayed counts as of the time updated
	updated           unit.Moment
}

// New returns a budget without requests.
func New() *Budget {
	return &Budget{}
}

// CountRequest counts a new request. Retries aren't counted as requests.
func (b *Budget) CountRequest(now unit.Moment) {
	b.decay(now)
	b.requests++
}

// Allow decides whether the request may be tried again and returns the reason as text. An allowed retry is counted,
// unless the connection was refused before anything was written.
func (b *Budget) Allow(now unit.Moment, a Attempt) (bool, string) {
	switch {
	case a.Number >= MaxAttempts:
		return false, "all attempts have been made"
	case !now.Before(a.Deadline):
		return false, "the deadline has passed"
	case a.Wrote && a.OnceOnly:
		return false, "a once-only request was sent and may have run"
	case a.Wrote && !a.Repeatable:
		return false, "the sheet doesn't call the request idempotent, and it was sent"
	case a.Delivered && !a.Resumable:
		return false, "a part of the answer was delivered and the stream can't be resumed"
	case a.Refused && !a.Wrote:
		// A refused connection caused no work at any endpoint, so repeating the request isn't extra load. If it
		// counted, most requests that meet a crashed endpoint would fail until its announcement expires.
		return true, "the connection was refused"
	}
	b.decay(now)
	if b.retries+1 > max(minRetries, budgetRatio*b.requests) {
		return false, "the retry budget is used up"
	}
	b.retries++
	if !a.Wrote {
		return true, "nothing was sent"
	}
	if a.Delivered {
		return true, "the stream can be resumed"
	}
	return true, "the request is idempotent"
}

func (b *Budget) decay(now unit.Moment) {
	if !b.updated.Before(now) {
		return
	}
	factor := math.Exp(-now.Sub(b.updated).Seconds() / window.Seconds())
	b.requests *= factor
	b.retries *= factor
	b.updated = now
}
