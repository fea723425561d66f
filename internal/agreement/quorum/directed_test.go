package quorum

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const fuzzMoment = unit.Moment(time.Second)

// formed returns a world whose group has a leader, without faults.
func formed(t *testing.T, size int) (*storm, *simHost) {
	t.Helper()
	s := &storm{world: newWorld(1, size)}
	s.run(2 * time.Second)
	leader := s.leading()
	assert.Assert(t, leader != nil && len(s.committed) > 0, s.failure)
	return s, leader
}

func (s *storm) leading() *simHost {
	var found *simHost
	for _, h := range s.hosts {
		if h.up && h.node.role == Leader && (found == nil || h.node.hard.Term > found.node.hard.Term) {
			found = h
		}
	}
	return found
}

func (s *storm) other(not ...*simHost) *simHost {
	for _, h := range s.hosts {
		if h != not[0] && (len(not) < 2 || h != not[1]) {
			return h
		}
	}
	return nil
}

// Guards against a host that returns from a partition, or that can't reach the leader while others can, and deposes a
// working leader.
func TestPartitionedHostDoesNotDisturb(t *testing.T) {
	for _, cut := range []func(s *storm, h, leader *simHost){
		func(s *storm, h, _ *simHost) { s.isolate(h) },
		func(s *storm, h, leader *simHost) {
			s.blocked[[2]string{h.name, leader.name}], s.blocked[[2]string{leader.name, h.name}] = true, true
		},
	} {
		s, leader := formed(t, 3)
		term := leader.node.hard.Term
		cut(s, s.other(leader), leader)
		s.run(3 * time.Second)
		clear(s.blocked)
		s.run(2 * time.Second)
		assert.Equal(t, s.leading(), leader)
		assert.Equal(t, leader.node.hard.Term, term)
		assert.Equal(t, s.failure, "")
	}
}

// Guards against a removed host, which isn't told, that deposes the leader with its old configuration or a larger term.
func TestRemovedHostDoesNotDisturb(t *testing.T) {
	s, leader := formed(t, 3)
	term, removed := leader.node.hard.Term, s.other(leader)
	s.step(leader, Input{Change: &Change{Remove: removed.name}})
	s.run(3 * time.Second)
	answer := Message{
		Kind: MessageHeartbeatAnswer, Group: leader.node.hard.Group, From: removed.node.cfg.Self,
		To: leader.node.cfg.Self, Term: term + 5,
	}
	s.step(leader, Input{Message: &answer})
	answer.Kind, answer.Reject = MessageVoteAnswer, true
	s.step(leader, Input{Message: &answer})
	assert.Equal(t, len(leader.node.configuration().Voters), 2)
	assert.Equal(t, s.leading(), leader)
	assert.Equal(t, leader.node.hard.Term, term)
}

// Guards against an isolated leader that keeps taking proposals it can't commit.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s, leader := formed(t, 3)
	s.isolate(leader)
	s.run(time.Second)
	assert.Equal(t, leader.node.role == Leader, false)
}

// Guards against a leader whose sync stalls: it must give way, and must not acknowledge from memory.
func TestStalledSyncDeposesLeader(t *testing.T) {
	s, leader := formed(t, 3)
	s.isolate(leader) // so that only the own disk counts before the check of the quorum does
	leader.disk.syncing = true
	s.step(leader, Input{Propose: []byte("x")})
	s.run(worldElection + 3*worldTick)
	assert.Equal(t, leader.node.role, Follower)
	clear(s.blocked)
	s.run(2 * time.Second)
	assert.Assert(t, s.leading() != nil && s.leading() != leader)
}

// Guards against a node that goes on after a failed write.
func TestFailedWriteStopsNode(t *testing.T) {
	_, leader := formed(t, 1)
	out := leader.node.Step(leader.node.now, Input{Propose: []byte("x"), Persisted: &Persisted{Failed: true}, Read: 7})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.DiskFailed))
	assert.Assert(t, errorx.IsOfType(out.Reads[0].Err, fault.DiskFailed))
	out = leader.node.Step(leader.node.now.Add(time.Hour), Input{Tick: true})
	assert.Assert(t, out.Persist == nil && len(out.Send) == 0 && leader.node.Status().Role == Follower)
}

// Guards against memory that grows without bound while there is no quorum.
func TestProposalsAreBounded(t *testing.T) {
	s, leader := formed(t, 3)
	s.isolate(leader)
	batch := make([][]byte, 60)
	out := leader.node.Step(leader.node.now, Input{Batch: batch})
	assert.Equal(t, len(out.Proposed), 50)
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.Overloaded))
	large, big := elected(t), make([]byte, maxCommandBytes)
	out = large.Step(fuzzMoment, Input{Propose: big, Batch: [][]byte{big, big, big, big, big, big, big}})
	assert.Equal(t, len(out.Proposed), 4)
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.Overloaded))
	out = large.Step(fuzzMoment, Input{Propose: append(big, 0)})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.TooLarge))
	out = s.other(leader).node.Step(leader.node.now, Input{Propose: []byte("x")})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.NotLeader))
	name, _ := errorx.ExtractProperty(out.Rejected, fault.Leader)
	assert.Equal(t, name, leader.name)
}

// Guards against two changes at once, whose majorities needn't overlap, and against a voter that has nothing yet.
func TestMembershipChangesOneAtATime(t *testing.T) {
	s, leader := formed(t, 3)
	added := s.addHost("n1")
	s.addHost("n2")
	s.run(100 * time.Millisecond)
	s.blocked[[2]string{leader.name, added.name}] = true
	s.step(leader, Input{Change: &Change{Add: "n1"}})
	out := leader.node.Step(leader.node.now, Input{Change: &Change{Add: "n2"}})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.Overloaded))
	s.run(time.Second)
	assert.Equal(t, len(leader.node.configuration().Voters), 3)
	clear(s.blocked)
	s.run(time.Second)
	assert.Equal(t, len(s.leading().node.configuration().Voters), 4)
	assert.Equal(t, s.failure, "")
}

// Guards against a planned stop that costs an election timeout, and against a lease that outlives the handover.
func TestTransferIsFasterThanElection(t *testing.T) {
	s, leader := formed(t, 3)
	s.step(leader, Input{Transfer: true})
	assert.Equal(t, leader.node.LeaseValid(leader.clock(s.now)), false)
	s.run(worldElection / 2)
	assert.Assert(t, s.leading() != nil && s.leading() != leader)
}

// Guards against a host that lost its disk and votes again, under its old name, in a term it has voted in.
func TestWipedHostHasNoVote(t *testing.T) {
	s, leader := formed(t, 3)
	voter := s.other(leader)
	candidate := s.other(leader, voter)
	term := leader.node.hard.Term + 1
	request := Message{
		Kind: MessageVote, Group: leader.node.hard.Group, From: candidate.node.cfg.Self, To: voter.node.cfg.Self,
		Term: term, Index: 1000, InTerm: term - 1, Forced: true,
	}
	s.isolate(leader)
	s.step(voter, Input{Message: &request})
	s.run(50 * time.Millisecond)
	assert.Equal(t, voter.node.hard.Vote, candidate.node.cfg.Self)
	s.wipe(voter)
	s.run(time.Second)
	request.From = leader.node.cfg.Self
	s.step(voter, Input{Message: &request})
	s.run(50 * time.Millisecond)
	assert.Equal(t, s.failure, "")
	assert.Assert(t, voter.node.hard.Vote != leader.node.cfg.Self)
}

// loneNode returns a follower of a group of a, b and c that last heard a leader long ago.
func loneNode() *Node {
	c := Configuration{Voters: []NodeID{"a/1", "b/1", "c/1"}}
	hard := HardState{Term: 3, Group: "g"}
	n := New(Config{Self: "a/1", Election: worldElection, MaxWaiting: 40 << 20}, Loaded{Hard: hard, Snapshot: Snapshot{Configuration: c}}, 0)
	n.Step(fuzzMoment-1, Input{})
	return n
}

func toLone(kind MessageKind, from NodeID, term Term) Input {
	return Input{Message: &Message{Kind: kind, Group: "g", From: from, To: "a/1", Term: term}}
}

// Guards against a vote that leaves before it is durable, so that a crash lets the host vote again.
func TestVoteIsDurableBeforeItLeaves(t *testing.T) {
	n := loneNode()
	n.hard.Term = 4 // known already, so that only the vote is new
	out := n.Step(fuzzMoment, toLone(MessageVote, "b/1", 4))
	assert.Equal(t, out.Persist.Hard.Vote, NodeID("b/1"))
	assert.Equal(t, len(out.Send), 0)
	out = n.Step(fuzzMoment, Input{Persisted: &Persisted{Number: out.Persist.Number}})
	assert.Equal(t, len(out.Send), 1)
	assert.Equal(t, out.Send[0].Reject, false)
}

// Guards against a vote while a leader may hold a lease that this node has confirmed, also when it forgot in a restart.
func TestVoteIsRefusedWithinLease(t *testing.T) {
	n := loneNode()
	n.Step(fuzzMoment, toLone(MessageHeartbeat, "b/1", 3))
	restarted := New(n.cfg, Loaded{Hard: n.hard, Snapshot: n.snapshot}, fuzzMoment)
	for _, voter := range []*Node{n, restarted} {
		out := voter.Step(fuzzMoment.Add(worldElection-1), toLone(MessageVote, "c/1", 4))
		assert.Assert(t, out.Persist == nil && len(out.Send) == 0)
		out = voter.Step(fuzzMoment.Add(worldElection-1), toLone(MessagePreVote, "c/1", 4))
		assert.Equal(t, out.Send[0].Reject, true)
		out = voter.Step(fuzzMoment.Add(worldElection), toLone(MessageVote, "c/1", 4))
		assert.Equal(t, out.Persist.Hard.Vote, NodeID("c/1"))
	}
}

// elected returns the lone node as leader of term 4, with an entry of term 2 in its log.
func elected(t *testing.T) *Node {
	t.Helper()
	n := loneNode()
	n = New(n.cfg, Loaded{Hard: n.hard, Snapshot: n.snapshot, Entries: []Entry{{Index: 1, Term: 2}}}, 0)
	n.Step(fuzzMoment, Input{Tick: true})
	out := n.Step(fuzzMoment, toLone(MessagePreVoteAnswer, "b/1", 4))
	n.Step(fuzzMoment, Input{Persisted: &Persisted{Number: out.Persist.Number}})
	out = n.Step(fuzzMoment, toLone(MessageVoteAnswer, "b/1", 4))
	assert.Equal(t, n.role, Leader)
	n.Step(fuzzMoment, Input{Persisted: &Persisted{Number: out.Persist.Number}})
	return n
}

// Guards against committing an entry of an earlier term by counting copies: a leader without it could still be elected.
func TestLeaderCommitsOnlyEntriesOfItsTerm(t *testing.T) {
	n := elected(t)
	for index, commit := range []Index{0, 0, 2} {
		answer := toLone(MessageAppendAnswer, "b/1", 4)
		answer.Message.Index = Index(index)
		n.Step(fuzzMoment, answer)
		assert.Equal(t, n.log.commit, commit)
	}
}

// Guards against answering for this host's former disk.
func TestMessageToFormerIdentityIsDropped(t *testing.T) {
	in := toLone(MessageVote, "b/1", 4)
	in.Message.To = "a/0"
	out := loneNode().Step(fuzzMoment, in)
	assert.Assert(t, out.Persist == nil && len(out.Send) == 0)
}

// Guards against a former leader that doesn't follow the leader of a later term.
func TestLeaderFollowsLaterTerm(t *testing.T) {
	n := elected(t)
	n.Step(fuzzMoment, toLone(MessageHeartbeat, "b/1", 4))
	assert.Equal(t, n.role, Leader)
	n.Step(fuzzMoment, toLone(MessageHeartbeat, "b/1", 5))
	assert.Equal(t, n.role, Follower)
	assert.Equal(t, n.leader, NodeID("b/1"))
}

// Guards against a new leader that changes the membership before it knows that the last change is committed.
func TestNewLeaderCommitsBeforeItChangesMembership(t *testing.T) {
	n := elected(t)
	out := n.Step(fuzzMoment, Input{Change: &Change{Remove: "c"}})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.Overloaded))
}

// Guards against a group that can't elect anyone because the only up-to-date voter holds its own uncommitted removal.
func TestVoterWithUncommittedRemovalCampaigns(t *testing.T) {
	s, leader := formed(t, 4)
	s.crash(s.other(leader))
	s.isolate(leader)
	s.step(leader, Input{Change: &Change{Remove: leader.name}})
	s.run(time.Second)
	assert.Assert(t, s.leading() == nil)
	clear(s.blocked)
	s.run(2 * time.Second)
	assert.Assert(t, s.leading() != nil, s.failure)
	assert.Equal(t, len(s.leading().node.configuration().Voters), 3)
}

// Guards against two groups, or none, when a host loses its disk while the group is being formed.
func TestFormationSurvivesWipedDisk(t *testing.T) {
	for seed := range uint64(300) {
		s := &storm{world: newWorld(seed, 3)}
		s.loss, s.delay = 0.3, 100*time.Millisecond
		s.run(time.Duration(s.random.IntN(300)) * time.Millisecond)
		s.wipe(s.hosts[s.random.IntN(3)])
		s.run(time.Second)
		s.loss, s.delay = 0, 5*time.Millisecond
		s.run(3 * time.Second)
		assert.Equal(t, s.failure, "")
		assert.Assert(t, len(s.committed) > 0, "seed %d", seed)
	}
}

// Guards against foreign bytes that crash the node or come back without a type.
func FuzzDecodeMessage(f *testing.F) {
	w := newWorld(1, 3)
	w.run(time.Second)
	for kind := MessageHello; kind < messageKindEnd; kind++ {
		m := Message{Kind: kind, Group: "g", From: "a/1", To: "b/1", Term: 2, Configuration: &Configuration{}}
		data, err := m.Encode()
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, fault.BadPeer))
			return
		}
		h := w.hosts[0]
		node := New(h.node.cfg, h.disk.durable, 0)
		m.To, m.Group = node.cfg.Self, node.hard.Group
		node.Step(fuzzMoment, Input{Message: m})
		node.Step(2*fuzzMoment, Input{Tick: true})
	})
}

// Guards against hosts that restart with empty disks and form a second group, which would forget what the first accepted.
func TestHostsThatOnlyJoinFormNoGroup(t *testing.T) {
	s := &storm{world: newWorld(1, 3)}
	for _, h := range s.hosts {
		h.node.cfg.Join = true
	}
	s.run(3 * time.Second)
	assert.Assert(t, s.leading() == nil)
	for _, h := range s.hosts {
		assert.Equal(t, h.node.hard.Group, "")
	}
}

// Guards against a host that asks to join and is never listed, or that stays listed once it is a member; and against a
// silent voter that nobody is told of.
func TestStatusListsWhoWaitsAndWhoIsSilent(t *testing.T) {
	s, leader := formed(t, 3)
	newcomer := s.addHost("h4")
	newcomer.node.cfg.Join = true
	s.step(newcomer, Input{Peers: []string{leader.name}})
	s.run(time.Second)
	assert.DeepEqual(t, leader.node.Status().Candidates, []string{"h4"})
	s.step(leader, Input{Change: &Change{Add: "h4"}})
	s.run(2 * time.Second)
	assert.Equal(t, len(leader.node.Status().Candidates), 0)
	assert.Equal(t, len(leader.node.Status().Configuration.Voters), 4)
	silent := s.other(leader, newcomer)
	s.crash(silent)
	s.run(SilentAfter / 2)
	assert.Equal(t, len(leader.node.Status().Silent), 0)
	s.run(SilentAfter)
	assert.DeepEqual(t, leader.node.Status().Silent, []string{silent.name})
	assert.Equal(t, s.failure, "")
}
