package journal

import (
	"errors"
	"math/rand/v2"
	"os"
	"syscall"
)

// faultyFileSystem simulates the faults of a file system and its disk. A crash loses unsynced data: bytes at the end of files,
// and names created, renamed or removed in the folder.
type faultyFileSystem struct {
	syncedSizes       map[string]int64 // by path
	undoFolderChanges []func()         // one for each folder change since the last sync of the folder
	writes            int
	syncs             int
	nextSyncError     error // returned by the next sync
	writeLimit        int   // if not 0, writes stop after this many bytes with a full disk
	freeSpace         uint64
}

func newFaultyFileSystem() *faultyFileSystem {
	return &faultyFileSystem{syncedSizes: map[string]int64{}, freeSpace: 1 << 40}
}

func (f *faultyFileSystem) files() Files {
	files := System()
	files.Open = f.open
	files.Write = f.write
	files.Sync = f.sync
	files.Rename = f.rename
	files.Remove = f.remove
	files.SyncFolder = func(string) error { f.undoFolderChanges = nil; return nil }
	files.Free = func(string) (uint64, error) { return f.freeSpace, nil }
	files.Lock = func(*os.File) error { return nil }
	return files
}

func (f *faultyFileSystem) open(path string, flags int) (*os.File, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		f.undoFolderChanges = append(f.undoFolderChanges, func() { _ = os.Remove(path) })
	} else if _, known := f.syncedSizes[path]; !known && flags&os.O_TRUNC == 0 {
		f.syncedSizes[path] = info.Size()
	}
	return os.OpenFile(path, flags, fileMode)
}

func (f *faultyFileSystem) write(file *os.File, data []byte) (int, error) {
	f.writes++
	if f.writeLimit > 0 {
		n, _ := file.Write(data[:min(f.writeLimit, len(data))])
		return n, syscall.ENOSPC
	}
	return file.Write(data)
}

func (f *faultyFileSystem) sync(file *os.File) error {
	f.syncs++
	if err := f.nextSyncError; err != nil {
		f.nextSyncError = nil
		return err
	}
	info, err := file.Stat()
	if err == nil {
		f.syncedSizes[file.Name()] = info.Size()
	}
	return err
}

func (f *faultyFileSystem) rename(from, to string) error {
	f.undoFolderChanges = append(f.undoFolderChanges, func() { _ = os.Rename(to, from) })
	f.syncedSizes[to] = f.syncedSizes[from]
	delete(f.syncedSizes, from)
	return os.Rename(from, to)
}

func (f *faultyFileSystem) remove(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	f.undoFolderChanges = append(f.undoFolderChanges, func() { _ = os.WriteFile(path, data, fileMode) })
	delete(f.syncedSizes, path)
	return os.Remove(path)
}

// crash keeps a random part of the unsynced bytes of each file, sometimes with a corrupt byte, and undoes unsynced folder
// changes.
func (f *faultyFileSystem) crash(random *rand.Rand) {
	for path, synced := range f.syncedSizes {
		data, err := os.ReadFile(path)
		if err != nil || int64(len(data)) <= synced {
			continue
		}
		data = data[:synced+random.Int64N(int64(len(data))-synced+1)]
		if int64(len(data)) > synced && random.IntN(2) == 0 {
			data[synced+random.Int64N(int64(len(data))-synced)] ^= 1
		}
		_ = os.WriteFile(path, data, fileMode)
	}
	for i := len(f.undoFolderChanges) - 1; i >= 0; i-- {
		f.undoFolderChanges[i]()
	}
	f.undoFolderChanges = nil
}
