// Package member runs one member of a consensus group. It connects the deterministic core of package quorum with the journal,
// the transport and a state machine.
package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/agreement/logfolder"
	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// StateMachine is the state that the group replicates. Its methods must be deterministic and are called by one goroutine at
// a time. Other goroutines read the state in Member.View.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Member is one member of a group. Its methods are safe for concurrent use.
type Member struct {
	cfg       Config
	machine   StateMachine
	journal   *journal.Journal
	leftAside LeftAside
	// Only the goroutine of runCore uses node and stopping.
	node     *quorum.Node
	stopping bool

	inbox           chan *quorum.Message
	requests        chan *request
	ticks           chan struct{}
	peerUpdates     chan []string
	persisted       chan persistReport
	takenSnapshots  chan quorum.Snapshot // taken by the applier, to be completed by the core
	snapshotsToSave chan quorum.Snapshot // to be made durable
	savedSnapshots  chan quorum.Snapshot
	writes          *mailbox[quorum.Persist]
	applyTasks      *mailbox[applyTask]
	stopped         chan struct{} // closed when the core has stopped

	status   atomic.Pointer[quorum.Status]
	applied  atomic.Uint64 // index of the last applied entry
	logBytes atomic.Int64
	lastSync atomic.Int64 // nanoseconds

	machineLock sync.RWMutex // write-locked while the state machine changes
	pending     pendingCalls
}

// New opens the journal in the folder and restores the state machine from its snapshot. A damaged journal is left aside, and the member
// joins the group anew. New fails with fault.DiskFailed or fault.DiskFull if the journal can't be opened, and with fault.BadSetting if a
// setting is missing or the folder is in use.
func New(cfg Config, machine StateMachine) (*Member, error) {
	if err := cfg.checkAndSetDefaults(); err != nil {
		return nil, err
	}
	opened, err := logfolder.Open(journal.Config{Folder: cfg.Folder, Files: cfg.Files})
	if err != nil {
		return nil, err
	}
	j, loaded := opened.Journal, opened.Loaded
	left := LeftAside{Folder: opened.LeftAside}
	if left.Folder != "" {
		cfg.Join = true // the group exists, and a new one would begin without what it has stored
	}
	if opened.Damage != nil {
		left.Cause = opened.Damage.Error()
		klog.Errorf("member: group %d on %s joins anew, its log in %s is damaged: %s", cfg.Group, cfg.Self, left.Folder, left.Cause)
	}
	if loaded.Snapshot.Index > 0 {
		if err := machine.Restore(loaded.Snapshot.Data); err != nil {
			_ = j.Close()
			return nil, err
		}
	}
	self := quorum.NewNodeID(cfg.Self, j.Identity())
	m := &Member{
		cfg: cfg, machine: machine, journal: j, leftAside: left,
		node:            quorum.New(cfg.coreConfig(self), loaded, cfg.Now()),
		inbox:           make(chan *quorum.Message, maxInboxMessages),
		requests:        make(chan *request, maxBatchRequests),
		ticks:           make(chan struct{}, 1),
		peerUpdates:     make(chan []string, 1),
		persisted:       make(chan persistReport, 1),
		takenSnapshots:  make(chan quorum.Snapshot, 1),
		snapshotsToSave: make(chan quorum.Snapshot, 1),
		savedSnapshots:  make(chan quorum.Snapshot, 1),
		writes:          newMailbox[quorum.Persist](),
		applyTasks:      newMailbox[applyTask](),
		stopped:         make(chan struct{}),
		pending:         newPendingCalls(),
	}
	m.applied.Store(uint64(loaded.Snapshot.Index))
	m.logBytes.Store(j.Size())
	m.publishStatus()
	return m, nil
}

// Run runs the member until ctx is done or the disk fails. When ctx is done, a leader first transfers the leadership. Run
// returns fault.DiskFailed or fault.DiskFull if a write failed; the member must then be opened again with New.
func (m *Member) Run(ctx context.Context) error {
	actorsCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	unsubscribe := m.cfg.Timer.Subscribe(m.cfg.Tick, func(unit.Moment) {
		select {
		case m.ticks <- struct{}{}:
		default:
		}
	})
	defer unsubscribe()
	var actors run.Group
	stop := func(error) { cancel() }
	actors.Add(func() error { return m.runCore(ctx, actorsCtx) }, stop)
	actors.Add(func() error { return m.runLogWriter(actorsCtx) }, stop)
	actors.Add(func() error { return m.runSnapshotWriter(actorsCtx) }, stop)
	actors.Add(func() error { return m.runApplier(actorsCtx) }, stop)
	err := actors.Run()
	m.pending.failAll()
	if closeErr := m.journal.Close(); err == nil {
		err = closeErr
	}
	return err
}

// HandleMessage passes a message received from host from to the member. Messages that can't be decoded or that name another host as
// their sender are logged and dropped.
func (m *Member) HandleMessage(from string, payload []byte) {
	message, err := quorum.DecodeMessage(payload)
	if err != nil {
		klog.Warningf("member: dropped a message from %s: %v", from, err)
		return
	}
	if message.From.Host() != from {
		klog.Warningf("member: dropped a message from %s that names %s as its sender", from, message.From.Host())
		return
	}
	select {
	case m.inbox <- message:
	default:
	}
}

// Status is the current state of a member, for monitoring and for its users.
type Status struct {
	Self          string // host name and disk identity
	Group         string // name of the group, empty until it is formed
	Leader        string // host name, empty when unknown
	IsLeader      bool
	LeaderSince   unit.Moment // when this member became leader
	LeaseValid    bool
	Term          uint64
	Commit        uint64
	Applied       uint64
	Voters        []string // host name and disk identity of each
	Learners      []string
	LogBytes      int64         // size of the log on disk, without snapshots
	LastSync      time.Duration // how long the last write and sync took
	Failed        bool          // the disk failed
	LastContactAt unit.Moment   // when the member last heard the leader; on the leader, when it last heard a quorum
	Candidates    []string      // hosts that ask to join and aren't members
	Silent        []string      // on the leader: members that haven't acknowledged its heartbeats for quorum.SilentAfter
	LeftAside     LeftAside
}

// LeftAside is a damaged log whose place the member's log has taken. It is zero if there is none.
type LeftAside struct {
	Folder string
	Cause  string // why it couldn't be opened, empty if that happened before the last start
}

// Status returns the current state.
func (m *Member) Status() Status {
	s := m.status.Load()
	return Status{
		Self: string(s.Self), Group: s.Group, Leader: s.Leader.Host(), IsLeader: s.Role == quorum.Leader,
		LeaderSince: s.LeaderSince, LeaseValid: m.HoldsLeaderLease(m.cfg.Now()), Term: uint64(s.Term),
		Commit: uint64(s.Commit), Applied: m.applied.Load(), Voters: nodeIDStrings(s.Configuration.Voters),
		Learners: nodeIDStrings(s.Configuration.Learners), LogBytes: m.logBytes.Load(),
		LastSync: time.Duration(m.lastSync.Load()), Failed: s.Failed,
		LastContactAt: s.LastContactAt, Candidates: s.Candidates, Silent: s.Silent, LeftAside: m.leftAside,
	}
}

func nodeIDStrings(ids []quorum.NodeID) []string {
	result := make([]string, 0, len(ids))
	for _, id := range ids {
		result = append(result, string(id))
	}
	return result
}

// HoldsLeaderLease reports whether this member holds the leader lease at the moment now, so that no other leader can exist.
// Callers check it, with the current time, right before each action that requires the lease.
func (m *Member) HoldsLeaderLease(now unit.Moment) bool {
	s := m.status.Load()
	return s.Role == quorum.Leader && now < s.LeaseUntil
}

// LeaderSince returns when this member became leader and whether it is leader now. An action that must not overlap with
// actions of the previous leader has to wait for one lease duration after that time.
func (m *Member) LeaderSince() (unit.Moment, bool) {
	s := m.status.Load()
	return s.LeaderSince, s.Role == quorum.Leader
}

// SetPeers replaces the hosts to which a member with Config.Join announces itself until it has joined a group. The call has no
// effect while an earlier one is waiting to be handled.
func (m *Member) SetPeers(hosts []string) {
	select {
	case m.peerUpdates <- hosts:
	default:
	}
}

// View calls read, during which the state machine doesn't change.
func (m *Member) View(read func()) {
	m.machineLock.RLock()
	defer m.machineLock.RUnlock()
	read()
}

func (m *Member) publishStatus() {
	s := m.node.Status()
	m.status.Store(&s)
}
