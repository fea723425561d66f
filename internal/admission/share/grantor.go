package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// minLeaseChange is the relative difference below which a lease isn't changed, which saves bytes in the grant.
const minLeaseChange = 0.02

// Grantor leases the part of the limits that isn't reserved to the hosts. It is a deterministic state machine, not safe for
// concurrent use. A host creates a new Grantor whenever it becomes leader. The new Grantor doesn't know the leases that the
// previous leader, or the same host in an earlier leadership, has granted, so it grants nothing until they have expired.
type Grantor struct {
	hosts      int
	leaseTime  time.Duration
	grantsFrom unit.Moment // no grants before this time
	sessions   map[unit.HostName]*session
	pools      map[unit.CustomerID]*pool
}

// session is the grantor's state of one host. All current leases of a host expire at the same time.
type session struct {
	host          unit.HostName
	firstSequence uint64 // sequence of the complete demand that began the session
	sequence      uint64 // sequence of the latest demand
	leasesUntil   unit.Moment
	portions      map[unit.CustomerID]*portion
	dirty         map[unit.CustomerID]bool // portions to be computed again
}

// pool is the leasable rate of one customer, divided into portions.
type pool struct {
	limit    float64
	portions []*portion // sorted by host
}

// portion is the part of a pool that is demanded by and leased to one host.
type portion struct {
	session         *session
	wanted          float64
	rate            float64 // leased until session.leasesUntil
	changedSequence uint64  // sequence of the demand whose answer changed rate
	earlierLeases   []lease // higher leases that the host may still use if it hasn't received the answer that lowered them
}

type lease struct {
	rate  float64
	until unit.Moment
}

// NewGrantor returns a grantor for the configured number of entry hosts. It grants nothing before one lease time has
// passed.
func NewGrantor(now unit.Moment, hosts int, lease time.Duration) *Grantor {
	return &Grantor{
		hosts: max(1, hosts), leaseTime: lease, grantsFrom: now.Add(lease),
		sessions: map[unit.HostName]*session{}, pools: map[unit.CustomerID]*pool{},
	}
}

// Grant answers a demand. Limits returns a customer's current limit in requests/s, 0 for an unknown customer.
func (g *Grantor) Grant(now unit.Moment, d Demand, limits func(unit.CustomerID) float64) Grant {
	g.dropExpiredSessions(now)
	answer := Grant{Sequence: d.Sequence}
	if now.Before(g.grantsFrom) {
		return answer
	}
	s := g.sessions[d.Host]
	switch {
	case d.Base == 0:
		s = g.restartSession(d)
	case s == nil || d.Base < s.firstSequence || d.Base > s.sequence:
		answer.Resync = true
		return answer
	case d.Sequence <= s.sequence:
		return answer
	}
	s.sequence = d.Sequence
	g.applyDemand(s, d.Customers)
	g.applyLimits(s, limits)
	// The host may use leases that are lowered now until the expiry that it knows from earlier answers.
	end := s.leasesUntil
	s.leasesUntil = now.Add(g.leaseTime)
	for id := range s.dirty {
		g.updatePortion(now, id, s.portions[id], end, d.Base)
	}
	answer.For = g.leaseTime
	answer.Full = d.Base == 0
	answer.Customers = s.changedSince(d.Base)
	return answer
}

func (s *session) changedSince(base uint64) map[unit.CustomerID]float64 {
	changes := map[unit.CustomerID]float64{}
	for id, p := range s.portions {
		if p.changedSequence > base {
			changes[id] = p.rate
		}
	}
	return changes
}

// restartSession starts or restarts a host's session after a complete demand. Earlier leases of the host count until they
// expire, because the host may not have received the answer yet, or the demand may come from another incarnation of the
// host.
func (g *Grantor) restartSession(d Demand) *session {
	s := g.sessions[d.Host]
	if s == nil {
		s = &session{host: d.Host, portions: map[unit.CustomerID]*portion{}, dirty: map[unit.CustomerID]bool{}}
		g.sessions[d.Host] = s
	}
	s.firstSequence = d.Sequence
	for id, p := range s.portions {
		p.wanted, p.changedSequence = 0, d.Sequence
		s.dirty[id] = true
	}
	return s
}

// applyDemand stores the rates that a host wants and marks all hosts' portions of the same customers as dirty.
func (g *Grantor) applyDemand(s *session, wanted map[unit.CustomerID]float64) {
	for id, rate := range wanted {
		p := s.portions[id]
		if p == nil && rate <= 0 {
			continue
		}
		if p == nil {
			p = &portion{session: s}
			s.portions[id] = p
			g.addPortion(id, p)
		}
		p.wanted = max(0, rate)
		g.pools[id].markDirty(id)
	}
}

func (g *Grantor) addPortion(id unit.CustomerID, p *portion) {
	if g.pools[id] == nil {
		g.pools[id] = &pool{}
	}
	c := g.pools[id]
	position, _ := slices.BinarySearchFunc(c.portions, p.session.host, func(o *portion, host unit.HostName) int {
		return cmp.Compare(o.session.host, host)
	})
	c.portions = slices.Insert(c.portions, position, p)
}

func (g *Grantor) removePortion(id unit.CustomerID, p *portion) {
	c := g.pools[id]
	c.portions = slices.DeleteFunc(c.portions, func(o *portion) bool { return o == p })
	if len(c.portions) == 0 {
		delete(g.pools, id)
	}
}

func (c *pool) markDirty(id unit.CustomerID) {
	for _, p := range c.portions {
		p.session.dirty[id] = true
	}
}

// applyLimits stores the changed limits of the session's customers and marks all portions of these customers as dirty.
func (g *Grantor) applyLimits(s *session, limits func(unit.CustomerID) float64) {
	for id := range s.portions {
		if limit := max(0, limits(id)); g.pools[id].limit != limit {
			g.pools[id].limit = limit
			g.pools[id].markDirty(id)
		}
	}
}

// updatePortion sets a portion to its fair share, as far as the other hosts' unexpired leases allow. The portion stays
// dirty while the host needs more than its rate or has earlier leases. It is deleted only when the host is known to have
// received the answer that ended the lease, because the host renews every lease that an answer doesn't mention.
func (g *Grantor) updatePortion(now unit.Moment, id unit.CustomerID, p *portion, end unit.Moment, base uint64) {
	c := g.pools[id]
	room := leasableRate(c.limit)
	for _, other := range c.portions {
		if other != p {
			room -= other.heldRate(now)
		}
	}
	needs := g.activeNeeds(now, c)
	rate := max(0, min(fairShare(leasableRate(c.limit), needs, g.hostNeed(c, p)), room))
	isSmall := rate > 0 && rate > p.rate*(1-minLeaseChange) && rate < p.rate*(1+minLeaseChange) && p.rate <= room
	if rate != p.rate && !isSmall {
		p.setRate(rate, end)
		p.changedSequence = p.session.sequence
	}
	p.heldRate(now)
	if p.wanted == 0 && p.rate == 0 && len(p.earlierLeases) == 0 && p.changedSequence <= base {
		delete(p.session.portions, id)
		delete(p.session.dirty, id)
		g.removePortion(id, p)
	} else if p.rate >= g.hostNeed(c, p)*(1-minLeaseChange) && len(p.earlierLeases) == 0 && p.wanted > 0 {
		delete(p.session.dirty, id)
	}
}

// hostNeed returns the rate that a host wants above its reserved rate.
func (g *Grantor) hostNeed(c *pool, p *portion) float64 {
	return max(0, p.wanted-reservedRate(c.limit, g.hosts))
}

func (g *Grantor) activeNeeds(now unit.Moment, c *pool) []float64 {
	var needs []float64
	for _, p := range c.portions {
		if !p.session.leasesUntil.Before(now) {
			needs = append(needs, g.hostNeed(c, p))
		}
	}
	return needs
}

// fairShare divides total by max-min fairness and returns the share of a host with the given need: no host gets more than
// it needs, and the hosts whose needs can't be met get equal shares of the rest. Needs contains need; it is sorted in
// place.
func fairShare(total float64, needs []float64, need float64) float64 {
	slices.Sort(needs)
	for i, n := range needs {
		equal := total / float64(len(needs)-i)
		if n > equal {
			return min(need, equal)
		}
		total -= n
	}
	return need
}

// setRate changes the current lease. If the rate falls, the previous lease counts until end, because the host may still use
// it.
func (p *portion) setRate(rate float64, end unit.Moment) {
	if rate < p.rate {
		p.earlierLeases = slices.DeleteFunc(p.earlierLeases, func(l lease) bool { return l.rate <= p.rate && l.until <= end })
		p.earlierLeases = append(p.earlierLeases, lease{p.rate, end})
	}
	p.rate = rate
}

// heldRate returns the highest rate that the host may use now, by its current or an earlier lease. It drops expired leases.
func (p *portion) heldRate(now unit.Moment) float64 {
	p.earlierLeases = slices.DeleteFunc(p.earlierLeases, func(l lease) bool { return l.until.Before(now) })
	held := 0.0
	if !p.session.leasesUntil.Before(now) {
		held = p.rate
	}
	for _, l := range p.earlierLeases {
		held = max(held, l.rate)
	}
	return held
}

// dropExpiredSessions deletes the sessions of hosts whose leases have expired without a new demand.
func (g *Grantor) dropExpiredSessions(now unit.Moment) {
	for host, s := range g.sessions {
		if !s.leasesUntil.Before(now) {
			continue
		}
		for id, p := range s.portions {
			g.removePortion(id, p)
		}
		delete(g.sessions, host)
	}
}
