// Package ledger is the replicated state machine for once-only requests, which callers identify by an idempotency key. It
// grants each key to at most one owner, stores the outcome of the request and answers resends from it.
package ledger

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	maxNameBytes   = 256
	maxReasonBytes = 4096
	maxRecordBytes = 16 << 10
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 20
	maxResolutions = 8
	maxClaims      = 1_000_000
	// maxCancelled bounds the ids that a key keeps of requests whose claims ended as not-run. Only the last few are needed:
	// a delayed command that is yet to be applied belongs to one of them.
	maxCancelled    = 8
	defaultHold     = 60 * time.Second
	maxHold         = 10 * time.Minute
	answerRetention = 24 * time.Hour
	// A not-run claim is kept only to refuse a delayed duplicate of itself, so it is removed sooner.
	notRunRetention    = 10 * time.Minute
	tombstoneRetention = 30 * 24 * time.Hour
)

// Limits bounds the memory of one quorum group. Limits are set by a log entry, so that all members refuse the same claims
// also during a rolling restart with changed flags.
type Limits struct {
	// Bytes limits the total size of answers, decision records and keys, plus 500 bytes of overhead for each claim.
	Bytes int `cbor:"bytes"`
	// Claims limits the number of claims of the last 24 h, with or without an answer. It is at most 1,000,000, which is
	// what a snapshot can hold.
	Claims int `cbor:"claims"`
	// Tombstones limits the number of claims that expired in the last 30 days. Each takes 22 to 36 bytes of heap.
	Tombstones int `cbor:"tombstones"`
}

// DefaultLimits returns limits that keep the memory of one group within about 135 MiB.
func DefaultLimits() Limits {
	return Limits{Bytes: 64 << 20, Claims: 250_000, Tombstones: 2_000_000}
}

// Machine is the replicated state machine of one ledger group. A key goes through these states:
//
//	free -> open -> done, unknown or not-run (which is free again)
//	open -> unknown after its deadline or when its owner has a new incarnation
//	unknown -> done or not-run by its owner or an operator
//	open, done, unknown -> expired 24 h after the last change -> free again 30 days later
//
// After the 30 days the ledger no longer knows the key, so a resend would run again. Machine is safe for concurrent use.
type Machine struct {
	mu         sync.RWMutex
	limits     Limits
	now        int64 // the largest AtUnixMilli applied, so that time never runs backwards
	claims     map[claimID]*claim
	owners     map[unit.HostName]unit.Incarnation
	retained   expiryQueue // open, unknown and done claims
	notRun     expiryQueue
	tombstones tombstones
	bytes      int
}

// Stats are the sizes that Limits bound.
type Stats struct {
	Bytes, Claims, Tombstones int
}

// New returns an empty ledger with DefaultLimits.
func New() *Machine {
	return &Machine{limits: DefaultLimits(), claims: map[claimID]*claim{}, owners: map[unit.HostName]unit.Incarnation{}}
}

// Apply applies one log entry and returns the encoded Reply.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := Reply{State: StateBadCommand}
	if command, err := DecodeCommand(data); err == nil {
		reply = m.apply(command)
	}
	result, err := codec.Marshal(reply)
	if err != nil {
		return nil
	}
	return result
}

// Lookup returns the reply that a resend with the same body would get now, without claiming the key. The caller must
// perform a read barrier first.
func (m *Machine) Lookup(customer unit.CustomerID, key string) Reply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	id := claimID{customer, key}
	if c, ok := m.claims[id]; ok {
		return m.replyFor(c, m.stateOf(c))
	}
	if m.tombstones.has(id) {
		return Reply{State: StateExpired, Claimed: true}
	}
	return Reply{State: StateNotFound}
}

// Record returns the decision record that came with the claim of a key.
func (m *Machine) Record(customer unit.CustomerID, key string) ([]byte, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c, ok := m.claims[claimID{customer, key}]
	if !ok {
		return nil, false
	}
	return c.Record, true
}

// UnresolvedClaim is a claim without a known outcome, which an operator may have to resolve.
type UnresolvedClaim struct {
	Customer unit.CustomerID
	Key      string
	Reply    Reply
}

// UnknownClaims returns at most limit claims without a known outcome, sorted by customer and key.
func (m *Machine) UnknownClaims(limit int) []UnresolvedClaim {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var found []UnresolvedClaim
	for id, c := range m.claims {
		if m.stateOf(c) == StateUnknown {
			found = append(found, UnresolvedClaim{Customer: id.Customer, Key: id.Key, Reply: m.replyFor(c, StateUnknown)})
		}
	}
	slices.SortFunc(found, func(a, b UnresolvedClaim) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Key, b.Key))
	})
	return found[:min(limit, len(found))]
}

// Limits returns the limits that are in force.
func (m *Machine) Limits() Limits {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.limits
}

// Stats returns the current sizes.
func (m *Machine) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Stats{Bytes: m.bytes, Claims: len(m.claims), Tombstones: m.tombstones.count}
}

func (m *Machine) apply(command Command) Reply {
	switch {
	case command.Claim != nil:
		m.advanceTime(command.Claim.AtUnixMilli)
		return m.claim(command.Claim)
	case command.Finish != nil:
		m.advanceTime(command.Finish.AtUnixMilli)
		return m.finish(command.Finish)
	case command.Resolve != nil:
		m.advanceTime(command.Resolve.AtUnixMilli)
		return m.resolve(command.Resolve)
	case command.Limits != nil:
		m.limits = *command.Limits
		return Reply{State: StateDone}
	default:
		m.advanceTime(command.Started.AtUnixMilli)
		m.recordIncarnation(command.Started.Host, command.Started.Incarnation)
		return Reply{State: StateDone}
	}
}

func (m *Machine) claim(c *Claim) Reply {
	m.recordIncarnation(c.Owner, c.OwnerIncarnation)
	id := claimID{c.Customer, c.Key}
	existing, known := m.claims[id]
	if known {
		if reply, decided := m.claimExisting(existing, c); decided {
			return reply
		}
	}
	if !known && m.tombstones.has(id) {
		return Reply{State: StateExpired, Claimed: true}
	}
	if c.OwnerIncarnation < m.owners[c.Owner] {
		return Reply{State: StateStaleOwner}
	}
	if len(c.Record) > maxRecordBytes {
		return Reply{State: StateTooLarge}
	}
	granted := newClaim(id, c, m.now)
	if known {
		granted.Cancelled = existing.Cancelled
	}
	if m.exceedsLimits(granted) {
		return Reply{State: StateFull}
	}
	m.put(granted)
	return m.replyFor(granted, StateGranted)
}

// claimExisting answers a claim of a key that already has a claim. It reports decided as false if the key is free to be
// claimed again.
func (m *Machine) claimExisting(existing *claim, c *Claim) (reply Reply, decided bool) {
	if existing.wasCancelled(c.Request) {
		return m.replyFor(existing, StateNotRun), true
	}
	state := m.stateOf(existing)
	if state == StateNotRun {
		return Reply{}, false
	}
	if existing.Body != c.Body {
		return Reply{State: StateConflict, Claimed: true}, true
	}
	if existing.Phase == phaseOpen && existing.ownedBy(c.Owner, c.OwnerIncarnation, c.Request) {
		// The owner sends its claim again because the reply was lost. It checks the deadline before it dispatches.
		return m.replyFor(existing, StateGranted), true
	}
	return m.replyFor(existing, state), true
}

func (m *Machine) finish(f *Finish) Reply {
	id := claimID{f.Customer, f.Key}
	existing, known := m.claims[id]
	if !known {
		return m.finishUnclaimed(id, f)
	}
	if existing.wasCancelled(f.Request) {
		return m.replyFor(existing, StateNotRun)
	}
	if !existing.ownedBy(f.Owner, f.OwnerIncarnation, f.Request) {
		if f.Outcome == unit.OutcomeNotRun {
			m.rememberCancelled(existing, f.Request)
		}
		return Reply{State: StateConflict, Claimed: true}
	}
	if existing.Phase == phaseDone {
		return m.replyFor(existing, m.stateOf(existing))
	}
	changed := *existing
	switch f.Outcome {
	case unit.OutcomeDone:
		changed.finishDone(f)
		if m.bytes-existing.size()+changed.size() > m.limits.Bytes {
			changed.dropAnswer()
		}
	case unit.OutcomeNotRun:
		changed.finishNotRun()
	case unit.OutcomeUnknown:
		changed.Phase = phaseUnknown
	}
	return m.replace(&changed)
}

// rememberCancelled records on another request's claim that the given request won't run, so that a delayed claim of that
// request is refused.
func (m *Machine) rememberCancelled(existing *claim, request unit.RequestID) {
	if request == existing.Request || m.bytes+len(request) > m.limits.Bytes {
		return
	}
	m.bytes -= existing.size()
	existing.cancel(request)
	m.bytes += existing.size()
}

// finishUnclaimed handles a finish of a key without a claim: the claim has expired or is delayed and yet to be applied.
func (m *Machine) finishUnclaimed(id claimID, f *Finish) Reply {
	if m.tombstones.has(id) {
		return Reply{State: StateExpired, Claimed: true}
	}
	if f.Outcome != unit.OutcomeNotRun {
		return Reply{State: StateNotFound}
	}
	marker := &claim{claimID: id, Owner: f.Owner, OwnerIncarnation: f.OwnerIncarnation, Request: f.Request}
	marker.finishNotRun()
	if m.exceedsLimits(marker) {
		return Reply{State: StateFull}
	}
	marker.ChangedAt = m.now
	m.put(marker)
	return m.replyFor(marker, StateNotRun)
}

func (m *Machine) resolve(r *Resolve) Reply {
	id := claimID{r.Customer, r.Key}
	existing, known := m.claims[id]
	if !known {
		if m.tombstones.has(id) {
			return Reply{State: StateExpired, Claimed: true}
		}
		return Reply{State: StateNotFound}
	}
	if state := m.stateOf(existing); state != StateUnknown {
		return m.replyFor(existing, state)
	}
	changed := *existing
	changed.addResolution(Resolution{Operator: r.Operator, Reason: r.Reason, Outcome: r.Outcome, AtUnixMilli: m.now})
	if r.Outcome == unit.OutcomeDone {
		changed.Phase = phaseDone
	} else {
		changed.finishNotRun()
	}
	return m.replace(&changed)
}

func (m *Machine) replace(changed *claim) Reply {
	changed.ChangedAt = m.now
	m.put(changed)
	return m.replyFor(changed, m.stateOf(changed))
}

func (m *Machine) recordIncarnation(host unit.HostName, incarnation unit.Incarnation) {
	if incarnation > m.owners[host] {
		m.owners[host] = incarnation
	}
}

func (m *Machine) stateOf(c *claim) string {
	switch c.Phase {
	case phaseDone:
		if c.AnswerDropped {
			return StateTooLarge
		}
		return StateDone
	case phaseNotRun:
		return StateNotRun
	case phaseUnknown:
		return StateUnknown
	default:
		if m.now > c.Deadline || m.owners[c.Owner] > c.OwnerIncarnation {
			return StateUnknown
		}
		return StateInProgress
	}
}

func (m *Machine) replyFor(c *claim, state string) Reply {
	reply := Reply{
		State: state, Claimed: true, Owner: c.Owner, OwnerIncarnation: c.OwnerIncarnation, Request: c.Request,
		DeadlineUnixMilli: c.Deadline, Resolutions: c.Resolutions,
	}
	if state == StateDone || state == StateTooLarge {
		reply.Status, reply.ContentType, reply.Headers, reply.Body = c.Status, c.ContentType, c.Headers, c.Answer
	}
	return reply
}
