package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/fault"
)

func openJournal(t testing.TB, folder string, f *faultyFileSystem) (*Journal, quorum.Loaded) {
	t.Helper()
	j, loaded, err := Open(Config{Folder: folder, Files: f.files(), SegmentBytes: 2000})
	assert.NilError(t, err)
	return j, loaded
}

func openError(t testing.TB, folder string) error {
	t.Helper()
	_, _, err := Open(Config{Folder: folder, Files: newFaultyFileSystem().files()})
	assert.Assert(t, err != nil, "the journal opened without an error")
	return err
}

func entriesFrom(first quorum.Index, term quorum.Term, count int) []quorum.Entry {
	var entries []quorum.Entry
	for i := range count {
		index := first + quorum.Index(i)
		entries = append(entries, quorum.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d in %d", index, term)})
	}
	return entries
}

// expectedState is the state that a journal should return when it is opened.
type expectedState struct {
	quorum.Loaded
}

func (m *expectedState) write(p quorum.Persist) {
	if p.Snapshot != nil {
		m.Snapshot = *p.Snapshot
	}
	if p.Reset {
		m.Entries = nil
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].Index
		m.Entries = slices.DeleteFunc(slices.Clone(m.Entries), func(e quorum.Entry) bool { return e.Index >= first })
		m.Entries = append(m.Entries, p.Entries...)
	}
	if p.HardState != nil {
		m.HardState = *p.HardState
	}
}

// normalized returns the state without the entries that the snapshot covers, and without any entries if the snapshot
// contradicts them.
func (m expectedState) normalized() quorum.Loaded {
	at := slices.IndexFunc(m.Entries, func(e quorum.Entry) bool { return e.Index == m.Snapshot.Index })
	if m.Snapshot.Index > 0 && at >= 0 && m.Entries[at].Term != m.Snapshot.Term {
		m.Entries = nil
	}
	m.Entries = slices.DeleteFunc(slices.Clone(m.Entries), func(e quorum.Entry) bool { return e.Index <= m.Snapshot.Index })
	return m.Loaded
}

func (m expectedState) lastIndex() quorum.Index {
	normal := m.normalized()
	return normal.Snapshot.Index + quorum.Index(len(normal.Entries))
}

// randomWrite returns one of: appended entries, a replaced suffix of the log, a hard state with a vote, a snapshot, a reset.
func randomWrite(random *rand.Rand, m expectedState, term quorum.Term) quorum.Persist {
	normal := m.normalized()
	last := m.lastIndex()
	switch random.IntN(10) {
	case 0:
		return quorum.Persist{HardState: &quorum.HardState{Term: term, Vote: "a/1", Group: "g"}}
	case 1, 2:
		if len(normal.Entries) > 0 {
			covered := normal.Entries[random.IntN(len(normal.Entries))]
			return quorum.Persist{Snapshot: &quorum.Snapshot{Index: covered.Index, Term: covered.Term, Data: []byte("s")}}
		}
	case 3:
		reset := quorum.Snapshot{Index: normal.Snapshot.Index + 1 + quorum.Index(random.IntN(30)), Term: term}
		return quorum.Persist{Snapshot: &reset, Reset: true, Entries: entriesFrom(reset.Index+1, term, random.IntN(3))}
	case 4:
		first := last + 1 - quorum.Index(random.IntN(len(normal.Entries)+1))
		return quorum.Persist{Entries: entriesFrom(first, term, 1+random.IntN(5))}
	default:
	}
	return quorum.Persist{Entries: entriesFrom(last+1, term, 1+random.IntN(5))}
}

// Guards against synced data that is lost in a crash, incomplete records that are read as data, and changes of the folder
// that aren't synced.
func TestCrashKeepsWhatWasSynced(t *testing.T) {
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 2))
		folder, f := filepath.Join(t.TempDir(), "group"), newFaultyFileSystem()
		j, _ := openJournal(t, folder, f)
		identity := j.Identity()
		var synced, written expectedState
		for step := range quorum.Term(120) {
			p := randomWrite(random, written, step+1)
			if written.HardState.Group == "" { // a node first writes the name of its group
				p = quorum.Persist{HardState: &quorum.HardState{Group: "g"}}
			}
			if p.Snapshot != nil { // made durable at once, after all earlier writes
				assert.NilError(t, j.Sync())
				synced = written
				synced.Snapshot = *p.Snapshot
			}
			if p.Snapshot != nil && !p.Reset {
				assert.NilError(t, j.SaveSnapshot(*p.Snapshot))
			} else {
				assert.NilError(t, j.Append(p))
			}
			written.write(p)
			switch random.IntN(12) {
			case 0: // crash while a record is being synced
				f.nextSyncError = errors.New("power lost")
				_ = j.Sync()
				f.nextSyncError = nil
				fallthrough
			case 1:
				_ = j.Close()
				if random.IntN(3) == 0 { // first only the process crashes; what the next one reads must survive
					again, loaded := openJournal(t, folder, f)
					synced, written = expectedState{loaded}, expectedState{loaded}
					_ = again.Close()
				}
				f.crash(random)
				var loaded quorum.Loaded
				j, loaded = openJournal(t, folder, f)
				assert.Equal(t, j.Identity(), identity)
				if fmt.Sprint(loaded) != fmt.Sprint(written.normalized()) {
					assert.Equal(t, fmt.Sprint(loaded), fmt.Sprint(synced.normalized()), "seed %d step %d", seed, step)
				}
				written = expectedState{loaded}
				synced = written
			case 2, 3, 4, 5, 6:
				assert.NilError(t, j.Sync())
				synced = written
			}
		}
		_ = j.Close()
	}
}

// newFilledFolder returns the folder of a closed journal with the given number of records, of one entry each.
func newFilledFolder(t testing.TB, records int) string {
	folder := filepath.Join(t.TempDir(), "group")
	j, _ := openJournal(t, folder, newFaultyFileSystem())
	for i := range records {
		assert.NilError(t, j.Append(quorum.Persist{Entries: entriesFrom(quorum.Index(i+1), 1, 1)}))
		assert.NilError(t, j.Sync())
	}
	assert.NilError(t, j.Close())
	return folder
}

func corruptFile(t testing.TB, folder, prefix string, from, to float64) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, prefix+"*"))
	assert.NilError(t, err)
	data, err := os.ReadFile(names[0])
	assert.NilError(t, err)
	for at := int(from * float64(len(data))); at < int(to*float64(len(data))); at++ {
		data[at] ^= 0x40
	}
	assert.NilError(t, os.WriteFile(names[0], data, fileMode))
}

// removeRecord removes the whole record with the sequence number from a segment.
func removeRecord(t testing.TB, path string, sequence uint64) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for at := 0; at < len(data); {
		found, payload, err := decodeRecord(recordMagic, data[at:])
		assert.NilError(t, err)
		end := at + headerBytes + len(payload)
		if found == sequence {
			assert.NilError(t, os.WriteFile(path, slices.Delete(data, at, end), fileMode))
			return
		}
		at = end
	}
}

// Guards against skipping damaged records that were synced, which would silently lose acknowledged entries. Only a damaged
// record at the end of the log may be dropped.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	for at := 0.0; at < 0.7; at += 0.01 {
		folder := newFilledFolder(t, 10)
		corruptFile(t, folder, segmentPrefix, at, at+0.005)
		assert.Assert(t, errorx.IsOfType(openError(t, folder), fault.Corrupt), "at %v", at)
	}
	folder := newFilledFolder(t, 10)
	removeRecord(t, filepath.Join(folder, segmentName(1)), 1)
	assert.Assert(t, errorx.IsOfType(openError(t, folder), fault.Corrupt))
	folder = newFilledFolder(t, 10)
	corruptFile(t, folder, segmentPrefix, 0.98, 1)
	_, loaded := openJournal(t, folder, newFaultyFileSystem())
	assert.Equal(t, len(loaded.Entries), 9)
}

// Guards against opening a journal with a missing or damaged segment, snapshot or identity.
func TestMissingFilesAreRefused(t *testing.T) {
	for _, prefix := range []string{segmentPrefix, snapshotPrefix, identityName} {
		for _, damaged := range []float64{-1, 0.1, 0.9} {
			folder := newFilledFolder(t, 100)
			j, _ := openJournal(t, folder, newFaultyFileSystem())
			assert.NilError(t, j.SaveSnapshot(quorum.Snapshot{Index: 60, Term: 1, Data: make([]byte, 100)}))
			assert.NilError(t, j.Append(quorum.Persist{HardState: &quorum.HardState{Term: 1}}))
			assert.NilError(t, j.Sync())
			assert.NilError(t, j.Close())
			names, err := filepath.Glob(filepath.Join(folder, prefix+"*"))
			assert.NilError(t, err)
			assert.Assert(t, !strings.HasSuffix(names[0], segmentName(1)), "the covered segments have not been removed")
			if damaged < 0 {
				assert.NilError(t, os.Remove(names[0]))
			} else {
				corruptFile(t, folder, prefix, damaged, damaged+0.03)
			}
			t.Logf("%s, damaged at %v or removed", filepath.Base(names[0]), damaged)
			assert.Assert(t, errorx.IsOfType(openError(t, folder), fault.Corrupt))
		}
	}
}

// Guards against a retry after a failed sync: the operating system may report success without having written the data.
func TestFailedSyncIsFinal(t *testing.T) {
	f := newFaultyFileSystem()
	j, _ := openJournal(t, filepath.Join(t.TempDir(), "group"), f)
	p := quorum.Persist{Entries: entriesFrom(1, 1, 1)}
	assert.NilError(t, j.Append(p))
	assert.NilError(t, j.Sync())
	f.nextSyncError = errors.New("medium error")
	assert.NilError(t, j.Append(p))
	assert.Assert(t, errorx.IsOfType(j.Sync(), fault.DiskFailed))
	writes, syncs := f.writes, f.syncs
	assert.Assert(t, errorx.IsOfType(j.Append(p), fault.DiskFailed))
	assert.Assert(t, errorx.IsOfType(j.Sync(), fault.DiskFailed))
	assert.Equal(t, f.writes, writes)
	assert.Equal(t, f.syncs, syncs)
}

// Guards against a log that is damaged when the disk is full. The lack of space is noticed before the write or during it.
func TestFullDiskLosesNothing(t *testing.T) {
	for _, exhaust := range []func(f *faultyFileSystem){
		func(f *faultyFileSystem) { f.freeSpace = reservedFreeBytes },
		func(f *faultyFileSystem) { f.writeLimit = 10 },
	} {
		folder, f := newFilledFolder(t, 5), newFaultyFileSystem()
		j, _ := openJournal(t, folder, f)
		exhaust(f)
		assert.NilError(t, j.Append(quorum.Persist{Entries: entriesFrom(6, 1, 1)}))
		assert.Assert(t, errorx.IsOfType(j.Sync(), fault.DiskFull))
		assert.NilError(t, j.Close())
		_, loaded := openJournal(t, folder, newFaultyFileSystem())
		assert.Equal(t, len(loaded.Entries), 5)
	}
}

// Guards against a host that lost its disk and continues as the same voter.
func TestEmptyFolderIsNewIdentity(t *testing.T) {
	folder := newFilledFolder(t, 1)
	first, _ := openJournal(t, folder, newFaultyFileSystem())
	assert.NilError(t, os.RemoveAll(folder))
	second, _ := openJournal(t, folder, newFaultyFileSystem())
	assert.Assert(t, first.Identity() != second.Identity())
	assert.Equal(t, len(second.Identity()), 32)
}

// Guards against two processes that write the same log.
func TestFolderIsLocked(t *testing.T) {
	folder := t.TempDir()
	first, _, err := Open(Config{Folder: folder})
	assert.NilError(t, err)
	_, _, err = Open(Config{Folder: folder})
	assert.Assert(t, errorx.IsOfType(err, fault.BadSetting))
	assert.NilError(t, first.Close())
	second, _, err := Open(Config{Folder: folder})
	assert.NilError(t, err)
	assert.NilError(t, second.Close())
}

// Guards against one sync per write, which would limit the throughput by the latency of the disk.
func TestWritesShareOneSync(t *testing.T) {
	f := newFaultyFileSystem()
	j, _ := openJournal(t, filepath.Join(t.TempDir(), "group"), f)
	assert.NilError(t, j.Append(quorum.Persist{HardState: &quorum.HardState{Term: 1}}))
	assert.NilError(t, j.Sync())
	before := f.syncs
	for i := range 100 {
		assert.NilError(t, j.Append(quorum.Persist{Entries: entriesFrom(quorum.Index(i+1), 1, 1)}))
	}
	assert.NilError(t, j.Sync())
	assert.Equal(t, f.syncs, before+1)
}

// Guards against a large write that is stored in one record which is too large to be read back.
func TestLargeWriteIsCutIntoRecords(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "group")
	j, _ := openJournal(t, folder, newFaultyFileSystem())
	entries := entriesFrom(1, 1, 12)
	for i := range entries {
		entries[i].Data = make([]byte, 11<<20)
	}
	assert.NilError(t, j.Append(quorum.Persist{Entries: entries}))
	assert.NilError(t, j.Sync())
	assert.NilError(t, j.Close())
	_, loaded := openJournal(t, folder, newFaultyFileSystem())
	assert.Equal(t, len(loaded.Entries), 12)
}

// Guards against stored bytes that crash the decoders or fail with an error other than fault.Corrupt.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(recordMagic, 7, []byte{0x81, 0xa0}))
	snapshot, err := encodeSnapshot(quorum.Snapshot{Index: 3, Term: 2, Data: []byte("data")})
	assert.NilError(f, err)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, payload, err := decodeRecord(recordMagic, data)
		if err != nil {
			payload = data
			assert.Assert(t, errorx.IsOfType(err, fault.Corrupt))
		}
		changes, err := decodeChanges(payload)
		assert.Assert(t, err == nil || errorx.IsOfType(err, fault.Corrupt))
		replayed := &replay{}
		for _, change := range changes {
			if err := replayed.apply(change); err != nil {
				assert.Assert(t, errorx.IsOfType(err, fault.Corrupt))
				break
			}
		}
		s, err := decodeSnapshot(data)
		assert.Assert(t, err == nil || errorx.IsOfType(err, fault.Corrupt))
		_, err = replayed.entriesAfter(s)
		assert.Assert(t, err == nil || errorx.IsOfType(err, fault.Corrupt))
		_ = hasLaterRecord(data, 0)
	})
}
