// Package requestlimit defines the limit on requests that an endpoint names in its answers for all hosts together.
package requestlimit

import "math"

const (
	// maxPerSecond is the largest limit that is kept. A higher one is taken for no limit, because the hosts together never send as
	// much to one endpoint.
	maxPerSecond = 100_000
	// minRate is the rate, in requests per second, at which requests are sent even if the limit is lower, because only an answer
	// shows that the limit has ended.
	minRate = 0.2
)

// None is the value for an endpoint that names no limit, in requests per second.
var None = math.Inf(1)

// Limit is the latest known limit of one lifetime of an endpoint. The zero value means that no limit was ever named. Limits are
// merged by their version, so that the result doesn't depend on the order in which hosts hear of changes.
type Limit struct {
	_ struct{} `cbor:",toarray"`
	// Version grows with each change that a host has learned from an answer; 0 if there was none.
	Version uint32
	// PerSecond is the number of requests per second from all hosts together, None after a limit has ended.
	PerSecond float64
}

// InForce reports whether the endpoint names a limit.
func (l Limit) InForce() bool {
	return l.Version > 0 && l.PerSecond < None
}

// Rate returns the requests per second that all hosts together may send. It is positive, and None without a limit.
func (l Limit) Rate() float64 {
	if !l.InForce() {
		return None
	}
	return max(l.PerSecond, minRate)
}

// Changed returns the limit after an answer named the given number of requests per second, None if it named no limit.
func (l Limit) Changed(perSecond float64) Limit {
	if perSecond > maxPerSecond {
		perSecond = None
	}
	if perSecond == l.current() {
		return l
	}
	return Limit{Version: l.Version + 1, PerSecond: perSecond}
}

// Loosens reports whether the given number of requests per second is more than the limit allows.
func (l Limit) Loosens(perSecond float64) bool {
	return perSecond > l.current()
}

func (l Limit) current() float64 {
	if l.Version == 0 {
		return None
	}
	return l.PerSecond
}

// Merge returns the later one of two states of the limit. Of two changes of the same version, which two hosts have learned at the same
// time, it returns the lower limit. It ignores a limit that isn't a number of requests.
func (l Limit) Merge(other Limit) Limit {
	if !(other.PerSecond >= 0) { // also if it is NaN
		return l
	}
	if other.Version > l.Version || other.Version == l.Version && other.PerSecond < l.PerSecond {
		return other
	}
	return l
}
