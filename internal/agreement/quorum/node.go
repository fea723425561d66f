package quorum

import (
	"hash/fnv"
	"math/rand/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Node is one member of a group. It isn't safe for concurrent use.
type Node struct {
	cfg    Config
	random *rand.Rand
	now    unit.Moment
	out    Output
	failed bool

	hardState        HardState
	role             Role
	leader           NodeID
	leaderSince      unit.Moment
	leaderHeardAt    unit.Moment // when a message from a leader last arrived, or when the node started
	electionDeadline unit.Moment

	log      entryLog
	snapshot Snapshot // the newest durable snapshot, sent to followers whose missing entries were compacted
	configs  []indexedConfiguration

	disk        diskState
	formation   formation
	votes       map[NodeID]bool
	leaderState *leaderState // nil unless the node is the leader
	incoming    *incomingSnapshot
}

// New returns a node that continues from the state loaded from its disk.
func New(cfg Config, loaded Loaded, now unit.Moment) *Node {
	cfg = cfg.withDefaults()
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(cfg.Self))
	n := &Node{
		cfg:       cfg,
		random:    rand.New(rand.NewPCG(cfg.Seed, hash.Sum64())),
		now:       now,
		hardState: loaded.HardState,
		snapshot:  loaded.Snapshot,
		// A restarted node may have acknowledged a heartbeat just before it stopped. It therefore treats its start as contact
		// with a leader, and refuses votes until a lease that it may have confirmed has expired.
		leaderHeardAt: now,
	}
	n.log = entryLog{
		base: loaded.Snapshot.Index, baseTerm: loaded.Snapshot.Term, entries: loaded.Entries,
		commit: loaded.Snapshot.Index, delivered: loaded.Snapshot.Index,
	}
	n.log.persisted = n.log.last()
	n.log.firstUnissued = n.log.last() + 1
	n.configs = []indexedConfiguration{{loaded.Snapshot.Index, loaded.Snapshot.Configuration}}
	n.recordConfigurations(loaded.Entries)
	n.formation = newFormation()
	n.resetElectionTimer()
	return n
}

// Step handles one event at the moment now. If now is earlier than in a previous call, the previous time is used.
func (n *Node) Step(now unit.Moment, in Input) Output {
	n.now = max(n.now, now)
	n.out = Output{}
	if n.failed {
		n.rejectAll(in)
		return n.out
	}
	before := n.currentLeadership()
	n.handle(in)
	n.finish()
	n.out.LeaderChanged = before != n.currentLeadership()
	return n.out
}

func (n *Node) handle(in Input) {
	if in.Persisted != nil {
		n.onPersisted(*in.Persisted)
	}
	if n.failed {
		n.rejectAll(in)
		return
	}
	if in.Message != nil {
		n.onMessage(in.Message)
	}
	if in.Snapshot != nil {
		n.onLocalSnapshot(*in.Snapshot)
	}
	if in.SnapshotSaved != nil {
		n.onSnapshotSaved(*in.SnapshotSaved)
	}
	if in.Peers != nil && n.cfg.Join {
		n.cfg.Peers = in.Peers
	}
	if in.Propose != nil || len(in.Batch) > 0 {
		n.propose(in.Propose, in.Batch)
	}
	if in.Change != nil {
		n.changeMembership(*in.Change)
	}
	if in.Read != 0 {
		n.read(in.Read)
	}
	if in.TransferLeadership {
		n.transferLeadership()
	}
	if in.Tick {
		n.tick()
	}
}

// finish completes the output of a step: one Persist with all changes, the messages that may be sent, and the committed
// entries.
func (n *Node) finish() {
	if n.failed {
		return
	}
	if n.role == Leader {
		n.replicateAll()
	}
	n.issuePersist()
	n.releaseMessages()
	n.deliverCommitted()
}

// deliverCommitted outputs the entries that are committed and durable on this node. If a snapshot has replaced the log, the
// snapshot is output first, once it is durable.
func (n *Node) deliverCommitted() {
	if n.log.delivered < n.log.base {
		if n.log.persisted < n.log.base {
			return
		}
		restore := n.snapshot
		n.out.Restore = &restore
		n.log.delivered = restore.Index
	}
	through := min(n.log.commit, n.log.persisted)
	if through > n.log.delivered {
		n.out.Committed = n.log.slice(n.log.delivered+1, through)
		n.log.delivered = through
	}
}

func (n *Node) onMessage(m *Message) {
	if m.Kind == MessageAnnouncement || m.Kind == MessageFormGroup {
		n.onFormationMessage(m)
		return
	}
	// A message to a former disk identity of this host isn't for this node. If the node answered it, a host that lost its
	// disk could vote twice in one term.
	if m.To != n.cfg.Self || n.hardState.Group == "" || m.Group != n.hardState.Group {
		return
	}
	n.dispatch(m)
}

func (n *Node) dispatch(m *Message) {
	switch m.Kind {
	case MessagePreVote:
		n.onPreVote(m)
	case MessageVote:
		n.onVote(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.onVoteResponse(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.onLeaderMessage(m)
	case MessageAppendResponse, MessageHeartbeatResponse, MessageSnapshotResponse:
		n.onFollowerResponse(m)
	case MessageTimeoutNow:
		n.onTimeoutNow(m)
	default:
	}
}

func (n *Node) tick() {
	if n.hardState.Group == "" {
		n.tickFormation()
		return
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.announceWithoutLeader()
	if n.now >= n.electionDeadline {
		n.preCampaign()
	}
}

// configuration returns the newest configuration in the log. As Raft requires, it is in force before it is committed.
func (n *Node) configuration() Configuration {
	return n.configs[len(n.configs)-1].Configuration
}

// recordConfigurations records the configurations among appended entries.
func (n *Node) recordConfigurations(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != EntryConfiguration {
			continue
		}
		// The data was checked when the message was decoded, or this node encoded it. If it can't be decoded nevertheless, the
		// previous configuration stays in force.
		if c, err := decodeConfiguration(entry.Data); err == nil {
			n.configs = append(n.configs, indexedConfiguration{entry.Index, c})
		}
	}
}

// dropConfigurations drops the configurations of truncated entries, those from index on.
func (n *Node) dropConfigurations(index Index) {
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= index {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// configurationAt returns the configuration in force at the log index.
func (n *Node) configurationAt(index Index) Configuration {
	for i := len(n.configs) - 1; i > 0; i-- {
		if n.configs[i].index <= index {
			return n.configs[i].Configuration
		}
	}
	return n.configs[0].Configuration
}

type leadership struct {
	role   Role
	term   Term
	leader NodeID
}

func (n *Node) currentLeadership() leadership {
	return leadership{n.role, n.hardState.Term, n.leader}
}

// Status returns the node's visible state.
func (n *Node) Status() Status {
	return Status{
		Self: n.cfg.Self, Group: n.hardState.Group, Role: n.role, Term: n.hardState.Term, Leader: n.leader,
		LeaderSince: n.leaderSince, LeaseUntil: n.leaseUntil(), Commit: n.log.commit, Last: n.log.last(),
		Configuration: n.configuration().clone(), Failed: n.failed,
		Transferring:  n.leaderState != nil && n.leaderState.transferTarget != "",
		LastContactAt: n.lastContactAt(), Candidates: n.joinCandidateHosts(), Silent: n.silentMembers(),
	}
}

func (n *Node) lastContactAt() unit.Moment {
	if n.role == Leader {
		return n.quorumContactAt()
	}
	return n.leaderHeardAt
}
