package journal

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

const entriesPerSegment = 3

// segmentedFolder is the folder of a closed journal. Segment i, from 0 on, holds entriesPerSegment entries; the last segment has no entry.
type segmentedFolder struct {
	path     string
	segments []string // paths, in order
}

func newSegmentedFolder(t *testing.T, segments int) segmentedFolder {
	t.Helper()
	f := segmentedFolder{path: filepath.Join(t.TempDir(), "group")}
	j, _, err := Open(Config{Folder: f.path, Files: unsyncedFiles(), SegmentBytes: 1 << 20})
	assert.NilError(t, err)
	for i := range segments {
		for k := range entriesPerSegment {
			assert.NilError(t, j.Append(quorum.Persist{Entries: entriesFrom(quorum.Index(i*entriesPerSegment+k+1), 1, 1)}))
			assert.NilError(t, j.Sync())
		}
		j.cfg.SegmentBytes = 1 // close the segment before the next record
		assert.NilError(t, j.Append(quorum.Persist{HardState: &quorum.HardState{Term: quorum.Term(i + 2), Group: "g"}}))
		assert.NilError(t, j.Sync())
		j.cfg.SegmentBytes = 1 << 20
	}
	for _, s := range j.segments {
		f.segments = append(f.segments, j.path(s.name))
	}
	assert.NilError(t, j.Close())
	return f
}

// saveSnapshot saves a snapshot beside the segments, none of which is removed.
func (f segmentedFolder) saveSnapshot(t *testing.T, index quorum.Index) {
	t.Helper()
	data, err := encodeSnapshot(quorum.Snapshot{Index: index, Term: 1})
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(f.path, snapshotName(index)), data, fileMode))
}

// removeLogEnds writes all records as the builds before LogEnd did.
func (f segmentedFolder) removeLogEnds(t *testing.T) {
	t.Helper()
	for _, path := range f.segments {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		var rewritten []byte
		for len(data) > 0 {
			sequence, payload, err := decodeRecord(recordMagic, data)
			assert.NilError(t, err)
			changes, err := decodeChanges(payload)
			assert.NilError(t, err)
			for i := range changes {
				changes[i].LogEnd = nil
			}
			data = data[headerBytes+len(payload):]
			payload, err = codec.Marshal(changes)
			assert.NilError(t, err)
			rewritten = append(rewritten, encodeRecord(recordMagic, sequence, payload)...)
		}
		assert.NilError(t, os.WriteFile(path, rewritten, fileMode))
	}
}

func (f segmentedFolder) open() (*Journal, quorum.Loaded, error) {
	return Open(Config{Folder: f.path, Files: unsyncedFiles()})
}

// Guards against a gap between segments that counts as damage though a snapshot covers it (CONFIG, review/6), and against a log that opens
// without entries that no snapshot covers.
func TestMissingSegmentsAreDamageUnlessASnapshotCoversThem(t *testing.T) {
	cases := []struct {
		name     string
		segments int // with entries; one without follows
		remove   []int
		empty    []int          // segments that are left without a record
		snapshot []quorum.Index // 0 for none
		earlier  bool           // written by a build that doesn't write LogEnd
		opens    bool
		entries  int
	}{
		{name: "a covered segment is missing", segments: 3, remove: []int{1}, snapshot: []quorum.Index{6}, opens: true, entries: 3},
		{name: "two covered segments are missing, not the first", segments: 4, remove: []int{1, 2}, snapshot: []quorum.Index{9}, opens: true, entries: 3},
		{name: "the first and the third are missing", segments: 4, remove: []int{0, 2}, snapshot: []quorum.Index{9}, opens: true, entries: 3},
		{name: "all covered segments are missing", segments: 3, remove: []int{0, 1}, snapshot: []quorum.Index{6}, opens: true, entries: 3},
		{name: "the snapshot covers all entries", segments: 2, remove: []int{1}, snapshot: []quorum.Index{6}, opens: true},
		{name: "the snapshot ends in the missing segment", segments: 3, remove: []int{1}, snapshot: []quorum.Index{5}},
		{name: "no snapshot", segments: 3, remove: []int{1}},
		{name: "no snapshot, the first is missing", segments: 3, remove: []int{0}},
		{name: "the last entries are missing", segments: 2, remove: []int{1}, snapshot: []quorum.Index{5}},
		{name: "the last entries are missing, and all before", segments: 2, remove: []int{0, 1}, snapshot: []quorum.Index{5}},
		{name: "an older snapshot than the one that covers the gap", segments: 3, remove: []int{0, 1, 2}, snapshot: []quorum.Index{3, 6}},
		{name: "no complete record after the gap", segments: 2, remove: []int{1}, empty: []int{2}, snapshot: []quorum.Index{6}},
		{name: "earlier build, a covered segment is missing", segments: 3, remove: []int{1}, snapshot: []quorum.Index{6}, earlier: true, opens: true, entries: 3},
		{name: "earlier build, all covered segments are missing", segments: 2, remove: []int{0, 1}, snapshot: []quorum.Index{6}, earlier: true, opens: true},
		{name: "earlier build, nothing shows that the gap is covered", segments: 2, remove: []int{1}, snapshot: []quorum.Index{6}, earlier: true},
		{name: "earlier build, the snapshot ends in the missing segment", segments: 3, remove: []int{1}, snapshot: []quorum.Index{5}, earlier: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newSegmentedFolder(t, c.segments)
			assert.Equal(t, len(f.segments), c.segments+1)
			for _, index := range c.snapshot {
				f.saveSnapshot(t, index)
			}
			if c.earlier {
				f.removeLogEnds(t)
			}
			for _, i := range c.remove {
				assert.NilError(t, os.Remove(f.segments[i]))
			}
			for _, i := range c.empty {
				assert.NilError(t, os.Truncate(f.segments[i], headerBytes))
			}
			if !c.opens {
				for range 2 { // opening must not repair the damage by removing files
					_, _, err := f.open()
					assert.Assert(t, errorx.IsOfType(err, fault.Corrupt), "%v", err)
				}
				return
			}
			j, loaded, err := f.open()
			assert.NilError(t, err)
			newest := c.snapshot[len(c.snapshot)-1]
			assert.DeepEqual(t, loaded.HardState, quorum.HardState{Term: quorum.Term(c.segments + 1), Group: "g"})
			assert.Equal(t, loaded.Snapshot.Index, newest)
			assert.Equal(t, len(loaded.Entries), c.entries)
			// The log goes on, without the segments before the gap.
			assert.NilError(t, j.Append(quorum.Persist{Entries: entriesFrom(newest+quorum.Index(c.entries)+1, 9, 1)}))
			assert.NilError(t, j.Sync())
			assert.NilError(t, j.Close())
			for _, path := range f.segments[:slices.Max(c.remove)] {
				_, err := os.Stat(path)
				assert.Assert(t, errors.Is(err, os.ErrNotExist), "%s is still there", path)
			}
			again, loaded, err := f.open()
			assert.NilError(t, err)
			assert.Equal(t, len(loaded.Entries), c.entries+1)
			assert.NilError(t, again.Close())
		})
	}
}
