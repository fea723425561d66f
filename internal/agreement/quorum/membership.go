package quorum

import (
	"slices"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// catchUpEntries is how far behind a learner may be when it becomes a voter. A voter that is far behind would count in
// the majority without being able to help to reach it.
const catchUpEntries = 64

// rejectAll refuses everything in the input that expects an answer.
func (n *Node) rejectAll(in Input) {
	if in.Propose != nil || len(in.Batch) > 0 || in.Change != nil {
		n.out.Rejected = fault.DiskFailed.New("the disk of this host failed")
	}
	if in.Read != 0 {
		n.out.Reads = append(n.out.Reads, Read{ID: in.Read, Err: fault.DiskFailed.New("the disk of this host failed")})
	}
}

// notLeader returns fault.NotLeader with the host that leads, if it is known.
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
		if err := n.refusal(len(data)); err != nil {
			n.out.Rejected = err
			return
		}
		n.out.Proposed = append(n.out.Proposed, n.appendOwn(Entry{Kind: EntryCommand, Data: data}))
	}
}

// refusal says why no proposal of this size can be taken now.
func (n *Node) refusal(size int) error {
	if n.role != Leader || n.leading.handover != "" {
		return n.notLeader()
	}
	if size > maxCommandBytes {
		return fault.TooLarge.New("command has %d bytes, at most %d are allowed", size, maxCommandBytes)
	}
	if int(n.log.last()-n.log.commit) >= n.cfg.MaxUncommitted {
		return fault.Overloaded.New("%d proposals wait for a quorum", n.log.last()-n.log.commit)
	}
	if n.leading.waiting > n.cfg.MaxWaiting {
		return fault.Overloaded.New("proposals of %d bytes wait for a quorum", n.leading.waiting)
	}
	return nil
}

func (n *Node) change(order Change) {
	if err := n.refusal(0); err != nil {
		n.out.Rejected = err
		return
	}
	next, err := n.nextConfiguration(order)
	if err == nil {
		err = n.appendConfiguration(next)
	}
	if err != nil {
		n.out.Rejected = err
		return
	}
	n.out.Proposed = append(n.out.Proposed, Position{Index: n.log.last(), Term: n.hard.Term})
}

func (n *Node) nextConfiguration(order Change) (Configuration, error) {
	current := n.configuration()
	if order.Add != "" {
		id, heard := n.candidate(order.Add)
		if !heard {
			return current, fault.NotFound.New("host %q hasn't announced itself as ready to join", order.Add)
		}
		if slices.Contains(current.members(), id) {
			return current, fault.Conflict.New("host %q is already a member", order.Add)
		}
		return current.withLearner(id), nil
	}
	next := current.withoutLearners(order.Remove)
	if voter, ok := current.voterOf(order.Remove); ok {
		next = next.withoutVoter(voter)
	} else if len(next.Learners) == len(current.Learners) {
		return current, fault.NotFound.New("host %q isn't a member", order.Remove)
	}
	if len(next.Voters) == 0 {
		return current, fault.BadInput.New("the last voter can't be removed")
	}
	return next, nil
}

// changeAllowed reports whether the last change is committed and this leader has committed in its own term. Otherwise two
// configurations without a common majority could be in force at the same time.
func (n *Node) changeAllowed() bool {
	return n.configs[len(n.configs)-1].index <= n.log.commit && n.log.commit >= n.leading.termStart
}

func (n *Node) appendConfiguration(next Configuration) error {
	if !n.changeAllowed() {
		return fault.Overloaded.New("another membership change isn't finished")
	}
	data, err := codec.Marshal(next)
	if err != nil {
		return err
	}
	n.appendOwn(Entry{Kind: EntryConfiguration, Data: data})
	return nil
}

// considerPromotion turns a learner that has caught up into a voter. When the learner replaces a host that lost its disk,
// the lost voter is removed first, because it can't count towards a majority any more.
func (n *Node) considerPromotion() {
	if !n.changeAllowed() || n.leading.handover != "" {
		return
	}
	current := n.configuration()
	for _, id := range current.Learners {
		p := n.member(id)
		if p == nil || p.match == 0 || p.match+catchUpEntries < n.log.last() || !n.recentlyAcked(p) {
			continue
		}
		next := current.promoted(id)
		if lost, ok := current.voterOf(id.Host()); ok {
			// A voter that still answers isn't lost; two hosts with one name are an operator's mistake.
			if lost == n.cfg.Self || len(current.Voters) == 1 || n.recentlyAcked(n.member(lost)) {
				continue
			}
			next = current.withoutVoter(lost)
		}
		// The only failures are an unfinished change, excluded above, and an encoding failure; both are tried again later.
		_ = n.appendConfiguration(next)
		return
	}
}

// recentlyAcked reports whether the member answered one of the last heartbeat rounds.
func (n *Node) recentlyAcked(p *progress) bool {
	return p.acked+3 >= n.leading.round
}

// transfer starts to hand the leadership over to the most advanced voter.
func (n *Node) transfer() {
	if n.role != Leader || n.leading.handover != "" {
		return
	}
	best, _ := n.successor()
	if best == "" {
		return
	}
	n.leading.handover = best
	n.leading.handoverBy = n.now.Add(2 * n.cfg.Election)
	n.continueTransfer()
}

// successor returns the most advanced voter that answers, and how far its log matches.
func (n *Node) successor() (best NodeID, match Index) {
	for _, id := range n.configuration().Voters {
		if p := n.member(id); p != nil && n.recentlyAcked(p) && (best == "" || p.match > match) {
			best, match = id, p.match
		}
	}
	return best, match
}

// continueTransfer tells the successor to campaign once it has the whole log.
func (n *Node) continueTransfer() {
	if n.role != Leader || n.leading.handover == "" {
		return
	}
	p := n.member(n.leading.handover)
	if p == nil || p.match < n.log.last() {
		return
	}
	// The successor may campaign at any later time, even after this transfer timed out, so the lease is over for this term.
	n.leading.leaseGiven = true
	n.send(Message{Kind: MessageTimeoutNow, To: n.leading.handover, Term: n.hard.Term})
}
