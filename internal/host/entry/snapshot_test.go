package entry

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/base/fault"
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
