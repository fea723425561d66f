package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"os"
	"path/filepath"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/routing/router"
)

const (
	// snapshotInterval is the time between two saves of the routing state by a host with a data folder. Engines evict cache pieces
	// within seconds, so an older state would be of little use after a restart.
	snapshotInterval = 2 * time.Second
	snapshotFile     = "routing-state"
	// maxSnapshot is the size in bytes of the largest snapshot that is read.
	maxSnapshot = 64 << 20
)

// saveSnapshot saves the routing state for the next start of this host. Without it, the indexes would be empty after a restart of all
// hosts at the same time, because no peer has state to copy.
func (h *Host) saveSnapshot(context.Context) {
	if h.Settings.DataFolder == "" || !h.restoreFinished() {
		return
	}
	if err := writeSnapshot(journal.System(), h.Settings.DataFolder, h.router.Snapshot()); err != nil {
		klog.Warningf("restore: cannot save the routing state: %v", err)
	}
}

// loadSnapshot restores the state that this host saved before it stopped. Saved announcements are left out, because their ages aren't
// known and endpoints announce themselves again within half a second.
func (h *Host) loadSnapshot() {
	if h.Settings.DataFolder == "" {
		return
	}
	saved, err := readSnapshot(h.Settings.DataFolder)
	if err == nil {
		saved.Announcements = nil
		err = h.router.Restore(saved)
	}
	if err != nil {
		klog.V(1).Infof("restore: no saved routing state: %v", err)
		return
	}
	h.mu.Lock()
	h.restoredOwn = true
	h.mu.Unlock()
	klog.Infof("restore: restored the routing state that this host saved")
}

// writeSnapshot replaces the snapshot file atomically: after a crash there is either the old file or the new one.
func writeSnapshot(files journal.Files, folder string, state router.Snapshot) error {
	payload, err := codec.Marshal(state)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(payload)
	path := filepath.Join(folder, snapshotFile)
	if err := files.MakeFolder(folder); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot make the folder")
	}
	file, err := files.Open(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return fault.DiskFailed.Wrap(err, "cannot open the snapshot")
	}
	_, err = files.Write(file, append(sum[:], payload...))
	if err == nil {
		err = files.Sync(file)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = files.Rename(path+".new", path)
	}
	if err == nil {
		err = files.SyncFolder(folder)
	}
	if err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write the snapshot")
	}
	return nil
}

// readSnapshot reads the snapshot file. It fails with fault.NotFound if there is no file, with fault.Corrupt if the file isn't what was
// written, and with fault.DiskFailed if it can't be read.
func readSnapshot(folder string) (state router.Snapshot, err error) {
	path := filepath.Join(folder, snapshotFile)
	info, err := os.Stat(path)
	if err != nil {
		return state, fault.NotFound.Wrap(err, "no snapshot")
	}
	if info.Size() > maxSnapshot {
		return state, fault.Corrupt.New("the snapshot has %d bytes", info.Size())
	}
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return state, fault.DiskFailed.Wrap(err, "cannot read the snapshot")
	}
	if len(data) < sha256.Size {
		return state, fault.Corrupt.New("the snapshot is too short")
	}
	sum := sha256.Sum256(data[sha256.Size:])
	if !bytes.Equal(sum[:], data[:sha256.Size]) {
		return state, fault.Corrupt.New("the snapshot's checksum is wrong")
	}
	return state, codec.Unmarshal(data[sha256.Size:], &state)
}
