// Package journal stores the log, the hard state and the snapshots of one consensus group in a folder. Data survives a crash of
// the machine once Sync or SaveSnapshot has succeeded.
package journal

import (
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	defaultSegmentBytes = 16 << 20
	// minRotateBytes is the size from which on a segment is closed after a snapshot. Smaller ones aren't worth a new file.
	minRotateBytes = 64 << 10
)

// Config holds the settings of a journal.
type Config struct {
	Folder       string
	Files        Files // System() by default
	SegmentBytes int64 // size from which on a segment is closed, 16 MiB by default
}

// Journal stores the durable state of one group. It isn't safe for concurrent use, except that SaveSnapshot may run
// concurrently with the other methods.
type Journal struct {
	cfg      Config
	identity string
	failure  error // the first failed write or sync; nothing is written after it

	hardState       quorum.HardState
	logEnd          quorum.Index  // index of the last entry that was written
	snapshotIndex   atomic.Uint64 // index of the newest durable snapshot
	rotateRequested atomic.Bool   // close the segment before the next record if it is large enough
	nextSequence    uint64        // sequence number of the next record
	segments        []segment
	current         *os.File
	lock            *os.File
	pending         []logChange
	pendingBytes    int // size of the pending entries
}

// segment is one log file. lastIndex is the largest index of its entries.
type segment struct {
	name      string
	lastIndex quorum.Index
	size      int64
}

// Open opens the journal in a folder and returns the stored state. An incomplete record at the end of the log, left by a
// crash, is removed. An empty folder gets a new random identity. Open fails with fault.Corrupt if synced data is damaged or
// missing, and with fault.BadSetting if another process uses the folder.
func Open(cfg Config) (*Journal, quorum.Loaded, error) {
	if cfg.Files.Open == nil {
		cfg.Files = System()
	}
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	j := &Journal{cfg: cfg, nextSequence: 1}
	if err := cfg.Files.MakeFolder(cfg.Folder); err != nil {
		return nil, quorum.Loaded{}, diskError(err, "cannot create folder %s", cfg.Folder)
	}
	if err := cfg.Files.SyncFolder(filepath.Dir(cfg.Folder)); err != nil {
		return nil, quorum.Loaded{}, diskError(err, "cannot sync the parent folder of %s", cfg.Folder)
	}
	if err := j.lockFolder(); err != nil {
		return nil, quorum.Loaded{}, err
	}
	loaded, err := j.load()
	if err != nil {
		_ = j.Close()
		return nil, quorum.Loaded{}, err
	}
	return j, loaded, nil
}

// lockFolder locks the folder against other processes. Two processes would corrupt the log, and both could vote as one node.
func (j *Journal) lockFolder() error {
	file, err := j.cfg.Files.Open(j.path(lockName), os.O_CREATE|os.O_WRONLY)
	if err != nil {
		return diskError(err, "cannot open %s", j.path(lockName))
	}
	if err := j.cfg.Files.Lock(file); err != nil {
		_ = file.Close()
		return fault.BadSetting.Wrap(err, "folder %s is used by another process", j.cfg.Folder)
	}
	j.lock = file
	return nil
}

// Identity returns the random identity of this folder, 32 hex digits.
func (j *Journal) Identity() string {
	return j.identity
}

// Size returns the total size of all log segments in bytes.
func (j *Journal) Size() int64 {
	var size int64
	for _, s := range j.segments {
		size += s.size
	}
	return size
}

// Append adds a write, which is durable after the next Sync. One Sync can make several writes durable.
func (j *Journal) Append(p quorum.Persist) error {
	if j.failure != nil {
		return j.failure
	}
	if p.Snapshot != nil {
		// A folder with a snapshot is only valid together with a log that contains the hard state.
		if err := j.Sync(); err != nil {
			return err
		}
		// The snapshot must be durable before a reset drops the log that it replaces.
		if err := j.SaveSnapshot(*p.Snapshot); err != nil {
			return j.recordFailure(err)
		}
	}
	first := logChange{HardState: p.HardState}
	if p.Reset {
		first.Reset = &p.Snapshot.Index
	}
	j.pending = append(j.pending, first)
	return j.appendEntries(p.Entries)
}

// appendEntries adds entries to the pending changes and syncs whenever these exceed targetRecordBytes. A crash between two
// records may keep only the first entries of a write. That is allowed, because the write has not been confirmed yet.
func (j *Journal) appendEntries(entries []quorum.Entry) error {
	start := 0
	for i, entry := range entries {
		j.pendingBytes += len(entry.Data) + headerBytes
		if j.pendingBytes > targetRecordBytes {
			j.pending = append(j.pending, logChange{Entries: entries[start : i+1]})
			start = i + 1
			if err := j.Sync(); err != nil {
				return err
			}
		}
	}
	if start < len(entries) {
		j.pending = append(j.pending, logChange{Entries: entries[start:]})
	}
	return nil
}

// Sync makes all appended writes durable with one record and one file sync. It fails with fault.DiskFull if there is not
// enough space and with fault.DiskFailed if a file operation fails. A failure is final: after a failed sync the operating
// system may drop the unwritten pages and report success for the next sync, so a retry would prove nothing.
func (j *Journal) Sync() error {
	if j.failure != nil {
		return j.failure
	}
	if len(j.pending) == 0 {
		return nil
	}
	if err := j.writePending(); err != nil {
		return j.recordFailure(err)
	}
	if err := j.removeCoveredSegments(); err != nil {
		return j.recordFailure(err)
	}
	return nil
}

func (j *Journal) recordFailure(err error) error {
	j.failure = err
	return err
}

func (j *Journal) writePending() error {
	for _, change := range j.pending {
		if change.HardState != nil {
			j.hardState = *change.HardState
		}
	}
	if j.needsNewSegment() {
		if err := j.startSegment(); err != nil {
			return err
		}
	}
	if err := j.writeRecord(j.pending); err != nil {
		return err
	}
	s := &j.segments[len(j.segments)-1]
	for _, change := range j.pending {
		if change.Reset != nil {
			j.logEnd = *change.Reset
		}
		if len(change.Entries) > 0 {
			j.logEnd = change.Entries[len(change.Entries)-1].Index
			s.lastIndex = max(s.lastIndex, j.logEnd)
		}
	}
	j.pending, j.pendingBytes = nil, 0
	return nil
}

// needsNewSegment reports whether the next record needs a new segment.
func (j *Journal) needsNewSegment() bool {
	if j.current == nil {
		return true
	}
	size := j.segments[len(j.segments)-1].size
	return size >= j.cfg.SegmentBytes || (j.rotateRequested.Swap(false) && size >= minRotateBytes)
}

// writeRecord writes one record to the current segment and syncs the segment.
func (j *Journal) writeRecord(changes []logChange) error {
	payload, err := codec.Marshal(changes)
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes {
		return fault.TooLarge.New("record has %d bytes, at most %d are allowed", len(payload), maxPayloadBytes)
	}
	data := encodeRecord(recordMagic, j.nextSequence, payload)
	if err := j.checkSpace(len(data)); err != nil {
		return err
	}
	s := &j.segments[len(j.segments)-1]
	if err := j.write(j.current, data); err != nil {
		// If the disk is full, part of the record may have been written. Truncating the segment is optional: the next Open
		// would remove the incomplete record as well.
		_ = j.cfg.Files.Truncate(j.current, s.size)
		return err
	}
	if err := j.cfg.Files.Sync(j.current); err != nil {
		return diskError(err, "cannot sync segment %s", s.name)
	}
	s.size += int64(len(data))
	j.nextSequence++
	return nil
}

func (j *Journal) write(file *os.File, data []byte) error {
	if n, err := j.cfg.Files.Write(file, data); err != nil || n != len(data) {
		return diskError(err, "wrote %d of %d bytes to %s", n, len(data), file.Name())
	}
	return nil
}

// checkSpace fails with fault.DiskFull unless a write of this size leaves reservedFreeBytes free.
func (j *Journal) checkSpace(bytes int) error {
	free, err := j.cfg.Files.Free(j.cfg.Folder)
	if err != nil {
		return diskError(err, "cannot read the free space of %s", j.cfg.Folder)
	}
	if free < uint64(bytes)+reservedFreeBytes {
		return fault.DiskFull.New("%d bytes are free in %s, %d and a reserve of %d are needed",
			free, j.cfg.Folder, bytes, reservedFreeBytes)
	}
	return nil
}

// startSegment creates the next segment. Its first record contains the hard state, so that older segments can be removed.
func (j *Journal) startSegment() error {
	if err := j.closeSegment(); err != nil {
		return err
	}
	name := segmentName(j.nextSequence)
	file, err := j.cfg.Files.Open(j.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return diskError(err, "cannot create segment %s", name)
	}
	j.current = file
	j.segments = append(j.segments, segment{name: name})
	hard, end := j.hardState, j.logEnd
	if err := j.writeRecord([]logChange{{HardState: &hard, LogEnd: &end}}); err != nil {
		return err
	}
	return j.syncFolder()
}

func (j *Journal) closeSegment() error {
	if j.current == nil {
		return nil
	}
	err := j.current.Close()
	j.current = nil
	if err != nil {
		return diskError(err, "cannot close a segment")
	}
	return nil
}

func (j *Journal) syncFolder() error {
	if err := j.cfg.Files.SyncFolder(j.cfg.Folder); err != nil {
		return diskError(err, "cannot sync folder %s", j.cfg.Folder)
	}
	return nil
}

// removeCoveredSegments removes the oldest segments, as long as all their entries are covered by a durable snapshot. The folder isn't
// synced in between: after a loss of power any of them may be back, which load allows for.
func (j *Journal) removeCoveredSegments() error {
	keep := 0
	for keep < len(j.segments)-1 && uint64(j.segments[keep].lastIndex) <= j.snapshotIndex.Load() {
		if err := j.cfg.Files.Remove(j.path(j.segments[keep].name)); err != nil {
			return diskError(err, "cannot remove segment %s", j.segments[keep].name)
		}
		keep++
	}
	j.segments = slices.Delete(j.segments, 0, keep)
	return nil
}

// Close closes the files and releases the lock of the folder. Writes that weren't synced are lost.
func (j *Journal) Close() error {
	err := j.closeSegment()
	if lockErr := j.lock.Close(); err == nil && lockErr != nil {
		err = diskError(lockErr, "cannot release the lock of %s", j.cfg.Folder)
	}
	return err
}

func (j *Journal) path(name string) string {
	return filepath.Join(j.cfg.Folder, name)
}
