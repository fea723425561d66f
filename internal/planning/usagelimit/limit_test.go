package usagelimit

import (
	"math"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against limits with values that can't be counted with, and against refusing usable ones.
func TestOnlyUsableLimitsPass(t *testing.T) {
	cases := []struct {
		name  string
		limit Limit
		cause string // part of the error, empty for a usable limit
	}{
		{name: "none"},
		{name: "requests", limit: Limit{PerSecond: 0.5, Burst: 3}},
		{name: "tokens", limit: Limit{PerSecond: 1e12, Burst: 1e12, Unit: Tokens, Unstated: 500}},
		{name: "unknown unit", limit: Limit{PerSecond: 1, Unit: "bytes"}, cause: `"bytes"`},
		{name: "negative rate", limit: Limit{PerSecond: -1}, cause: "rate of -1"},
		{name: "negative burst", limit: Limit{PerSecond: 1, Burst: -2}, cause: "burst of -2"},
		{name: "negative cost", limit: Limit{PerSecond: 1, Unit: Tokens, Unstated: -3}, cause: "counts of -3"},
		{name: "no number", limit: Limit{PerSecond: math.NaN()}, cause: "rate of NaN"},
		{name: "infinite", limit: Limit{PerSecond: 1, Burst: math.Inf(1)}, cause: "burst of +Inf"},
		{name: "too large", limit: Limit{PerSecond: 1.1e12}, cause: "rate of 1.1e+12"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.limit.Check()
			if c.cause == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errorx.IsOfType(err, fault.BadInput), "%v", err)
			assert.Assert(t, strings.Contains(err.Error(), c.cause), "%v", err)
		})
	}
}

// Guards against requests that count nothing, and so aren't limited, and against costs whose sums overflow.
func TestEveryRequestCounts(t *testing.T) {
	cases := []struct {
		name         string
		limit        Limit
		tokens, cost float64
	}{
		{name: "a request", tokens: 9_200, cost: 1},
		{name: "stated tokens", limit: Limit{Unit: Tokens, Unstated: 500}, tokens: 9_200, cost: 9_200},
		{name: "none stated", limit: Limit{Unit: Tokens, Unstated: 500}, tokens: -1, cost: 500},
		{name: "none stated and no cost for that", limit: Limit{Unit: Tokens}, tokens: -1, cost: 1},
		{name: "a fraction", limit: Limit{Unit: Tokens, Unstated: 0.25}, tokens: -1, cost: 1},
		{name: "0 stated", limit: Limit{Unit: Tokens, Unstated: 500}, cost: 1},
		{name: "huge", limit: Limit{Unit: Tokens}, tokens: 1e18, cost: 1e9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.limit.Cost(c.tokens), c.cost)
		})
	}
}
