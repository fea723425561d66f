package member

import (
	"context"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
)

// applyItem is handled in the order of its fields.
type applyItem struct {
	restore *quorum.Snapshot
	entries []quorum.Entry
	reads   []quorum.ReadResult
}

// applier is the state of the goroutine that owns the state machine.
type applier struct {
	m       *Member
	applied quorum.Index
	bytes   int64 // applied since the last snapshot
	reads   []quorum.ReadResult
}

// runApply applies committed entries in order, answers the calls that wait for them and takes snapshots.
func (m *Member) runApply(inner context.Context) error {
	a := &applier{m: m, applied: quorum.Index(m.applied.Load())}
	for {
		select {
		case <-inner.Done():
			return nil
		case <-m.applies.ready:
		}
		for _, item := range m.applies.takeAll() {
			if err := a.handle(item); err != nil {
				return err
			}
		}
		if err := a.considerSnapshot(inner); err != nil {
			return err
		}
	}
}

func (a *applier) handle(item applyItem) error {
	if item.restore != nil {
		if err := a.restore(item.restore); err != nil {
			return err
		}
	}
	for _, entry := range item.entries {
		a.apply(entry)
	}
	a.reads = append(a.reads, item.reads...)
	a.answerReads()
	return nil
}

func (a *applier) restore(s *quorum.Snapshot) error {
	a.m.viewing.Lock()
	err := a.m.machine.Restore(s.Data)
	a.m.viewing.Unlock()
	if err != nil {
		return err
	}
	a.advance(s.Index)
	a.bytes = 0
	a.m.waiting.skipThrough(s.Index)
	return nil
}

func (a *applier) apply(entry quorum.Entry) {
	var result []byte
	if entry.Kind == quorum.EntryCommand {
		a.m.viewing.Lock()
		result = a.m.machine.Apply(uint64(entry.Index), entry.Data)
		a.m.viewing.Unlock()
	}
	a.bytes += int64(len(entry.Data)) + entryOverhead
	a.advance(entry.Index)
	a.m.waiting.answer(entry, result)
}

func (a *applier) advance(index quorum.Index) {
	a.applied = index
	a.m.applied.Store(uint64(index))
}

// answerReads releases the reads whose index has been applied.
func (a *applier) answerReads() {
	kept := a.reads[:0]
	for _, read := range a.reads {
		if read.Err == nil && read.Index > a.applied {
			kept = append(kept, read)
			continue
		}
		a.m.waiting.answerRead(read)
	}
	a.reads = kept
}

// considerSnapshot hands a snapshot to the core once enough has been applied since the last one.
func (a *applier) considerSnapshot(inner context.Context) error {
	if a.bytes < a.m.cfg.SnapshotBytes {
		return nil
	}
	data, err := a.m.machine.Snapshot()
	if err != nil {
		return err
	}
	select {
	case <-inner.Done():
	case a.m.snapshots <- quorum.Snapshot{Index: a.applied, Data: data}:
		a.bytes = 0
	}
	return nil
}
