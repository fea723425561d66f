package usage

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

const (
	// knowledgeTimeout is how long after the last answer of a control host its levels are used. After that the host keeps to its own share.
	knowledgeTimeout = 600 * time.Millisecond
	// ownShareTime is how long a host without answers may use its whole own share, and lateOwnShare the part of it that it may use later, when the
	// other hosts may have forgotten it.
	ownShareTime, lateOwnShare = 30 * time.Second, 0.5
	// ownShareDepth is the time for which the own share may be used at once.
	ownShareDepth = time.Second
	// A bucket in debt admits only part of the requests: twice the limit's rate at a level of 0, the limit's rate at a debt of balanceShare of the
	// capacity, or of the amount for minBalanceTime if that is larger, and nothing at twice that debt. Nothing is refused above a level of 0, because a
	// customer may use its whole burst. The lag of the levels must be shorter than the time in which the level changes by that amount, or the admitted
	// rate would swing.
	balanceShare   = 0.1
	minBalanceTime = 75 * time.Millisecond
	// maxExtrapolation is how long the others are expected to go on as in the last level. With many tight buckets a level may be some seconds old.
	maxExtrapolation = 2 * time.Second
	// idleTime is how long a customer without requests is kept.
	idleTime = 10 * time.Second
)

// Decision is the result of Take.
type Decision struct {
	Admitted bool
	// OwnShare is set if the decision is based on the host's own share, because no control host has answered lately.
	OwnShare bool
	Level    float64       // of the bucket as estimated, in the unit of the limit
	Age      time.Duration // of the last answer of a control host
	// RetryAfter is the time after which the bucket has probably room again, for a refused request.
	RetryAfter time.Duration
}

// Meter applies the customers' limits on one entry host.
type Meter struct {
	draw      func() float64 // random number in [0, 1)
	session   uint64
	number    uint64 // of the last report
	acked     uint64
	answerAt  unit.Moment // when the report of the last answer was sent
	answered  bool
	hosts     int
	covered   int
	customers map[Key]*customer
	sent      []Amount // in the last report
	sentShort bool     // the last report has amounts with short keys
	short     bool     // the control host of the last answer reads short reports
	// levels and shortLevels are the levels as told last, of buckets that aren't nearly full.
	levels      map[Key]toldLevel
	shortLevels map[shortKey]toldLevel
}

// toldLevel is what a control host has told of a bucket.
type toldLevel struct {
	level, offered, admitted float64
	at                       unit.Moment
}

// customer is the use of one customer on this host.
type customer struct {
	offered, admitted           int64 // since the start
	ackedOffered, ackedAdmitted int64
	returned                    int64 // negative net amount of the last report, else 0
	offeredRate, admittedRate   rate
	usedAt                      unit.Moment
	fullKey                     bool    // another customer has the same short key
	ownLevel                    float64 // of the bucket for the own share
	ownAt                       unit.Moment
}

// NewMeter returns the meter of one host. The session is a random number that differs between the runs of a host; below 2^32 it takes four bytes less in
// each report.
func NewMeter(session uint64, draw func() float64) *Meter {
	return &Meter{
		draw: draw, session: session, customers: map[Key]*customer{}, levels: map[Key]toldLevel{}, shortLevels: map[shortKey]toldLevel{},
	}
}

// Take decides on a request of the given cost, and counts it.
func (m *Meter) Take(now unit.Moment, id unit.CustomerID, limit usagelimit.Limit, cost float64) Decision {
	key := KeyOf(id)
	c := m.customers[key]
	if c == nil {
		c = &customer{}
		m.customers[key] = c
	}
	c.usedAt = now
	if age := now.Sub(m.answerAt); !m.answered || age > knowledgeTimeout {
		return m.takeOwnShare(now, c, limit, cost, age)
	}
	c.offered += int64(cost)
	c.offeredRate.add(now, cost)
	d := m.decide(now, key, c, limit)
	if d.Admitted {
		c.admitted += int64(cost)
		c.admittedRate.add(now, cost)
	}
	return d
}

func (m *Meter) decide(now unit.Moment, key Key, c *customer, limit usagelimit.Limit) Decision {
	told, tight := m.levelOf(key)
	d := Decision{Age: now.Sub(m.answerAt), Level: limit.Capacity() - float64(c.admitted-c.ackedAdmitted)}
	if tight {
		d.Level = m.estimate(now, told, c, limit)
	}
	if d.Level > 0 {
		d.Admitted = true
		return d
	}
	balance := max(balanceShare*limit.Capacity(), limit.PerSecond*minBalanceTime.Seconds())
	if left := 2*balance + d.Level; left > 0 {
		offered := c.offeredRate.perSecond(now)
		if tight {
			offered = max(offered, told.offered)
		}
		d.Admitted = m.draw()*offered < limit.PerSecond*m.coveredShare()*left/balance
	}
	if !d.Admitted {
		d.RetryAfter = time.Duration(-d.Level / limit.PerSecond * float64(time.Second))
	}
	return d
}

// levelOf returns the level of a customer's bucket as told last, false while the bucket is nearly full.
func (m *Meter) levelOf(key Key) (toldLevel, bool) {
	if told, tight := m.levels[key]; tight {
		return told, true
	}
	told, tight := m.shortLevels[key.short()]
	return told, tight
}

// estimate returns the level of a customer's bucket now.
func (m *Meter) estimate(now unit.Moment, told toldLevel, c *customer, limit usagelimit.Limit) float64 {
	others := max(0, told.admitted-c.admittedRate.perSecond(now))
	age := now.Sub(told.at)
	gained := limit.PerSecond*m.coveredShare()*age.Seconds() - others*min(age, maxExtrapolation).Seconds()
	return min(told.level+gained, limit.Capacity()) - float64(c.admitted-c.ackedAdmitted)
}

func (m *Meter) coveredShare() float64 {
	if m.hosts == 0 {
		return 1
	}
	return float64(m.covered) / float64(m.hosts)
}

// takeOwnShare admits this host's part of the limit, so that all hosts that decide like this one stay within it together. A request may cost much more
// than the part of some seconds; it is then admitted with the probability that is right on average. What is admitted isn't reported, because
// a control host leaves the part of a host that it doesn't hear to that host.
func (m *Meter) takeOwnShare(now unit.Moment, c *customer, limit usagelimit.Limit, cost float64, age time.Duration) Decision {
	share := limit.PerSecond / float64(max(m.hosts, 1))
	if age > ownShareTime {
		share *= lateOwnShare
	}
	if began := m.answerAt.Add(knowledgeTimeout); c.ownAt < began {
		c.ownLevel, c.ownAt = 0, began
	}
	c.ownLevel = min(c.ownLevel+share*now.Sub(c.ownAt).Seconds(), max(share*ownShareDepth.Seconds(), cost))
	c.ownAt = now
	d := Decision{OwnShare: true, Age: age, Level: c.ownLevel, Admitted: m.draw()*cost < c.ownLevel}
	if d.Admitted {
		c.ownLevel -= cost
	} else {
		d.RetryAfter = knowledgeTimeout
	}
	return d
}

// GiveBack undoes Take for an admitted request that no endpoint has run. It must not be called for one that was admitted by the own share.
func (m *Meter) GiveBack(now unit.Moment, id unit.CustomerID, cost float64) {
	if c := m.customers[KeyOf(id)]; c != nil {
		c.admitted -= int64(cost)
		c.admittedRate.add(now, -cost)
	}
}

// Report returns the next report, with all that isn't acknowledged yet. A net amount that was returned is reported once only: if the answer is lost, the
// next control host can't know whether another one has counted it, and the customer would get it twice.
func (m *Meter) Report(now unit.Moment) Report {
	repeated := m.acked != m.number
	m.number++
	r := Report{Session: m.session, Number: m.number, Short: binary.AppendUvarint(nil, m.number-m.acked)}
	if !m.short {
		r.After = m.acked
	}
	m.sent, m.sentShort = m.sent[:0], m.short
	for key, c := range m.customers {
		if repeated {
			c.ackedAdmitted += c.returned
		}
		c.returned = min(0, c.admitted-c.ackedAdmitted)
		if c.offered == c.ackedOffered && c.admitted == c.ackedAdmitted {
			if now.Sub(c.usedAt) > idleTime {
				delete(m.customers, key)
			}
			continue
		}
		admitted := c.admitted - c.ackedAdmitted
		amount := Amount{Customer: key, Admitted: admitted, Others: c.offered - c.ackedOffered - admitted}
		m.sent = append(m.sent, amount)
		switch {
		case !m.short:
			r.Amounts = append(r.Amounts, amount)
		case c.fullKey:
			r.Full = append(r.Full, amount)
		default:
			r.Short = appendShortAmount(r.Short, amount)
		}
	}
	return r
}

// Accept applies a control host's answer to a report that was sent at the given moment. Answers to other reports than the last one are ignored,
// because the amounts of reports overlap.
func (m *Meter) Accept(sentAt unit.Moment, r Report, l Levels) {
	if r.Number != m.number || r.Number == m.acked {
		return
	}
	var short shortLevels
	m.short = len(l.Short) > 0
	if m.short {
		var valid bool
		if short, valid = decodeShortLevels(l.Short); !valid {
			return
		}
	}
	if m.short || !m.sentShort { // a control host of an older build doesn't read short reports, so that nothing is acknowledged
		m.acked = r.Number
		m.acknowledge(l.Unclear)
	}
	m.answerAt, m.answered = max(m.answerAt, sentAt), true
	if l.Hosts > 0 {
		m.hosts, m.covered = l.Hosts, l.Covered
	}
	if l.Known || short.known {
		clear(m.levels)
		clear(m.shortLevels)
	}
	for _, level := range l.Levels {
		delete(m.shortLevels, level.Customer.short())
		tell(m.levels, level.Customer, sentAt, level.Level, level.Offered, level.Admitted)
	}
	for _, level := range short.levels {
		tell(m.shortLevels, level.customer, sentAt, level.level, level.offered, level.admitted)
	}
}

// acknowledge notes that the amounts of the last report were counted, without those with short keys that were unclear.
func (m *Meter) acknowledge(unclear []shortKey) {
	for _, a := range m.sent {
		c := m.customers[a.Customer]
		if c == nil {
			continue
		}
		if m.sentShort && !c.fullKey && slices.Contains(unclear, a.Customer.short()) {
			c.fullKey = true
			continue
		}
		c.ackedOffered += a.offered()
		c.ackedAdmitted += a.Admitted
	}
}

// tell sets a level, or removes that of a bucket that is nearly full.
func tell[K comparable](levels map[K]toldLevel, key K, at unit.Moment, level int64, offered, admitted uint64) {
	if level == fullLevel {
		delete(levels, key)
		return
	}
	levels[key] = toldLevel{level: float64(level), offered: float64(offered), admitted: float64(admitted), at: at}
}

// DropIdle drops what is known of customers without recent requests, while no customer has a limit and so no reports are sent.
func (m *Meter) DropIdle(now unit.Moment) {
	for key, c := range m.customers {
		if now.Sub(c.usedAt) > idleTime {
			delete(m.customers, key)
		}
	}
	if len(m.customers) == 0 {
		clear(m.levels)
		clear(m.shortLevels)
	}
}

// ExpectHosts says how many entry hosts there are, as long as no control host has answered a report. Each of them may admit its part of the limits.
func (m *Meter) ExpectHosts(hosts int) {
	if !m.answered {
		m.hosts = hosts
	}
}
