package member

import (
	"context"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
)

// applyTask is work for the applier, carried out in the order of the fields.
type applyTask struct {
	restore *quorum.Snapshot
	entries []quorum.Entry
	reads   []quorum.ReadResult
}

// applier is the state of the goroutine that applies entries to the state machine.
type applier struct {
	m                  *Member
	applied            quorum.Index
	bytesSinceSnapshot int64               // bytes applied since the last snapshot
	reads              []quorum.ReadResult // reads that wait until their index has been applied
}

// runApplier applies committed entries in order, completes the calls that wait for them and takes snapshots.
func (m *Member) runApplier(actorsCtx context.Context) error {
	a := &applier{m: m, applied: quorum.Index(m.applied.Load())}
	for {
		select {
		case <-actorsCtx.Done():
			return nil
		case <-m.applyTasks.ready:
		}
		for _, item := range m.applyTasks.takeAll() {
			if err := a.handle(item); err != nil {
				return err
			}
		}
		if err := a.takeSnapshotIfDue(actorsCtx); err != nil {
			return err
		}
	}
}

func (a *applier) handle(item applyTask) error {
	if item.restore != nil {
		if err := a.restore(item.restore); err != nil {
			return err
		}
	}
	for _, entry := range item.entries {
		a.apply(entry)
	}
	a.reads = append(a.reads, item.reads...)
	a.completeReads()
	return nil
}

func (a *applier) restore(s *quorum.Snapshot) error {
	a.m.machineLock.Lock()
	err := a.m.machine.Restore(s.Data)
	a.m.machineLock.Unlock()
	if err != nil {
		return err
	}
	a.advance(s.Index)
	a.bytesSinceSnapshot = 0
	a.m.pending.failThrough(s.Index)
	return nil
}

func (a *applier) apply(entry quorum.Entry) {
	var result []byte
	if entry.Kind == quorum.EntryCommand {
		a.m.machineLock.Lock()
		result = a.m.machine.Apply(uint64(entry.Index), entry.Data)
		a.m.machineLock.Unlock()
	}
	a.bytesSinceSnapshot += int64(len(entry.Data)) + entryOverhead
	a.advance(entry.Index)
	a.m.pending.completeProposal(entry, result)
}

func (a *applier) advance(index quorum.Index) {
	a.applied = index
	a.m.applied.Store(uint64(index))
}

// completeReads completes the reads that failed or whose index has been applied.
func (a *applier) completeReads() {
	kept := a.reads[:0]
	for _, read := range a.reads {
		if read.Err == nil && read.Index > a.applied {
			kept = append(kept, read)
			continue
		}
		a.m.pending.completeRead(read)
	}
	a.reads = kept
}

// takeSnapshotIfDue takes a snapshot and passes it to the core once SnapshotBytes have been applied since the last one.
func (a *applier) takeSnapshotIfDue(actorsCtx context.Context) error {
	if a.bytesSinceSnapshot < a.m.cfg.SnapshotBytes {
		return nil
	}
	data, err := a.m.machine.Snapshot()
	if err != nil {
		return err
	}
	select {
	case <-actorsCtx.Done():
	case a.m.takenSnapshots <- quorum.Snapshot{Index: a.applied, Data: data}:
		a.bytesSinceSnapshot = 0
	}
	return nil
}
