// Package recall keeps what a control host knew last on its disk, so that entry hosts are served at once after all hosts
// have restarted together, before the replicated log has a leader and before endpoints have reported again. What it holds
// may be old and is replaced by what is heard; nothing that must survive rests on it.
package recall

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

// slots is the number of files that are written in turn, so that a torn write leaves the one before it whole.
const slots = 2

// State is what is kept.
type State struct {
	Page      book.Page                             `cbor:"1,keyasint"`
	Weights   map[unit.ModelName]book.WeightsNumber `cbor:"2,keyasint"`
	Endpoints registry.Update                       `cbor:"3,keyasint"`
	Crashes   []quarantine.Notice                   `cbor:"4,keyasint,omitempty"`
}

// sealed is the content of one file.
type sealed struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Checksum uint64 `cbor:"2,keyasint"`
	State    []byte `cbor:"3,keyasint"`
}

// File is the pair of files in one folder. It isn't safe for concurrent use.
type File struct {
	folder   string
	sequence uint64
}

// New returns the files of a folder, which must exist when they are written.
func New(folder string) *File {
	return &File{folder: folder}
}

// Load returns the newest state that is whole, false if there is none. Damaged files count as missing.
func (f *File) Load() (State, bool, error) {
	var newest State
	found := false
	for slot := range slots {
		data, err := os.ReadFile(f.path(slot))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return newest, found, fault.DiskFailed.Wrap(err, "cannot read %s", f.path(slot))
		}
		state, sequence, ok := open(data)
		if ok && sequence > f.sequence {
			newest, f.sequence, found = state, sequence, true
		}
	}
	return newest, found, nil
}

func open(data []byte) (State, uint64, bool) {
	var s sealed
	var state State
	if codec.Unmarshal(data, &s) != nil || xxhash.Sum64(s.State) != s.Checksum || codec.Unmarshal(s.State, &state) != nil {
		return state, 0, false
	}
	return state, s.Sequence, true
}

// Save writes the state and syncs it. It fails with fault.DiskFailed.
func (f *File) Save(state State) error {
	encoded, err := codec.Marshal(state)
	if err != nil {
		return err
	}
	f.sequence++
	data, err := codec.Marshal(sealed{Sequence: f.sequence, Checksum: xxhash.Sum64(encoded), State: encoded})
	if err != nil {
		return err
	}
	path := f.path(int(f.sequence % slots))
	if err := writeSynced(path, data); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write %s", path)
	}
	return nil
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func (f *File) path(slot int) string {
	return filepath.Join(f.folder, "recall-"+strconv.Itoa(slot))
}
