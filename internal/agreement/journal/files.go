package journal

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	folderMode = 0o750
	fileMode   = 0o640
	// reservedFreeBytes of disk space are kept free, so that a snapshot, which makes room for more log, can still be written.
	// checkSpace applies the reserve to snapshots as well, however.
	reservedFreeBytes = 16 << 20
)

// Files contains the file system functions that a journal uses. Tests replace individual functions to inject faults.
type Files struct {
	MakeFolder func(path string) error
	List       func(folder string) ([]string, error)
	Read       func(path string) ([]byte, error)
	Open       func(path string, flags int) (*os.File, error)
	Write      func(file *os.File, data []byte) (int, error)
	Sync       func(file *os.File) error
	Truncate   func(file *os.File, size int64) error
	Rename     func(from, to string) error
	Remove     func(path string) error
	SyncFolder func(path string) error
	Free       func(folder string) (uint64, error) // disk space available to this process, in bytes
	Lock       func(file *os.File) error           // fails while another process holds the lock
}

// System returns the file system functions of the operating system.
func System() Files {
	return Files{
		MakeFolder: func(path string) error { return os.MkdirAll(path, folderMode) },
		List:       listNames,
		Read:       func(path string) ([]byte, error) { return os.ReadFile(filepath.Clean(path)) },
		Open: func(path string, flags int) (*os.File, error) {
			return os.OpenFile(filepath.Clean(path), flags, fileMode)
		},
		Write:      func(file *os.File, data []byte) (int, error) { return file.Write(data) },
		Sync:       func(file *os.File) error { return file.Sync() },
		Truncate:   func(file *os.File, size int64) error { return file.Truncate(size) },
		Rename:     os.Rename,
		Remove:     os.Remove,
		SyncFolder: syncFolder,
		Free:       freeBytes,
		Lock: func(file *os.File) error {
			return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		},
	}
}

func listNames(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

func syncFolder(path string) error {
	folder, err := os.Open(filepath.Clean(path))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func freeBytes(folder string) (uint64, error) {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(folder, &stat); err != nil {
		return 0, err
	}
	return stat.Bavail * uint64(stat.Bsize), nil
}

// diskError wraps the error of a file operation as fault.DiskFull if the disk or quota is full, and as fault.DiskFailed
// otherwise.
func diskError(err error, format string, arguments ...any) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fault.DiskFull.Wrap(err, format, arguments...)
	}
	return fault.DiskFailed.Wrap(err, format, arguments...)
}
