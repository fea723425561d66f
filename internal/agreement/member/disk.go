package member

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
)

// persistReport tells the core which writes are durable, or that a write failed and why.
type persistReport struct {
	quorum.Persisted
	err error
}

// runLogWriter makes log writes durable. All writes that are waiting at the same time share one sync.
func (m *Member) runLogWriter(actorsCtx context.Context) error {
	for {
		select {
		case <-actorsCtx.Done():
			return nil
		case <-m.writes.ready:
		}
		writes := m.writes.takeAll()
		if len(writes) == 0 {
			continue
		}
		if err := m.writeAll(writes); err != nil {
			return m.reportDiskFailure(actorsCtx, err)
		}
		report := persistReport{Persisted: quorum.Persisted{Number: writes[len(writes)-1].Number}}
		select {
		case <-actorsCtx.Done():
			return nil
		case m.persisted <- report:
		}
	}
}

// runSnapshotWriter makes snapshots durable. It is separate from runLogWriter because a large snapshot would delay log writes
// for longer than the time after which a leader steps down.
func (m *Member) runSnapshotWriter(actorsCtx context.Context) error {
	for {
		select {
		case <-actorsCtx.Done():
			return nil
		case snapshot := <-m.snapshotsToSave:
			if err := m.journal.SaveSnapshot(snapshot); err != nil {
				return m.reportDiskFailure(actorsCtx, err)
			}
			select {
			case <-actorsCtx.Done():
				return nil
			case m.savedSnapshots <- snapshot:
			}
		}
	}
}

// reportDiskFailure reports a failed write to the core, which then steps down and ends the member with err. It returns err
// once the member ends.
func (m *Member) reportDiskFailure(actorsCtx context.Context, err error) error {
	select {
	case <-actorsCtx.Done():
	case m.persisted <- persistReport{Persisted: quorum.Persisted{Failed: true}, err: err}:
		<-actorsCtx.Done()
	}
	return err
}

func (m *Member) writeAll(writes []quorum.Persist) error {
	start := time.Now()
	for _, write := range writes {
		if err := m.journal.Append(write); err != nil {
			return err
		}
	}
	if err := m.journal.Sync(); err != nil {
		return err
	}
	m.lastSync.Store(int64(time.Since(start)))
	m.logBytes.Store(m.journal.Size())
	return nil
}
