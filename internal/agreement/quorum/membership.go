package quorum

import (
	"slices"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// maxPromotionLag is how many entries a learner may lag behind the leader when it becomes a voter. A voter that lags far
// behind would raise the size of a majority but couldn't acknowledge new entries yet.
const maxPromotionLag = 64

// rejectAll rejects the proposals, the membership change and the read in the input, because the disk failed.
func (n *Node) rejectAll(in Input) {
	if in.Propose != nil || len(in.Batch) > 0 || in.Change != nil {
		n.out.Rejected = fault.DiskFailed.New("the disk of this host failed")
	}
	if in.Read != 0 {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: in.Read, Err: fault.DiskFailed.New("the disk of this host failed")})
	}
}

// notLeader returns fault.NotLeader with the host name of the leader, if it is known.
func (n *Node) notLeader() error {
	leader := n.leader
	if leader == n.cfg.Self {
		leader = ""
	}
	return fault.NotLeader.New("this host doesn't lead the group").WithProperty(fault.Leader, leader.Host())
}

func (n *Node) propose(first []byte, more [][]byte) {
	if first != nil {
		more = append([][]byte{first}, more...)
	}
	for _, data := range more {
		if err := n.proposalError(len(data)); err != nil {
			n.out.Rejected = err
			return
		}
		n.out.Proposed = append(n.out.Proposed, n.appendEntry(Entry{Kind: EntryCommand, Data: data}))
	}
}

// proposalError returns why a proposal of size bytes can't be accepted now, or nil if it can.
func (n *Node) proposalError(size int) error {
	if n.role != Leader || n.leaderState.transferTarget != "" {
		return n.notLeader()
	}
	if size > maxCommandBytes {
		return fault.TooLarge.New("command has %d bytes, at most %d are allowed", size, maxCommandBytes)
	}
	if int(n.log.last()-n.log.commit) >= n.cfg.MaxUncommitted {
		return fault.Overloaded.New("%d proposals wait for a quorum", n.log.last()-n.log.commit)
	}
	if n.leaderState.uncommittedBytes > n.cfg.MaxUncommittedBytes {
		return fault.Overloaded.New("proposals of %d bytes wait for a quorum", n.leaderState.uncommittedBytes)
	}
	return nil
}

func (n *Node) changeMembership(change Change) {
	if err := n.proposalError(0); err != nil {
		n.out.Rejected = err
		return
	}
	next, err := n.nextConfiguration(change)
	if err == nil {
		err = n.appendConfiguration(next)
	}
	if err != nil {
		n.out.Rejected = err
		return
	}
	n.out.Proposed = append(n.out.Proposed, Position{Index: n.log.last(), Term: n.hardState.Term})
}

func (n *Node) nextConfiguration(change Change) (Configuration, error) {
	current := n.configuration()
	if change.Add != "" {
		id, heard := n.joinCandidateID(change.Add)
		if !heard {
			return current, fault.NotFound.New("host %q hasn't announced itself as ready to join", change.Add)
		}
		if slices.Contains(current.members(), id) {
			return current, fault.Conflict.New("host %q is already a member", change.Add)
		}
		return current.withLearner(id), nil
	}
	next := current.withoutLearnersOnHost(change.Remove)
	if voter, ok := current.voterOnHost(change.Remove); ok {
		next = next.withoutVoter(voter)
	} else if len(next.Learners) == len(current.Learners) {
		return current, fault.NotFound.New("host %q isn't a member", change.Remove)
	}
	if len(next.Voters) == 0 {
		return current, fault.BadInput.New("the last voter can't be removed")
	}
	return next, nil
}

// changeAllowed reports whether the last membership change is committed and this leader has committed an entry of its own
// term. Otherwise two configurations whose majorities don't overlap could be in force at the same time.
func (n *Node) changeAllowed() bool {
	return n.configs[len(n.configs)-1].index <= n.log.commit && n.log.commit >= n.leaderState.termStart
}

func (n *Node) appendConfiguration(next Configuration) error {
	if !n.changeAllowed() {
		return fault.Overloaded.New("another membership change isn't finished")
	}
	data, err := codec.Marshal(next)
	if err != nil {
		return err
	}
	n.appendEntry(Entry{Kind: EntryConfiguration, Data: data})
	return nil
}

// promoteLearner turns a learner that has caught up into a voter. If the learner replaces a voter on the same host whose
// disk was lost, that voter is removed first, because it can't contribute to a majority any more.
func (n *Node) promoteLearner() {
	if !n.changeAllowed() || n.leaderState.transferTarget != "" {
		return
	}
	current := n.configuration()
	for _, id := range current.Learners {
		p := n.progressOf(id)
		if p == nil || p.match == 0 || p.match+maxPromotionLag < n.log.last() || !n.recentlyAcked(p) {
			continue
		}
		next := current.withPromotedLearner(id)
		if lost, ok := current.voterOnHost(id.Host()); ok {
			// A voter that still responds isn't lost: an operator has given two hosts the same name by mistake.
			if lost == n.cfg.Self || len(current.Voters) == 1 || n.recentlyAcked(n.progressOf(lost)) {
				continue
			}
			next = current.withoutVoter(lost)
		}
		// The possible errors are an unfinished change, excluded above, and an encoding failure. A later tick tries again.
		_ = n.appendConfiguration(next)
		return
	}
}

// recentlyAcked reports whether the member acknowledged one of the last few heartbeat rounds.
func (n *Node) recentlyAcked(p *progress) bool {
	return p.ackedRound+3 >= n.leaderState.round
}

// transferLeadership starts to transfer the leadership to the most advanced voter.
func (n *Node) transferLeadership() {
	if n.role != Leader || n.leaderState.transferTarget != "" {
		return
	}
	best, _ := n.mostAdvancedVoter()
	if best == "" {
		return
	}
	n.leaderState.transferTarget = best
	n.leaderState.transferDeadline = n.now.Add(2 * n.cfg.ElectionTimeout)
	n.continueTransfer()
}

// mostAdvancedVoter returns the responsive voter with the most replicated entries and the last entry known to match. The
// ID is empty if no other voter responds.
func (n *Node) mostAdvancedVoter() (best NodeID, match Index) {
	for _, id := range n.configuration().Voters {
		if p := n.progressOf(id); p != nil && n.recentlyAcked(p) && (best == "" || p.match > match) {
			best, match = id, p.match
		}
	}
	return best, match
}

// continueTransfer tells the transfer target to campaign once it has the whole log.
func (n *Node) continueTransfer() {
	if n.role != Leader || n.leaderState.transferTarget == "" {
		return
	}
	p := n.progressOf(n.leaderState.transferTarget)
	if p == nil || p.match < n.log.last() {
		return
	}
	// The target may campaign at any later time, even after this transfer has timed out, so the leader gives up its lease
	// for the rest of the term.
	n.leaderState.leaseReleased = true
	n.send(Message{Kind: MessageTimeoutNow, To: n.leaderState.transferTarget, Term: n.hardState.Term})
}
