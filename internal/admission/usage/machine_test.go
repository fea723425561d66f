package usage

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

const (
	machineMeters, machineLedgers = 3, 2
	machineChecks                 = "10000"
)

// machine exchanges messages between meters and ledgers in any order, and keeps beside them one list of all admitted requests.
type machine struct {
	now      unit.Moment
	limit    usagelimit.Limit
	twin     bool // a customer with the same short key has a limit, too
	sessions uint64
	meters   [machineMeters]*Meter
	before   [machineMeters]bool // the meter's host runs the build before short messages
	ledgers  [machineLedgers]*machineLedger
	messages []func()
	admitted []admittedRequest
}

// admittedRequest is a request that a meter admitted by the levels, or its return with a negative amount.
type admittedRequest struct {
	meter    *Meter
	at       unit.Moment
	amount   int64
	returned bool
}

// machineLedger is a control host from its start on.
type machineLedger struct {
	*Ledger
	before      bool // it runs the build before short messages
	epoch       unit.Incarnation
	acked       uint64 // of this ledger's counters, by the other ledger in its incarnation ackedBy
	ackedBy     unit.Incarnation
	joined      bool // it has heard the other ledger; what that one had counted before is its baseline
	joinedAt    unit.Moment
	joinedLevel float64
	lost        int64 // that restarts have lost since it joined
}

func newMachine() *machine {
	// The bucket is so large that its level shows all that was charged, and is filled so slowly that this doesn't matter.
	m := &machine{now: unit.Moment(time.Hour), limit: usagelimit.Limit{PerSecond: 1e-6, Burst: 1e9, Unit: usagelimit.Tokens}}
	for i := range m.meters {
		m.startMeter(i)
	}
	for i := range m.ledgers {
		m.startLedger(i)
	}
	return m
}

func (m *machine) startMeter(i int) {
	if old := m.meters[i]; old != nil {
		if c := old.customers[KeyOf(modelCustomer)]; c != nil {
			for _, l := range m.ledgers {
				l.lost += max(0, c.admitted-c.ackedAdmitted-c.returned) // a return whose answer is lost may have been counted
			}
		}
	}
	m.sessions++
	m.meters[i] = NewMeter(m.sessions, func() float64 { return 0 })
}

func (m *machine) startLedger(i int) {
	if old, other := m.ledgers[i], m.ledgers[1-i]; old != nil {
		read, account := int64(0), old.accounts[KeyOf(modelCustomer)]
		if p := other.peers[ledgerName(i)]; p != nil && p.epoch == old.epoch && p.number >= account.restarted {
			read = p.counters[KeyOf(modelCustomer)].Admitted
		}
		// Requests whose return the ledger had counted as well are lost with it; the return may be reported again.
		other.lost += max(0, account.own.Admitted-read) + m.returned()
	}
	m.sessions++
	m.ledgers[i] = &machineLedger{Ledger: NewLedger(), epoch: unit.Incarnation(m.sessions)}
	m.setLimits(m.ledgers[i])
}

func (m *machine) setLimits(l *machineLedger) {
	limits := map[unit.CustomerID]usagelimit.Limit{modelCustomer: m.limit}
	if m.twin {
		limits[modelTwin] = m.limit
	}
	l.SetLimits(m.now, limits)
}

// forBuildBefore returns what a build before short messages reads of a report, or sends.
func forBuildBefore(r Report) Report {
	r.Short, r.Full = nil, nil
	return r
}

func ledgerName(i int) unit.HostName { return unit.HostName(fmt.Sprint("c", i)) }

func (m *machine) take(i int, amount int64) {
	if d := m.meters[i].Take(m.now, modelCustomer, m.limit, float64(amount)); d.Admitted && !d.OwnShare {
		m.admitted = append(m.admitted, admittedRequest{meter: m.meters[i], at: m.now, amount: amount})
	}
}

// giveBack returns a request that the meter has admitted and that hasn't been returned.
func (m *machine) giveBack(index int) {
	m.now = m.now.Add(time.Millisecond)
	r := &m.admitted[index]
	for _, meter := range m.meters {
		if meter == r.meter && !r.returned && r.amount > 0 {
			r.returned = true
			meter.GiveBack(m.now, modelCustomer, float64(r.amount))
			m.admitted = append(m.admitted, admittedRequest{meter: meter, at: m.now, amount: -r.amount})
			return
		}
	}
}

func (m *machine) sync(meter, ledger int) {
	sender, sentAt := m.meters[meter], m.now
	report := sender.Report(m.now)
	if m.before[meter] {
		report = forBuildBefore(report)
	}
	m.messages = append(m.messages, func() {
		l, name := m.ledgers[ledger], unit.HostName(fmt.Sprint("h", meter))
		if l.before {
			report = forBuildBefore(report)
		}
		l.Receive(m.now, name, report)
		levels := l.Levels(m.now, name)
		m.messages = append(m.messages, func() { sender.Accept(sentAt, report, levels) })
	})
}

func (m *machine) exchange(i int) {
	l, reader := m.ledgers[i], m.ledgers[1-i]
	after := l.acked
	if l.ackedBy != reader.epoch {
		after = 0
	}
	l.Step(m.now)
	update := l.Since(m.now, ledgerName(1-i), after)
	m.messages = append(m.messages, func() {
		reader := m.ledgers[1-i]
		read := reader.Merge(m.now, ledgerName(i), l.epoch, update)
		if !reader.joined && reader.peers[ledgerName(i)] != nil {
			reader.joined = true
			m.startCounting(reader)
		}
		m.messages = append(m.messages, func() { l.acked, l.ackedBy = read, reader.epoch })
	})
}

// returned returns the amount that was returned up to now. What was returned before a ledger joined may reach it later, when it hasn't charged the request.
func (m *machine) returned() int64 {
	amount := int64(0)
	for _, r := range m.admitted {
		amount -= min(0, r.amount)
	}
	return amount
}

// dropAccounts lets the ledgers drop their accounts for lack of limits, while they exchange messages as step says, and sets the limits again.
func (m *machine) dropAccounts(steps int, step func()) {
	for _, l := range m.ledgers {
		l.SetLimits(m.now, nil)
	}
	m.now = m.now.Add(accountMemory)
	for range steps {
		for _, l := range m.ledgers {
			l.DropUnlimited(m.now)
		}
		step()
	}
	for _, l := range m.ledgers {
		m.setLimits(l)
		m.startCounting(l) // what wasn't counted before had no limit
	}
}

// startCounting makes undercounted begin with what a ledger has charged up to now.
func (m *machine) startCounting(l *machineLedger) {
	l.joinedAt, l.lost = m.now, m.returned()
	if a := l.accounts[KeyOf(modelCustomer)]; a != nil { // nil while accounts are dropped
		l.joinedLevel = a.level
	}
}

// settle delivers everything that the hosts still have to say.
func (m *machine) settle() {
	m.messages = nil
	for range 3 {
		m.now = m.now.Add(syncInterval)
		for i := range m.meters {
			m.sync(i, i%machineLedgers)
			m.deliverAll()
		}
		for i := range m.ledgers {
			m.exchange(i)
			m.deliverAll()
		}
	}
}

func (m *machine) deliverAll() {
	for len(m.messages) > 0 {
		next := m.messages[0]
		m.messages = m.messages[1:]
		next()
	}
}

// undercounted returns by how much a ledger has charged less than what meters admitted since it joined and no restart lost.
func (m *machine) undercounted(l *machineLedger) int64 {
	expected := -l.lost
	for _, r := range m.admitted {
		if l.joined && (r.at > l.joinedAt) {
			expected += r.amount
		}
	}
	return expected - int64(math.Round(l.joinedLevel-l.accounts[KeyOf(modelCustomer)].level))
}

// Guards against use that the account forgets when messages are late, lost, repeated or reordered, or when hosts restart: a customer would get
// more than its limit, also beside hosts of the build before and with a customer of the same short key. Only what a host hadn't passed on when it restarted may be missing.
func TestTheAccountForgetsNothing(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	assert.NilError(t, checks.Value.Set(machineChecks))
	defer func() { assert.NilError(t, checks.Value.Set(before)) }()
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.settle()
		draw := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		pick := func(keep bool) {
			if len(m.messages) == 0 {
				return
			}
			i := draw("message", len(m.messages))
			next := m.messages[i]
			if !keep {
				m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
			}
			next()
		}
		take := func(*rapid.T) {
			m.now = m.now.Add(time.Duration(1+draw("ms", 40)) * time.Millisecond)
			m.take(draw("meter", machineMeters), int64(1+draw("amount", 9_200)))
		}
		syncAny := func(*rapid.T) { m.sync(draw("meter", machineMeters), draw("ledger", machineLedgers)) }
		t.Repeat(map[string]func(*rapid.T){
			"take": take, "take again": take, "sync": syncAny, "sync again": syncAny,
			"give back": func(*rapid.T) {
				if len(m.admitted) > 0 {
					m.giveBack(draw("request", len(m.admitted)))
				}
			},
			"exchange":  func(*rapid.T) { m.exchange(draw("ledger", machineLedgers)) },
			"deliver":   func(*rapid.T) { pick(false) },
			"deliver 2": func(*rapid.T) { pick(false) },
			"repeat":    func(*rapid.T) { pick(true) },
			"lose": func(*rapid.T) {
				if len(m.messages) > 0 {
					m.messages = m.messages[1:]
				}
			},
			"restart meter": func(*rapid.T) {
				i := draw("meter", machineMeters)
				m.startMeter(i)
				m.before[i] = draw("build", 3) == 0
			},
			"restart ledger": func(*rapid.T) {
				i := draw("ledger", machineLedgers)
				m.startLedger(i)
				m.ledgers[i].before = draw("build", 3) == 0
			},
			"drop accounts": func(*rapid.T) {
				m.dropAccounts(draw("steps", 12), func() {
					if draw("exchange", 2) == 0 {
						m.exchange(draw("ledger", machineLedgers))
					} else {
						pick(draw("keep", 3) == 0)
					}
				})
			},
			"change limit": func(*rapid.T) {
				m.limit.PerSecond = 1e-6 * float64(1+draw("rate", 5))
				m.twin = draw("twin", 2) == 0
				for _, l := range m.ledgers {
					m.setLimits(l)
				}
			},
		})
		m.settle()
		for i, l := range m.ledgers {
			assert.Assert(t, l.joined)
			if missing := m.undercounted(l); missing > 0 {
				t.Fatalf("ledger %d: %d are missing", i, missing)
			}
		}
	})
}
