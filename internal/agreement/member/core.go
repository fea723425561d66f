package member

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// runCore handles events until ctx or actorsCtx is done. Its goroutine is the only one that uses the node. When ctx is done,
// a leader first transfers the leadership.
func (m *Member) runCore(ctx, actorsCtx context.Context) error {
	defer close(m.stopped)
	for {
		if err := m.handleEvent(ctx, actorsCtx); err != nil {
			return err
		}
		if ctx.Err() != nil || actorsCtx.Err() != nil {
			break
		}
	}
	return m.transferLeadership(actorsCtx)
}

// handleEvent waits for one event and handles it.
func (m *Member) handleEvent(ctx, actorsCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-actorsCtx.Done():
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
	case snapshot := <-m.takenSnapshots:
		m.step(quorum.Input{Snapshot: &snapshot}, nil)
	case saved := <-m.savedSnapshots:
		m.step(quorum.Input{SnapshotSaved: &saved}, nil)
	case hosts := <-m.peerUpdates:
		m.step(quorum.Input{Peers: hosts}, nil)
	case <-m.ticks:
		m.step(quorum.Input{Tick: true}, nil)
	}
	return nil
}

// transferLeadership transfers the leadership to another voter before the member stops, so that the group needn't wait for
// an election timeout. Meanwhile it goes on handling events to complete the proposals that were already accepted.
func (m *Member) transferLeadership(actorsCtx context.Context) error {
	if m.node.Status().Role != quorum.Leader || actorsCtx.Err() != nil {
		return nil
	}
	m.stopping = true
	m.step(quorum.Input{TransferLeadership: true}, nil)
	limit, cancel := context.WithTimeout(actorsCtx, m.transferTimeout())
	defer cancel()
	for (m.status.Load().Transferring || m.pending.hasProposals()) && limit.Err() == nil {
		if err := m.handleEvent(limit, actorsCtx); err != nil {
			return err
		}
	}
	return nil
}

func (m *Member) transferTimeout() time.Duration {
	if m.cfg.Election > 0 {
		return 2 * m.cfg.Election
	}
	return time.Second
}

// stepRequests handles a request and those queued after it. Their proposals share one step and thus one log write.
func (m *Member) stepRequests(first *request) {
	var batch []*request
	for next := first; next != nil; next = m.nextRequest() {
		next.accepted = true
		if m.stopping {
			next.complete(nil, fault.Stopping.New("this host is leaving the group"))
			continue
		}
		if next.ctx.Err() != nil {
			next.complete(nil, fault.Overloaded.New("the call ended before its proposal was taken"))
			continue
		}
		if next.change == nil && !next.read {
			batch = append(batch, next)
			if len(batch) >= maxBatchRequests {
				break
			}
			continue
		}
		m.stepReadOrChange(next)
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

func (m *Member) stepReadOrChange(r *request) {
	if r.read {
		m.step(quorum.Input{Read: m.pending.addRead(r)}, nil)
		return
	}
	m.step(quorum.Input{Change: r.change}, []*request{r})
}

// step runs one step of the node and carries out its output. The proposers are the requests for the proposals in the input,
// in the same order.
func (m *Member) step(in quorum.Input, proposers []*request) {
	before := m.status.Load()
	out := m.node.Step(m.cfg.Now(), in)
	// The status is published before any message is sent: a message of this step may let another node become leader, so a
	// lease that this step ends must no longer be visible.
	m.publishStatus()
	if out.SteppedDown != "" {
		klog.Warningf("member: group %d on %s stepped down as leader: %s", m.cfg.Group, m.cfg.Self, out.SteppedDown)
	}
	if out.LeaderChanged {
		m.logLeaderChange(before)
	}
	for i, r := range proposers {
		if i < len(out.Proposed) {
			m.pending.addProposal(out.Proposed[i], r)
		} else {
			r.complete(nil, out.Rejected)
		}
	}
	if out.Persist != nil {
		m.writes.put(*out.Persist)
	}
	if out.SaveSnapshot != nil {
		m.snapshotsToSave <- *out.SaveSnapshot // never blocks: the node saves one snapshot at a time
	}
	for i := range out.Send {
		m.send(&out.Send[i])
	}
	if out.Restore != nil || len(out.Committed) > 0 || len(out.Reads) > 0 {
		m.applyTasks.put(applyTask{restore: out.Restore, entries: out.Committed, reads: out.Reads})
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

func (m *Member) logLeaderChange(before *quorum.Status) {
	s := m.status.Load()
	if s.Leader != before.Leader || (s.Role == quorum.Leader) != (before.Role == quorum.Leader) {
		klog.V(1).Infof("member: group %d term %d on %s: leader is %q", m.cfg.Group, s.Term, m.cfg.Self, s.Leader.Host())
	}
}
