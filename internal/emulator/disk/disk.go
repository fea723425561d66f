// Package disk records what a program does to the files of one folder, and lays out the states in which a loss of power may leave them:
// of the names created, renamed or removed since the last sync of the folder, any may have taken effect, and each write since the last
// sync of its file may be there, partly there or missing.
package disk

import (
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

const fileMode = 0o600

// Disk is the folder. Its methods have the signatures of the file functions that they stand in for. It isn't safe for concurrent use.
type Disk struct {
	folder   string
	existing map[string]*content // by name
	synced   map[string]*content // as of the last sync of the folder
	changes  []change            // since then
	open     map[*os.File]*content
	// afterStep is called after each operation that changes what a loss of power may leave.
	afterStep func()
}

// content is what a file holds, under any name.
type content struct {
	synced []byte
	writes []write // since the last sync of the file
}

// write is a change of a file's bytes, or of its size if data is nil.
type write struct {
	offset int64
	data   []byte
}

// change gives a name to a file, or removes the name if content is nil.
type change struct {
	name    string
	content *content
}

// outcome is what a loss of power leaves of one write.
type outcome int

const (
	missing outcome = iota
	firstHalf
	secondHalf
	whole
	outcomes
)

// state is what a loss of power leaves of the folder: the bytes of each file, by name.
type state map[string][]byte

// New returns the disk of a folder, whose files are durable as they are.
func New(folder string, afterStep func()) (*Disk, error) {
	d := &Disk{folder: folder, synced: map[string]*content{}, open: map[*os.File]*content{}, afterStep: afterStep}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		data, err := os.ReadFile(filepath.Join(folder, entry.Name())) //nolint:gosec // a file of the folder
		if err != nil {
			return nil, err
		}
		d.synced[entry.Name()] = &content{synced: data}
	}
	d.existing = maps.Clone(d.synced)
	return d, nil
}

// Open opens a file of the folder.
func (d *Disk) Open(path string, flags int) (*os.File, error) {
	file, err := os.OpenFile(filepath.Clean(path), flags, fileMode)
	if err != nil {
		return nil, err
	}
	name := filepath.Base(path)
	c, ok := d.existing[name]
	switch {
	case !ok:
		c = &content{}
		d.name(name, c)
		d.afterStep()
	case flags&os.O_TRUNC != 0:
		c.writes = append(c.writes, write{})
		d.afterStep()
	}
	d.open[file] = c
	return file, nil
}

// Write appends to a file, as a file opened with O_APPEND or a new one does.
func (d *Disk) Write(file *os.File, data []byte) (int, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, err
	}
	n, err := file.Write(data)
	c := d.open[file]
	c.writes = append(c.writes, write{offset: info.Size(), data: slices.Clone(data[:n])})
	d.afterStep()
	return n, err
}

// Truncate sets the size of a file.
func (d *Disk) Truncate(file *os.File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return err
	}
	c := d.open[file]
	c.writes = append(c.writes, write{offset: size})
	d.afterStep()
	return nil
}

// Sync makes the bytes of a file durable, but not its name.
func (d *Disk) Sync(file *os.File) error {
	c := d.open[file]
	c.synced = c.after(func(int) outcome { return whole })
	c.writes = nil
	d.afterStep()
	return nil
}

// Rename renames a file of the folder.
func (d *Disk) Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return err
	}
	d.name(filepath.Base(to), d.existing[filepath.Base(from)])
	d.name(filepath.Base(from), nil)
	d.afterStep()
	return nil
}

// Remove removes a file of the folder.
func (d *Disk) Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	d.name(filepath.Base(path), nil)
	d.afterStep()
	return nil
}

// SyncFolder makes the names in the folder durable. Other folders are ignored.
func (d *Disk) SyncFolder(path string) error {
	if filepath.Clean(path) == filepath.Clean(d.folder) {
		d.synced, d.changes = maps.Clone(d.existing), nil
		d.afterStep()
	}
	return nil
}

func (d *Disk) name(name string, c *content) {
	d.changes = append(d.changes, change{name, c})
	if c == nil {
		delete(d.existing, name)
	} else {
		d.existing[name] = c
	}
}

// LayOut lays out all states in which a loss of power may leave the folder now, if there are at most most of them, and else most states
// drawn at random. It returns the new folders, which are in the folder parent.
func (d *Disk) LayOut(parent string, random *rand.Rand, most int) ([]string, error) {
	var folders []string
	for i, s := range d.states(random, most) {
		folder := filepath.Join(parent, strconv.Itoa(i))
		if err := s.layOut(folder); err != nil {
			return nil, err
		}
		folders = append(folders, folder)
	}
	return folders, nil
}

func (d *Disk) states(random *rand.Rand, most int) []state {
	var choices []int // number of outcomes of each change and write
	for range d.changes {
		choices = append(choices, 2)
	}
	contents := d.contents()
	for _, c := range contents {
		for range c.writes {
			choices = append(choices, int(outcomes))
		}
	}
	total := 1
	for _, n := range choices {
		total = min(total*n, most+1)
	}
	var states []state
	for number := range min(total, most) {
		picked := make([]int, len(choices))
		for i, n := range choices {
			if total > most {
				picked[i] = random.IntN(n)
			} else {
				picked[i], number = number%n, number/n
			}
		}
		states = append(states, d.stateAfter(contents, picked))
	}
	return states
}

// contents returns the files that have a name or had one at the last sync of the folder.
func (d *Disk) contents() []*content {
	var contents []*content
	add := func(c *content) {
		if c != nil && !slices.Contains(contents, c) {
			contents = append(contents, c)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.synced)) {
		add(d.synced[name])
	}
	for _, c := range d.changes {
		add(c.content)
	}
	return contents
}

// stateAfter returns the state that the picked outcomes of the changes and then of the writes leave.
func (d *Disk) stateAfter(contents []*content, picked []int) state {
	names := maps.Clone(d.synced)
	for i, c := range d.changes {
		switch {
		case picked[i] == 0:
		case c.content == nil:
			delete(names, c.name)
		default:
			names[c.name] = c.content
		}
	}
	picked = picked[len(d.changes):]
	bytes := map[*content][]byte{}
	for _, c := range contents {
		bytes[c] = c.after(func(i int) outcome { return outcome(picked[i]) })
		picked = picked[len(c.writes):]
	}
	left := state{}
	for name, c := range names {
		left[name] = bytes[c]
	}
	return left
}

// after returns the bytes of a file after the writes since its last sync, each with its outcome.
func (c *content) after(outcomeOf func(write int) outcome) []byte {
	data := slices.Clone(c.synced)
	for i, w := range c.writes {
		outcome := outcomeOf(i)
		half := len(w.data) / 2
		switch {
		case outcome == missing:
		case w.data == nil:
			data = resized(data, w.offset)
		case outcome == firstHalf:
			data = overwritten(data, w.offset, w.data[:half])
		case outcome == secondHalf:
			data = overwritten(data, w.offset+int64(half), w.data[half:])
		default:
			data = overwritten(data, w.offset, w.data)
		}
	}
	return data
}

func overwritten(data []byte, offset int64, written []byte) []byte {
	data = resized(data, max(int64(len(data)), offset+int64(len(written))))
	copy(data[offset:], written)
	return data
}

func resized(data []byte, size int64) []byte {
	if int64(len(data)) >= size {
		return data[:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

// layOut writes the files of a state to a new folder.
func (s state) layOut(folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	for name, data := range s {
		if err := os.WriteFile(filepath.Join(folder, name), data, fileMode); err != nil {
			return err
		}
	}
	return nil
}
