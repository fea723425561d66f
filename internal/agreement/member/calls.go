package member

import (
	"context"
	"sync"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// request is a call that waits for a result from the group: a proposal, a membership change or a read.
type request struct {
	ctx      context.Context
	command  []byte
	change   *quorum.Change
	read     bool
	accepted bool // the core has received the request; read by the caller only after the core has stopped
	done     chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// complete passes the outcome to the caller. It never blocks: each request gets one outcome, which done can buffer.
func (r *request) complete(result []byte, err error) {
	r.done <- outcome{result, err}
}

// Propose replicates a command and returns the state machine's result. It fails with fault.NotLeader, which carries the
// leader's host name, and with fault.NoQuorum if ctx ends before the outcome is known; the command may then still be
// applied. With fault.Overloaded, fault.Stopping or fault.TooLarge the command was not accepted.
func (m *Member) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	return m.call(&request{ctx: ctx, command: command})
}

// ReadBarrier returns once the state machine has applied every entry committed before the call, so that a following View is
// linearizable. It fails with fault.NotLeader or fault.NoQuorum.
func (m *Member) ReadBarrier(ctx context.Context) error {
	_, err := m.call(&request{ctx: ctx, read: true})
	return err
}

// AddHost adds a host that was started with an empty folder and with hosts of this group as its peers. The host becomes a
// learner and, once it has caught up, a voter; Status shows which it is. AddHost fails with fault.NotFound until the host has
// announced itself, with fault.Conflict if it is a member already and with fault.Overloaded during another change.
func (m *Member) AddHost(ctx context.Context, host string) error {
	_, err := m.call(&request{ctx: ctx, change: &quorum.Change{Add: host}})
	return err
}

// RemoveHost removes a host from the voters and learners. A host that still runs asks to join again. RemoveHost fails
// with fault.NotFound if the host isn't a member, with fault.BadInput for the last voter and with fault.Overloaded during
// another change.
func (m *Member) RemoveHost(ctx context.Context, host string) error {
	_, err := m.call(&request{ctx: ctx, change: &quorum.Change{Remove: host}})
	return err
}

func (m *Member) call(r *request) ([]byte, error) {
	r.done = make(chan outcome, 1)
	select {
	case <-m.stopped:
		return nil, fault.Stopping.New("this host has left the group")
	default:
	}
	select {
	case m.requests <- r:
	case <-r.ctx.Done():
		return nil, fault.Overloaded.New("the call ended before the group took it")
	case <-m.stopped:
		return nil, fault.Stopping.New("this host has left the group")
	}
	select {
	case o := <-r.done:
		return o.result, o.err
	case <-r.ctx.Done():
		return nil, fault.NoQuorum.New("the group didn't answer in time")
	case <-m.stopped:
		return m.outcomeAfterStop(r)
	}
}

// outcomeAfterStop returns the outcome of a request after the member has stopped. An outcome that arrived during the stop is
// returned as it is.
func (m *Member) outcomeAfterStop(r *request) ([]byte, error) {
	select {
	case o := <-r.done:
		return o.result, o.err
	default:
	}
	if !r.accepted {
		return nil, fault.Stopping.New("this host has left the group")
	}
	return nil, fault.NoQuorum.New("this host left the group before the outcome was known")
}

// pendingCalls holds the calls that wait for an entry to be applied or for a read to be confirmed.
type pendingCalls struct {
	mu        sync.Mutex
	proposals map[quorum.Index]pendingProposal
	reads     map[uint64]*request
	lastRead  uint64
}

type pendingProposal struct {
	term    quorum.Term
	request *request
}

func newPendingCalls() pendingCalls {
	return pendingCalls{proposals: map[quorum.Index]pendingProposal{}, reads: map[uint64]*request{}}
}

// addProposal registers r for completion when the entry at the position is applied. A call already registered for the same
// index belongs to an earlier term. Its entry is no longer in this host's log, but its outcome is unknown: another host may
// still hold the entry, become leader and commit it.
func (w *pendingCalls) addProposal(at quorum.Position, r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.proposals[at.Index]; ok {
		old.request.complete(nil, fault.NoQuorum.New("the proposal isn't in this host's log any more"))
	}
	w.proposals[at.Index] = pendingProposal{at.Term, r}
}

// hasProposals reports whether any proposal has no outcome yet.
func (w *pendingCalls) hasProposals() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.proposals) > 0
}

func (w *pendingCalls) addRead(r *request) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRead++
	w.reads[w.lastRead] = r
	return w.lastRead
}

// completeProposal passes the result of an applied entry to the call that proposed it. If the applied entry has another term,
// it has replaced the proposal, which then fails.
func (w *pendingCalls) completeProposal(entry quorum.Entry, result []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting, ok := w.proposals[entry.Index]
	if !ok {
		return
	}
	delete(w.proposals, entry.Index)
	if waiting.term == entry.Term {
		waiting.request.complete(result, nil)
	} else {
		waiting.request.complete(nil, proposalReplacedError())
	}
}

func (w *pendingCalls) completeRead(read quorum.ReadResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := w.reads[read.ID]; ok {
		delete(w.reads, read.ID)
		r.complete(nil, read.Err)
	}
}

// failThrough fails the proposals whose entries are covered by a snapshot up to index. Whether they were applied is unknown.
func (w *pendingCalls) failThrough(index quorum.Index) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, waiting := range w.proposals {
		if at <= index {
			delete(w.proposals, at)
			waiting.request.complete(nil, fault.NoQuorum.New("the outcome was replaced by a snapshot"))
		}
	}
}

func (w *pendingCalls) failAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, waiting := range w.proposals {
		delete(w.proposals, at)
		waiting.request.complete(nil, fault.NoQuorum.New("this host stopped before the outcome was known"))
	}
	for id, r := range w.reads {
		delete(w.reads, id)
		r.complete(nil, fault.NoQuorum.New("this host stopped before the read was confirmed"))
	}
}

func proposalReplacedError() error {
	return fault.NotLeader.New("another leader replaced the proposal before it was committed")
}
