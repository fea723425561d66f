package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

// accountPair is two control hosts of which the first counts use.
type accountPair struct {
	now         unit.Moment
	meter       *Meter
	first, last *Ledger
	read        uint64 // of the first one's counters
}

func (p *accountPair) setLimits(limits map[unit.CustomerID]usagelimit.Limit) {
	p.first.SetLimits(p.now, limits)
	p.last.SetLimits(p.now, limits)
}

func (p *accountPair) report() {
	p.now = p.now.Add(syncInterval)
	r := p.meter.Report(p.now)
	p.first.Receive(p.now, "h", r)
	p.meter.Accept(p.now, r, p.first.Levels(p.now, "h"))
}

func (p *accountPair) exchange() {
	p.now = p.now.Add(syncInterval)
	update := p.first.Since(p.now, "last", p.read)
	for range 2 { // repeated updates count once
		p.read = p.last.Merge(p.now, "first", 1, update)
	}
}

// Guards against memory that grows with each customer that has ever had a limit, and against customers that get what they once used a second time, or
// are charged for it again, when they have a limit again.
func TestAccountsWithoutLimitsAreDropped(t *testing.T) {
	cases := []struct {
		name string
		// exchanges are made between the time when the account may be dropped and the next limit.
		exchanges int
		usedAfter bool // before the next exchange
		dropped   bool
	}{
		{name: "read by the other control host", exchanges: 2, dropped: true},
		{name: "read, the answer is under way", exchanges: 1},
		{name: "read, the answer is under way, used again", exchanges: 1, usedAfter: true},
		{name: "not read"},
		{name: "not read, used again", usedAfter: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limit := usagelimit.Limit{PerSecond: 1e-6, Burst: 1_000_000}
			limits := map[unit.CustomerID]usagelimit.Limit{"other": limit}
			p := &accountPair{now: unit.Moment(time.Hour), meter: NewMeter(1, func() float64 { return 0 }), first: NewLedger(), last: NewLedger()}
			p.setLimits(limits)
			p.report()
			limits["c"] = limit
			p.setLimits(limits)
			p.exchange()
			assert.Assert(t, p.meter.Take(p.now, "c", limit, 500).Admitted)
			p.report()
			p.exchange()
			level := func(l *Ledger) int { return int(l.accounts[KeyOf("c")].level + 0.5) }
			assert.Equal(t, level(p.last), 999_500)

			delete(limits, "c")
			p.setLimits(limits)
			for range 10 {
				p.now = p.now.Add(accountMemory/10 - syncInterval)
				p.exchange()
				if p.now.Sub(unit.Moment(time.Hour)) < accountMemory {
					assert.Assert(t, !p.first.DropUnlimited(p.now) && p.first.accounts[KeyOf("c")] != nil)
				}
			}
			p.now = p.now.Add(time.Second)
			p.last.DropUnlimited(p.now)
			assert.Assert(t, p.first.DropUnlimited(p.now), "the account is dropped before the other control host can have read it")
			for range c.exchanges {
				p.exchange()
			}
			waiting := p.first.DropUnlimited(p.now)
			if c.dropped {
				assert.Assert(t, !waiting)
				assert.Equal(t, len(p.first.accounts)+len(p.last.accounts)+p.first.changes.Len()+len(p.first.unlimited)+len(p.last.unlimited), 2)
				assert.Equal(t, len(p.last.peers["first"].counters), 0)
				assert.Equal(t, len(p.first.shorts), 1)
			}

			limits["c"] = limit
			p.setLimits(limits)
			before := level(p.last)
			used := 0
			if c.usedAfter {
				p.now = p.now.Add(syncInterval)
				p.meter.Accept(p.now, p.meter.Report(p.now), Levels{Hosts: 1, Covered: 1, Known: true})
				assert.Assert(t, p.meter.Take(p.now, "c", limit, 300).Admitted)
				p.report()
				used = 300
			}
			for range 4 {
				p.exchange()
			}
			assert.Equal(t, level(p.last), before-used)
			p.report()
			assert.Assert(t, p.meter.Take(p.now, "c", limit, 100).Admitted)
			p.report()
			p.exchange()
			assert.Equal(t, level(p.last), before-used-100)
		})
	}
}

// Guards against customers that stay in an entry host's memory once no customer has a limit and no reports are sent.
func TestIdleCustomersAreDroppedWithoutReports(t *testing.T) {
	now := unit.Moment(time.Hour)
	limit := usagelimit.Limit{PerSecond: 1, Burst: 10}
	m := NewMeter(1, func() float64 { return 0 })
	m.Accept(now, m.Report(now), Levels{Hosts: 1, Covered: 1, Levels: []Level{{Customer: KeyOf("c"), Level: 2}}})
	m.Take(now, "c", limit, 1)
	m.DropIdle(now.Add(idleTime))
	assert.Equal(t, len(m.customers)+len(m.levels), 2)
	m.DropIdle(now.Add(idleTime + 1))
	assert.Equal(t, len(m.customers)+len(m.levels), 0)
}
