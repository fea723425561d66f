package archive

import (
	"os"
	"syscall"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against an archive that refuses all records until its process restarts, because its disk was full for a moment: if that happens to
// one control host after the other, no majority stores records, and entry hosts refuse requests.
func TestAnArchiveGoesOnOnceItsDiskHasRoom(t *testing.T) {
	cases := []struct {
		name                          string
		write, truncate, sync, folder bool // what a full disk refuses
		segmentBytes                  int64
		storedBefore                  int
	}{
		{name: "the bytes of a record", write: true, storedBefore: 1, segmentBytes: 1 << 20},
		{name: "the bytes of a record, and to remove them", write: true, truncate: true, storedBefore: 1, segmentBytes: 1 << 20},
		{name: "the sync of a record", sync: true, storedBefore: 1, segmentBytes: 1 << 20},
		{name: "the sync of a record, and to remove it", sync: true, truncate: true, storedBefore: 1, segmentBytes: 1 << 20},
		{name: "everything", write: true, truncate: true, sync: true, folder: true, storedBefore: 1, segmentBytes: 1 << 20},
		{name: "the sync of the folder of a new host", folder: true, segmentBytes: 1 << 20},
		{name: "the sync of the folder with the next segment", folder: true, storedBefore: 1, segmentBytes: 1},
		{name: "everything, for the next segment", write: true, truncate: true, sync: true, folder: true, storedBefore: 1, segmentBytes: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			full := false
			refuse := func(refused bool, run func() error) error {
				if full && refused {
					return syscall.ENOSPC
				}
				return run()
			}
			options := DefaultOptions()
			options.SegmentBytes = c.segmentBytes
			options.writeAt = func(file *os.File, data []byte, offset int64) error {
				if full && c.write {
					data = data[:len(data)/2]
				}
				_, err := file.WriteAt(data, offset)
				return refuse(c.write, func() error { return err })
			}
			options.truncate = func(file *os.File, size int64) error {
				return refuse(c.truncate, func() error { return file.Truncate(size) })
			}
			options.sync = func(file *os.File) error { return refuse(c.sync, file.Sync) }
			options.syncFolder = func(folder string) error { return refuse(c.folder, func() error { return syncFolder(folder) }) }
			folder := t.TempDir()
			a := openArchive(t, folder, options)
			batches := singleEntryBatches("h", 1, "", 4)
			for _, b := range batches[:c.storedBefore] {
				_, err := a.Store(b)
				assert.NilError(t, err)
			}
			full = true
			for range 2 {
				through, err := a.Store(batches[c.storedBefore])
				assert.Assert(t, errorx.IsOfType(err, fault.DiskFull), "%v", err)
				assert.Equal(t, through, uint64(c.storedBefore))
			}
			full = false
			for _, b := range batches[c.storedBefore:] {
				_, err := a.Store(b)
				assert.NilError(t, err)
			}
			_, err := a.Store(singleEntryBatches("other", 1, "", 1)[0])
			assert.NilError(t, err)
			assert.Equal(t, formatSequences(t, a, "h", 0), "1/1 1/2 1/3 1/4")
			a.Close()
			assert.Equal(t, formatSequences(t, openArchive(t, folder, DefaultOptions()), "h", 0), "1/1 1/2 1/3 1/4")
		})
	}
}

// Guards against an archive that acknowledges entries which the process before it had written and not synced.
func TestEntriesFoundAtStartAreSyncedBeforeTheyCountAsStored(t *testing.T) {
	folder := t.TempDir()
	batches := singleEntryBatches("h", 1, "", 2)
	before := openArchive(t, folder, DefaultOptions())
	for _, b := range batches {
		_, err := before.Store(b)
		assert.NilError(t, err)
	}
	before.Close()
	options, syncs := DefaultOptions(), 0
	options.sync = func(file *os.File) error {
		syncs++
		return file.Sync()
	}
	through, err := openArchive(t, folder, options).Store(batches[1])
	assert.NilError(t, err)
	assert.Equal(t, through, uint64(2))
	assert.Equal(t, syncs, 1)
}
