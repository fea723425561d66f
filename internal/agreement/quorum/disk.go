package quorum

import (
	"github.com/citronglade/citronglade/internal/base/unit"
)

// diskState tracks which writes are durable and defers messages until the writes that they depend on are durable.
type diskState struct {
	issued          uint64 // number of the newest issued Persist
	completed       uint64 // number of the newest durable Persist
	hardStateIssued uint64 // number of the newest Persist that contains a hard state
	hardStateDirty  bool
	pendingSnapshot *Snapshot
	savingSnapshot  bool
	resetLog        bool
	outstanding     []outstandingWrite
	deferred        []deferredMessage
	queued          []deferredMessage // messages of the current step, whose Persist has no number yet
}

type outstandingWrite struct {
	number   uint64
	issuedAt unit.Moment
	last     Index
	term     Term
	snapshot *Snapshot
}

// dependency says which writes must be durable before a message is sent.
type dependency uint8

const (
	dependsOnHardState dependency = iota // the term and the vote
	dependsOnLog                         // all writes issued so far
)

type deferredMessage struct {
	writeNumber uint64
	dependsOn   dependency
	message     Message
}

// send queues a message to be sent once the hard state is durable.
func (n *Node) send(m Message) {
	n.sendWhenDurable(dependsOnHardState, m)
}

func (n *Node) sendWhenDurable(needs dependency, m Message) {
	m.From, m.Group = n.cfg.Self, n.hardState.Group
	n.disk.queued = append(n.disk.queued, deferredMessage{dependsOn: needs, message: m})
}

func (n *Node) issuePersist() {
	d := &n.disk
	entries := n.log.slice(n.log.firstUnissued, n.log.last())
	if !d.hardStateDirty && d.pendingSnapshot == nil && len(entries) == 0 {
		return
	}
	d.issued++
	p := &Persist{Number: d.issued, Snapshot: d.pendingSnapshot, Reset: d.resetLog, Entries: entries}
	if d.hardStateDirty {
		hard := n.hardState
		p.HardState = &hard
		d.hardStateIssued = d.issued
	}
	n.out.Persist = p
	d.outstanding = append(d.outstanding, outstandingWrite{
		number: d.issued, issuedAt: n.now, last: n.log.last(), term: n.log.lastTerm(), snapshot: d.pendingSnapshot,
	})
	n.log.firstUnissued = n.log.last() + 1
	d.hardStateDirty, d.pendingSnapshot, d.resetLog = false, nil, false
}

// releaseMessages sends, in order, every deferred message whose writes are durable.
func (n *Node) releaseMessages() {
	d := &n.disk
	for _, queued := range d.queued {
		queued.writeNumber = d.hardStateIssued
		if queued.dependsOn == dependsOnLog {
			queued.writeNumber = d.issued
		}
		d.deferred = append(d.deferred, queued)
	}
	d.queued = d.queued[:0]
	kept := d.deferred[:0]
	for _, held := range d.deferred {
		if held.writeNumber <= d.completed {
			n.out.Send = append(n.out.Send, held.message)
		} else {
			kept = append(kept, held)
		}
	}
	clear(d.deferred[len(kept):])
	d.deferred = kept
}

func (n *Node) onPersisted(p Persisted) {
	if p.Failed {
		n.fail()
		return
	}
	d := &n.disk
	d.completed = max(d.completed, p.Number)
	done := 0
	for done < len(d.outstanding) && d.outstanding[done].number <= d.completed {
		n.markDurable(d.outstanding[done])
		done++
	}
	d.outstanding = append(d.outstanding[:0], d.outstanding[done:]...)
	if n.role == Candidate && d.hardStateIssued <= d.completed && !d.hardStateDirty {
		n.countVote(n.cfg.Self)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

func (n *Node) markDurable(write outstandingWrite) {
	if write.snapshot != nil && write.snapshot.Index >= n.snapshot.Index {
		n.snapshot = *write.snapshot
	}
	// A conflicting append may have replaced the entry since the write was issued. A later write covers the replacement.
	if n.log.matches(write.last, write.term) {
		n.log.persisted = max(n.log.persisted, write.last)
	}
}

// compactLog drops the log entries that the snapshot at index covers, except for the last TrailingEntries: a follower that
// lags slightly can then catch up without a snapshot.
func (n *Node) compactLog(index Index) {
	if index <= n.cfg.TrailingEntries {
		return
	}
	n.log.compact(min(index-n.cfg.TrailingEntries, n.log.delivered))
	for len(n.configs) > 1 && n.configs[1].index <= n.log.base {
		n.configs = n.configs[1:]
	}
}

// onLocalSnapshot adds the term and the configuration to a snapshot taken by the state machine and requests that it be saved.
func (n *Node) onLocalSnapshot(s Snapshot) {
	term, ok := n.log.term(s.Index)
	if !ok || n.disk.savingSnapshot || s.Index <= n.snapshot.Index || s.Index > n.log.delivered {
		return
	}
	s.Term, s.Configuration = term, n.configurationAt(s.Index)
	n.disk.savingSnapshot = true
	n.out.SaveSnapshot = &s
}

// onSnapshotSaved compacts the log up to a snapshot that is now durable, unless a newer snapshot from the leader has been
// installed in the meantime.
func (n *Node) onSnapshotSaved(s Snapshot) {
	n.disk.savingSnapshot = false
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = s
	n.compactLog(s.Index)
}

// oldestWriteIssuedAt returns when the oldest write that isn't durable yet was issued, or false if all writes are durable.
func (n *Node) oldestWriteIssuedAt() (unit.Moment, bool) {
	if len(n.disk.outstanding) == 0 {
		return 0, false
	}
	return n.disk.outstanding[0].issuedAt, true
}

// diskStalled reports whether a write has been outstanding for longer than the election timeout.
func (n *Node) diskStalled() bool {
	at, waiting := n.oldestWriteIssuedAt()
	return waiting && n.now.Sub(at) > n.cfg.ElectionTimeout
}

// fail stops the node after a failed write. The contents of the disk are unknown, so the node must not vote or acknowledge
// anything any more.
func (n *Node) fail() {
	n.stepDown()
	n.failed = true
	n.disk = diskState{}
}
