// Package savedstate saves the latest state known to a control host on its disk, so that entry hosts are served at once after all
// hosts have restarted together, before the replicated log has a leader and before endpoints have reported again. The saved
// state may be outdated and is replaced by newer information as it arrives. Nothing that must be durable depends on it.
package savedstate

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
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

// fileCount is the number of files that are written in turn, so that a torn write leaves the previous file intact.
const fileCount = 2

// State is the state that is saved.
type State struct {
	Table     decisions.AcceptedTable                    `cbor:"1,keyasint"`
	Weights   map[unit.ModelName]decisions.WeightsNumber `cbor:"2,keyasint"`
	Endpoints registry.Update                            `cbor:"3,keyasint"`
	Crashes   []quarantine.Notice                        `cbor:"4,keyasint,omitempty"`
	Causes    []crashcause.Notice                        `cbor:"5,keyasint,omitempty"`
}

// fileContent is the content of one file. Checksum is the xxHash of State, which is an encoded State.
type fileContent struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Checksum uint64 `cbor:"2,keyasint"`
	State    []byte `cbor:"3,keyasint"`
}

// File stores a State in a pair of files in one folder. It isn't safe for concurrent use.
type File struct {
	folder   string
	sequence uint64 // of the last state that was saved or loaded
	write    func(path string, data []byte) error
}

// New returns the files of a folder, which must exist when Save is called.
func New(folder string) *File {
	return &File{folder: folder, write: writeAndSync}
}

// Load returns the newest intact state, false if there is none. Damaged files count as missing. It fails with
// fault.DiskFailed.
func (f *File) Load() (State, bool, error) {
	var newest State
	found := false
	for index := range fileCount {
		data, err := os.ReadFile(f.path(index))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return newest, found, fault.DiskFailed.Wrap(err, "cannot read %s", f.path(index))
		}
		state, sequence, ok := decode(data)
		if ok && sequence > f.sequence {
			newest, f.sequence, found = state, sequence, true
		}
	}
	return newest, found, nil
}

func decode(data []byte) (State, uint64, bool) {
	var s fileContent
	var state State
	if codec.Unmarshal(data, &s) != nil || xxhash.Sum64(s.State) != s.Checksum || codec.Unmarshal(s.State, &state) != nil {
		return state, 0, false
	}
	return state, s.Sequence, true
}

// Save writes the state to the next file in turn and syncs it. It fails with fault.DiskFailed; the file is then written again by the next
// call, so that the other one keeps the state before.
func (f *File) Save(state State) error {
	encoded, err := codec.Marshal(state)
	if err != nil {
		return err
	}
	sequence := f.sequence + 1
	data, err := codec.Marshal(fileContent{Sequence: sequence, Checksum: xxhash.Sum64(encoded), State: encoded})
	if err != nil {
		return err
	}
	path := f.path(int(sequence % fileCount))
	if err := f.write(path, data); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write %s", path)
	}
	f.sequence = sequence
	return nil
}

func writeAndSync(path string, data []byte) error {
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

func (f *File) path(index int) string {
	return filepath.Join(f.folder, "recall-"+strconv.Itoa(index))
}
