package savedstate

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// Guards against a restarted host that loads no state or a damaged one after a torn write.
func TestATornWriteLeavesTheStateBefore(t *testing.T) {
	folder := t.TempDir()
	f := New(folder)
	for version := range 3 {
		assert.NilError(t, f.Save(State{Table: decisions.AcceptedTable{Version: table.Version(version + 1)}}))
	}
	loaded, ok, err := New(folder).Load()
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.Equal(t, loaded.Table.Version, table.Version(3))
	newest := filepath.Join(folder, "recall-1")
	data, err := os.ReadFile(newest)
	assert.NilError(t, err)
	cases := []struct {
		name string
		data []byte
	}{
		{name: "cut", data: data[:len(data)/2]},
		{name: "empty", data: nil},
		{name: "spoiled", data: append(append([]byte{}, data[:len(data)-1]...), data[len(data)-1]^1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.NilError(t, os.WriteFile(newest, c.data, 0o600))
			restarted := New(folder)
			loaded, ok, err := restarted.Load()
			assert.NilError(t, err)
			assert.Assert(t, ok)
			assert.Equal(t, loaded.Table.Version, table.Version(2))
		})
	}
	_, ok, err = New(t.TempDir()).Load()
	assert.NilError(t, err)
	assert.Assert(t, !ok)
}

// Guards against a disk that is full for more than one save, which would destroy both files.
func TestSavesThatFailLeaveTheStateBefore(t *testing.T) {
	folder := t.TempDir()
	f := New(folder)
	save := func(version table.Version) error {
		return f.Save(State{Table: decisions.AcceptedTable{Version: version}})
	}
	for version := range table.Version(2) {
		assert.NilError(t, save(version+1))
	}
	write := f.write
	f.write = func(path string, data []byte) error {
		assert.NilError(t, write(path, data[:len(data)/2]))
		return syscall.ENOSPC
	}
	for range 3 {
		assert.Assert(t, errorx.IsOfType(save(3), fault.DiskFailed))
		loaded, ok, err := New(folder).Load()
		assert.NilError(t, err)
		assert.Assert(t, ok)
		assert.Equal(t, loaded.Table.Version, table.Version(2))
	}
	f.write = write
	assert.NilError(t, save(3))
	loaded, _, err := New(folder).Load()
	assert.NilError(t, err)
	assert.Equal(t, loaded.Table.Version, table.Version(3))
}
