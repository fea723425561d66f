package quorum

import (
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// SilentAfter is how long a member may leave heartbeats unanswered before Status.Silent lists it. A host that was lost has to be replaced
// within the few seconds in which its successor may catch up.
const SilentAfter = 1500 * time.Millisecond

// leaderState is the state that exists only while the node is the leader.
type leaderState struct {
	termStart        Index // the empty entry at the start of this term
	progress         map[NodeID]*progress
	round            uint64 // the newest heartbeat round
	sentRounds       []heartbeatRound
	uncommittedBytes int64       // data bytes of the uncommitted entries
	heartbeatAt      unit.Moment // when the newest round was sent
	pendingReads     []pendingRead
	transferTarget   NodeID // the voter that leadership is being transferred to
	transferDeadline unit.Moment
	leaseReleased    bool // the transfer target was told to campaign, so no lease is valid for the rest of this term
}

type heartbeatRound struct {
	number uint64
	sentAt unit.Moment
}

// pendingRead completes once a quorum has acknowledged a heartbeat round that was sent after the read arrived.
type pendingRead struct {
	id    uint64
	round uint64
}

// progress tracks the replication to one other member.
type progress struct {
	match        Index             // the last entry known to be durable on the member
	next         Index             // the first entry of the next append
	probing      bool              // one append at a time until the logs are known to match
	inFlight     int               // appends without a response
	progressedAt unit.Moment       // when the replication last made progress or was last restarted
	ackedRound   uint64            // the newest acknowledged heartbeat round
	ackedAt      unit.Moment       // when it was acknowledged, or when the leader began to track the member
	outgoing     *outgoingSnapshot // the snapshot being sent, or nil
}

func newLeaderState(n *Node) *leaderState {
	l := &leaderState{
		termStart:        n.log.last() + 1,
		progress:         map[NodeID]*progress{},
		sentRounds:       []heartbeatRound{{0, n.now}},
		uncommittedBytes: entryBytes(n.log.slice(n.log.commit+1, n.log.last())),
	}
	return l
}

func entryBytes(entries []Entry) int64 {
	var bytes int64
	for _, entry := range entries {
		bytes += int64(len(entry.Data))
	}
	return bytes
}

// progressOf returns the progress of another member of the newest configuration, or nil if id is no such member.
func (n *Node) progressOf(id NodeID) *progress {
	if n.leaderState == nil || id == n.cfg.Self || !slices.Contains(n.configuration().members(), id) {
		return nil
	}
	p := n.leaderState.progress[id]
	if p == nil {
		// Tracking starts when this node becomes leader or adds the member. The newest entry was appended at that moment, so
		// replication starts with it.
		p = &progress{next: max(n.log.last(), n.log.base+1), probing: true, progressedAt: n.now, ackedAt: n.now}
		n.leaderState.progress[id] = p
	}
	return p
}

// silentMembers returns the hosts of voters and learners that haven't acknowledged a heartbeat of this leader for SilentAfter.
func (n *Node) silentMembers() []string {
	if n.role != Leader {
		return nil
	}
	var hosts []string
	for _, id := range n.configuration().members() {
		if p := n.progressOf(id); p != nil && n.now.Sub(p.ackedAt) > SilentAfter {
			hosts = append(hosts, id.Host())
		}
	}
	return hosts
}

func (n *Node) tickLeader() {
	// A leader with a stalled disk or without a quorum can't commit. It steps down because another voter may be able to.
	if n.diskStalled() {
		n.out.SteppedDown = "a disk write takes longer than the election timeout"
	} else if n.now.Sub(n.quorumContactAt()) > 2*n.cfg.ElectionTimeout {
		n.out.SteppedDown = "no quorum of voters acknowledges heartbeats"
	}
	if n.out.SteppedDown != "" {
		n.stepDown()
		return
	}
	if n.leaderState.transferTarget != "" && n.now >= n.leaderState.transferDeadline {
		n.leaderState.transferTarget = ""
	}
	if n.now.Sub(n.leaderState.heartbeatAt) >= n.cfg.HeartbeatInterval {
		n.heartbeat()
	}
	n.resendStalled()
	n.promoteLearner()
}

// heartbeat sends a new round of heartbeats. Once a quorum acknowledges it, the lease is extended from the time of sending.
func (n *Node) heartbeat() {
	l := n.leaderState
	l.round++
	l.heartbeatAt = n.now
	l.sentRounds = append(l.sentRounds, heartbeatRound{l.round, n.now})
	for _, id := range n.configuration().members() {
		if p := n.progressOf(id); p != nil {
			n.send(Message{
				Kind: MessageHeartbeat, To: id, Term: n.hardState.Term, Round: l.round, Commit: min(p.match, n.log.commit),
			})
		}
	}
	n.completeReads()
}

// quorumRound returns the newest heartbeat round that a majority of voters has acknowledged.
func (n *Node) quorumRound() uint64 {
	return n.quorumValue(n.leaderState.round, func(p *progress) uint64 { return p.ackedRound })
}

// quorumValue returns the largest value that a majority of voters has reached; own is this node's value.
func (n *Node) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	c := n.configuration()
	values := make([]uint64, 0, len(c.Voters))
	for _, id := range c.Voters {
		if id == n.cfg.Self {
			values = append(values, own)
		} else {
			values = append(values, value(n.progressOf(id)))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}

// quorumContactAt returns when the newest heartbeat round that a quorum has acknowledged was sent.
func (n *Node) quorumContactAt() unit.Moment {
	round := n.quorumRound()
	at := n.leaderState.sentRounds[0].sentAt
	for _, sent := range n.leaderState.sentRounds {
		if sent.number <= round {
			at = sent.sentAt
		}
	}
	return at
}

// pruneRounds drops the heartbeat rounds before the newest one that a quorum has acknowledged.
func (n *Node) pruneRounds() {
	round := n.quorumRound()
	rounds := n.leaderState.sentRounds
	for len(rounds) > 1 && rounds[1].number <= round {
		rounds = rounds[1:]
	}
	n.leaderState.sentRounds = rounds
}

// leaseUntil returns the end of the lease, or 0 without one. The lease lasts for LeaseDuration from when the newest round
// acknowledged by a quorum was sent. Voters refuse votes for longer, for ElectionTimeout after they received that round.
func (n *Node) leaseUntil() unit.Moment {
	if n.role != Leader || n.leaderState.leaseReleased || n.log.commit < n.leaderState.termStart || n.quorumRound() == 0 {
		return 0
	}
	return n.quorumContactAt().Add(n.cfg.LeaseDuration)
}

// LeaseValid reports whether this node holds the lease at the moment now, so that no other leader can exist.
func (n *Node) LeaseValid(now unit.Moment) bool {
	return now < n.leaseUntil()
}

// advanceCommit commits the entries that are durable on a quorum. Only an entry of the current term is committed by
// counting copies, which also commits those before it: an entry of an earlier term could still be replaced by a leader
// that doesn't have it.
func (n *Node) advanceCommit() {
	index := Index(n.quorumValue(uint64(n.log.persisted), func(p *progress) uint64 { return uint64(p.match) }))
	if index <= n.log.commit {
		return
	}
	if term, ok := n.log.term(index); !ok || term != n.hardState.Term {
		return
	}
	n.leaderState.uncommittedBytes -= entryBytes(n.log.slice(n.log.commit+1, index))
	n.log.commit = index
	n.completeReads()
	if !n.committedConfiguration().isVoter(n.cfg.Self) {
		// The removal of this node is committed. It tells a voter with the whole log to campaign, and steps down.
		if next, match := n.mostAdvancedVoter(); match == n.log.last() {
			n.send(Message{Kind: MessageTimeoutNow, To: next, Term: n.hardState.Term})
		}
		n.stepDown()
	}
}

func (n *Node) committedConfiguration() Configuration {
	return n.configurationAt(n.log.commit)
}

// onFollowerResponse handles responses to a leader's messages. Nodes outside the configuration are ignored, so a removed
// host can't depose the leader.
func (n *Node) onFollowerResponse(m *Message) {
	p := n.progressOf(m.From)
	if p == nil {
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
		return
	}
	if m.Term < n.hardState.Term {
		return
	}
	switch m.Kind {
	case MessageAppendResponse:
		n.onAppendResponse(m, p)
	case MessageHeartbeatResponse:
		p.ackedRound = max(p.ackedRound, min(m.Round, n.leaderState.round))
		p.ackedAt = n.now
		n.pruneRounds()
		n.completeReads()
	case MessageSnapshotResponse:
		n.onSnapshotResponse(m, p)
	default:
	}
}

func (n *Node) onAppendResponse(m *Message, p *progress) {
	if m.Reject {
		if m.Index > p.match && m.Index < p.next {
			p.next = max(p.match+1, min(m.Index, m.Hint+1))
			p.probing, p.inFlight, p.progressedAt = true, 0, n.now
		}
		return
	}
	p.inFlight = max(0, p.inFlight-1)
	if m.Index > n.log.last() {
		return
	}
	p.probing, p.progressedAt = false, n.now
	if p.outgoing != nil && m.Index >= p.outgoing.snapshot.Index {
		p.outgoing = nil
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		n.advanceCommit()
	}
	n.continueTransfer()
}

// replicateAll sends each member the entries that it is missing, up to MaxInFlight appends at a time.
func (n *Node) replicateAll() {
	for _, id := range n.configuration().members() {
		if p := n.progressOf(id); p != nil {
			n.replicate(id, p)
		}
	}
}

func (n *Node) replicate(id NodeID, p *progress) {
	limit := n.cfg.MaxInFlight
	for p.outgoing == nil && p.next <= n.log.last() {
		if p.probing {
			limit = 1
		}
		if p.inFlight >= limit {
			return
		}
		if p.next <= n.log.base {
			n.startSnapshot(id, p)
			return
		}
		n.sendAppend(id, p)
	}
}

func (n *Node) sendAppend(id NodeID, p *progress) {
	previous := p.next - 1
	term, _ := n.log.term(previous)
	last := n.batchEnd(p.next)
	n.send(Message{
		Kind: MessageAppend, To: id, Term: n.hardState.Term, Index: previous, EntryTerm: term, Commit: n.log.commit,
		Entries: n.log.slice(p.next, last),
	})
	if p.inFlight == 0 {
		p.progressedAt = n.now
	}
	p.inFlight++
	if !p.probing {
		p.next = last + 1
	}
}

// batchEnd returns the index of the last entry that fits into one append message starting with the entry first.
func (n *Node) batchEnd(first Index) Index {
	bytes := 0
	last := first
	for index := first; index <= n.log.last() && index-first < maxMessageEntries; index++ {
		bytes += len(n.log.entries[index-n.log.base-1].Data)
		if bytes > n.cfg.MaxBatchBytes && index > first {
			break
		}
		last = index
	}
	return last
}

// resendStalled restarts the replication to members without recent progress, since an append or its response was probably
// lost. Appends restart after the last matching entry; a snapshot continues with the current chunk.
func (n *Node) resendStalled() {
	for _, id := range n.configuration().members() {
		p := n.progressOf(id)
		if p == nil || n.now.Sub(p.progressedAt) < 3*n.cfg.HeartbeatInterval {
			continue
		}
		if p.outgoing != nil {
			n.sendChunk(id, p)
		} else if p.match < n.log.last() {
			p.next = p.match + 1
			p.probing, p.inFlight = true, 0
		}
		p.progressedAt = n.now
	}
}
