package usage

import (
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
}

// customer is the use of one customer on this host.
type customer struct {
	offered, admitted           int64 // since the start
	ackedOffered, ackedAdmitted int64
	returned                    int64 // negative net amount of the last report, else 0
	offeredRate, admittedRate   rate
	usedAt                      unit.Moment
	level                       *Level // as told last, nil while the bucket is nearly full
	levelAt                     unit.Moment
	ownLevel                    float64 // of the bucket for the own share
	ownAt                       unit.Moment
}

// NewMeter returns the meter of one host. The session is a random number that differs between the runs of a host; below 2^32 it takes four bytes less in
// each report.
func NewMeter(session uint64, draw func() float64) *Meter {
	return &Meter{draw: draw, session: session, customers: map[Key]*customer{}}
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
	d := m.decide(now, c, limit)
	if d.Admitted {
		c.admitted += int64(cost)
		c.admittedRate.add(now, cost)
	}
	return d
}

func (m *Meter) decide(now unit.Moment, c *customer, limit usagelimit.Limit) Decision {
	d := Decision{Age: now.Sub(m.answerAt), Level: m.estimate(now, c, limit)}
	if d.Level > 0 {
		d.Admitted = true
		return d
	}
	balance := max(balanceShare*limit.Capacity(), limit.PerSecond*minBalanceTime.Seconds())
	if left := 2*balance + d.Level; left > 0 {
		offered := c.offeredRate.perSecond(now)
		if c.level != nil {
			offered = max(offered, float64(c.level.Offered))
		}
		d.Admitted = m.draw()*offered < limit.PerSecond*m.coveredShare()*left/balance
	}
	if !d.Admitted {
		d.RetryAfter = time.Duration(-d.Level / limit.PerSecond * float64(time.Second))
	}
	return d
}

// estimate returns the level of a customer's bucket now.
func (m *Meter) estimate(now unit.Moment, c *customer, limit usagelimit.Limit) float64 {
	unreported := float64(c.admitted - c.ackedAdmitted)
	if c.level == nil {
		return limit.Capacity() - unreported
	}
	others := max(0, float64(c.level.Admitted)-c.admittedRate.perSecond(now))
	age := now.Sub(c.levelAt)
	gained := limit.PerSecond*m.coveredShare()*age.Seconds() - others*min(age, maxExtrapolation).Seconds()
	return min(float64(c.level.Level)+gained, limit.Capacity()) - unreported
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
	r := Report{Session: m.session, Number: m.number, After: m.acked}
	for key, c := range m.customers {
		if repeated {
			c.ackedAdmitted += c.returned
		}
		c.returned = min(0, c.admitted-c.ackedAdmitted)
		switch {
		case c.offered != c.ackedOffered || c.admitted != c.ackedAdmitted:
			admitted := c.admitted - c.ackedAdmitted
			r.Amounts = append(r.Amounts, Amount{Customer: key, Admitted: admitted, Others: c.offered - c.ackedOffered - admitted})
		case now.Sub(c.usedAt) > idleTime && c.level == nil:
			delete(m.customers, key)
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
	m.acked, m.answerAt, m.answered = r.Number, max(m.answerAt, sentAt), true
	if l.Hosts > 0 {
		m.hosts, m.covered = l.Hosts, l.Covered
	}
	for _, a := range r.Amounts {
		if c := m.customers[a.Customer]; c != nil {
			c.ackedOffered += a.offered()
			c.ackedAdmitted += a.Admitted
		}
	}
	if l.Known {
		for _, c := range m.customers {
			c.level = nil
		}
	}
	for _, level := range l.Levels {
		c := m.customers[level.Customer]
		if c == nil {
			c = &customer{usedAt: sentAt}
			m.customers[level.Customer] = c
		}
		c.level, c.levelAt = &level, sentAt
		if level.Level == fullLevel {
			c.level = nil
		}
	}
}

// ExpectHosts says how many entry hosts there are, as long as no control host has answered a report. Each of them may admit its part of the limits.
func (m *Meter) ExpectHosts(hosts int) {
	if !m.answered {
		m.hosts = hosts
	}
}
