package journal

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/emulator/disk"
)

const (
	// powerLossFoldersVariable is the environment variable with the number of folders that TestEveryStateAfterAPowerLossOpens opens.
	powerLossFoldersVariable = "CITRONGLADE_POWER_LOSS_FOLDERS"
	defaultPowerLossFolders  = 1500
	// statesPerStep bounds the states that are opened after one operation on a file.
	statesPerStep = 8
	// writesPerHistory is the number of writes to one journal, with several losses of power.
	writesPerHistory = 60
	// powerLossSegmentBytes lets a snapshot cover several segments at once.
	powerLossSegmentBytes = 300
)

// powerLossHistory writes to a journal and, after each operation on its files, opens every state that a loss of power may leave.
type powerLossHistory struct {
	t        *testing.T
	seed     uint64
	step     quorum.Term
	random   *rand.Rand
	disk     *disk.Disk
	identity string        // empty until the journal has been opened
	synced   expectedState // what the journal has acknowledged
	written  expectedState // with the write under way
	opened   *int
}

func (h *powerLossHistory) files() Files {
	files := unsyncedFiles()
	files.Open, files.Write, files.Truncate, files.Rename, files.Remove = h.disk.Open, h.disk.Write, h.disk.Truncate, h.disk.Rename, h.disk.Remove
	files.Sync, files.SyncFolder = h.disk.Sync, h.disk.SyncFolder
	return files
}

// unsyncedFiles returns the functions of the operating system without syncs.
func unsyncedFiles() Files {
	files := System()
	files.Sync, files.SyncFolder = func(*os.File) error { return nil }, func(string) error { return nil }
	files.Free = func(string) (uint64, error) { return 1 << 40, nil }
	files.Lock = func(*os.File) error { return nil }
	return files
}

// use opens the journal in the folder, whose files are durable as they are.
func (h *powerLossHistory) use(folder string) *Journal {
	recorded, err := disk.New(folder, h.check)
	assert.NilError(h.t, err)
	h.disk = recorded
	j, loaded, err := Open(Config{Folder: folder, Files: h.files(), SegmentBytes: powerLossSegmentBytes})
	assert.NilError(h.t, err, "seed %d step %d", h.seed, h.step)
	h.identity, h.synced, h.written = j.Identity(), expectedState{loaded}, expectedState{loaded}
	return j
}

// check opens the states in which a loss of power may leave the folder now.
func (h *powerLossHistory) check() {
	parent := h.t.TempDir()
	folders, err := h.disk.LayOut(parent, h.random, statesPerStep)
	assert.NilError(h.t, err)
	for _, folder := range folders {
		*h.opened++
		j, loaded, err := Open(Config{Folder: folder, Files: unsyncedFiles(), SegmentBytes: powerLossSegmentBytes})
		assert.NilError(h.t, err, "seed %d step %d", h.seed, h.step)
		h.checkLoaded(j, loaded)
		assert.NilError(h.t, j.Close())
	}
	assert.NilError(h.t, os.RemoveAll(parent))
}

func (h *powerLossHistory) checkLoaded(j *Journal, loaded quorum.Loaded) {
	place := fmt.Sprintf("seed %d step %d", h.seed, h.step)
	if h.identity != "" {
		assert.Equal(h.t, j.Identity(), h.identity, place)
	}
	assert.Assert(h.t, loaded.HardState == h.synced.HardState || loaded.HardState == h.written.HardState, "%s: hard state %v", place, loaded.HardState)
	assert.Assert(h.t, loaded.Snapshot.Index == h.synced.Snapshot.Index || loaded.Snapshot.Index == h.written.Snapshot.Index,
		"%s: snapshot up to %d", place, loaded.Snapshot.Index)
	for _, entries := range [][]quorum.Entry{h.written.Entries, h.synced.Entries} {
		expected := expectedState{quorum.Loaded{Snapshot: loaded.Snapshot, Entries: entries}}
		if fmt.Sprint(loaded.Entries) == fmt.Sprint(expected.normalized().Entries) {
			return
		}
	}
	h.t.Fatalf("%s: loaded %v, the journal has synced %v", place, loaded.Entries, h.synced.Entries)
}

// write makes one random write durable.
func (h *powerLossHistory) write(j *Journal) {
	p := randomWrite(h.random, h.written, h.step+1)
	if h.written.HardState.Group == "" { // a node first writes the name of its group
		p = quorum.Persist{HardState: &quorum.HardState{Group: "g"}}
	}
	h.written.write(p)
	if p.Snapshot != nil && !p.Reset {
		assert.NilError(h.t, j.SaveSnapshot(*p.Snapshot))
	} else {
		assert.NilError(h.t, j.Append(p))
		assert.NilError(h.t, j.Sync())
	}
	h.synced = h.written
}

// losePower continues with one of the states that a loss of power may leave.
func (h *powerLossHistory) losePower(j *Journal) *Journal {
	_ = j.Close()
	folders, err := h.disk.LayOut(h.t.TempDir(), h.random, statesPerStep)
	assert.NilError(h.t, err)
	return h.use(folders[h.random.IntN(len(folders))])
}

// Guards against a host that can't open its log after a power loss (CONFIG, review/6): segments that a snapshot covers were removed
// together, some of them are back, and the gap between them counted as damage.
func TestEveryStateAfterAPowerLossOpens(t *testing.T) {
	folders := defaultPowerLossFolders
	if text := os.Getenv(powerLossFoldersVariable); text != "" {
		var err error
		folders, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	opened := 0
	for seed := uint64(1); opened < folders; seed++ {
		h := &powerLossHistory{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), opened: &opened}
		j := h.use(filepath.Join(t.TempDir(), "group"))
		for ; h.step < writesPerHistory && opened < folders; h.step++ {
			h.write(j)
			if h.random.IntN(15) == 0 {
				j = h.losePower(j)
			}
		}
		assert.NilError(t, j.Close())
	}
	t.Logf("%d folders opened", opened)
}
