package quorum

import (
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const testNow = unit.Moment(time.Second)

// newFormedGroup returns a simulation without faults in which a group of size hosts has formed, and the group's leader.
func newFormedGroup(t *testing.T, size int) (*faultInjector, *simHost) {
	t.Helper()
	s := &faultInjector{simulator: newSimulator(1, size)}
	s.run(2 * time.Second)
	leader := s.currentLeader()
	assert.Assert(t, leader != nil && len(s.committed) > 0, s.failure)
	return s, leader
}

func (s *faultInjector) currentLeader() *simHost {
	var found *simHost
	for _, h := range s.hosts {
		if h.up && h.node.role == Leader && (found == nil || h.node.hardState.Term > found.node.hardState.Term) {
			found = h
		}
	}
	return found
}

func (s *faultInjector) hostExcept(not ...*simHost) *simHost {
	for _, h := range s.hosts {
		if h != not[0] && (len(not) < 2 || h != not[1]) {
			return h
		}
	}
	return nil
}

// Guards against a leader that answers a read with what it knew before its suspension, because its lease seems to be valid when it
// resumes. The second case shows that the simulation finds such a lease.
func TestASuspendedLeaderReadsNothingOld(t *testing.T) {
	cases := []struct {
		name        string
		steadyClock bool
		failure     string
	}{
		{name: "the clock counts the suspension"},
		{name: "the clock stops during the suspension", steadyClock: true, failure: "holds a lease of term"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, leader := newFormedGroup(t, 5)
			leader.steadyClock = c.steadyClock
			s.suspend(leader, 3*time.Second)
			s.run(2 * time.Second)
			s.proposeAndRead() // a read waits at the suspended host, too
			s.run(500 * time.Millisecond)
			s.proposeAndRead()
			s.run(time.Second)
			assert.Assert(t, strings.Contains(s.failure, c.failure), s.failure)
			assert.Equal(t, s.failure == "", c.failure == "", s.failure)
		})
	}
}

// Guards against the deposition of a working leader by a host that returns from a partition, or by one that can't reach the
// leader while the other hosts can.
func TestPartitionedHostDoesNotDisturb(t *testing.T) {
	for _, cut := range []func(s *faultInjector, h, leader *simHost){
		func(s *faultInjector, h, _ *simHost) { s.isolate(h) },
		func(s *faultInjector, h, leader *simHost) {
			s.blockedLinks[[2]string{h.name, leader.name}], s.blockedLinks[[2]string{leader.name, h.name}] = true, true
		},
	} {
		s, leader := newFormedGroup(t, 3)
		term := leader.node.hardState.Term
		cut(s, s.hostExcept(leader), leader)
		s.run(3 * time.Second)
		clear(s.blockedLinks)
		s.run(2 * time.Second)
		assert.Equal(t, s.currentLeader(), leader)
		assert.Equal(t, leader.node.hardState.Term, term)
		assert.Equal(t, s.failure, "")
	}
}

// Guards against a removed host that deposes the leader with its old configuration or a later term. Removed hosts aren't
// told of their removal.
func TestRemovedHostDoesNotDisturb(t *testing.T) {
	s, leader := newFormedGroup(t, 3)
	term, removed := leader.node.hardState.Term, s.hostExcept(leader)
	s.step(leader, Input{Change: &Change{Remove: removed.name}})
	s.run(3 * time.Second)
	response := Message{
		Kind: MessageHeartbeatResponse, Group: leader.node.hardState.Group, From: removed.node.cfg.Self,
		To: leader.node.cfg.Self, Term: term + 5,
	}
	s.step(leader, Input{Message: &response})
	response.Kind, response.Reject = MessageVoteResponse, true
	s.step(leader, Input{Message: &response})
	assert.Equal(t, len(leader.node.configuration().Voters), 2)
	assert.Equal(t, s.currentLeader(), leader)
	assert.Equal(t, leader.node.hardState.Term, term)
}

// Guards against an isolated leader that keeps accepting proposals which it can't commit.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s, leader := newFormedGroup(t, 3)
	s.isolate(leader)
	s.run(time.Second)
	assert.Equal(t, leader.node.role == Leader, false)
}

// Guards against a leader that stays leader while its disk sync stalls, or that acknowledges entries which are only in memory.
func TestStalledSyncDeposesLeader(t *testing.T) {
	s, leader := newFormedGroup(t, 3)
	s.isolate(leader) // the stalled disk must be noticed before the missing quorum, which takes two election timeouts
	leader.disk.syncing = true
	s.step(leader, Input{Propose: []byte("x")})
	s.run(simElectionTimeout + 3*simTick)
	assert.Equal(t, leader.node.role, Follower)
	clear(s.blockedLinks)
	s.run(2 * time.Second)
	assert.Assert(t, s.currentLeader() != nil && s.currentLeader() != leader)
}

// Guards against a node that continues after a failed write.
func TestFailedWriteStopsNode(t *testing.T) {
	_, leader := newFormedGroup(t, 1)
	out := leader.node.Step(leader.node.now, Input{Propose: []byte("x"), Persisted: &Persisted{Failed: true}, Read: 7})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.DiskFailed))
	assert.Assert(t, errorx.IsOfType(out.Reads[0].Err, fault.DiskFailed))
	out = leader.node.Step(leader.node.now.Add(time.Hour), Input{Tick: true})
	assert.Assert(t, out.Persist == nil && len(out.Send) == 0 && leader.node.Status().Role == Follower)
}

// Guards against memory that grows without bound while there is no quorum.
func TestProposalsAreBounded(t *testing.T) {
	s, leader := newFormedGroup(t, 3)
	s.isolate(leader)
	batch := make([][]byte, 60)
	out := leader.node.Step(leader.node.now, Input{Batch: batch})
	assert.Equal(t, len(out.Proposed), 50)
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.Overloaded))
	large, big := newElectedLeader(t), make([]byte, maxCommandBytes)
	out = large.Step(testNow, Input{Propose: big, Batch: [][]byte{big, big, big, big, big, big, big}})
	assert.Equal(t, len(out.Proposed), 4)
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.Overloaded))
	out = large.Step(testNow, Input{Propose: append(big, 0)})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.TooLarge))
	out = s.hostExcept(leader).node.Step(leader.node.now, Input{Propose: []byte("x")})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.NotLeader))
	name, _ := errorx.ExtractProperty(out.Rejected, fault.Leader)
	assert.Equal(t, name, leader.name)
}

// Guards against two concurrent membership changes, whose majorities may not overlap, and against promoting a learner that
// hasn't received the log.
func TestMembershipChangesOneAtATime(t *testing.T) {
	s, leader := newFormedGroup(t, 3)
	added := s.addHost("n1")
	s.addHost("n2")
	s.run(100 * time.Millisecond)
	s.blockedLinks[[2]string{leader.name, added.name}] = true
	s.step(leader, Input{Change: &Change{Add: "n1"}})
	out := leader.node.Step(leader.node.now, Input{Change: &Change{Add: "n2"}})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.Overloaded))
	s.run(time.Second)
	assert.Equal(t, len(leader.node.configuration().Voters), 3)
	clear(s.blockedLinks)
	s.run(time.Second)
	assert.Equal(t, len(s.currentLeader().node.configuration().Voters), 4)
	assert.Equal(t, s.failure, "")
}

// Guards against a leadership transfer that takes as long as an election timeout, and against a lease that stays valid after
// the transfer.
func TestTransferIsFasterThanElection(t *testing.T) {
	s, leader := newFormedGroup(t, 3)
	s.step(leader, Input{TransferLeadership: true})
	assert.Equal(t, leader.node.LeaseValid(leader.clock(s.now)), false)
	s.run(simElectionTimeout / 2)
	assert.Assert(t, s.currentLeader() != nil && s.currentLeader() != leader)
}

// Guards against a host that lost its disk and votes again, under its old name, in a term in which it has already voted.
func TestWipedHostHasNoVote(t *testing.T) {
	s, leader := newFormedGroup(t, 3)
	voter := s.hostExcept(leader)
	candidate := s.hostExcept(leader, voter)
	term := leader.node.hardState.Term + 1
	request := Message{
		Kind: MessageVote, Group: leader.node.hardState.Group, From: candidate.node.cfg.Self, To: voter.node.cfg.Self,
		Term: term, Index: 1000, EntryTerm: term - 1, Forced: true,
	}
	s.isolate(leader)
	s.step(voter, Input{Message: &request})
	s.run(50 * time.Millisecond)
	assert.Equal(t, voter.node.hardState.Vote, candidate.node.cfg.Self)
	s.wipe(voter)
	s.run(time.Second)
	request.From = leader.node.cfg.Self
	s.step(voter, Input{Message: &request})
	s.run(50 * time.Millisecond)
	assert.Equal(t, s.failure, "")
	assert.Assert(t, voter.node.hardState.Vote != leader.node.cfg.Self)
}

// newFollower returns a follower on host a in a group of a, b and c. At testNow, its last contact with a leader is longer ago
// than the election timeout.
func newFollower() *Node {
	c := Configuration{Voters: []NodeID{"a/1", "b/1", "c/1"}}
	hard := HardState{Term: 3, Group: "g"}
	n := New(Config{Self: "a/1", ElectionTimeout: simElectionTimeout, MaxUncommittedBytes: 40 << 20},
		Loaded{HardState: hard, Snapshot: Snapshot{Configuration: c}}, 0)
	n.Step(testNow-1, Input{})
	return n
}

func messageInput(kind MessageKind, from NodeID, term Term) Input {
	return Input{Message: &Message{Kind: kind, Group: "g", From: from, To: "a/1", Term: term}}
}

// Guards against a vote that is sent before it is durable: after a crash the host could vote again.
func TestVoteIsDurableBeforeItLeaves(t *testing.T) {
	n := newFollower()
	n.hardState.Term = 4 // as if persisted already, so that only the vote is new
	out := n.Step(testNow, messageInput(MessageVote, "b/1", 4))
	assert.Equal(t, out.Persist.HardState.Vote, NodeID("b/1"))
	assert.Equal(t, len(out.Send), 0)
	out = n.Step(testNow, Input{Persisted: &Persisted{Number: out.Persist.Number}})
	assert.Equal(t, len(out.Send), 1)
	assert.Equal(t, out.Send[0].Reject, false)
}

// Guards against a vote while a leader may hold a lease that this node has confirmed, even if the node has restarted since.
func TestVoteIsRefusedWithinLease(t *testing.T) {
	n := newFollower()
	n.Step(testNow, messageInput(MessageHeartbeat, "b/1", 3))
	restarted := New(n.cfg, Loaded{HardState: n.hardState, Snapshot: n.snapshot}, testNow)
	for _, voter := range []*Node{n, restarted} {
		out := voter.Step(testNow.Add(simElectionTimeout-1), messageInput(MessageVote, "c/1", 4))
		assert.Assert(t, out.Persist == nil && len(out.Send) == 0)
		out = voter.Step(testNow.Add(simElectionTimeout-1), messageInput(MessagePreVote, "c/1", 4))
		assert.Equal(t, out.Send[0].Reject, true)
		out = voter.Step(testNow.Add(simElectionTimeout), messageInput(MessageVote, "c/1", 4))
		assert.Equal(t, out.Persist.HardState.Vote, NodeID("c/1"))
	}
}

// newElectedLeader returns the node of newFollower as the leader of term 4, with an entry of term 2 in its log.
func newElectedLeader(t *testing.T) *Node {
	t.Helper()
	n := newFollower()
	n = New(n.cfg, Loaded{HardState: n.hardState, Snapshot: n.snapshot, Entries: []Entry{{Index: 1, Term: 2}}}, 0)
	n.Step(testNow, Input{Tick: true})
	out := n.Step(testNow, messageInput(MessagePreVoteResponse, "b/1", 4))
	n.Step(testNow, Input{Persisted: &Persisted{Number: out.Persist.Number}})
	out = n.Step(testNow, messageInput(MessageVoteResponse, "b/1", 4))
	assert.Equal(t, n.role, Leader)
	n.Step(testNow, Input{Persisted: &Persisted{Number: out.Persist.Number}})
	return n
}

// Guards against committing an entry of an earlier term by counting its copies: a node without it could still be elected.
func TestLeaderCommitsOnlyEntriesOfItsTerm(t *testing.T) {
	n := newElectedLeader(t)
	for index, commit := range []Index{0, 0, 2} {
		response := messageInput(MessageAppendResponse, "b/1", 4)
		response.Message.Index = Index(index)
		n.Step(testNow, response)
		assert.Equal(t, n.log.commit, commit)
	}
}

// Guards against a node that answers messages to a former disk identity of its host.
func TestMessageToFormerIdentityIsDropped(t *testing.T) {
	in := messageInput(MessageVote, "b/1", 4)
	in.Message.To = "a/0"
	out := newFollower().Step(testNow, in)
	assert.Assert(t, out.Persist == nil && len(out.Send) == 0)
}

// Guards against a leader that doesn't follow the leader of a later term.
func TestLeaderFollowsLaterTerm(t *testing.T) {
	n := newElectedLeader(t)
	n.Step(testNow, messageInput(MessageHeartbeat, "b/1", 4))
	assert.Equal(t, n.role, Leader)
	n.Step(testNow, messageInput(MessageHeartbeat, "b/1", 5))
	assert.Equal(t, n.role, Follower)
	assert.Equal(t, n.leader, NodeID("b/1"))
}

// Guards against a new leader that changes the membership before it knows that the previous change is committed.
func TestNewLeaderCommitsBeforeItChangesMembership(t *testing.T) {
	n := newElectedLeader(t)
	out := n.Step(testNow, Input{Change: &Change{Remove: "c"}})
	assert.Assert(t, errorx.IsOfType(out.Rejected, fault.Overloaded))
}

// Guards against a group that can't elect a leader because the only up-to-date voter has its own uncommitted removal in its
// log and doesn't campaign.
func TestVoterWithUncommittedRemovalCampaigns(t *testing.T) {
	s, leader := newFormedGroup(t, 4)
	s.crash(s.hostExcept(leader))
	s.isolate(leader)
	s.step(leader, Input{Change: &Change{Remove: leader.name}})
	s.run(time.Second)
	assert.Assert(t, s.currentLeader() == nil)
	clear(s.blockedLinks)
	s.run(2 * time.Second)
	assert.Assert(t, s.currentLeader() != nil, s.failure)
	assert.Equal(t, len(s.currentLeader().node.configuration().Voters), 3)
}

// Guards against two groups, or none, being formed when a host loses its disk during formation.
func TestFormationSurvivesWipedDisk(t *testing.T) {
	for seed := range uint64(300) {
		s := &faultInjector{simulator: newSimulator(seed, 3)}
		s.lossRate, s.maxDelay = 0.3, 100*time.Millisecond
		s.run(time.Duration(s.random.IntN(300)) * time.Millisecond)
		s.wipe(s.hosts[s.random.IntN(3)])
		s.run(time.Second)
		s.lossRate, s.maxDelay = 0, 5*time.Millisecond
		s.run(3 * time.Second)
		assert.Equal(t, s.failure, "")
		assert.Assert(t, len(s.committed) > 0, "seed %d", seed)
	}
}

// Guards against received bytes that crash the node or fail with an error other than fault.BadPeer.
func FuzzDecodeMessage(f *testing.F) {
	w := newSimulator(1, 3)
	w.run(time.Second)
	for kind := MessageAnnouncement; kind < messageKindEnd; kind++ {
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
		m.To, m.Group = node.cfg.Self, node.hardState.Group
		node.Step(testNow, Input{Message: m})
		node.Step(2*testNow, Input{Tick: true})
	})
}

// Guards against hosts that restart with empty disks and form a second group, which would lose what the first group accepted.
func TestHostsThatOnlyJoinFormNoGroup(t *testing.T) {
	s := &faultInjector{simulator: newSimulator(1, 3)}
	for _, h := range s.hosts {
		h.node.cfg.Join = true
	}
	s.run(3 * time.Second)
	assert.Assert(t, s.currentLeader() == nil)
	for _, h := range s.hosts {
		assert.Equal(t, h.node.hardState.Group, "")
	}
}

// Guards against a host that asks to join and isn't listed as a candidate or stays listed once it is a member, and against a
// silent voter that isn't listed as silent.
func TestStatusListsWhoWaitsAndWhoIsSilent(t *testing.T) {
	s, leader := newFormedGroup(t, 3)
	newcomer := s.addHost("h4")
	newcomer.node.cfg.Join = true
	s.step(newcomer, Input{Peers: []string{leader.name}})
	s.run(time.Second)
	assert.DeepEqual(t, leader.node.Status().Candidates, []string{"h4"})
	s.step(leader, Input{Change: &Change{Add: "h4"}})
	s.run(2 * time.Second)
	assert.Equal(t, len(leader.node.Status().Candidates), 0)
	assert.Equal(t, len(leader.node.Status().Configuration.Voters), 4)
	silent := s.hostExcept(leader, newcomer)
	s.crash(silent)
	s.run(SilentAfter / 2)
	assert.Equal(t, len(leader.node.Status().Silent), 0)
	s.run(SilentAfter)
	assert.DeepEqual(t, leader.node.Status().Silent, []string{silent.name})
	assert.Equal(t, s.failure, "")
}
