// Package durablefile replaces files so that a loss of power leaves either the old or the new content, and the new one once Replace has
// succeeded.
package durablefile

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// temporarySuffix is added to the name of a file while its new content is written.
const temporarySuffix = ".new"

// Writer replaces files. Tests replace its functions.
type Writer struct {
	open       func(path string, mode os.FileMode) (*os.File, error)
	write      func(file *os.File, data []byte) (int, error)
	sync       func(file *os.File) error
	rename     func(from, to string) error
	syncFolder func(path string) error
}

// New returns a writer that uses the functions of the operating system.
func New() *Writer {
	return &Writer{
		open: func(path string, mode os.FileMode) (*os.File, error) {
			return os.OpenFile(filepath.Clean(path), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, mode)
		},
		write: (*os.File).Write, sync: (*os.File).Sync, rename: os.Rename, syncFolder: syncFolder,
	}
}

// Replace replaces the file at path, or creates it with the mode. It fails with fault.DiskFailed.
func (w *Writer) Replace(path string, data []byte, mode os.FileMode) error {
	temporary := path + temporarySuffix
	file, err := w.open(temporary, mode)
	if err != nil {
		return fault.DiskFailed.Wrap(err, "cannot create %s", temporary)
	}
	_, err = w.write(file, data)
	if err == nil {
		err = w.sync(file)
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write %s", temporary)
	}
	if err := w.rename(temporary, path); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot replace %s", path)
	}
	if err := w.syncFolder(filepath.Dir(path)); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot sync the folder of %s", path)
	}
	return nil
}

func syncFolder(path string) error {
	folder, err := os.Open(filepath.Clean(path))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
