// Package usagelimit defines how much a customer may use over all hosts together.
package usagelimit

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Unit says what a limit counts.
type Unit string

const (
	// Requests counts each request as 1.
	Requests Unit = ""
	// Tokens counts the tokens that a request states for its prompt and its answer.
	Tokens Unit = "tokens"
)

const (
	// maxPerSecond is the largest rate and burst. Sums of such amounts over years stay exact in a float64 and fit into an int64.
	maxPerSecond = 1e12
	// maxCost bounds what one request counts, so that sums of costs can't overflow.
	maxCost = 1e9
	// minBurstTime is the time for which the rate may be used at once if the burst is smaller. Without it, a limit without a burst would
	// refuse the second of two requests that come at the same time.
	minBurstTime = 150 * time.Millisecond
)

// Limit bounds the use of one customer over all hosts together. The zero value is no limit.
type Limit struct {
	PerSecond float64 `cbor:"1,keyasint"` // in Unit; 0 is no limit
	Burst     float64 `cbor:"2,keyasint"` // in Unit
	Unit      Unit    `cbor:"3,keyasint,omitempty"`
	// Unstated is what a request counts that states no tokens. It is used with the unit Tokens only.
	Unstated float64 `cbor:"4,keyasint,omitempty"`
}

// InForce reports whether the limit bounds anything.
func (l Limit) InForce() bool {
	return l.PerSecond > 0
}

// Check fails with fault.BadInput if a value can't be used.
func (l Limit) Check() error {
	if l.Unit != Requests && l.Unit != Tokens {
		return fault.BadInput.New("a limit counts in the unknown unit %q", string(l.Unit))
	}
	for _, v := range []struct {
		name  string
		value float64
	}{{"rate", l.PerSecond}, {"burst", l.Burst}, {"cost without token counts", l.Unstated}} {
		if math.IsNaN(v.value) || v.value < 0 || v.value > maxPerSecond {
			return fault.BadInput.New("a limit has a %s of %g, which isn't between 0 and %g", v.name, v.value, maxPerSecond)
		}
	}
	return nil
}

// Capacity returns how much may be used at once.
func (l Limit) Capacity() float64 {
	return max(l.Burst, l.PerSecond*minBurstTime.Seconds())
}

// Cost returns what a request counts that states the given number of tokens, negative if it states none. It is a whole number, at least 1:
// a request that counts nothing wouldn't be limited.
func (l Limit) Cost(tokens float64) float64 {
	switch {
	case l.Unit != Tokens:
		return 1
	case tokens < 0:
		tokens = l.Unstated
	}
	return min(max(math.Ceil(tokens), 1), maxCost)
}
