package entry

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/emulator/disk"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/router"
)

// Guards against a start with a snapshot that the disk has damaged, and against a write that fails half way and destroys the previous
// snapshot.
func TestSavedStateIsWholeOrIgnored(t *testing.T) {
	folder := t.TempDir()
	state := router.Snapshot{Placement: []byte("widths"), Cached: []cache.EndpointPieces{{Endpoint: "e1", Incarnation: 3, Pieces: []uint64{1, 2}}}}
	_, err := readSnapshot(folder)
	assert.Assert(t, errorx.IsOfType(err, fault.NotFound))

	assert.NilError(t, writeSnapshot(journal.System(), folder, state))
	files := journal.System()
	files.Sync = func(*os.File) error { return os.ErrInvalid }
	assert.Assert(t, errorx.IsOfType(writeSnapshot(files, folder, router.Snapshot{}), fault.DiskFailed))
	read, err := readSnapshot(folder)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, state)

	path := filepath.Join(folder, snapshotFile)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, damaged := range [][]byte{data[:len(data)-1], data[:8], append([]byte{data[0] ^ 1}, data[1:]...)} {
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		_, err = readSnapshot(folder)
		assert.Assert(t, errorx.IsOfType(err, fault.Corrupt), "%v", err)
	}
}

// Guards against a saved state that is torn or missing after a loss of power, although one was saved before.
func TestALossOfPowerLeavesASavedState(t *testing.T) {
	const states = 200
	folder, random := t.TempDir(), rand.New(rand.NewPCG(1, 2))
	saved, saving := "", ""
	var recorded *disk.Disk
	check := func() {
		folders, err := recorded.LayOut(t.TempDir(), random, states)
		assert.NilError(t, err)
		for _, f := range folders {
			found, err := readSnapshot(f)
			if saved == "" && errorx.IsOfType(err, fault.NotFound) {
				continue
			}
			assert.NilError(t, err)
			assert.Assert(t, string(found.Placement) == saved || string(found.Placement) == saving, "%q", found.Placement)
		}
	}
	recorded, err := disk.New(folder, check)
	assert.NilError(t, err)
	files := journal.System()
	files.Open, files.Write, files.Sync, files.Rename, files.SyncFolder = recorded.Open, recorded.Write, recorded.Sync, recorded.Rename, recorded.SyncFolder
	for _, saving = range []string{"first", "second", "third and longer"} {
		assert.NilError(t, writeSnapshot(files, folder, router.Snapshot{Placement: []byte(saving)}))
		saved = saving
		check()
	}
}
