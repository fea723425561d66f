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

// replay is the log as far as it has been read.
type replay struct {
	hard    quorum.HardState
	entries []quorum.Entry
	after   *quorum.Index // set by a reset: the next entry must follow this index
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
	read := &replay{}
	if err := j.loadSegments(names, read); err != nil {
		return quorum.Loaded{}, err
	}
	if snapshot.Index > 0 && len(j.segments) == 0 {
		return quorum.Loaded{}, fault.Corrupt.New("folder %s holds a snapshot of %d and no log", j.cfg.Folder, snapshot.Index)
	}
	if err := j.loadIdentity(names, found || len(j.segments) > 0); err != nil {
		return quorum.Loaded{}, err
	}
	j.hard = read.hard
	j.snapshot.Store(uint64(snapshot.Index))
	entries, err := read.behind(snapshot)
	if len(entries) == 0 && snapshot.Index > 0 {
		// A crash may have come between the snapshot and the record that resets the log to it. Without that record the next
		// entry wouldn't follow what the log holds.
		j.pending = append(j.pending, item{Reset: &snapshot.Index})
	}
	return quorum.Loaded{HardState: read.hard, Snapshot: snapshot, Entries: entries}, err
}

// removeTemporary removes files that were never renamed.
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

// loadSnapshot reads the newest snapshot. A damaged one isn't replaced by an older one: the log between them may be gone.
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
		err = fault.Corrupt.New("snapshot %s holds index %d", newest, s.Index)
	}
	return s, true, err
}

func (j *Journal) loadSegments(names []string, read *replay) error {
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			segments = append(segments, name)
		}
	}
	for i, name := range segments {
		if err := j.loadSegment(name, i == len(segments)-1, read); err != nil {
			return err
		}
	}
	return nil
}

// loadSegment reads one segment and, in the last one, cuts off a torn tail.
func (j *Journal) loadSegment(name string, last bool, read *replay) error {
	data, err := j.cfg.Files.Read(j.path(name))
	if err != nil {
		return diskError(err, "cannot read segment %s", name)
	}
	if len(j.segments) == 0 {
		// The sequence of the oldest segment that is left is known from its name.
		if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &j.sequence); err != nil {
			return fault.Corrupt.Wrap(err, "segment %s has an unknown name", name)
		}
	}
	if name != segmentName(j.sequence) {
		return fault.Corrupt.New("segment %s doesn't start with record %d", name, j.sequence)
	}
	s := segment{name: name}
	for s.size < int64(len(data)) {
		sequence, payload, err := decodeRecord(recordMagic, data[s.size:])
		if err != nil && last && !laterRecord(data[s.size:], j.sequence) {
			break
		}
		if err == nil {
			err = j.loadRecord(sequence, payload, &s, read)
		}
		if err != nil {
			return fault.Corrupt.Wrap(err, "segment %s is damaged at byte %d", name, s.size)
		}
		s.size += int64(headerBytes + len(payload))
	}
	return j.adoptSegment(s, int64(len(data)), last)
}

// loadRecord applies a record whose checksum matched.
func (j *Journal) loadRecord(sequence uint64, payload []byte, s *segment, read *replay) error {
	if sequence != j.sequence {
		return fault.Corrupt.New("record %d stands in the place of record %d", sequence, j.sequence)
	}
	items, err := decodeItems(payload)
	if err != nil {
		return err
	}
	for _, next := range items {
		if err := read.apply(next); err != nil {
			return err
		}
		if len(next.Entries) > 0 {
			s.last = max(s.last, next.Entries[len(next.Entries)-1].Index)
		}
	}
	j.sequence++
	return nil
}

// adoptSegment keeps a segment that was read. The last one is repaired and opened for appending; when a crash left it
// without any record, it is removed.
func (j *Journal) adoptSegment(s segment, found int64, last bool) error {
	if s.size == 0 {
		if !last {
			return fault.Corrupt.New("segment %s is empty", s.name)
		}
		klog.Infof("journal: removed segment %s, which holds no complete record", s.name)
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
	if found > s.size {
		klog.Infof("journal: cut %d bytes of a torn record off segment %s", found-s.size, s.name)
		if err := j.cfg.Files.Truncate(file, s.size); err != nil {
			return diskError(err, "cannot truncate segment %s", s.name)
		}
	}
	// What was read may still be in the page cache only, when the process crashed before it synced.
	if err := j.cfg.Files.Sync(file); err != nil {
		return diskError(err, "cannot sync segment %s", s.name)
	}
	return j.syncFolder()
}

// loadIdentity reads the identity or, when the folder holds nothing at all, creates one.
func (j *Journal) loadIdentity(names []string, used bool) error {
	if !slices.Contains(names, identityName) {
		if used {
			return fault.Corrupt.New("folder %s holds a log and no identity", j.cfg.Folder)
		}
		return j.createIdentity()
	}
	data, err := j.cfg.Files.Read(j.path(identityName))
	if err != nil {
		return diskError(err, "cannot read the identity in %s", j.cfg.Folder)
	}
	var sum uint32
	if _, err := fmt.Sscanf(string(data), "%32s %08x\n", &j.identity, &sum); err != nil {
		return fault.Corrupt.Wrap(err, "identity in %s is unreadable", j.cfg.Folder)
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

// apply adds one item to the log read so far.
func (r *replay) apply(next item) error {
	if next.Hard != nil {
		r.hard = *next.Hard
	}
	if next.Reset != nil {
		r.entries, r.after = nil, next.Reset
	}
	for _, entry := range next.Entries {
		if err := r.add(entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *replay) add(entry quorum.Entry) error {
	if len(r.entries) == 0 {
		if r.after != nil && entry.Index != *r.after+1 {
			return fault.Corrupt.New("entry %d follows a snapshot of %d", entry.Index, *r.after)
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

// behind returns the entries that follow the snapshot. Entries that contradict the snapshot belong to a log that the
// snapshot replaced just before a crash.
func (r *replay) behind(s quorum.Snapshot) ([]quorum.Entry, error) {
	if len(r.entries) == 0 {
		return nil, nil
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
