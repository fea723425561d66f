package permit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/permit"
)

// Guards against more permits than the limit allows because the leader changes often, because nobody wanted any for a long time, or because
// permits outlive their lifetime on a control host.
func TestAPoolIssuesNoMoreThanItsRate(t *testing.T) {
	const perSecond = 10
	cases := []struct {
		name     string
		leads    func(tick int) bool // in ticks of 50 ms
		wants    func(tick int) bool
		received int // permits that the leader granted at the beginning
		most     int
	}{
		{name: "steady", leads: func(int) bool { return true }, wants: func(int) bool { return true }, most: 10},
		{name: "the leader changes often", leads: func(tick int) bool { return tick%2 == 0 }, wants: func(int) bool { return true }},
		{name: "wanted only at the end", leads: func(int) bool { return true }, wants: func(tick int) bool { return tick == 20 }, most: 1},
		{name: "received and not wanted in time", leads: func(int) bool { return false }, wants: func(tick int) bool { return tick == 20 }, received: 5},
		{name: "received and wanted", leads: func(int) bool { return false }, wants: func(tick int) bool { return tick == 19 }, received: 5, most: 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var pool permit.Pool
			granted := 0
			if c.received > 0 {
				pool.Receive(permit.Batch{Permits: c.received, Until: unit.Moment(permit.Lifetime)})
			}
			for tick := range 21 { // a second
				now := unit.Moment(time.Duration(tick) * 50 * time.Millisecond)
				if c.leads(tick) {
					pool.Accrue(now, perSecond)
				} else {
					pool.StopAccruing()
				}
				if c.wants(tick) {
					granted += int(permit.Total(pool.Grant(now, []permit.Claim{{Host: "h", Wanted: 100}}, func() float64 { return 0 })["h"]))
				}
			}
			assert.Assert(t, granted <= c.most, "%d permits", granted)
			assert.Assert(t, granted >= c.most-1)
		})
	}
}
