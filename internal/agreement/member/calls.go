package member

import (
	"context"
	"sync"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// request is one call that waits for the group.
type request struct {
	ctx     context.Context
	command []byte
	change  *quorum.Change
	read    bool
	taken   bool // written by the core before it ends
	done    chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// finish answers the call. The channel has room for the one answer that each request gets.
func (r *request) finish(result []byte, err error) {
	r.done <- outcome{result, err}
}

// Propose replicates a command and returns the state machine's result. It fails with fault.NotLeader, which carries the
// leader's host name, and with fault.NoQuorum when ctx ends before the outcome is known; the command may then still be
// applied. Overloaded, Stopping and TooLarge mean that it was not taken.
func (m *Member) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	return m.call(&request{ctx: ctx, command: command})
}

// ReadBarrier returns once the state machine holds everything that was committed before the call, so that a View after it
// is linearizable. It fails with fault.NotLeader or fault.NoQuorum.
func (m *Member) ReadBarrier(ctx context.Context) error {
	_, err := m.call(&request{ctx: ctx, read: true})
	return err
}

// AddHost adds a host that runs with an empty folder and lists this group's hosts as its peers. The host becomes a learner
// and, when it has caught up, a voter; Status shows when. It fails with fault.NotFound until the host has announced
// itself, with fault.Conflict when it is a member and with fault.Overloaded while another change isn't finished.
func (m *Member) AddHost(ctx context.Context, host string) error {
	_, err := m.call(&request{ctx: ctx, change: &quorum.Change{Add: host}})
	return err
}

// RemoveHost removes a host from the voters and learners. To join again it needs an empty folder. It fails with
// fault.NotFound when it isn't a member, with fault.BadInput for the last voter and with fault.Overloaded while another
// change isn't finished.
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
		return m.lastAnswer(r)
	}
}

// lastAnswer prefers an answer that arrived while the member stopped.
func (m *Member) lastAnswer(r *request) ([]byte, error) {
	select {
	case o := <-r.done:
		return o.result, o.err
	default:
	}
	if !r.taken {
		return nil, fault.Stopping.New("this host has left the group")
	}
	return nil, fault.NoQuorum.New("this host left the group before the outcome was known")
}

// waitingCalls holds the calls that wait for an index to be applied or for a read to be confirmed.
type waitingCalls struct {
	mu        sync.Mutex
	proposals map[quorum.Index]waitingProposal
	reads     map[uint64]*request
	lastRead  uint64
}

type waitingProposal struct {
	term    quorum.Term
	request *request
}

func newWaitingCalls() waitingCalls {
	return waitingCalls{proposals: map[quorum.Index]waitingProposal{}, reads: map[uint64]*request{}}
}

// addProposal waits for the entry at a position. A call that waited for the same index belongs to an earlier term. Its
// entry is gone from this host's log, but another host may still hold it and bring it back as a later leader.
func (w *waitingCalls) addProposal(at quorum.Position, r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.proposals[at.Index]; ok {
		old.request.finish(nil, fault.NoQuorum.New("the proposal isn't in this host's log any more"))
	}
	w.proposals[at.Index] = waitingProposal{at.Term, r}
}

// proposed reports whether a proposal waits for its outcome.
func (w *waitingCalls) proposed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.proposals) > 0
}

func (w *waitingCalls) addRead(r *request) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRead++
	w.reads[w.lastRead] = r
	return w.lastRead
}

// answer gives the result of an applied entry to the call that proposed it.
func (w *waitingCalls) answer(entry quorum.Entry, result []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting, ok := w.proposals[entry.Index]
	if !ok {
		return
	}
	delete(w.proposals, entry.Index)
	if waiting.term == entry.Term {
		waiting.request.finish(result, nil)
	} else {
		waiting.request.finish(nil, errReplaced())
	}
}

func (w *waitingCalls) answerRead(read quorum.ReadResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := w.reads[read.ID]; ok {
		delete(w.reads, read.ID)
		r.finish(nil, read.Err)
	}
}

// skipThrough ends the calls whose entries a snapshot covers: whether they were applied can't be told.
func (w *waitingCalls) skipThrough(index quorum.Index) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, waiting := range w.proposals {
		if at <= index {
			delete(w.proposals, at)
			waiting.request.finish(nil, fault.NoQuorum.New("the outcome was replaced by a snapshot"))
		}
	}
}

func (w *waitingCalls) endAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, waiting := range w.proposals {
		delete(w.proposals, at)
		waiting.request.finish(nil, fault.NoQuorum.New("this host stopped before the outcome was known"))
	}
	for id, r := range w.reads {
		delete(w.reads, id)
		r.finish(nil, fault.NoQuorum.New("this host stopped before the read was confirmed"))
	}
}

func errReplaced() error {
	return fault.NotLeader.New("another leader replaced the proposal before it was committed")
}
