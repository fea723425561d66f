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

	hard        HardState
	role        Role
	leader      NodeID
	leaderSince unit.Moment
	heardAt     unit.Moment // when a leader was last heard, or when the node started
	campaignAt  unit.Moment

	log      entryLog
	snapshot Snapshot // the newest durable snapshot, sent to followers that are too far behind
	configs  []placedConfiguration

	disk      diskState
	formation formation
	votes     map[NodeID]bool
	leading   *leading // set while the node leads
	receiving *receiving
}

// New returns a node that continues from what its disk holds.
func New(cfg Config, loaded Loaded, now unit.Moment) *Node {
	cfg = cfg.withDefaults()
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(cfg.Self))
	n := &Node{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, hash.Sum64())),
		now:      now,
		hard:     loaded.Hard,
		snapshot: loaded.Snapshot,
		// A restarted node may have acknowledged a heartbeat just before it stopped, so it counts its start as hearing a
		// leader and refuses votes until the lease that it may have confirmed is over.
		heardAt: now,
	}
	n.log = entryLog{
		base: loaded.Snapshot.Index, baseTerm: loaded.Snapshot.Term, entries: loaded.Entries,
		commit: loaded.Snapshot.Index, emitted: loaded.Snapshot.Index,
	}
	n.log.persisted = n.log.last()
	n.log.unsaved = n.log.last() + 1
	n.configs = []placedConfiguration{{loaded.Snapshot.Index, loaded.Snapshot.Configuration}}
	n.noteConfigurations(loaded.Entries)
	n.formation = newFormation()
	n.resetCampaign()
	return n
}

// Step handles one event at the moment now, which never goes backwards.
func (n *Node) Step(now unit.Moment, in Input) Output {
	n.now = max(n.now, now)
	n.out = Output{}
	if n.failed {
		n.rejectAll(in)
		return n.out
	}
	before := n.visible()
	n.handle(in)
	n.finish()
	n.out.LeaderChanged = before != n.visible()
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
	if in.Saved != nil {
		n.onSaved(*in.Saved)
	}
	if in.Peers != nil && n.cfg.Join {
		n.cfg.Peers = in.Peers
	}
	if in.Propose != nil || len(in.Batch) > 0 {
		n.propose(in.Propose, in.Batch)
	}
	if in.Change != nil {
		n.change(*in.Change)
	}
	if in.Read != 0 {
		n.read(in.Read)
	}
	if in.Transfer {
		n.transfer()
	}
	if in.Tick {
		n.tick()
	}
}

// finish sends what became sendable, issues one Persist for everything that changed and hands over committed entries.
func (n *Node) finish() {
	if n.failed {
		return
	}
	if n.role == Leader {
		n.replicateAll()
	}
	n.issuePersist()
	n.releaseMessages()
	n.emit()
}

// emit hands over entries that are committed and durable here. A snapshot that replaced the log comes first.
func (n *Node) emit() {
	if n.log.emitted < n.log.base {
		if n.log.persisted < n.log.base {
			return
		}
		restore := n.snapshot
		n.out.Restore = &restore
		n.log.emitted = restore.Index
	}
	through := min(n.log.commit, n.log.persisted)
	if through > n.log.emitted {
		n.out.Committed = n.log.slice(n.log.emitted+1, through)
		n.log.emitted = through
	}
}

func (n *Node) onMessage(m *Message) {
	if m.Kind == MessageHello || m.Kind == MessageForm {
		n.onFormation(m)
		return
	}
	// A message to this host's former identity isn't for this node: answering it would let a host that lost its disk vote
	// twice in one term.
	if m.To != n.cfg.Self || n.hard.Group == "" || m.Group != n.hard.Group {
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
	case MessagePreVoteAnswer, MessageVoteAnswer:
		n.onVoteAnswer(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.onLeaderMessage(m)
	case MessageAppendAnswer, MessageHeartbeatAnswer, MessageSnapshotAnswer:
		n.onFollowerAnswer(m)
	case MessageTimeoutNow:
		n.onTimeoutNow(m)
	default:
	}
}

func (n *Node) tick() {
	if n.hard.Group == "" {
		n.tickFormation()
		return
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.campaignAt {
		n.preCampaign()
	}
}

// configuration returns the newest configuration in the log, committed or not, as the protocol demands.
func (n *Node) configuration() Configuration {
	return n.configs[len(n.configs)-1].Configuration
}

// noteConfigurations records the configurations among appended entries.
func (n *Node) noteConfigurations(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != EntryConfiguration {
			continue
		}
		// The data was checked when it was decoded or is this node's own; an unreadable one would leave the last in force.
		if c, err := decodeConfiguration(entry.Data); err == nil {
			n.configs = append(n.configs, placedConfiguration{entry.Index, c})
		}
	}
}

// dropConfigurations forgets the configurations of truncated entries, from index on.
func (n *Node) dropConfigurations(index Index) {
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= index {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// configurationAt returns the configuration in force at index.
func (n *Node) configurationAt(index Index) Configuration {
	for i := len(n.configs) - 1; i > 0; i-- {
		if n.configs[i].index <= index {
			return n.configs[i].Configuration
		}
	}
	return n.configs[0].Configuration
}

type visibleState struct {
	role   Role
	term   Term
	leader NodeID
}

func (n *Node) visible() visibleState {
	return visibleState{n.role, n.hard.Term, n.leader}
}

// Status returns the node's visible state.
func (n *Node) Status() Status {
	return Status{
		Self: n.cfg.Self, Group: n.hard.Group, Role: n.role, Term: n.hard.Term, Leader: n.leader,
		LeaderSince: n.leaderSince, LeaseUntil: n.leaseUntil(), Commit: n.log.commit, Last: n.log.last(),
		Configuration: n.configuration().clone(), Failed: n.failed,
		HandingOver: n.leading != nil && n.leading.handover != "",
		HeardAt:     n.lastHeard(), Candidates: n.hostsToJoin(), Silent: n.silentMembers(),
	}
}

func (n *Node) lastHeard() unit.Moment {
	if n.role == Leader {
		return n.quorumHeardAt()
	}
	return n.heardAt
}
