package quorum

import (
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// SilentAfter is how long a member may leave heartbeats unanswered before Status lists it as silent.
const SilentAfter = 7 * time.Second

// leading is the state that a node has only while it leads.
type leading struct {
	termStart  Index // the empty entry of this term
	progress   map[NodeID]*progress
	round      uint64 // the newest heartbeat round
	rounds     []sentRound
	waiting    int64       // bytes of the entries that aren't committed
	heartbeat  unit.Moment // when the newest round was sent
	reads      []waitingRead
	handover   NodeID // the chosen successor
	handoverBy unit.Moment
	leaseGiven bool // the successor was told to campaign, so no lease holds in this term any more
}

type sentRound struct {
	number uint64
	at     unit.Moment
}

// waitingRead is answered once a quorum has acknowledged a heartbeat round that was sent after the read arrived.
type waitingRead struct {
	id    uint64
	round uint64
}

// progress follows one other member.
type progress struct {
	match    Index
	next     Index
	probing  bool // one append at a time until the logs are known to match
	inFlight int
	moved    unit.Moment // the last sign that appends arrive
	acked    uint64      // the newest acknowledged heartbeat round
	ackedAt  unit.Moment // when it was acknowledged, or when this node began to count
	sending  *sending    // a snapshot in transfer
}

func newLeading(n *Node) *leading {
	l := &leading{
		termStart: n.log.last() + 1,
		progress:  map[NodeID]*progress{},
		rounds:    []sentRound{{0, n.now}},
		waiting:   entryBytes(n.log.slice(n.log.commit+1, n.log.last())),
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

// member returns the progress of another member of the newest configuration, or nil.
func (n *Node) member(id NodeID) *progress {
	if n.leading == nil || id == n.cfg.Self || !slices.Contains(n.configuration().members(), id) {
		return nil
	}
	p := n.leading.progress[id]
	if p == nil {
		// The newest entry was appended together with the new configuration or leadership, so it is the first one to send.
		p = &progress{next: max(n.log.last(), n.log.base+1), probing: true, moved: n.now, ackedAt: n.now}
		n.leading.progress[id] = p
	}
	return p
}

// silentMembers returns the hosts of voters and learners that haven't answered this leader for SilentAfter.
func (n *Node) silentMembers() []string {
	if n.role != Leader {
		return nil
	}
	var hosts []string
	for _, id := range n.configuration().members() {
		if p := n.member(id); p != nil && n.now.Sub(p.ackedAt) > SilentAfter {
			hosts = append(hosts, id.Host())
		}
	}
	return hosts
}

func (n *Node) tickLeader() {
	// Without a working disk or a quorum the node can't commit, and another one may be able to.
	if n.diskStalled() {
		n.out.SteppedDown = "a write takes longer than the election timeout"
	} else if n.now.Sub(n.quorumHeardAt()) > 2*n.cfg.Election {
		n.out.SteppedDown = "no quorum answers"
	}
	if n.out.SteppedDown != "" {
		n.stepDown()
		return
	}
	if n.leading.handover != "" && n.now >= n.leading.handoverBy {
		n.leading.handover = ""
	}
	if n.now.Sub(n.leading.heartbeat) >= n.cfg.Heartbeat {
		n.heartbeat()
	}
	n.resendStalled()
	n.considerPromotion()
}

// heartbeat starts a new round. Answers to it extend the lease, counted from the moment the round was sent.
func (n *Node) heartbeat() {
	l := n.leading
	l.round++
	l.heartbeat = n.now
	l.rounds = append(l.rounds, sentRound{l.round, n.now})
	for _, id := range n.configuration().members() {
		if p := n.member(id); p != nil {
			n.send(Message{
				Kind: MessageHeartbeat, To: id, Term: n.hard.Term, Round: l.round, Commit: min(p.match, n.log.commit),
			})
		}
	}
	n.answerReads()
}

// quorumRound is the newest round that a majority of voters has acknowledged.
func (n *Node) quorumRound() uint64 {
	return n.ofQuorum(n.leading.round, func(p *progress) uint64 { return p.acked })
}

// ofQuorum returns the largest value that a majority of voters has reached; own is this node's value.
func (n *Node) ofQuorum(own uint64, value func(*progress) uint64) uint64 {
	c := n.configuration()
	values := make([]uint64, 0, len(c.Voters))
	for _, id := range c.Voters {
		if id == n.cfg.Self {
			values = append(values, own)
		} else {
			values = append(values, value(n.member(id)))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}

// quorumHeardAt returns when the newest round that a quorum has acknowledged was sent.
func (n *Node) quorumHeardAt() unit.Moment {
	round := n.quorumRound()
	at := n.leading.rounds[0].at
	for _, sent := range n.leading.rounds {
		if sent.number <= round {
			at = sent.at
		}
	}
	return at
}

// pruneRounds forgets the rounds before the newest one with a quorum.
func (n *Node) pruneRounds() {
	round := n.quorumRound()
	rounds := n.leading.rounds
	for len(rounds) > 1 && rounds[1].number <= round {
		rounds = rounds[1:]
	}
	n.leading.rounds = rounds
}

// leaseUntil returns the end of the lease, or 0 without one. The lease starts when the heartbeat round was sent: voters
// refuse votes for longer than that after they received it.
func (n *Node) leaseUntil() unit.Moment {
	if n.role != Leader || n.leading.leaseGiven || n.log.commit < n.leading.termStart || n.quorumRound() == 0 {
		return 0
	}
	return n.quorumHeardAt().Add(n.cfg.Lease)
}

// LeaseValid reports whether no other leader can exist at the moment now.
func (n *Node) LeaseValid(now unit.Moment) bool {
	return now < n.leaseUntil()
}

// advanceCommit commits what a quorum holds durably. Only an entry of the own term may be counted: an older one can still
// be replaced by a leader that doesn't have it.
func (n *Node) advanceCommit() {
	index := Index(n.ofQuorum(uint64(n.log.persisted), func(p *progress) uint64 { return uint64(p.match) }))
	if index <= n.log.commit {
		return
	}
	if term, ok := n.log.term(index); !ok || term != n.hard.Term {
		return
	}
	n.leading.waiting -= entryBytes(n.log.slice(n.log.commit+1, index))
	n.log.commit = index
	n.answerReads()
	if !n.committedConfiguration().isVoter(n.cfg.Self) {
		// The removal of this node is committed, so its part is done.
		if next, match := n.successor(); match == n.log.last() {
			n.send(Message{Kind: MessageTimeoutNow, To: next, Term: n.hard.Term})
		}
		n.stepDown()
	}
}

func (n *Node) committedConfiguration() Configuration {
	return n.configurationAt(n.log.commit)
}

// onFollowerAnswer handles answers to a leader's messages. Nodes outside the configuration are ignored, so a removed host
// can't depose the leader.
func (n *Node) onFollowerAnswer(m *Message) {
	p := n.member(m.From)
	if p == nil {
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
		return
	}
	if m.Term < n.hard.Term {
		return
	}
	switch m.Kind {
	case MessageAppendAnswer:
		n.onAppendAnswer(m, p)
	case MessageHeartbeatAnswer:
		p.acked = max(p.acked, min(m.Round, n.leading.round))
		p.ackedAt = n.now
		n.pruneRounds()
		n.answerReads()
	case MessageSnapshotAnswer:
		n.onSnapshotAnswer(m, p)
	default:
	}
}

func (n *Node) onAppendAnswer(m *Message, p *progress) {
	if m.Reject {
		if m.Index > p.match && m.Index < p.next {
			p.next = max(p.match+1, min(m.Index, m.Hint+1))
			p.probing, p.inFlight, p.moved = true, 0, n.now
		}
		return
	}
	p.inFlight = max(0, p.inFlight-1)
	if m.Index > n.log.last() {
		return
	}
	p.probing, p.moved = false, n.now
	if p.sending != nil && m.Index >= p.sending.snapshot.Index {
		p.sending = nil
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		n.advanceCommit()
	}
	n.continueTransfer()
}

// replicateAll sends each member what it is missing, within the bounds on messages in flight.
func (n *Node) replicateAll() {
	for _, id := range n.configuration().members() {
		if p := n.member(id); p != nil {
			n.replicate(id, p)
		}
	}
}

func (n *Node) replicate(id NodeID, p *progress) {
	limit := n.cfg.MaxInFlight
	for p.sending == nil && p.next <= n.log.last() {
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
		Kind: MessageAppend, To: id, Term: n.hard.Term, Index: previous, InTerm: term, Commit: n.log.commit,
		Entries: n.log.slice(p.next, last),
	})
	if p.inFlight == 0 {
		p.moved = n.now
	}
	p.inFlight++
	if !p.probing {
		p.next = last + 1
	}
}

// batchEnd returns the last entry that fits into one message that starts with first.
func (n *Node) batchEnd(first Index) Index {
	bytes := 0
	last := first
	for index := first; index <= n.log.last() && index-first < maxEntriesInside; index++ {
		bytes += len(n.log.entries[index-n.log.base-1].Data)
		if bytes > n.cfg.MaxBatchBytes && index > first {
			break
		}
		last = index
	}
	return last
}

// resendStalled starts again from the last known match where an append or its answer seems to be lost.
func (n *Node) resendStalled() {
	for _, id := range n.configuration().members() {
		p := n.member(id)
		if p == nil || n.now.Sub(p.moved) < 3*n.cfg.Heartbeat {
			continue
		}
		if p.sending != nil {
			n.sendChunk(id, p)
		} else if p.match < n.log.last() {
			p.next = p.match + 1
			p.probing, p.inFlight = true, 0
		}
		p.moved = n.now
	}
}
