package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// expiryQueue lists claims in the order of their changes. Command time never runs backwards, so this is also the order of
// expiry. A claim that changes again gets another item, and expire skips the outdated one.
type expiryQueue []expiryItem

type expiryItem struct {
	id        claimID
	changedAt int64
}

type storedClaim struct {
	Customer         unit.CustomerID  `cbor:"customer"`
	Key              string           `cbor:"key"`
	Body             unit.Digest      `cbor:"body"`
	Owner            unit.HostName    `cbor:"owner"`
	OwnerIncarnation unit.Incarnation `cbor:"owner-incarnation"`
	Request          unit.RequestID   `cbor:"request"`
	Record           []byte           `cbor:"record,omitempty"`
	Deadline         int64            `cbor:"deadline"`
	ChangedAt        int64            `cbor:"changed-at"`
	Phase            phase            `cbor:"phase"`
	Status           int              `cbor:"status,omitempty"`
	ContentType      string           `cbor:"content-type,omitempty"`
	Headers          []Header         `cbor:"headers,omitempty"`
	Answer           []byte           `cbor:"answer,omitempty"`
	AnswerDropped    bool             `cbor:"answer-dropped,omitempty"`
	Resolutions      []Resolution     `cbor:"resolutions,omitempty"`
	Cancelled        []unit.RequestID `cbor:"cancelled,omitempty"`
}

type storedOwner struct {
	Host        unit.HostName    `cbor:"host"`
	Incarnation unit.Incarnation `cbor:"incarnation"`
}

type storedState struct {
	Now        int64          `cbor:"now"`
	Limits     Limits         `cbor:"limits"`
	Claims     []storedClaim  `cbor:"claims"`
	Owners     []storedOwner  `cbor:"owners"`
	Tombstones []tombstoneRow `cbor:"tombstones"`
}

// Snapshot returns the whole state in a deterministic encoding.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	state := storedState{Now: m.now, Limits: m.limits, Tombstones: m.tombstones.rows()}
	for _, c := range m.claims {
		state.Claims = append(state.Claims, c.stored())
	}
	slices.SortFunc(state.Claims, func(a, b storedClaim) int {
		return cmp.Or(cmp.Compare(a.ChangedAt, b.ChangedAt), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Key, b.Key))
	})
	for _, host := range slices.Sorted(maps.Keys(m.owners)) {
		state.Owners = append(state.Owners, storedOwner{Host: host, Incarnation: m.owners[host]})
	}
	return codec.Marshal(state)
}

// Restore replaces the state by a snapshot. It fails with fault.BadPeer or fault.Corrupt and then changes nothing.
func (m *Machine) Restore(snapshot []byte) error {
	var state storedState
	if err := codec.Unmarshal(snapshot, &state); err != nil {
		return err
	}
	restored := New()
	restored.now, restored.limits = state.Now, state.Limits
	restored.tombstones = restoreTombstones(state.Tombstones)
	for _, stored := range state.Claims {
		if stored.Phase > phaseNotRun {
			return fault.Corrupt.New("the snapshot has a claim in the unknown phase %d", stored.Phase)
		}
		restored.put(stored.claim())
	}
	for _, owner := range state.Owners {
		restored.owners[owner.Host] = owner.Incarnation
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = restored.limits
	m.now, m.claims, m.owners, m.bytes = restored.now, restored.claims, restored.owners, restored.bytes
	m.retained, m.notRun, m.tombstones = restored.retained, restored.notRun, restored.tombstones
	return nil
}

// exceedsLimits reports whether a new claim would exceed the limits. Every claim that doesn't end as not-run becomes a
// tombstone later, so claims count towards the limit of tombstones from the start.
func (m *Machine) exceedsLimits(c *claim) bool {
	return m.bytes+c.size() > m.limits.Bytes || len(m.claims) >= m.limits.Claims ||
		len(m.claims)+m.tombstones.count >= m.limits.Tombstones
}

func (m *Machine) put(c *claim) {
	if old, ok := m.claims[c.claimID]; ok {
		m.bytes -= old.size()
	}
	m.claims[c.claimID] = c
	m.bytes += c.size()
	item := expiryItem{c.claimID, c.ChangedAt}
	if c.Phase == phaseNotRun {
		m.notRun = append(m.notRun, item)
	} else {
		m.retained = append(m.retained, item)
	}
}

// advanceTime sets the time of the command and removes claims and tombstones that expire by then.
func (m *Machine) advanceTime(at int64) {
	m.now = max(m.now, at)
	m.expire(&m.retained, answerRetention.Milliseconds(), func(c *claim) {
		m.tombstones.add(c.ChangedAt+answerRetention.Milliseconds(), c.claimID)
	})
	m.expire(&m.notRun, notRunRetention.Milliseconds(), func(*claim) {})
	m.tombstones.dropExpired(m.now)
}

func (m *Machine) expire(queue *expiryQueue, retentionMilli int64, onExpire func(*claim)) {
	for len(*queue) > 0 && (*queue)[0].changedAt+retentionMilli <= m.now {
		item := (*queue)[0]
		*queue = (*queue)[1:]
		c, ok := m.claims[item.id]
		if ok && c.ChangedAt == item.changedAt && (c.Phase == phaseNotRun) == (queue == &m.notRun) {
			delete(m.claims, c.claimID)
			m.bytes -= c.size()
			onExpire(c)
		}
	}
}

func (c *claim) stored() storedClaim {
	return storedClaim{
		Customer: c.Customer, Key: c.Key, Body: c.Body, Owner: c.Owner, OwnerIncarnation: c.OwnerIncarnation,
		Request: c.Request, Record: c.Record, Deadline: c.Deadline, ChangedAt: c.ChangedAt, Phase: c.Phase,
		Status: c.Status, ContentType: c.ContentType, Headers: c.Headers, Answer: c.Answer,
		AnswerDropped: c.AnswerDropped, Resolutions: c.Resolutions, Cancelled: c.Cancelled,
	}
}

func (s storedClaim) claim() *claim {
	return &claim{
		claimID: claimID{s.Customer, s.Key}, Body: s.Body, Owner: s.Owner, OwnerIncarnation: s.OwnerIncarnation,
		Request: s.Request, Record: s.Record, Deadline: s.Deadline, ChangedAt: s.ChangedAt, Phase: s.Phase,
		Status: s.Status, ContentType: s.ContentType, Headers: s.Headers, Answer: s.Answer,
		AnswerDropped: s.AnswerDropped, Resolutions: s.Resolutions, Cancelled: s.Cancelled,
	}
}
