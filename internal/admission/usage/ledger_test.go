package usage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

// Guards against customers over their limits that no entry host hears of, because many others are over theirs or have limits in a larger unit, and
// against more control traffic than is allowed for that.
func TestEveryTightBucketIsTold(t *testing.T) {
	const customers = 200
	now := unit.Moment(time.Hour)
	l, m := NewLedger(), NewMeter(1, func() float64 { return 0.999 })
	limits := map[unit.CustomerID]usagelimit.Limit{}
	for i := range customers {
		limits[unit.CustomerID(fmt.Sprint("t", i))] = usagelimit.Limit{PerSecond: 1_000, Burst: 1_000_000, Unit: usagelimit.Tokens}
	}
	limits["small"] = usagelimit.Limit{PerSecond: 0.001, Burst: 100}
	l.SetLimits(now, limits)
	other := NewMeter(2, func() float64 { return 0 })
	sync := func(name unit.HostName, m *Meter, lost bool) int {
		r := m.Report(now)
		l.Receive(now, name, r)
		levels := l.Levels(now, name)
		if !lost {
			m.Accept(now, r, levels)
		}
		return encodedSize(t, levels)
	}
	sync("h2", other, false)
	for id, limit := range limits {
		other.Take(now, id, limit, limit.Capacity())
	}
	sync("h2", other, false)
	bytes := 0
	for i := range 200 { // 10 s
		now = now.Add(syncInterval)
		bytes += sync("h1", m, i%5 == 0)
	}
	assert.Assert(t, bytes <= 10*levelBytesPerSecond+maxLevels*levelBytes, "%d bytes of answers in 10 s", bytes)
	for id, limit := range limits {
		assert.Assert(t, !m.Take(now, id, limit, 1).Admitted, "customer %s", id)
	}

	// Buckets that are full again are used again, also while others are tight.
	delete(limits, "t0")
	l.SetLimits(now, limits)
	limits["t0"] = usagelimit.Limit{PerSecond: 1_000_000, Burst: 1_000_000, Unit: usagelimit.Tokens}
	l.SetLimits(now, limits)
	for i := range 400 {
		now = now.Add(syncInterval)
		sync("h1", m, i%5 == 0)
	}
	d := m.Take(now, "t0", limits["t0"], 1)
	assert.Assert(t, d.Admitted && d.Level > 990_000, "level %g", d.Level)
}

// Guards against entry hosts that count as covered by a control host that none of them reaches any more: both they and the account would admit
// their part of the limits.
func TestHostsThatLeftAControlHostAreNotCovered(t *testing.T) {
	now := unit.Moment(time.Hour)
	a, b := NewLedger(), NewLedger()
	a.Receive(now, "h1", Report{Session: 1, Number: 1})
	b.Receive(now, "h2", Report{Session: 2, Number: 1})
	read := uint64(0)
	for range 20 {
		now = now.Add(hostsInterval / 2)
		a.Receive(now, "h1", Report{Session: 1, Number: uint64(now)})
		read = a.Merge(now, "b", 1, b.Since(now, "a", read))
		a.Step(now)
	}
	levels := a.Levels(now, "h1")
	assert.Equal(t, levels.Hosts, 2)
	assert.Equal(t, levels.Covered, 1)
}

// Guards against a host that admits a customer's whole limit because no control host has answered its reports yet.
func TestAHostWithoutAnswersKeepsToItsPart(t *testing.T) {
	now := unit.Moment(time.Hour)
	m := NewMeter(1, func() float64 { return 0 })
	m.ExpectHosts(100)
	limit := usagelimit.Limit{PerSecond: 1_000, Burst: 5_000}
	admitted := 0
	for range 1_000 { // 10 s
		now = now.Add(10 * time.Millisecond)
		if d := m.Take(now, "c", limit, 1); d.Admitted {
			assert.Assert(t, d.OwnShare)
			admitted++
		}
	}
	assert.Assert(t, admitted <= 110, "%d admitted, 10 requests/s are this host's part", admitted)
}
