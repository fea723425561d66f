package quorum

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// resetElectionTimer restarts the election timer with a random timeout between ElectionTimeout and twice that.
func (n *Node) resetElectionTimer() {
	jitter := time.Duration(n.random.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = n.now.Add(n.cfg.ElectionTimeout + jitter)
}

// leaderMayHoldLease reports whether a leader, possibly this node, may hold a lease that this node has confirmed.
func (n *Node) leaderMayHoldLease() bool {
	return n.role == Leader || n.now.Sub(n.leaderHeardAt) < n.cfg.ElectionTimeout
}

func (n *Node) setTerm(term Term, vote NodeID) {
	n.hardState.Term, n.hardState.Vote = term, vote
	n.disk.hardStateDirty = true
}

// becomeFollower makes the node a follower of leader in term. An empty leader means that the leader is unknown.
func (n *Node) becomeFollower(term Term, leader NodeID) {
	if term > n.hardState.Term {
		n.setTerm(term, "")
	}
	n.stepDown()
	n.leader = leader
}

// stepDown makes the node a follower without a known leader in the current term. A leader's pending reads fail.
func (n *Node) stepDown() {
	if n.role == Leader {
		n.failReads()
	}
	if n.role != Follower {
		n.resetElectionTimer()
	}
	n.role, n.leader, n.votes, n.leaderState = Follower, "", nil, nil
}

// preCampaign asks the voters whether they would vote for this node, without changing any term. A node that can't win an
// election thus doesn't disrupt the group.
func (n *Node) preCampaign() {
	n.resetElectionTimer()
	if !n.mayCampaign() || n.diskStalled() {
		return
	}
	n.role, n.leader = PreCandidate, ""
	n.votes = map[NodeID]bool{}
	n.requestVotes(MessagePreVote, n.hardState.Term+1, false)
	n.countVote(n.cfg.Self)
}

// mayCampaign reports whether the node is a voter in the newest or in the newest committed configuration. A node whose
// removal isn't known to be committed may hold the only up-to-date log, so that no other node could be elected.
func (n *Node) mayCampaign() bool {
	return n.configuration().isVoter(n.cfg.Self) || n.committedConfiguration().isVoter(n.cfg.Self)
}

func (n *Node) campaign(forced bool) {
	n.resetElectionTimer()
	n.setTerm(n.hardState.Term+1, n.cfg.Self)
	n.role, n.leader = Candidate, ""
	n.votes = map[NodeID]bool{} // the node's own vote counts once it is durable
	n.requestVotes(MessageVote, n.hardState.Term, forced)
}

func (n *Node) requestVotes(kind MessageKind, term Term, forced bool) {
	for _, id := range n.configuration().Voters {
		if id != n.cfg.Self {
			n.send(Message{
				Kind: kind, To: id, Term: term, Index: n.log.last(), EntryTerm: n.log.lastTerm(), Forced: forced,
			})
		}
	}
}

func (n *Node) countVote(id NodeID) {
	n.votes[id] = true
	granted := 0
	c := n.configuration()
	for _, voter := range c.Voters {
		if n.votes[voter] {
			granted++
		}
	}
	if granted < c.quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(false)
	} else {
		n.becomeLeader()
	}
}

func (n *Node) onPreVote(m *Message) {
	granted := m.Term > n.hardState.Term && !n.leaderMayHoldLease() && n.log.upToDate(m.Index, m.EntryTerm)
	response := Message{Kind: MessagePreVoteResponse, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		response.Term = n.hardState.Term
	}
	n.send(response)
}

func (n *Node) onVote(m *Message) {
	// While a leader may hold a lease that this node has confirmed, the node neither votes nor adopts the candidate's term.
	// The exception is an election that the leader itself has requested (Forced): it gives up its lease first.
	if !m.Forced && n.leaderMayHoldLease() {
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
	}
	free := n.hardState.Vote == "" || n.hardState.Vote == m.From
	granted := m.Term == n.hardState.Term && n.leader == "" && free && n.log.upToDate(m.Index, m.EntryTerm)
	if granted && n.hardState.Vote == "" {
		n.setTerm(n.hardState.Term, m.From)
	}
	if granted {
		n.resetElectionTimer()
	}
	n.send(Message{Kind: MessageVoteResponse, To: m.From, Term: n.hardState.Term, Reject: !granted})
}

func (n *Node) onVoteResponse(m *Message) {
	if m.Reject {
		// Only a voter can move this node to a later term, so a removed node can't depose the leader.
		if m.Term > n.hardState.Term && n.configuration().isVoter(m.From) {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	if m.Kind == MessagePreVoteResponse && n.role == PreCandidate && m.Term == n.hardState.Term+1 {
		n.countVote(m.From)
	}
	if m.Kind == MessageVoteResponse && n.role == Candidate && m.Term == n.hardState.Term {
		n.countVote(m.From)
	}
}

// onTimeoutNow starts an election at once, at the request of the leader of this term.
func (n *Node) onTimeoutNow(m *Message) {
	if m.Term == n.hardState.Term && n.role == Follower && n.mayCampaign() && !n.diskStalled() {
		n.campaign(true)
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.Self, nil
	n.leaderSince = n.now
	n.leaderState = newLeaderState(n)
	n.appendEntry(Entry{Kind: EntryEmpty})
	n.heartbeat()
}

// appendEntry appends an entry to the leader's own log in the current term and returns its position.
func (n *Node) appendEntry(entry Entry) Position {
	entry.Index, entry.Term = n.log.last()+1, n.hardState.Term
	n.log.entries = append(n.log.entries, entry)
	n.leaderState.uncommittedBytes += int64(len(entry.Data))
	n.recordConfigurations(n.log.entries[len(n.log.entries)-1:])
	return Position{Index: entry.Index, Term: entry.Term}
}

// noteLeaderContact records that a message from the current leader arrived, and restarts the election timer.
func (n *Node) noteLeaderContact(leader NodeID, at unit.Moment) {
	n.leader, n.leaderHeardAt = leader, at
	n.resetElectionTimer()
}
