// Package member runs one member of a consensus group: the deterministic core of package quorum, the journal, the
// transport and a state machine.
package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// StateMachine is what the group replicates. Its methods are called by one goroutine at a time and must be deterministic.
// Readers on other goroutines use Member.View.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Member is one member of a group. Its methods are safe for concurrent use.
type Member struct {
	cfg     Config
	machine StateMachine
	journal *journal.Journal
	// Node and stopping are used by the core goroutine only.
	node     *quorum.Node
	stopping bool

	inbox     chan *quorum.Message
	requests  chan *request
	ticks     chan struct{}
	peers     chan []string
	persisted chan diskReport
	snapshots chan quorum.Snapshot // taken by the state machine
	saves     chan quorum.Snapshot // to be made durable
	saved     chan quorum.Snapshot
	writes    *mailbox[quorum.Persist]
	applies   *mailbox[applyItem]
	stopped   chan struct{} // closed when the core has ended

	status   atomic.Pointer[quorum.Status]
	applied  atomic.Uint64
	logBytes atomic.Int64
	lastSync atomic.Int64 // nanoseconds

	viewing sync.RWMutex // held for writing while the state machine changes
	waiting waitingCalls
}

// New opens the folder and restores the state machine. It fails with fault.Corrupt, fault.DiskFailed or fault.DiskFull.
func New(cfg Config, machine StateMachine) (*Member, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	j, loaded, err := journal.Open(journal.Config{Folder: cfg.Folder, Files: cfg.Files})
	if err != nil {
		return nil, err
	}
	if loaded.Snapshot.Index > 0 {
		if err := machine.Restore(loaded.Snapshot.Data); err != nil {
			_ = j.Close()
			return nil, err
		}
	}
	self := quorum.NewNodeID(cfg.Self, j.Identity())
	m := &Member{
		cfg: cfg, machine: machine, journal: j,
		node:      quorum.New(cfg.quorum(self), loaded, cfg.Now()),
		inbox:     make(chan *quorum.Message, inboxMessages),
		requests:  make(chan *request, batchRequests),
		ticks:     make(chan struct{}, 1),
		peers:     make(chan []string, 1),
		persisted: make(chan diskReport, 1),
		snapshots: make(chan quorum.Snapshot, 1),
		saves:     make(chan quorum.Snapshot, 1),
		saved:     make(chan quorum.Snapshot, 1),
		writes:    newMailbox[quorum.Persist](),
		applies:   newMailbox[applyItem](),
		stopped:   make(chan struct{}),
		waiting:   newWaitingCalls(),
	}
	m.applied.Store(uint64(loaded.Snapshot.Index))
	m.logBytes.Store(j.Size())
	m.publish()
	return m, nil
}

// Run runs the member until ctx is done or the disk fails. A leader hands the leadership over first. It returns
// fault.DiskFailed or fault.DiskFull when a write failed, and the member must then be opened again by New.
func (m *Member) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
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
	actors.Add(func() error { return m.runCore(ctx, inner) }, stop)
	actors.Add(func() error { return m.runDisk(inner) }, stop)
	actors.Add(func() error { return m.runSaves(inner) }, stop)
	actors.Add(func() error { return m.runApply(inner) }, stop)
	err := actors.Run()
	m.waiting.endAll()
	if closeErr := m.journal.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Deliver takes a message that another host sent. Messages that can't be read are logged and dropped.
func (m *Member) Deliver(from string, payload []byte) {
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

// Status is the visible state of a member.
type Status struct {
	Self        string // host name and disk identity
	Group       string // name of the group's formation, empty before it
	Leader      string // host name, empty when unknown
	IsLeader    bool
	LeaderSince unit.Moment // when this member became leader
	LeaseValid  bool
	Term        uint64
	Commit      uint64
	Applied     uint64
	Voters      []string // host name and disk identity each
	Learners    []string
	LogBytes    int64         // on disk, without snapshots
	LastSync    time.Duration // how long the last write and sync took
	Failed      bool          // the disk failed
	HeardAt     unit.Moment   // when a follower heard its leader, or a leader its quorum
	Candidates  []string      // hosts that ask to join
	Silent      []string      // members that leave a leader's heartbeats unanswered
}

// Status returns the visible state.
func (m *Member) Status() Status {
	s := m.status.Load()
	return Status{
		Self: string(s.Self), Group: s.Group, Leader: s.Leader.Host(), IsLeader: s.Role == quorum.Leader,
		LeaderSince: s.LeaderSince, LeaseValid: m.LeaderLease(m.cfg.Now()), Term: uint64(s.Term),
		Commit: uint64(s.Commit), Applied: m.applied.Load(), Voters: names(s.Configuration.Voters),
		Learners: names(s.Configuration.Learners), LogBytes: m.logBytes.Load(),
		LastSync: time.Duration(m.lastSync.Load()), Failed: s.Failed,
		HeardAt: s.LastContactAt, Candidates: s.Candidates, Silent: s.Silent,
	}
}

func names(ids []quorum.NodeID) []string {
	result := make([]string, 0, len(ids))
	for _, id := range ids {
		result = append(result, string(id))
	}
	return result
}

// LeaderLease reports whether this member leads and no other leader can exist at the moment now. Callers check it right
// before the action that needs it, with the time of that moment.
func (m *Member) LeaderLease(now unit.Moment) bool {
	s := m.status.Load()
	return s.Role == quorum.Leader && now < s.LeaseUntil
}

// LeaderSince returns when this member became leader and whether it is leader. Whoever must not overlap with the former
// leader waits one lease from then on.
func (m *Member) LeaderSince() (unit.Moment, bool) {
	s := m.status.Load()
	return s.LeaderSince, s.Role == quorum.Leader
}

// SetPeers replaces the hosts that an unformed member announces itself to.
func (m *Member) SetPeers(hosts []string) {
	select {
	case m.peers <- hosts:
	default:
	}
}

// View runs read while the state machine doesn't change.
func (m *Member) View(read func()) {
	m.viewing.RLock()
	defer m.viewing.RUnlock()
	read()
}

func (m *Member) publish() {
	s := m.node.Status()
	m.status.Store(&s)
}
