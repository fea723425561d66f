package journal

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// replay is the state after the log records read so far, from the first segment or from the last gap between segments on.
type replay struct {
	hardState  quorum.HardState
	entries    []quorum.Entry
	resetIndex *quorum.Index // set by a reset: the index that the next entry must follow
	logEnd     *quorum.Index // index of the last entry before the first segment read, nil if the segment doesn't say
	afterGap   bool          // segments are missing before the first one read
}

func (j *Journal) load() (quorum.Loaded, error) {
	names, err := j.cfg.Files.List(j.cfg.Folder)
	if err != nil {
		return quorum.Loaded{}, diskError(err, "cannot list %s", j.cfg.Folder)
	}
	slices.Sort(names)
	if err := j.removeTemporary(names); err != nil {
		return quorum.Loaded{}, err
	}
	snapshot, found, err := j.loadSnapshot(names)
	if err != nil {
		return quorum.Loaded{}, err
	}
	replayed := &replay{}
	if err := j.loadSegments(names, replayed); err != nil {
		return quorum.Loaded{}, err
	}
	if snapshot.Index > 0 && len(j.segments) == 0 {
		return quorum.Loaded{}, fault.Corrupt.New("folder %s contains a snapshot up to entry %d but no log",
			j.cfg.Folder, snapshot.Index)
	}
	if err := j.loadIdentity(names, found || len(j.segments) > 0); err != nil {
		return quorum.Loaded{}, err
	}
	j.hardState = replayed.hardState
	j.snapshotIndex.Store(uint64(snapshot.Index))
	entries, err := replayed.entriesAfter(snapshot)
	if err != nil {
		return quorum.Loaded{}, fault.Corrupt.Wrap(err, "folder %s contains the segments %v and a snapshot up to entry %d", j.cfg.Folder,
			j.segmentNames(), snapshot.Index)
	}
	j.logEnd = snapshot.Index
	if len(entries) > 0 {
		j.logEnd = entries[len(entries)-1].Index
	} else if snapshot.Index > 0 {
		// A crash may have happened after the snapshot was saved and before the record that resets the log was written. The
		// reset is repeated here, since otherwise the next entry would not follow the entries in the log.
		j.pending = append(j.pending, logChange{Reset: &snapshot.Index})
	}
	return quorum.Loaded{HardState: replayed.hardState, Snapshot: snapshot, Entries: entries}, nil
}

func (j *Journal) segmentNames() []string {
	var names []string
	for _, s := range j.segments {
		names = append(names, s.name)
	}
	return names
}

// removeTemporary removes temporary files that a crash left behind.
func (j *Journal) removeTemporary(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := j.cfg.Files.Remove(j.path(name)); err != nil {
				return diskError(err, "cannot remove %s", name)
			}
		}
	}
	return nil
}

// loadSnapshot reads the newest snapshot and reports whether there is one. If it is damaged, an older snapshot isn't used
// instead, because the log between the two may have been removed.
func (j *Journal) loadSnapshot(names []string) (quorum.Snapshot, bool, error) {
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, temporarySuffix) {
			newest = name
		}
	}
	if newest == "" {
		return quorum.Snapshot{}, false, nil
	}
	data, err := j.cfg.Files.Read(j.path(newest))
	if err != nil {
		return quorum.Snapshot{}, true, diskError(err, "cannot read %s", newest)
	}
	s, err := decodeSnapshot(data)
	if err == nil && snapshotName(s.Index) != newest {
		err = fault.Corrupt.New("snapshot file %s contains a snapshot up to entry %d", newest, s.Index)
	}
	return s, true, err
}

func (j *Journal) loadSegments(names []string, replayed *replay) error {
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			segments = append(segments, name)
		}
	}
	for i, name := range segments {
		if err := j.loadSegment(name, i == len(segments)-1, replayed); err != nil {
			return err
		}
	}
	return nil
}

// loadSegment reads one segment. In the last segment, an incomplete record at the end is removed.
//
// If segments are missing before it, reading starts anew with this one, which has the hard state: a loss of power may undo any of the
// removals since the last sync of the folder. Whether the snapshot covers what is missing is checked in entriesAfter. The segments before
// the gap have no entry that is needed, and are removed with the next covered ones.
func (j *Journal) loadSegment(name string, last bool, replayed *replay) error {
	data, err := j.cfg.Files.Read(j.path(name))
	if err != nil {
		return diskError(err, "cannot read segment %s", name)
	}
	gap := len(j.segments) > 0 && name > segmentName(j.nextSequence)
	if len(j.segments) == 0 || gap {
		*replayed = replay{afterGap: gap}
		for i := range j.segments {
			j.segments[i].lastIndex = 0
		}
		// The sequence number of the first record is only known from the segment's name.
		if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &j.nextSequence); err != nil {
			return fault.Corrupt.Wrap(err, "segment name %s contains no sequence number", name)
		}
	}
	if name != segmentName(j.nextSequence) {
		return fault.Corrupt.New("segment %s doesn't start with record %d", name, j.nextSequence)
	}
	s := segment{name: name}
	for s.size < int64(len(data)) {
		sequence, payload, err := decodeRecord(recordMagic, data[s.size:])
		if err != nil && last && !hasLaterRecord(data[s.size:], j.nextSequence) {
			break
		}
		if err == nil {
			err = j.loadRecord(sequence, payload, &s, replayed)
		}
		if err != nil {
			return fault.Corrupt.Wrap(err, "segment %s is damaged at byte %d", name, s.size)
		}
		s.size += int64(headerBytes + len(payload))
	}
	if gap && s.size == 0 {
		return fault.Corrupt.New("segments are missing before segment %s, which contains no complete record", name)
	}
	return j.finishSegment(s, int64(len(data)), last)
}

// loadRecord applies the changes in a record whose checksum was verified.
func (j *Journal) loadRecord(sequence uint64, payload []byte, s *segment, replayed *replay) error {
	if sequence != j.nextSequence {
		return fault.Corrupt.New("found record %d instead of record %d", sequence, j.nextSequence)
	}
	changes, err := decodeChanges(payload)
	if err != nil {
		return err
	}
	for _, change := range changes {
		if err := replayed.apply(change); err != nil {
			return err
		}
		if len(change.Entries) > 0 {
			s.lastIndex = max(s.lastIndex, change.Entries[len(change.Entries)-1].Index)
		}
	}
	j.nextSequence++
	return nil
}

// finishSegment adds a segment that was read to the journal. The last segment is truncated to
// its complete records and opened for appending. If it has no complete record because of a crash, it is removed.
func (j *Journal) finishSegment(s segment, fileSize int64, last bool) error {
	if s.size == 0 {
		if !last {
			return fault.Corrupt.New("segment %s is empty", s.name)
		}
		klog.Infof("journal: removed segment %s, which contains no complete record", s.name)
		if err := j.cfg.Files.Remove(j.path(s.name)); err != nil {
			return diskError(err, "cannot remove segment %s", s.name)
		}
		return j.syncFolder()
	}
	j.segments = append(j.segments, s)
	if !last {
		return nil
	}
	file, err := j.cfg.Files.Open(j.path(s.name), os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return diskError(err, "cannot open segment %s", s.name)
	}
	j.current = file
	if fileSize > s.size {
		klog.Infof("journal: removed %d bytes of an incomplete record from the end of segment %s", fileSize-s.size, s.name)
		if err := j.cfg.Files.Truncate(file, s.size); err != nil {
			return diskError(err, "cannot truncate segment %s", s.name)
		}
	}
	// If the previous process crashed before it synced, the data just read may exist only in the page cache.
	if err := j.cfg.Files.Sync(file); err != nil {
		return diskError(err, "cannot sync segment %s", s.name)
	}
	return j.syncFolder()
}

// loadIdentity reads the identity. If there is none, it creates one, unless used says that the folder contains a log or a
// snapshot.
func (j *Journal) loadIdentity(names []string, used bool) error {
	if !slices.Contains(names, identityName) {
		if used {
			return fault.Corrupt.New("folder %s contains a log or a snapshot but no identity", j.cfg.Folder)
		}
		return j.createIdentity()
	}
	data, err := j.cfg.Files.Read(j.path(identityName))
	if err != nil {
		return diskError(err, "cannot read the identity in %s", j.cfg.Folder)
	}
	var sum uint32
	if _, err := fmt.Sscanf(string(data), "%32s %08x\n", &j.identity, &sum); err != nil {
		return fault.Corrupt.Wrap(err, "cannot parse the identity in %s", j.cfg.Folder)
	}
	if sum != crc32.Checksum([]byte(j.identity), castagnoli) {
		return fault.Corrupt.New("identity in %s has a wrong checksum", j.cfg.Folder)
	}
	return nil
}

func (j *Journal) createIdentity() error {
	random := make([]byte, 16)
	// crypto/rand.Read never returns an error since Go 1.24; it aborts the process instead.
	_, _ = rand.Read(random)
	j.identity = hex.EncodeToString(random)
	line := fmt.Sprintf("%s %08x\n", j.identity, crc32.Checksum([]byte(j.identity), castagnoli))
	return j.replaceFile(identityName, []byte(line))
}

// apply applies one change to the state read so far.
func (r *replay) apply(change logChange) error {
	if change.HardState != nil {
		r.hardState = *change.HardState
	}
	if change.LogEnd != nil && r.logEnd == nil && len(r.entries) == 0 {
		r.logEnd = change.LogEnd
	}
	if change.Reset != nil {
		r.entries, r.resetIndex = nil, change.Reset
	}
	for _, entry := range change.Entries {
		if err := r.add(entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *replay) add(entry quorum.Entry) error {
	if len(r.entries) == 0 {
		if r.resetIndex != nil && entry.Index != *r.resetIndex+1 {
			return fault.Corrupt.New("entry %d follows a snapshot up to entry %d", entry.Index, *r.resetIndex)
		}
		r.entries = append(r.entries, entry)
		return nil
	}
	first := r.entries[0].Index
	if entry.Index > first+quorum.Index(len(r.entries)) {
		return fault.Corrupt.New("entry %d follows entry %d", entry.Index, first+quorum.Index(len(r.entries))-1)
	}
	if entry.Index < first {
		r.entries = r.entries[:0]
	} else {
		r.entries = r.entries[:entry.Index-first]
	}
	r.entries = append(r.entries, entry)
	return nil
}

// entriesAfter returns the entries that follow the snapshot. There are none if the term of the entry at the snapshot's index
// differs from the snapshot: the entries then belong to a log that the snapshot replaced just before a crash. It fails with fault.Corrupt
// if entries may be missing between the snapshot and the segments that were read.
func (r *replay) entriesAfter(s quorum.Snapshot) ([]quorum.Entry, error) {
	if len(r.entries) == 0 {
		return nil, r.checkCovered(s)
	}
	first := r.entries[0].Index
	last := r.entries[len(r.entries)-1].Index
	if first > s.Index+1 {
		return nil, fault.Corrupt.New("log starts with entry %d and the newest snapshot ends with %d", first, s.Index)
	}
	if last <= s.Index {
		return nil, nil
	}
	if first <= s.Index && r.entries[s.Index-first].Term != s.Term {
		return nil, nil
	}
	return r.entries[s.Index+1-first:], nil
}

// checkCovered fails if a log without entries may have lost some that the snapshot doesn't cover.
func (r *replay) checkCovered(s quorum.Snapshot) error {
	before := r.logEnd
	if r.resetIndex != nil {
		before = r.resetIndex
	}
	if before == nil {
		if r.afterGap {
			return fault.Corrupt.New("segments are missing, and nothing says that the snapshot covers them")
		}
		return nil
	}
	if *before > s.Index {
		return fault.Corrupt.New("entries up to %d are missing and the newest snapshot ends with %d", *before, s.Index)
	}
	return nil
}
