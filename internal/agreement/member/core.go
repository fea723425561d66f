package member

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// runCore is the only goroutine that uses the node.
func (m *Member) runCore(ctx, inner context.Context) error {
	defer close(m.stopped)
	for {
		if err := m.coreEvent(ctx, inner); err != nil {
			return err
		}
		if ctx.Err() != nil || inner.Err() != nil {
			break
		}
	}
	return m.handOver(inner)
}

// coreEvent waits for one event and handles it.
func (m *Member) coreEvent(ctx, inner context.Context) error {
	select {
	case <-ctx.Done():
	case <-inner.Done():
	case message := <-m.inbox:
		m.step(quorum.Input{Message: message}, nil)
	case first := <-m.requests:
		m.stepRequests(first)
	case report := <-m.persisted:
		m.step(quorum.Input{Persisted: &report.Persisted}, nil)
		if report.err != nil {
			klog.Errorf("member: group %d stops because its disk failed: %v", m.cfg.Group, report.err)
			return report.err
		}
	case snapshot := <-m.snapshots:
		m.step(quorum.Input{Snapshot: &snapshot}, nil)
	case saved := <-m.saved:
		m.step(quorum.Input{SnapshotSaved: &saved}, nil)
	case hosts := <-m.peers:
		m.step(quorum.Input{Peers: hosts}, nil)
	case <-m.ticks:
		m.step(quorum.Input{Tick: true}, nil)
	}
	return nil
}

// handOver gives the leadership to another voter before the member stops, so that the group needn't wait for an election
// timeout, and answers the proposals that it has taken.
func (m *Member) handOver(inner context.Context) error {
	if m.node.Status().Role != quorum.Leader || inner.Err() != nil {
		return nil
	}
	m.stopping = true
	m.step(quorum.Input{TransferLeadership: true}, nil)
	limit, cancel := context.WithTimeout(inner, m.handOverLimit())
	defer cancel()
	for (m.status.Load().Transferring || m.waiting.proposed()) && limit.Err() == nil {
		if err := m.coreEvent(limit, inner); err != nil {
			return err
		}
	}
	return nil
}

func (m *Member) handOverLimit() time.Duration {
	if m.cfg.Election > 0 {
		return 2 * m.cfg.Election
	}
	return time.Second
}

// stepRequests handles a request together with the proposals that wait behind it, so that they share one log write.
func (m *Member) stepRequests(first *request) {
	var batch []*request
	for next := first; next != nil; next = m.nextRequest() {
		next.taken = true
		if m.stopping {
			next.finish(nil, fault.Stopping.New("this host is leaving the group"))
			continue
		}
		if next.ctx.Err() != nil {
			next.finish(nil, fault.Overloaded.New("the call ended before its proposal was taken"))
			continue
		}
		if next.change == nil && !next.read {
			batch = append(batch, next)
			if len(batch) >= batchRequests {
				break
			}
			continue
		}
		m.stepSingle(next)
	}
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, 0, len(batch))
	for _, r := range batch {
		commands = append(commands, r.command)
	}
	m.step(quorum.Input{Batch: commands}, batch)
}

func (m *Member) nextRequest() *request {
	select {
	case next := <-m.requests:
		return next
	default:
		return nil
	}
}

func (m *Member) stepSingle(r *request) {
	if r.read {
		m.step(quorum.Input{Read: m.waiting.addRead(r)}, nil)
		return
	}
	m.step(quorum.Input{Change: r.change}, []*request{r})
}

// step runs the node and carries out what it returns. Proposers are the requests behind the input's proposals.
func (m *Member) step(in quorum.Input, proposers []*request) {
	before := m.status.Load()
	out := m.node.Step(m.cfg.Now(), in)
	// The state is published first: a lease that ends in this step must be over before any message lets another node act.
	m.publish()
	if out.SteppedDown != "" {
		klog.Warningf("member: group %d on %s gave up the leadership: %s", m.cfg.Group, m.cfg.Self, out.SteppedDown)
	}
	if out.LeaderChanged {
		m.logChange(before)
	}
	for i, r := range proposers {
		if i < len(out.Proposed) {
			m.waiting.addProposal(out.Proposed[i], r)
		} else {
			r.finish(nil, out.Rejected)
		}
	}
	if out.Persist != nil {
		m.writes.put(*out.Persist)
	}
	if out.SaveSnapshot != nil {
		m.saves <- *out.SaveSnapshot // never blocks: the node saves one snapshot at a time
	}
	for i := range out.Send {
		m.send(&out.Send[i])
	}
	if out.Restore != nil || len(out.Committed) > 0 || len(out.Reads) > 0 {
		m.applies.put(applyItem{restore: out.Restore, entries: out.Committed, reads: out.Reads})
	}
}

func (m *Member) send(message *quorum.Message) {
	payload, err := message.Encode()
	if err != nil {
		klog.Errorf("member: cannot encode a message to %s: %v", message.To.Host(), err)
		return
	}
	m.cfg.Send(message.To.Host(), m.cfg.Group, payload)
}

func (m *Member) logChange(before *quorum.Status) {
	s := m.status.Load()
	if s.Leader != before.Leader || (s.Role == quorum.Leader) != (before.Role == quorum.Leader) {
		klog.V(1).Infof("member: group %d term %d on %s: leader is %q", m.cfg.Group, s.Term, m.cfg.Self, s.Leader.Host())
	}
}
