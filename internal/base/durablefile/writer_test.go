package durablefile

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/emulator/disk"
)

// Guards against a file that is empty, torn or old after a loss of power, although it was replaced.
func TestALossOfPowerLeavesTheOldOrTheNewContent(t *testing.T) {
	const name, states = "key.pem", 200
	folder, random := t.TempDir(), rand.New(rand.NewPCG(1, 2))
	old, written := "", "first content"
	var recorded *disk.Disk
	check := func() {
		folders, err := recorded.LayOut(t.TempDir(), random, states)
		assert.NilError(t, err)
		for _, f := range folders {
			found, err := os.ReadFile(filepath.Join(f, name))
			if os.IsNotExist(err) {
				assert.Equal(t, old, "", "the file is missing")
				continue
			}
			assert.NilError(t, err)
			assert.Assert(t, string(found) == old || string(found) == written, "%q", found)
		}
	}
	recorded, err := disk.New(folder, check)
	assert.NilError(t, err)
	w := New()
	w.open = func(path string, _ os.FileMode) (*os.File, error) {
		return recorded.Open(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	}
	w.write, w.sync, w.rename, w.syncFolder = recorded.Write, recorded.Sync, recorded.Rename, recorded.SyncFolder
	for _, next := range []string{"the second content", "3", "the fourth content, which is longer"} {
		assert.NilError(t, w.Replace(filepath.Join(folder, name), []byte(written), 0o600))
		old = written
		check()
		written = next
	}
}
