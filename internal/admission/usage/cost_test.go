package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

const (
	fleetHosts     = 330
	fleetCustomers = 30_000
	fleetRequests  = 11_000 // per second, over all hosts
	// maxTrafficPerHost is the control traffic that limits may add for one entry host, in bytes per second.
	maxTrafficPerHost = 1_000
)

func encodedSize(t *testing.T, v any) int {
	t.Helper()
	encoded, err := codec.Marshal(v)
	assert.NilError(t, err)
	return len(encoded)
}

// Guards against messages that exceed the control traffic of an entry host at the size of two years, when each of its requests comes from another
// customer, and when more customers are over their limits than fit into the answers.
func TestControlTrafficStaysWithinBudget(t *testing.T) {
	cases := []struct {
		name string
		over int // customers over their limits
	}{{name: "none over", over: 0}, {name: "two over", over: 2}, {name: "200 over", over: 200}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := unit.Moment(time.Hour)
			limit := usagelimit.Limit{PerSecond: 18_000, Burst: 18_000, Unit: usagelimit.Tokens}
			limits := map[unit.CustomerID]usagelimit.Limit{}
			name := func(i int) unit.CustomerID { return unit.CustomerID(fmt.Sprint("customer-", i)) }
			for i := range fleetCustomers {
				limits[name(i)] = limit
			}
			l, m, other := NewLedger(), NewMeter(1<<31, rand.Float64), NewMeter(1<<30, rand.Float64)
			m.number, m.acked = 1<<20, 1<<20 // numbers have their full size after an hour
			l.SetLimits(now, limits)
			now = now.Add(time.Second) // the buckets are full
			other.Accept(now, other.Report(now), Levels{Hosts: 1, Covered: 1, Known: true})
			for i := range c.over {
				other.Take(now, name(i), limit, 400_000)
			}
			l.Receive(now, "h2", other.Report(now))
			const seconds = 10
			reports, answers, requests := 0, 0, 0.0
			for range seconds * int(time.Second/syncInterval) {
				now = now.Add(syncInterval)
				for requests += fleetRequests / fleetHosts * syncInterval.Seconds(); requests >= 1; requests-- {
					m.Take(now, name(rand.IntN(fleetCustomers)), limit, 900)
				}
				r := m.Report(now)
				reports += encodedSize(t, r)
				l.Receive(now, "h1", r)
				levels := l.Levels(now, "h1")
				answers += encodedSize(t, levels)
				m.Accept(now, r, levels)
			}
			t.Logf("reports %d bytes/s, answers %d bytes/s", reports/seconds, answers/seconds)
			assert.Assert(t, (reports+answers)/seconds <= maxTrafficPerHost, "%d bytes/s", (reports+answers)/seconds)
		})
	}
	amount, level := Amount{Customer: 1 << 63, Others: 40_000_000, Admitted: 40_000_000}, Level{Customer: 1 << 63, Level: -40_000, Offered: 900_000, Admitted: 900_000}
	t.Logf("an amount has %d bytes, a level %d, a host %d", encodedSize(t, amount), encodedSize(t, level), encodedSize(t, hostKey(1<<31)))
	t.Logf("with a short key an amount has %d bytes, a level %d", len(appendShortAmount(nil, amount)), len(appendShortLevel(nil, level)))
}

// Measures a decision on a host that has the customers of its last ten seconds.
func BenchmarkTake(b *testing.B) {
	now := unit.Moment(time.Hour)
	limit := usagelimit.Limit{PerSecond: 1e9, Burst: 1e9, Unit: usagelimit.Tokens}
	m := NewMeter(1, rand.Float64)
	ids := make([]unit.CustomerID, 1_000)
	levels := Levels{Hosts: 1, Covered: 1, Known: true}
	for i := range ids {
		ids[i] = unit.CustomerID(fmt.Sprint("customer-", i))
		levels.Levels = append(levels.Levels, Level{Customer: KeyOf(ids[i]), Level: 1e8, Offered: 1e5, Admitted: 1e5})
	}
	m.Accept(now, m.Report(now), levels)
	i := 0
	for b.Loop() {
		i++
		m.Take(now.Add(time.Duration(i%500)*time.Millisecond), ids[i%len(ids)], limit, 900)
	}
}

// Measures what the account of all customers takes at a control host.
func BenchmarkNewAccounts(b *testing.B) {
	limits := map[unit.CustomerID]usagelimit.Limit{}
	for i := range fleetCustomers {
		limits[unit.CustomerID(fmt.Sprint("customer-", i))] = usagelimit.Limit{PerSecond: 18_000, Burst: 18_000, Unit: usagelimit.Tokens}
	}
	for b.Loop() {
		NewLedger().SetLimits(unit.Moment(time.Hour), limits)
	}
}
