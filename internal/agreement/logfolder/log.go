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
// the damaged ones are tried again: the group may be unable to go on without their data, and another build may be able to read them. Once it
// has joined, only the last damaged one is kept. Open fails like journal.Open, except that damage isn't a failure.
func Open(cfg journal.Config) (*Log, error) {
	numbers, err := folderNumbers(cfg.Folder)
	if err != nil {
		return nil, err
	}
	newest := numbers[len(numbers)-1]
	opened, err := open(cfg, newest)
	if errorx.IsOfType(err, fault.Corrupt) {
		damage := err
		if opened, err = open(cfg, newest+1); err != nil {
			return nil, err
		}
		opened.Damage = damage
		numbers = append(numbers, newest+1)
	}
	if err != nil || len(numbers) == 1 {
		return opened, err
	}
	before := numbers[:len(numbers)-1]
	opened.LeftAside = numbered(cfg.Folder, before[len(before)-1])
	if !opened.joined() {
		return opened.orEarlier(cfg, before)
	}
	if err := removeAll(cfg.Folder, before[:len(before)-1]); err != nil {
		return nil, opened.closeAfter(err)
	}
	return opened, nil
}

// orEarlier returns the newest of the logs before that can be opened after all and has joined the group, or else l itself.
func (l *Log) orEarlier(cfg journal.Config, before []int) (*Log, error) {
	for _, number := range slices.Backward(before) {
		earlier, err := open(cfg, number)
		if errorx.IsOfType(err, fault.Corrupt) {
			if l.Damage == nil {
				l.Damage = err
			}
			continue
		}
		if err != nil {
			return nil, l.closeAfter(err)
		}
		unused, used := earlier, l
		if earlier.joined() {
			unused, used = l, earlier
		}
		if err := unused.Close(); err != nil {
			return nil, used.closeAfter(err)
		}
		if used == earlier {
			return earlier, nil
		}
	}
	return l, nil
}

// closeAfter closes the log because of err, which it returns.
func (l *Log) closeAfter(err error) error {
	if closeErr := l.Close(); closeErr != nil {
		return errorx.Decorate(err, "the log couldn't be closed either: %v", closeErr)
	}
	return err
}

// joined reports whether the log belongs to a member of a group.
func (l *Log) joined() bool {
	return l.Loaded.HardState.Group != ""
}

func removeAll(folder string, numbers []int) error {
	for _, number := range numbers {
		if err := os.RemoveAll(numbered(folder, number)); err != nil {
			return fault.DiskFailed.Wrap(err, "cannot remove %s", numbered(folder, number))
		}
	}
	return nil
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
