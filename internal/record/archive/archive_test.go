package archive

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/chain"
)

// singleEntryBatches returns batches of a new writer, each with one entry.
func singleEntryBatches(host unit.HostName, incarnation unit.Incarnation, reason string, entries int) []chain.Batch {
	writer := chain.New(host, incarnation, chain.DefaultLimits())
	batches := make([]chain.Batch, entries)
	for i := range batches {
		writer.Append(chain.Entry{Kind: chain.KindFinal, Reason: reason, AtUnixMilli: int64(i)})
		batches[i] = writer.Batch(1)
		writer.Acknowledge(uint64(i + 1))
		batches[i].AcknowledgedThrough = 0
	}
	return batches
}

func joinBatches(batches ...chain.Batch) chain.Batch {
	joined := batches[0]
	joined.Entries = nil
	for _, b := range batches {
		joined.Entries = append(joined.Entries, b.Entries...)
	}
	return joined
}

func openArchive(t assert.TestingT, folder string, options Options) *Archive {
	a, err := OpenWith(folder, options)
	assert.NilError(t, err)
	return a
}

func formatSequences(t assert.TestingT, a *Archive, host unit.HostName, from uint64) string {
	entries, err := a.Read(host, from)
	assert.NilError(t, err)
	var text []string
	for _, e := range entries {
		text = append(text, fmt.Sprintf("%d/%d", e.Incarnation, e.Sequence))
	}
	return strings.Join(text, " ")
}

func segmentFiles(t assert.TestingT, folder string) []string {
	files, err := filepath.Glob(filepath.Join(folder, "host-*", "*", "*"+segmentSuffix))
	assert.NilError(t, err)
	return files
}

// Guards against entries that are lost, repeated or out of order after resends, overlapping batches, new segments, older
// incarnations and restarts.
func TestStoreIsIdempotentAndSurvivesRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		options := Options{SegmentBytes: int64(rapid.IntRange(1, 2000).Draw(rt, "segment"))}
		folder := t.TempDir()
		a := openArchive(rt, folder, options)
		batches := singleEntryBatches("../h", 1, "", 12)
		stored := 0
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			first := rapid.IntRange(0, len(batches)-1).Draw(rt, "first")
			last := rapid.IntRange(first+1, len(batches)).Draw(rt, "last")
			through, err := a.Store(joinBatches(batches[first:last]...))
			if first > stored {
				assert.Assert(rt, errorx.IsOfType(err, Gap), "%v", err)
			} else {
				assert.NilError(rt, err)
				stored = max(stored, last)
			}
			assert.Equal(rt, int(through), stored)
			if rapid.Bool().Draw(rt, "restart") {
				a.Close()
				a = openArchive(rt, folder, options)
			}
		}
		_, err := a.Store(singleEntryBatches("../h", 2, "", 1)[0])
		assert.NilError(rt, err)
		from := rapid.IntRange(1, 12).Draw(rt, "from")
		var want []string
		for sequence := from; sequence <= stored; sequence++ {
			want = append(want, fmt.Sprintf("1/%d", sequence))
		}
		if from == 1 {
			want = append(want, "2/1")
		}
		assert.Equal(rt, formatSequences(rt, a, "../h", uint64(from)), strings.Join(want, " "))
		_, err = os.Stat(filepath.Join(folder, "..", "h"))
		assert.Assert(rt, os.IsNotExist(err), "a host's name led to a path outside of the folder")
	})
}

// Guards against a crash during the last write, at any byte, that loses earlier entries, keeps a part of a record or
// prevents the restart. Also covers zero bytes that a file system leaves at the end of the file.
func TestTornTailIsCutOff(t *testing.T) {
	batches := singleEntryBatches("h", 1, "", 3)
	whole := t.TempDir()
	a := openArchive(t, whole, DefaultOptions())
	sizes := []int{0}
	for _, b := range batches {
		_, err := a.Store(b)
		assert.NilError(t, err)
		info, err := os.Stat(segmentFiles(t, whole)[0])
		assert.NilError(t, err)
		sizes = append(sizes, int(info.Size()))
	}
	a.Close()
	data, err := os.ReadFile(segmentFiles(t, whole)[0])
	assert.NilError(t, err)
	for cut := range sizes[3] + 1 {
		for _, zeros := range []int{0, 4000} {
			torn := append(bytes.Clone(data[:cut]), make([]byte, zeros)...)
			assert.NilError(t, os.WriteFile(segmentFiles(t, whole)[0], torn, 0o600))
			intact := 0
			for intact < 3 && sizes[intact+1] <= cut {
				intact++
			}
			a := openArchive(t, whole, DefaultOptions())
			through, err := a.Store(batches[min(intact, 2)])
			assert.NilError(t, err)
			assert.Equal(t, int(through), min(intact+1, 3))
			assert.Equal(t, formatSequences(t, a, "h", 0), "1/1 1/2 1/3"[:4*through-1])
			a.Close()
			after, err := os.ReadFile(segmentFiles(t, whole)[0])
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(after, data[:sizes[through]]))
		}
	}
}

// Guards against damage in the middle of a segment that is taken for a torn record at its end. Acknowledged entries would
// be cut off.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	for _, at := range []int{0, 5, 40} {
		folder := t.TempDir()
		a := openArchive(t, folder, DefaultOptions())
		for _, b := range singleEntryBatches("h", 1, "", 3) {
			_, err := a.Store(b)
			assert.NilError(t, err)
		}
		a.Close()
		file := segmentFiles(t, folder)[0]
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		data[at] ^= 1
		assert.NilError(t, os.WriteFile(file, data, 0o600))
		a = openArchive(t, folder, DefaultOptions())
		_, err = a.Read("h", 0)
		assert.Assert(t, errorx.IsOfType(err, fault.Corrupt), "%v", err)
		_, err = a.Store(singleEntryBatches("h", 1, "", 4)[3])
		assert.Assert(t, errorx.IsOfType(err, fault.Corrupt), "%v", err)
	}
}

// Guards against edited, forked and missing entries that are accepted. Also guards against an archive that was unreachable
// and then refuses to continue after the missed entries, although a majority has acknowledged them.
func TestStoreChecksTheChain(t *testing.T) {
	mine, other := singleEntryBatches("h", 1, "", 6), singleEntryBatches("h", 1, "other", 6)
	for _, restart := range []bool{false, true} {
		folder := t.TempDir()
		a := openArchive(t, folder, Options{SegmentBytes: 1})
		_, err := a.Store(joinBatches(mine[:3]...))
		assert.NilError(t, err)
		if restart {
			a.Close()
			a = openArchive(t, folder, Options{SegmentBytes: 1})
		}
		for _, b := range []chain.Batch{other[0], other[2], other[3], joinBatches(other...)} {
			_, err = a.Store(b)
			assert.Assert(t, errorx.IsOfType(err, Fork), "%v", err)
		}
		edited := joinBatches(mine[3])
		edited.Entries[0].Reason = "edited"
		_, err = a.Store(edited)
		assert.Assert(t, errorx.IsOfType(err, chain.Broken), "%v", err)
		late := joinBatches(mine[5])
		_, err = a.Store(late)
		assert.Assert(t, errorx.IsOfType(err, Gap), "%v", err)
		late.AcknowledgedThrough = 5
		through, err := a.Store(late)
		assert.NilError(t, err)
		assert.Equal(t, through, uint64(6))
		_, err = a.Store(mine[4])
		assert.Assert(t, errorx.IsOfType(err, Gap), "%v", err)
		assert.Equal(t, formatSequences(t, a, "h", 0), "1/1 1/2 1/3 1/6")
	}
}

// Guards against an answer before the sync, a write after a failed sync, and a retry that succeeds after a failed sync,
// although the contents of the file are unknown.
func TestFailedSyncStopsTheArchive(t *testing.T) {
	options := DefaultOptions()
	syncs, failing := 0, false
	options.sync = func(file *os.File) error {
		syncs++
		if failing {
			return os.ErrDeadlineExceeded
		}
		return file.Sync()
	}
	a := openArchive(t, t.TempDir(), options)
	batches := singleEntryBatches("h", 1, "", 2)
	_, err := a.Store(batches[0])
	assert.NilError(t, err)
	assert.Equal(t, syncs, 1)
	failing = true
	through, err := a.Store(batches[1])
	assert.Assert(t, errorx.IsOfType(err, fault.DiskFailed))
	assert.Equal(t, through, uint64(1))
	failing = false
	_, err = a.Store(batches[1])
	assert.Assert(t, errorx.IsOfType(err, fault.DiskFailed))
	_, err = a.Store(singleEntryBatches("other", 1, "", 1)[0])
	assert.Assert(t, errorx.IsOfType(err, fault.DiskFailed))
	assert.Equal(t, syncs, 2)
}

// Guards against a full disk that leaves a part of a record, or that stops the archive although the contents of its files
// are known.
func TestFullDiskIsRefusedAndChangesNothing(t *testing.T) {
	options := DefaultOptions()
	full := false
	options.writeAt = func(file *os.File, data []byte, offset int64) error {
		if full {
			data = data[:20]
		}
		_, err := file.WriteAt(data, offset)
		if full {
			return &os.PathError{Op: "write", Path: file.Name(), Err: syscall.ENOSPC}
		}
		return err
	}
	folder := t.TempDir()
	a := openArchive(t, folder, options)
	for i, b := range singleEntryBatches("h", 1, "", 3) {
		full = i == 1
		_, err := a.Store(b)
		if !full {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, errorx.IsOfType(err, fault.DiskFull))
		full = false
		data, err := os.ReadFile(segmentFiles(t, folder)[0])
		assert.NilError(t, err)
		_, intact, err := decodeSegment(data)
		assert.NilError(t, err)
		assert.Equal(t, intact, len(data))
		_, err = a.Store(b)
		assert.NilError(t, err)
	}
	assert.Equal(t, formatSequences(t, a, "h", 0), "1/1 1/2 1/3")
}

// Guards against one sync for each waiting call, a call that gets the result of another call's batch, and a waiting batch
// that is written after a failed sync.
func TestWaitingBatchesShareASync(t *testing.T) {
	for _, failure := range []error{nil, os.ErrDeadlineExceeded} {
		errs := storeWhileSyncing(t, failure)
		if failure != nil {
			for _, err := range errs {
				assert.Assert(t, errorx.IsOfType(err, fault.DiskFailed), "%v", err)
			}
			continue
		}
		assert.NilError(t, errs[0])
		assert.NilError(t, errs[1])
		assert.Assert(t, errorx.IsOfType(errs[2], Fork))
	}
}

// storeWhileSyncing stores a batch, and during its sync, whose result is failure, the same batch and a fork of it. It checks
// that there is only one sync and returns the errors of the three calls in this order.
func storeWhileSyncing(t *testing.T, failure error) []error {
	options := DefaultOptions()
	entered, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	syncs := 0
	options.sync = func(*os.File) error {
		syncs++
		once.Do(func() { close(entered); <-release })
		return failure
	}
	a := openArchive(t, t.TempDir(), options)
	batches := singleEntryBatches("h", 1, "", 1)
	forked := singleEntryBatches("h", 1, "other", 1)
	var group sync.WaitGroup
	errs := make([]error, 3)
	store := func(i int, b chain.Batch) { group.Go(func() { _, errs[i] = a.Store(b) }) }
	store(0, batches[0])
	<-entered
	store(1, batches[0])
	store(2, forked[0])
	s := a.streamsOf("h")[0]
	for waiting, tries := 0, 0; waiting < 2; tries++ {
		assert.Assert(t, tries < 1e8, "the calls don't wait for the commit")
		s.mu.Lock()
		waiting = len(s.waiting)
		s.mu.Unlock()
	}
	close(release)
	group.Wait()
	assert.Equal(t, syncs, 1)
	return errs
}

// Guards against retention that removes too new segments, keeps too old ones, or removes the end of the chain of a running
// host.
func TestPruneByAgeAndSize(t *testing.T) {
	folder := t.TempDir()
	now := time.Now()
	a := openArchive(t, folder, Options{SegmentBytes: 1, MaxAge: time.Hour})
	batches := singleEntryBatches("h", 1, "", 4)
	for _, b := range append(batches[:3:3], singleEntryBatches("old", 1, "", 1)[0], singleEntryBatches("old", 2, "", 1)[0]) {
		_, err := a.Store(b)
		assert.NilError(t, err)
	}
	files := segmentFiles(t, folder)
	assert.Equal(t, len(files), 5)
	for i, file := range files {
		assert.NilError(t, os.Chtimes(file, now, now.Add(time.Duration(i-5)*40*time.Minute)))
	}
	pruned, err := a.Prune(now)
	assert.NilError(t, err)
	assert.Equal(t, pruned.Segments, 3)
	assert.Equal(t, formatSequences(t, a, "h", 0)+" "+formatSequences(t, a, "old", 0), "1/3 2/1")
	_, err = a.Store(batches[3])
	assert.NilError(t, err)
	a.options.MaxAge, a.options.MaxBytes = 0, 1
	pruned, err = a.Prune(now)
	assert.NilError(t, err)
	assert.Equal(t, pruned.Segments, 1)
	assert.Equal(t, formatSequences(t, a, "h", 0), "1/4")
}

// Guards against an export whose entries aren't in order, whose names aren't kebab-case or which can't be verified after
// an import.
func TestExportWritesJSONLines(t *testing.T) {
	a := openArchive(t, t.TempDir(), DefaultOptions())
	_, err := a.Store(joinBatches(singleEntryBatches("h", 1, "", 2)...))
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, a.Export(&out, "h"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.HasPrefix(lines[0], `{"sequence":1,"host":"h","incarnation":1,"kind":"final","at-unix-milli":0,`))
	assert.DeepEqual(t, a.Hosts(), []unit.HostName{"h"})
	entries, err := Import(strings.NewReader(out.String()))
	assert.NilError(t, err)
	_, err = chain.VerifyLink(chain.Link{}, chain.Batch{Host: "h", Incarnation: 1, Entries: entries})
	assert.NilError(t, err)
	_, err = Import(strings.NewReader(lines[0] + `{"sequence":2,"newer":1}`))
	assert.Assert(t, errorx.IsOfType(err, fault.BadInput))
}

// Guards against a merge that loses entries which only one copy has, prefers a shorter fork, doesn't report forks or damage,
// or depends on the order of the copies.
func TestMergePrefersTheLongestChain(t *testing.T) {
	mine, fork := joinBatches(singleEntryBatches("h", 1, "", 6)...).Entries, joinBatches(singleEntryBatches("h", 1, "other", 3)...).Entries
	damaged := mine[4]
	damaged.Reason = "edited"
	copies := [][]chain.Entry{mine[:2], mine[3:], fork, {damaged}, mine[1:4]}
	for range len(copies) {
		copies = append(copies[1:], copies[0])
		merged := Merge(copies...)
		assert.DeepEqual(t, merged.Entries, mine)
		assert.DeepEqual(t, merged.Forks, []EntryID{{"h", 1, 1}, {"h", 1, 2}, {"h", 1, 3}})
		assert.DeepEqual(t, merged.Damaged, []EntryID{{"h", 1, 5}})
	}
}

// Guards against arbitrary bytes in a segment that crash a control host or are decoded inconsistently.
func FuzzDecodeSegment(f *testing.F) {
	seed, err := encodeRecord(joinBatches(singleEntryBatches("h", 1, "", 2)...).Entries)
	assert.NilError(f, err)
	f.Add(seed)
	f.Add(append(seed, seed[:20]...))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, intact, err := decodeSegment(data)
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, fault.Corrupt))
			return
		}
		again, size, err := decodeSegment(data[:intact])
		assert.NilError(t, err)
		assert.Equal(t, size, intact)
		assert.Equal(t, len(again), len(entries))
	})
}

func BenchmarkStore(b *testing.B) {
	a := openArchive(b, b.TempDir(), DefaultOptions())
	writer := chain.New("h", 1, chain.DefaultLimits())
	for b.Loop() {
		for range 20 {
			writer.Append(chain.Entry{Kind: chain.KindDecision, Reason: strings.Repeat("x", 200)})
		}
		through, err := a.Store(writer.Batch(20))
		assert.NilError(b, err)
		writer.Acknowledge(through)
	}
}
