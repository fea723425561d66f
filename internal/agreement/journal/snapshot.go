package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"strings"

	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	snapshotPrefix  = "snapshot-"
	segmentPrefix   = "segment-"
	temporarySuffix = ".tmp"
	identityName    = "identity"
	lockName        = "lock"
	// snapshotHeaderBytes is the size of the magic number (4), payload length (8) and checksum (4).
	snapshotHeaderBytes = 16
)

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%020d", segmentPrefix, sequence)
}

func snapshotName(index quorum.Index) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, index)
}

// SaveSnapshot makes a snapshot durable and removes older ones. The log up to the snapshot must have been synced. The current
// segment, if large enough, is closed before the next record, so that it can be removed once a snapshot covers it.
func (j *Journal) SaveSnapshot(s quorum.Snapshot) error {
	data, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := j.checkSpace(len(data)); err != nil {
		return err
	}
	if err := j.replaceFile(snapshotName(s.Index), data); err != nil {
		return err
	}
	for old := j.snapshotIndex.Load(); old < uint64(s.Index); old = j.snapshotIndex.Load() {
		j.snapshotIndex.CompareAndSwap(old, uint64(s.Index))
	}
	j.rotateRequested.Store(true)
	return j.removeSnapshotsBefore(s.Index)
}

// replaceFile writes a file with a temporary name, syncs it and renames it, so that after a crash the file has either the old
// or the new content.
func (j *Journal) replaceFile(name string, data []byte) error {
	files := j.cfg.Files
	temporary := j.path(name + temporarySuffix)
	file, err := files.Open(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return diskError(err, "cannot create %s", temporary)
	}
	err = j.write(file, data)
	if err == nil {
		if err = files.Sync(file); err != nil {
			err = diskError(err, "cannot sync %s", temporary)
		}
	}
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = diskError(closeErr, "cannot close %s", temporary)
	}
	if err != nil {
		return err
	}
	if err := files.Rename(temporary, j.path(name)); err != nil {
		return diskError(err, "cannot rename %s", temporary)
	}
	return j.syncFolder()
}

func (j *Journal) removeSnapshotsBefore(before quorum.Index) error {
	names, err := j.cfg.Files.List(j.cfg.Folder)
	if err != nil {
		return diskError(err, "cannot list %s", j.cfg.Folder)
	}
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, temporarySuffix) && name < snapshotName(before) {
			err := j.cfg.Files.Remove(j.path(name))
			if err != nil && !errors.Is(err, os.ErrNotExist) {
				return diskError(err, "cannot remove %s", name)
			}
		}
	}
	return nil
}

func encodeSnapshot(s quorum.Snapshot) ([]byte, error) {
	payload, err := codec.Marshal(s)
	if err != nil {
		return nil, err
	}
	data := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+len(payload))
	copy(data, snapshotMagic[:])
	binary.LittleEndian.PutUint64(data[4:], uint64(len(payload)))
	binary.LittleEndian.PutUint32(data[12:], crc32.Checksum(payload, castagnoli))
	return append(data, payload...), nil
}

// decodeSnapshot decodes a snapshot file. It fails with fault.Corrupt.
func decodeSnapshot(data []byte) (quorum.Snapshot, error) {
	var s quorum.Snapshot
	if len(data) < snapshotHeaderBytes || [4]byte(data[:4]) != snapshotMagic {
		return s, fault.Corrupt.New("snapshot has no valid header")
	}
	payload := data[snapshotHeaderBytes:]
	if binary.LittleEndian.Uint64(data[4:]) != uint64(len(payload)) {
		return s, fault.Corrupt.New("snapshot payload has %d bytes, but its header has another length", len(payload))
	}
	if binary.LittleEndian.Uint32(data[12:]) != crc32.Checksum(payload, castagnoli) {
		return s, fault.Corrupt.New("snapshot checksum doesn't match")
	}
	if err := codec.Unmarshal(payload, &s); err != nil {
		return s, fault.Corrupt.Wrap(err, "snapshot payload can't be decoded")
	}
	return s, nil
}
