package usage

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

// reportBefore and levelsBefore are the messages of the build before short ones.
type (
	reportBefore struct {
		Session uint64   `cbor:"1,keyasint"`
		Number  uint64   `cbor:"2,keyasint"`
		After   uint64   `cbor:"3,keyasint,omitempty"`
		Amounts []Amount `cbor:"4,keyasint,omitempty"`
	}
	levelsBefore struct {
		Hosts   int     `cbor:"1,keyasint,omitempty"`
		Covered int     `cbor:"2,keyasint,omitempty"`
		Known   bool    `cbor:"3,keyasint,omitempty"`
		Levels  []Level `cbor:"4,keyasint,omitempty"`
	}
)

// transfer encodes a message and decodes it as another type.
func transfer[To any](t *testing.T, message any) To {
	t.Helper()
	data, err := codec.Marshal(message)
	assert.NilError(t, err)
	var to To
	assert.NilError(t, codec.Unmarshal(data, &to))
	return to
}

// Guards against messages that a host of the build before can't read, and against use that is lost when a host changes between control hosts of two
// builds.
func TestTheBuildBeforeReadsAllUse(t *testing.T) {
	now := unit.Moment(time.Hour)
	limit := usagelimit.Limit{PerSecond: 1e-6, Burst: 1e6}
	l, m := NewLedger(), NewMeter(1, func() float64 { return 0 })
	l.SetLimits(now, map[unit.CustomerID]usagelimit.Limit{"a": limit})
	for range 3 {
		now = now.Add(syncInterval)
		r := m.Report(now)
		l.Receive(now, "h", transfer[Report](t, r))
		m.Accept(now, r, transfer[Levels](t, l.Levels(now, "h")))
	}
	assert.Assert(t, m.Take(now, "a", limit, 500).Admitted)
	assert.Equal(t, len(m.Report(now).Amounts), 0, "a report to a control host of this build has full keys")
	unread := m.Report(now)
	assert.Equal(t, len(transfer[reportBefore](t, unread).Amounts), 0)
	m.Accept(now, unread, transfer[Levels](t, levelsBefore{Hosts: 2, Covered: 1, Known: true}))
	assert.Equal(t, m.hosts, 2)

	read := transfer[reportBefore](t, m.Report(now))
	assert.DeepEqual(t, read, reportBefore{Session: 1, Number: 6, After: 3, Amounts: []Amount{{Customer: KeyOf("a"), Admitted: 500}}})
	l.Receive(now, "before", transfer[Report](t, read))
	answer := l.Levels(now, "before")
	assert.Equal(t, len(answer.Short), 0)
	assert.DeepEqual(t, transfer[levelsBefore](t, answer), levelsBefore{Hosts: 2, Covered: 2, Known: true, Levels: []Level{
		{Customer: KeyOf("a"), Level: int64(startShare*1e6) - 500, Offered: answer.Levels[0].Offered, Admitted: answer.Levels[0].Admitted},
	}})
}

// Guards against customers that are charged or refused for another one with the same short key.
func TestCustomersOfOneShortKeyAreKeptApart(t *testing.T) {
	assert.Equal(t, KeyOf(modelCustomer).short(), KeyOf(modelTwin).short())
	now := unit.Moment(time.Hour)
	limit := usagelimit.Limit{PerSecond: 1e-6, Burst: 1e6}
	l, m := NewLedger(), NewMeter(1, func() float64 { return 0.999 })
	limits := map[unit.CustomerID]usagelimit.Limit{}
	l.SetLimits(now, limits)
	limits[modelCustomer], limits[modelTwin] = limit, limit
	l.SetLimits(now, limits)
	sync := func() {
		now = now.Add(syncInterval)
		r := m.Report(now)
		l.Receive(now, "h", r)
		l.Receive(now, "h", r) // repeated
		m.Accept(now, r, l.Levels(now, "h"))
	}
	sync()
	assert.Assert(t, m.Take(now, modelCustomer, limit, 1.1e6).Admitted)
	for range 3 {
		sync()
	}
	d := m.Take(now, modelCustomer, limit, 1)
	assert.Assert(t, !d.Admitted && math.Abs(d.Level+1e5) <= 1, "level %g", d.Level)
	d = m.Take(now, modelTwin, limit, 1)
	assert.Assert(t, d.Admitted && d.Level == 1e6, "level %g", d.Level)

	// A build before reads none of it. It would otherwise count what is sent to it again, since it doesn't acknowledge the report.
	r := m.Report(now)
	assert.Equal(t, len(r.Full), 1)
	assert.Equal(t, len(transfer[reportBefore](t, r).Amounts), 0)
}

// Guards against use that counts twice after a lost answer: a customer would be refused within its limit.
func TestUseCountsOnceWhenAnswersAreLost(t *testing.T) {
	now := unit.Moment(time.Hour)
	limit := usagelimit.Limit{PerSecond: 1e-6, Burst: 1e6}
	l, m := NewLedger(), NewMeter(1, func() float64 { return 0 })
	l.SetLimits(now, map[unit.CustomerID]usagelimit.Limit{"a": limit})
	for i := range 40 {
		now = now.Add(syncInterval)
		if i > 0 { // until the first answer the own share is used, which doesn't count
			m.Take(now, "a", limit, 100)
		}
		r := m.Report(now)
		l.Receive(now, "h", r)
		if levels := l.Levels(now, "h"); i%4 == 0 {
			m.Accept(now, r, levels)
		}
	}
	assert.Assert(t, m.short)
	assert.Equal(t, math.Round(l.accounts[KeyOf("a")].level), startShare*1e6-39*100)
}

// Guards against data that isn't a short message and is read as one, or ends the process.
func FuzzShortMessages(f *testing.F) {
	key := KeyOf("a")
	f.Add(appendShortAmount([]byte{1}, Amount{Customer: key, Admitted: -900, Others: 1}))
	f.Add(appendShortLevel([]byte{1}, Level{Customer: key, Level: -900, Offered: 1, Admitted: 1}))
	f.Add(appendShortLevel([]byte{0}, Level{Customer: key, Level: fullLevel}))
	f.Add([]byte{})
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		l, m := NewLedger(), NewMeter(1, func() float64 { return 0 })
		l.SetLimits(1, map[unit.CustomerID]usagelimit.Limit{"a": {PerSecond: 1, Burst: 1}})
		l.Receive(1, "h", Report{Session: 1, Number: 1, Short: data})
		_, valid := decodeShortReport(data)
		if !valid {
			assert.Equal(t, len(l.Levels(1, "h").Short), 0, "the answer says that the report was read")
		}
		m.Accept(1, m.Report(1), Levels{Short: data})
		if _, valid := decodeShortLevels(data); !valid && len(data) > 0 {
			assert.Equal(t, m.acked, uint64(0))
		}
	})
}
