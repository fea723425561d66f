// Package journal stores the log, the hard state and the snapshots of one consensus group under one folder. What Sync has
// confirmed survives a crash of the machine.
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
	// rotateBytes is the least size of a segment that a snapshot closes; smaller ones aren't worth a new file.
	rotateBytes = 64 << 10
)

// Config holds the settings of a journal.
type Config struct {
	Folder       string
	Files        Files // System() by default
	SegmentBytes int64 // a larger segment is closed; 16 MiB by default
}

// Journal is the durable part of one group. It isn't safe for concurrent use, except that SaveSnapshot may run at the same
// time as the other methods.
type Journal struct {
	cfg      Config
	identity string
	failure  error // the first failed write or sync; nothing is written after it

	hard      quorum.HardState
	snapshot  atomic.Uint64 // index of the newest durable snapshot
	rotate    atomic.Bool   // close the segment at the next record, if it is large enough
	sequence  uint64        // of the next record
	segments  []segment
	current   *os.File
	lock      *os.File
	pending   []item
	pendingBy int // bytes of the pending entries
}

// segment is one log file. Last is the largest index of an entry in it.
type segment struct {
	name string
	last quorum.Index
	size int64
}

// Open reads the folder, repairs a torn tail and returns what is stored. An empty folder gets a new random identity. It
// fails with fault.Corrupt when synced data is damaged or missing.
func Open(cfg Config) (*Journal, quorum.Loaded, error) {
	if cfg.Files.Open == nil {
		cfg.Files = System()
	}
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	j := &Journal{cfg: cfg, sequence: 1}
	if err := cfg.Files.MakeFolder(cfg.Folder); err != nil {
		return nil, quorum.Loaded{}, diskError(err, "cannot create folder %s", cfg.Folder)
	}
	if err := cfg.Files.SyncFolder(filepath.Dir(cfg.Folder)); err != nil {
		return nil, quorum.Loaded{}, diskError(err, "cannot sync the folder above %s", cfg.Folder)
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

// lockFolder keeps a second process out of the folder: two writers would destroy the log and share one vote.
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

// Size returns the bytes of all log segments.
func (j *Journal) Size() int64 {
	var size int64
	for _, s := range j.segments {
		size += s.size
	}
	return size
}

// Append takes a write. It is durable after the next Sync; several writes share one.
func (j *Journal) Append(p quorum.Persist) error {
	if j.failure != nil {
		return j.failure
	}
	if p.Snapshot != nil {
		// A snapshot needs a log with the hard state beside it.
		if err := j.Sync(); err != nil {
			return err
		}
		// The log before a reset must not disappear before the snapshot that replaces it is durable.
		if err := j.SaveSnapshot(*p.Snapshot); err != nil {
			return j.fail(err)
		}
	}
	first := item{Hard: p.HardState}
	if p.Reset {
		first.Reset = &p.Snapshot.Index
	}
	j.pending = append(j.pending, first)
	return j.appendEntries(p.Entries)
}

// appendEntries cuts entries into records of bounded size. A crash between two records leaves the first entries, which is
// as good as none of them: the write isn't confirmed yet.
func (j *Journal) appendEntries(entries []quorum.Entry) error {
	start := 0
	for i, entry := range entries {
		j.pendingBy += len(entry.Data) + headerBytes
		if j.pendingBy > batchBytes {
			j.pending = append(j.pending, item{Entries: entries[start : i+1]})
			start = i + 1
			if err := j.Sync(); err != nil {
				return err
			}
		}
	}
	if start < len(entries) {
		j.pending = append(j.pending, item{Entries: entries[start:]})
	}
	return nil
}

// Sync makes every appended write durable with one record and one sync. A failure is final: fault.DiskFull when the space
// ran out, fault.DiskFailed otherwise. Trying again proves nothing, because the system may have dropped the unwritten
// pages and report success the next time.
func (j *Journal) Sync() error {
	if j.failure != nil {
		return j.failure
	}
	if len(j.pending) == 0 {
		return nil
	}
	if err := j.writePending(); err != nil {
		return j.fail(err)
	}
	if err := j.removeOld(); err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) fail(err error) error {
	j.failure = err
	return err
}

func (j *Journal) writePending() error {
	for _, next := range j.pending {
		if next.Hard != nil {
			j.hard = *next.Hard
		}
	}
	if j.segmentFull() {
		if err := j.startSegment(); err != nil {
			return err
		}
	}
	if err := j.writeRecord(j.pending); err != nil {
		return err
	}
	s := &j.segments[len(j.segments)-1]
	for _, next := range j.pending {
		if len(next.Entries) > 0 {
			s.last = max(s.last, next.Entries[len(next.Entries)-1].Index)
		}
	}
	j.pending, j.pendingBy = nil, 0
	return nil
}

// segmentFull reports whether the next record needs a new segment.
func (j *Journal) segmentFull() bool {
	if j.current == nil {
		return true
	}
	size := j.segments[len(j.segments)-1].size
	return size >= j.cfg.SegmentBytes || (j.rotate.Swap(false) && size >= rotateBytes)
}

// writeRecord writes one record to the current segment and syncs it.
func (j *Journal) writeRecord(items []item) error {
	payload, err := codec.Marshal(items)
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes {
		return fault.TooLarge.New("record has %d bytes, at most %d are allowed", len(payload), maxPayloadBytes)
	}
	data := encodeRecord(recordMagic, j.sequence, payload)
	if err := j.checkSpace(len(data)); err != nil {
		return err
	}
	s := &j.segments[len(j.segments)-1]
	if err := j.write(j.current, data); err != nil {
		// Without space part of the record may be there. Cutting it off is a courtesy to the next start, which would repair
		// the torn tail in the same way.
		_ = j.cfg.Files.Truncate(j.current, s.size)
		return err
	}
	if err := j.cfg.Files.Sync(j.current); err != nil {
		return diskError(err, "cannot sync segment %s", s.name)
	}
	s.size += int64(len(data))
	j.sequence++
	return nil
}

func (j *Journal) write(file *os.File, data []byte) error {
	if n, err := j.cfg.Files.Write(file, data); err != nil || n != len(data) {
		return diskError(err, "wrote %d of %d bytes to %s", n, len(data), file.Name())
	}
	return nil
}

// checkSpace fails with fault.DiskFull before anything is written.
func (j *Journal) checkSpace(bytes int) error {
	free, err := j.cfg.Files.Free(j.cfg.Folder)
	if err != nil {
		return diskError(err, "cannot read the free space of %s", j.cfg.Folder)
	}
	if free < uint64(bytes)+reserveBytes {
		return fault.DiskFull.New("%d bytes are free in %s, %d and a reserve of %d are needed",
			free, j.cfg.Folder, bytes, reserveBytes)
	}
	return nil
}

// startSegment creates the next segment. It starts with the hard state, so that older segments can be removed.
func (j *Journal) startSegment() error {
	if err := j.closeSegment(); err != nil {
		return err
	}
	name := segmentName(j.sequence)
	file, err := j.cfg.Files.Open(j.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return diskError(err, "cannot create segment %s", name)
	}
	j.current = file
	j.segments = append(j.segments, segment{name: name})
	hard := j.hard
	if err := j.writeRecord([]item{{Hard: &hard}}); err != nil {
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

// removeOld removes the leading segments whose entries a durable snapshot covers.
func (j *Journal) removeOld() error {
	keep := 0
	for keep < len(j.segments)-1 && uint64(j.segments[keep].last) <= j.snapshot.Load() {
		if err := j.cfg.Files.Remove(j.path(j.segments[keep].name)); err != nil {
			return diskError(err, "cannot remove segment %s", j.segments[keep].name)
		}
		keep++
	}
	j.segments = slices.Delete(j.segments, 0, keep)
	return nil
}

// Close closes the files. Writes that weren't synced are lost.
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
