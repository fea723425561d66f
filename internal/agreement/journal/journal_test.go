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

func open(t testing.TB, folder string, f *faulty) (*Journal, quorum.Loaded) {
	t.Helper()
	j, loaded, err := Open(Config{Folder: folder, Files: f.files(), SegmentBytes: 2000})
	assert.NilError(t, err)
	return j, loaded
}

func openFails(t testing.TB, folder string) error {
	t.Helper()
	_, _, err := Open(Config{Folder: folder, Files: newFaulty().files()})
	assert.Assert(t, err != nil, "the journal opened without noticing")
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

// model is what a journal should hold.
type model struct {
	quorum.Loaded
}

func (m *model) write(p quorum.Persist) {
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

// normal drops what the snapshot covers or contradicts.
func (m model) normal() quorum.Loaded {
	at := slices.IndexFunc(m.Entries, func(e quorum.Entry) bool { return e.Index == m.Snapshot.Index })
	if m.Snapshot.Index > 0 && at >= 0 && m.Entries[at].Term != m.Snapshot.Term {
		m.Entries = nil
	}
	m.Entries = slices.DeleteFunc(slices.Clone(m.Entries), func(e quorum.Entry) bool { return e.Index <= m.Snapshot.Index })
	return m.Loaded
}

func (m model) last() quorum.Index {
	normal := m.normal()
	return normal.Snapshot.Index + quorum.Index(len(normal.Entries))
}

// randomWrite returns an append, a replaced suffix, a vote, a snapshot or a reset.
func randomWrite(random *rand.Rand, m model, term quorum.Term) quorum.Persist {
	normal := m.normal()
	last := m.last()
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

// Guards against synced data that a crash loses, torn writes that are taken for data, and names that weren't synced.
func TestCrashKeepsWhatWasSynced(t *testing.T) {
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 2))
		folder, f := filepath.Join(t.TempDir(), "group"), newFaulty()
		j, _ := open(t, folder, f)
		identity := j.Identity()
		var synced, written model
		for step := range quorum.Term(120) {
			p := randomWrite(random, written, step+1)
			if written.HardState.Group == "" { // a node writes its group's name before anything else
				p = quorum.Persist{HardState: &quorum.HardState{Group: "g"}}
			}
			if p.Snapshot != nil { // saved at once, after everything before it
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
			case 0: // crash while a record is being written
				f.failing = errors.New("power lost")
				_ = j.Sync()
				f.failing = nil
				fallthrough
			case 1:
				_ = j.Close()
				if random.IntN(3) == 0 { // first only the process ends; what the next one reads must stay
					again, loaded := open(t, folder, f)
					synced, written = model{loaded}, model{loaded}
					_ = again.Close()
				}
				f.crash(random)
				var loaded quorum.Loaded
				j, loaded = open(t, folder, f)
				assert.Equal(t, j.Identity(), identity)
				if fmt.Sprint(loaded) != fmt.Sprint(written.normal()) {
					assert.Equal(t, fmt.Sprint(loaded), fmt.Sprint(synced.normal()), "seed %d step %d", seed, step)
				}
				written = model{loaded}
				synced = written
			case 2, 3, 4, 5, 6:
				assert.NilError(t, j.Sync())
				synced = written
			}
		}
		_ = j.Close()
	}
}

// filled returns a folder with a number of one-entry records.
func filled(t testing.TB, records int) string {
	folder := filepath.Join(t.TempDir(), "group")
	j, _ := open(t, folder, newFaulty())
	for i := range records {
		assert.NilError(t, j.Append(quorum.Persist{Entries: entriesFrom(quorum.Index(i+1), 1, 1)}))
		assert.NilError(t, j.Sync())
	}
	assert.NilError(t, j.Close())
	return folder
}

func damage(t testing.TB, folder, prefix string, from, to float64) {
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

// cutRecord removes a whole record.
func cutRecord(t testing.TB, path string, sequence uint64) {
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

// Guards against damaged synced records that are skipped, which would lose acknowledged entries without a sign.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	for at := 0.0; at < 0.7; at += 0.01 {
		folder := filled(t, 10)
		damage(t, folder, segmentPrefix, at, at+0.005)
		assert.Assert(t, errorx.IsOfType(openFails(t, folder), fault.Corrupt), "at %v", at)
	}
	folder := filled(t, 10)
	cutRecord(t, filepath.Join(folder, segmentName(1)), 1)
	assert.Assert(t, errorx.IsOfType(openFails(t, folder), fault.Corrupt))
	folder = filled(t, 10)
	damage(t, folder, segmentPrefix, 0.98, 1)
	_, loaded := open(t, folder, newFaulty())
	assert.Equal(t, len(loaded.Entries), 9)
}

// Guards against a missing segment, snapshot or identity and a damaged snapshot or identity.
func TestMissingFilesAreRefused(t *testing.T) {
	for _, prefix := range []string{segmentPrefix, snapshotPrefix, identityName} {
		for _, damaged := range []float64{-1, 0.1, 0.9} {
			folder := filled(t, 100)
			j, _ := open(t, folder, newFaulty())
			assert.NilError(t, j.SaveSnapshot(quorum.Snapshot{Index: 60, Term: 1, Data: make([]byte, 100)}))
			assert.NilError(t, j.Append(quorum.Persist{HardState: &quorum.HardState{Term: 1}}))
			assert.NilError(t, j.Sync())
			assert.NilError(t, j.Close())
			names, err := filepath.Glob(filepath.Join(folder, prefix+"*"))
			assert.NilError(t, err)
			assert.Assert(t, !strings.HasSuffix(names[0], segmentName(1)), "covered segments are still there")
			if damaged < 0 {
				assert.NilError(t, os.Remove(names[0]))
			} else {
				damage(t, folder, prefix, damaged, damaged+0.03)
			}
			t.Logf("%s, damaged at %v or removed", filepath.Base(names[0]), damaged)
			assert.Assert(t, errorx.IsOfType(openFails(t, folder), fault.Corrupt))
		}
	}
}

// Guards against a failed sync that is tried again: the system may report success without having written anything.
func TestFailedSyncIsFinal(t *testing.T) {
	f := newFaulty()
	j, _ := open(t, filepath.Join(t.TempDir(), "group"), f)
	p := quorum.Persist{Entries: entriesFrom(1, 1, 1)}
	assert.NilError(t, j.Append(p))
	assert.NilError(t, j.Sync())
	f.failing = errors.New("medium error")
	assert.NilError(t, j.Append(p))
	assert.Assert(t, errorx.IsOfType(j.Sync(), fault.DiskFailed))
	writes, syncs := f.writes, f.syncs
	assert.Assert(t, errorx.IsOfType(j.Append(p), fault.DiskFailed))
	assert.Assert(t, errorx.IsOfType(j.Sync(), fault.DiskFailed))
	assert.Equal(t, f.writes, writes)
	assert.Equal(t, f.syncs, syncs)
}

// Guards against a full disk that leaves a damaged log, noticed before the write or in the middle of it.
func TestFullDiskLosesNothing(t *testing.T) {
	for _, exhaust := range []func(f *faulty){
		func(f *faulty) { f.free = reserveBytes },
		func(f *faulty) { f.short = 10 },
	} {
		folder, f := filled(t, 5), newFaulty()
		j, _ := open(t, folder, f)
		exhaust(f)
		assert.NilError(t, j.Append(quorum.Persist{Entries: entriesFrom(6, 1, 1)}))
		assert.Assert(t, errorx.IsOfType(j.Sync(), fault.DiskFull))
		assert.NilError(t, j.Close())
		_, loaded := open(t, folder, newFaulty())
		assert.Equal(t, len(loaded.Entries), 5)
	}
}

// Guards against a host that lost its disk and comes back as the same voter.
func TestEmptyFolderIsNewIdentity(t *testing.T) {
	folder := filled(t, 1)
	first, _ := open(t, folder, newFaulty())
	assert.NilError(t, os.RemoveAll(folder))
	second, _ := open(t, folder, newFaulty())
	assert.Assert(t, first.Identity() != second.Identity())
	assert.Equal(t, len(second.Identity()), 32)
}

// Guards against two processes that write one log.
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

// Guards against one sync for each write, which bounds throughput by the disk's latency.
func TestWritesShareOneSync(t *testing.T) {
	f := newFaulty()
	j, _ := open(t, filepath.Join(t.TempDir(), "group"), f)
	assert.NilError(t, j.Append(quorum.Persist{HardState: &quorum.HardState{Term: 1}}))
	assert.NilError(t, j.Sync())
	before := f.syncs
	for i := range 100 {
		assert.NilError(t, j.Append(quorum.Persist{Entries: entriesFrom(quorum.Index(i+1), 1, 1)}))
	}
	assert.NilError(t, j.Sync())
	assert.Equal(t, f.syncs, before+1)
}

// Guards against a write that doesn't fit into one record and can't be read back.
func TestLargeWriteIsCutIntoRecords(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "group")
	j, _ := open(t, folder, newFaulty())
	entries := entriesFrom(1, 1, 12)
	for i := range entries {
		entries[i].Data = make([]byte, 11<<20)
	}
	assert.NilError(t, j.Append(quorum.Persist{Entries: entries}))
	assert.NilError(t, j.Sync())
	assert.NilError(t, j.Close())
	_, loaded := open(t, folder, newFaulty())
	assert.Equal(t, len(loaded.Entries), 12)
}

// Guards against stored bytes that crash the decoders or fail without fault.Corrupt.
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
		items, err := decodeItems(payload)
		assert.Assert(t, err == nil || errorx.IsOfType(err, fault.Corrupt))
		read := &replay{}
		for _, next := range items {
			if err := read.apply(next); err != nil {
				assert.Assert(t, errorx.IsOfType(err, fault.Corrupt))
				break
			}
		}
		s, err := decodeSnapshot(data)
		assert.Assert(t, err == nil || errorx.IsOfType(err, fault.Corrupt))
		_, err = read.behind(s)
		assert.Assert(t, err == nil || errorx.IsOfType(err, fault.Corrupt))
		_ = laterRecord(data, 0)
	})
}
