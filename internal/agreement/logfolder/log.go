// Package logfolder opens the log that a host keeps of a group. A log that is damaged is left where it is, and the host begins an empty one
// in a folder beside it: it joins the group again like a host that lost its disk.
//
// The folders of the logs have the name of the first one, followed by -2, -3 and so on.
package logfolder

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// Log is an open journal and what it contained.
type Log struct {
	*journal.Journal
	Loaded quorum.Loaded
	// LeftAside is the folder of the damaged log whose place this one has taken, empty if there is none.
	LeftAside string
	// Damage is why that log can't be opened, if this was found out now.
	Damage error
}

// Open opens the newest log of cfg.Folder, or begins another one if the newest is damaged. As long as the new one hasn't joined the group,
// the damaged one is tried again first: the group may be unable to go on without its data, and another build may be able to read it. Open
// fails like journal.Open, except that damage isn't a failure.
func Open(cfg journal.Config) (*Log, error) {
	numbers, err := folderNumbers(cfg.Folder)
	if err != nil {
		return nil, err
	}
	newest := numbers[len(numbers)-1]
	opened, err := open(cfg, newest)
	switch {
	case errorx.IsOfType(err, fault.Corrupt):
		return begin(cfg, numbers, err)
	case err != nil || len(numbers) == 1:
		return opened, err
	}
	before := numbers[len(numbers)-2]
	opened.LeftAside = numbered(cfg.Folder, before)
	if opened.Loaded.HardState.Group != "" {
		return opened, nil
	}
	earlier, err := open(cfg, before)
	if err != nil {
		opened.Damage = err
		return opened, nil
	}
	if err := opened.Close(); err != nil {
		return nil, err
	}
	return earlier, nil
}

// begin begins an empty log after the newest one, and removes those before.
func begin(cfg journal.Config, numbers []int, damage error) (*Log, error) {
	newest := numbers[len(numbers)-1]
	for _, number := range numbers[:len(numbers)-1] {
		if err := os.RemoveAll(numbered(cfg.Folder, number)); err != nil {
			return nil, fault.DiskFailed.Wrap(err, "cannot remove %s", numbered(cfg.Folder, number))
		}
	}
	opened, err := open(cfg, newest+1)
	if err != nil {
		return nil, err
	}
	opened.LeftAside, opened.Damage = numbered(cfg.Folder, newest), damage
	return opened, nil
}

func open(cfg journal.Config, number int) (*Log, error) {
	cfg.Folder = numbered(cfg.Folder, number)
	j, loaded, err := journal.Open(cfg)
	if err != nil {
		return nil, err
	}
	return &Log{Journal: j, Loaded: loaded}, nil
}

func numbered(folder string, number int) string {
	if number == 1 {
		return folder
	}
	return folder + "-" + strconv.Itoa(number)
}

// folderNumbers returns the numbers of the existing folders, sorted, or 1 if there is none.
func folderNumbers(folder string) ([]int, error) {
	parent, name := filepath.Split(folder)
	entries, err := os.ReadDir(filepath.Clean(parent))
	if err != nil && !os.IsNotExist(err) {
		return nil, fault.DiskFailed.Wrap(err, "cannot list %s", parent)
	}
	var numbers []int
	for _, entry := range entries {
		suffix, ok := strings.CutPrefix(entry.Name(), name+"-")
		number, err := strconv.Atoi(suffix)
		switch {
		case entry.Name() == name:
			numbers = append(numbers, 1)
		case ok && err == nil && number > 1 && numbered(name, number) == entry.Name():
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	if len(numbers) == 0 {
		return []int{1}, nil
	}
	return numbers, nil
}
