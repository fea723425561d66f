package usage

import (
	"cmp"
	"container/list"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

const (
	// hostTimeout is how long an entry host may be silent before it isn't covered by the account any more. Hosts report every 50 ms, and
	// small ones stand still for some tenths of a second.
	hostTimeout = 1200 * time.Millisecond
	// peerTimeout is the same for another control host and the entry hosts that it has listed. Control hosts send updates every 50 ms.
	peerTimeout = 400 * time.Millisecond
	// hostMemory is how long a silent entry host counts as one that may admit requests on its own. Most cuts are shorter.
	hostMemory = time.Minute
	// hostsInterval is the time between two updates that list the entry hosts.
	hostsInterval = 400 * time.Millisecond
	// Levels are sent of buckets below tightShare of their capacity, at most maxLevels at once, and as many as levelBytesPerSecond per host allow. If
	// there are more, those that haven't been sent for the longest time come first. levelBytes is the size of one level, shortLevelBytes that of one
	// with a short key.
	tightShare          = 0.75
	maxLevels           = 48
	levelBytes          = 23
	shortLevelBytes     = 14
	levelBytesPerSecond = 600
	// Short reports and their answers together are kept within trafficBytesPerSecond, which with the first answers is less than 1,000 bytes per second;
	// levels get at least minLevelBytesPerSecond of it. reportBytes and answerBytes are the sizes without amounts and levels, amountBytes that of an
	// amount with a full key.
	trafficBytesPerSecond  = 880
	minLevelBytesPerSecond = 200
	reportBytes            = 15
	answerBytes            = 4
	amountBytes            = 14
	// maxDebtTime bounds the debt of a bucket: it is paid within that time, plus the time that two bursts take. It only has to cover what
	// the hosts admit before they hear of an overload.
	maxDebtTime = 2 * time.Second
	// startShare is the share of its capacity with which a bucket begins on a host that has just started. It admits customers within their limits, and
	// not a whole burst, which may have been used before the start.
	startShare = 0.15
)

// Ledger keeps the account of all customers with limits at one control host.
type Ledger struct {
	limits   map[Key]usagelimit.Limit
	accounts map[Key]*account
	shorts   map[shortKey]Key      // of the accounts
	unclear  map[shortKey]struct{} // that belong to several accounts
	changes  *list.List            // of Key, the last changed first
	number   uint64                // of the last change
	tight    map[Key]struct{}
	sessions map[unit.HostName]*session
	peers    map[unit.HostName]*peerCounters
	hosts    map[hostKey]unit.Moment // when each entry host was last heard by this or another control host
	// hostsSentAt is when the entry hosts were last listed for each control host.
	hostsSentAt map[unit.HostName]unit.Moment
	unlimited   map[Key]unit.Moment             // since when accounts are without a limit
	readers     map[unit.HostName]counterReader // of the counters
	share       float64                         // share of the entry hosts that the account covers
	configured  bool                            // limits have been set
}

// account is one customer's bucket and this host's counters.
type account struct {
	level             float64
	at                unit.Moment
	offered, admitted rate
	own               Amount // counted by this control host since its start
	changed           uint64 // number of the last change of own
	restarted         uint64 // number of the change with which own last began again at 0
	element           *list.Element
}

// session is what one entry host has reported.
type session struct {
	id            uint64
	number, after uint64
	applied       map[Key]Amount // of the reports since after
	heardAt       unit.Moment
	levelsAt      unit.Moment // of the last answer
	credit        float64     // bytes of levels that may be sent
	// told is when the level of each bucket was last sent, 0 if it has to be sent again. lastTold are those in the last answer.
	told     map[Key]unit.Moment
	lastTold []Key
	short    bool       // the last report is a short one
	unclear  []shortKey // in the last report
	received int        // bytes of reports since the last answer
	// The numbers of hosts in the last answers, 0 if they have to be sent again.
	toldHosts, toldCovered int
}

// peerCounters are the counters of another control host as read last.
type peerCounters struct {
	epoch    unit.Incarnation
	number   uint64
	hosts    []hostKey // that report to it, as listed last
	heardAt  unit.Moment
	counters map[Key]Amount
}

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{
		limits: map[Key]usagelimit.Limit{}, accounts: map[Key]*account{}, changes: list.New(), tight: map[Key]struct{}{}, sessions: map[unit.HostName]*session{},
		peers: map[unit.HostName]*peerCounters{}, hosts: map[hostKey]unit.Moment{}, hostsSentAt: map[unit.HostName]unit.Moment{}, share: 1,
		unlimited: map[Key]unit.Moment{}, readers: map[unit.HostName]counterReader{},
	}
}

// SetLimits replaces the limits. Customers without a limit are left out.
func (l *Ledger) SetLimits(now unit.Moment, limits map[unit.CustomerID]usagelimit.Limit) {
	for key, a := range l.accounts {
		a.fill(now, l.limits[key], l.share)
	}
	l.limits = make(map[Key]usagelimit.Limit, len(limits))
	for id, limit := range limits {
		if !limit.InForce() {
			continue
		}
		key := KeyOf(id)
		l.limits[key] = limit
		a, known := l.accounts[key]
		if !known {
			a = &account{at: now, level: limit.Capacity(), own: Amount{Customer: key}}
			if !l.configured {
				a.level *= startShare
			}
			l.accounts[key] = a
		}
		l.charge(now, key, a, 0, 0)
	}
	l.configured = true
	l.noteUnlimited(now)
	l.indexShortKeys()
}

// indexShortKeys notes to which customer each short key belongs.
func (l *Ledger) indexShortKeys() {
	l.shorts, l.unclear = make(map[shortKey]Key, len(l.accounts)), map[shortKey]struct{}{}
	for key := range l.accounts {
		if _, taken := l.shorts[key.short()]; taken {
			l.unclear[key.short()] = struct{}{}
		}
		l.shorts[key.short()] = key
	}
}

// fill adds what the limit has allowed since the last call.
func (a *account) fill(now unit.Moment, limit usagelimit.Limit, share float64) {
	if now <= a.at {
		return
	}
	a.level = min(a.level+limit.PerSecond*share*now.Sub(a.at).Seconds(), limit.Capacity())
	a.at = now
}

// charge counts an amount against a customer's bucket.
func (l *Ledger) charge(now unit.Moment, key Key, a *account, offered, admitted float64) {
	limit := l.limits[key]
	a.fill(now, limit, l.share)
	a.offered.add(now, offered)
	a.admitted.add(now, admitted)
	maxDebt := 2*limit.Capacity() + limit.PerSecond*maxDebtTime.Seconds()
	a.level = min(max(a.level-admitted, -maxDebt), limit.Capacity())
	if limit.InForce() && a.level < tightShare*limit.Capacity() {
		l.tight[key] = struct{}{}
	}
}

// Receive counts an entry host's report.
func (l *Ledger) Receive(now unit.Moment, host unit.HostName, r Report) {
	l.hosts[hostKeyOf(host)] = now
	s, after := l.sessions[host], r.After
	short, isShort := decodeShortReport(r.Short)
	if isShort = isShort && short.unacknowledged <= r.Number; isShort {
		after = r.Number - short.unacknowledged
	} else {
		short.amounts = nil
	}
	switch {
	case s == nil || s.id != r.Session:
		s = &session{id: r.Session, after: after, applied: map[Key]Amount{}, told: map[Key]unit.Moment{}, credit: maxLevels * shortLevelBytes}
		l.sessions[host] = s
	case r.Number <= s.number || after < s.after:
		return // repeated or overtaken
	case after > s.after:
		s.after = after
		clear(s.applied)
	}
	if after < s.number { // the last answer was lost, or this is the first report
		for _, key := range s.lastTold {
			s.told[key] = 0
		}
		s.toldHosts = 0
	}
	s.lastTold = s.lastTold[:0]
	s.number, s.heardAt, s.short, s.unclear = r.Number, now, isShort, nil
	s.received += reportBytes + len(r.Short) + (len(r.Amounts)+len(r.Full))*amountBytes
	for _, amounts := range [][]Amount{r.Amounts, r.Full} {
		for _, amount := range amounts {
			l.apply(now, s, amount)
		}
	}
	for _, a := range short.amounts {
		key, known := l.shorts[a.customer]
		if _, unclear := l.unclear[a.customer]; unclear {
			s.unclear = append(s.unclear, a.customer)
		} else if known {
			l.apply(now, s, Amount{Customer: key, Admitted: a.admitted, Others: a.others})
		}
	}
}

// apply counts what an amount in a report says beyond the reports before it.
func (l *Ledger) apply(now unit.Moment, s *session, amount Amount) {
	before := s.applied[amount.Customer]
	s.applied[amount.Customer] = amount
	l.count(now, amount.Customer, amount.offered()-before.offered(), amount.Admitted-before.Admitted)
}

// count adds what was used through this control host.
func (l *Ledger) count(now unit.Moment, key Key, offered, admitted int64) {
	if offered == 0 && admitted == 0 {
		return
	}
	a, known := l.accounts[key]
	if !known {
		return // a customer without a limit in the newest table
	}
	a.own.Admitted += admitted
	a.own.Others += offered - admitted
	l.noteChange(key, a)
	l.charge(now, key, a, float64(offered), float64(admitted))
}

// noteChange numbers a change of an account's own counters.
func (l *Ledger) noteChange(key Key, a *account) {
	l.number++
	a.changed = l.number
	if a.element == nil {
		a.element = l.changes.PushFront(key)
	} else {
		l.changes.MoveToFront(a.element)
	}
}

// Since returns the update for a control host that has read the counters up to a number.
func (l *Ledger) Since(now unit.Moment, reader unit.HostName, read uint64) Update {
	u := Update{Number: l.number, After: read}
	l.readers[reader] = counterReader{askedAt: now, read: read}
	for e := l.changes.Front(); e != nil; e = e.Next() {
		key, _ := e.Value.(Key)
		a := l.accounts[key]
		if a.changed <= read {
			break
		}
		if a.restarted <= read {
			u.Amounts = append(u.Amounts, a.own)
			continue
		}
		u.Amounts = append(u.Amounts, Amount{Customer: key})
		if !a.own.isZero() { // is sent once the reader has read that the counters began again
			u.Number = min(u.Number, a.restarted)
		}
	}
	if now.Sub(l.hostsSentAt[reader]) >= hostsInterval {
		l.hostsSentAt[reader], u.Listed = now, true
		for host, s := range l.sessions {
			if now.Sub(s.heardAt) < hostTimeout {
				u.Hosts = append(u.Hosts, hostKeyOf(host))
			}
		}
	}
	return u
}

// Merge counts what another control host with the given incarnation has told. It returns the number up to which this host has read the other
// one's counters. The counters in the first update are taken as they are: they were counted before this host started or was reached again.
func (l *Ledger) Merge(now unit.Moment, from unit.HostName, epoch unit.Incarnation, u Update) (read uint64) {
	p := l.peers[from]
	first := p == nil
	if first || p.epoch != epoch {
		if u.After > 0 {
			return 0 // counters may be missing
		}
		p = &peerCounters{epoch: epoch, counters: map[Key]Amount{}}
		l.peers[from] = p
	}
	if u.Number < p.number {
		return p.number // overtaken
	}
	p.number, p.heardAt = u.Number, now
	if u.Listed {
		p.hosts = u.Hosts
	}
	for _, host := range u.Hosts {
		l.hosts[host] = now
	}
	for _, counters := range u.Amounts {
		before := p.counters[counters.Customer]
		if counters.isZero() {
			delete(p.counters, counters.Customer)
			continue
		}
		p.counters[counters.Customer] = counters
		a, known := l.accounts[counters.Customer]
		if !known || first {
			continue
		}
		l.charge(now, counters.Customer, a, float64(counters.offered()-before.offered()), float64(counters.Admitted-before.Admitted))
	}
	return p.number
}

// Step computes how many of the entry hosts are covered. It must be called several times per second.
func (l *Ledger) Step(now unit.Moment) {
	covered := map[hostKey]struct{}{}
	for host, s := range l.sessions {
		switch silent := now.Sub(s.heardAt); {
		case silent > hostMemory:
			delete(l.sessions, host)
		case silent < hostTimeout:
			covered[hostKeyOf(host)] = struct{}{}
		}
	}
	for _, p := range l.peers {
		if now.Sub(p.heardAt) > peerTimeout {
			continue
		}
		for _, host := range p.hosts {
			covered[host] = struct{}{}
		}
	}
	for host, heardAt := range l.hosts {
		if _, ok := covered[host]; !ok && now.Sub(heardAt) > hostMemory {
			delete(l.hosts, host)
		}
	}
	if len(l.hosts) == 0 {
		return
	}
	if share := float64(len(covered)) / float64(len(l.hosts)); share != l.share {
		for key, a := range l.accounts {
			a.fill(now, l.limits[key], l.share)
		}
		l.share = share
	}
}

// Levels returns the answer to an entry host's report.
func (l *Ledger) Levels(now unit.Moment, host unit.HostName) Levels {
	s := l.sessions[host]
	if s == nil {
		return Levels{}
	}
	var answer Levels
	if hosts, covered := len(l.hosts), int(l.share*float64(len(l.hosts))+0.5); hosts != s.toldHosts || covered != s.toldCovered {
		answer.Hosts, answer.Covered, s.toldHosts, s.toldCovered = hosts, covered, hosts, covered
	}
	size := s.addCredit(now)
	for key := range l.tight {
		a, limit := l.accounts[key], l.limits[key]
		a.fill(now, limit, l.share)
		if !limit.InForce() || a.level >= tightShare*limit.Capacity() {
			delete(l.tight, key)
		}
	}
	keys := l.keysToTell(s, size)
	known := len(keys)*size <= int(s.credit)
	if known {
		clear(s.told)
	} else {
		keys = keys[:max(0, int(s.credit)/size)]
	}
	if s.short {
		answer.Short, answer.Unclear = binary.AppendUvarint(nil, 0), s.unclear
		if known {
			answer.Short[0] = 1
		}
	} else {
		answer.Known = known
	}
	for _, key := range keys {
		level := Level{Customer: key, Level: fullLevel}
		if _, tight := l.tight[key]; tight {
			a := l.accounts[key]
			s.told[key] = now
			level = Level{
				Customer: key, Level: int64(math.Floor(a.level)), Offered: uint64(a.offered.perSecond(now)), Admitted: uint64(a.admitted.perSecond(now)),
			}
		} else {
			delete(s.told, key)
			if known {
				continue
			}
		}
		if _, unclear := l.unclear[key.short()]; s.short && !unclear {
			answer.Short = appendShortLevel(answer.Short, level)
		} else {
			answer.Levels = append(answer.Levels, level)
		}
	}
	s.lastTold = append(s.lastTold, keys...)
	s.credit -= float64(levelBytes*len(answer.Levels) + max(0, len(answer.Short)-1))
	return answer
}

// addCredit allows for the levels in the next answer. It returns the size of one level.
func (s *session) addCredit(now unit.Moment) (size int) {
	passed := now.Sub(s.levelsAt).Seconds()
	size, gained := levelBytes, levelBytesPerSecond*passed
	if s.short {
		size = shortLevelBytes
		left := trafficBytesPerSecond*passed - float64(s.received+answerBytes)
		gained = min(gained, max(left, minLevelBytesPerSecond*passed))
	}
	s.credit = min(s.credit+gained, float64(maxLevels*size))
	s.levelsAt, s.received = now, 0
	return size
}

// keysToTell returns the tight buckets and those that a host takes for tight, the one whose level was sent the longest ago first.
func (l *Ledger) keysToTell(s *session, size int) []Key {
	keys := make([]Key, 0, len(l.tight))
	for key := range l.tight {
		keys = append(keys, key)
	}
	for key := range s.told {
		if _, tight := l.tight[key]; !tight {
			keys = append(keys, key)
		}
	}
	if len(keys)*size > int(s.credit) {
		slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(s.told[a], s.told[b]), cmp.Compare(a, b)) })
	}
	return keys
}
