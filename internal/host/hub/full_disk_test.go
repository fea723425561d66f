//go:build !race

// The bounds of these tests are times of an installation. The race detector slows five hosts in one process down too much for them.

package hub

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/agreement/member"
	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// fullDiskSeedsVariable and fullDiskFirstVariable are environment variables with the number of seeds and the first seed.
	fullDiskSeedsVariable, fullDiskFirstVariable = "CITRONGLADE_FULL_DISK_SEEDS", "CITRONGLADE_FULL_DISK_FIRST_SEED"
	// The five hosts of a seed need the machine for themselves, so the test's step of make test sets the number of seeds.
	defaultFullDiskSeeds = 0
	// ackTimeout is the time in which an installation of the users' bounds acknowledges a change.
	ackTimeout = 4 * time.Second
	// catchUpTime is the time after which a host whose disk works again counts as whole.
	catchUpTime                 = 4 * time.Second
	controlHosts, fullDiskTurns = 5, 8
)

// refusal says which operations a full disk refuses.
type refusal int

const (
	works refusal = iota
	refusesAll
	refusesBytes  // not names and sizes; a part of the bytes is written
	refusesLarge  // bytes beyond smallWrite
	refusesNames  // no file is created, renamed or removed
	refusesSync   // of the folder
	refusesNoFree // nothing, but says that no space is free
	refusals
)

const (
	smallWrite = 600
	// recordHeader is the size of the header of a log's record.
	recordHeader = 20
	// severalChunks is the size of a table whose snapshot is sent in several messages.
	severalChunks = 5 << 19
)

// fillingDisk wraps the functions of the operating system's files.
type fillingDisk struct {
	mu   sync.Mutex
	kind refusal
}

func (d *fillingDisk) set(kind refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kind = kind
}

func (d *fillingDisk) refuses(kinds ...refusal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Contains(kinds, d.kind) {
		return syscall.ENOSPC
	}
	return nil
}

func (d *fillingDisk) files() journal.Files {
	system := journal.System()
	files := system
	files.Open = func(path string, flags int) (*os.File, error) {
		_, err := os.Stat(path)
		if flags&os.O_CREATE != 0 && (os.IsNotExist(err) || flags&os.O_TRUNC != 0) {
			if err := d.refuses(refusesAll, refusesNames); err != nil {
				return nil, err
			}
		}
		return system.Open(path, flags)
	}
	files.Write = func(file *os.File, data []byte) (int, error) {
		if err := d.refuses(refusesAll); err != nil {
			return 0, err
		}
		if err := d.refuses(refusesBytes); err != nil {
			n, _ := system.Write(file, data[:len(data)/2])
			return n, err
		}
		if err := d.refuses(refusesLarge); err != nil && len(data) > smallWrite {
			n, _ := system.Write(file, data[:smallWrite])
			return n, err
		}
		return system.Write(file, data)
	}
	// Nothing is synced: the machine's own disk isn't tested, and other tests may delay it.
	files.Sync = func(*os.File) error { return d.refuses(refusesAll) }
	files.SyncFolder = func(string) error { return d.refuses(refusesAll, refusesSync) }
	files.Truncate = func(file *os.File, size int64) error {
		if err := d.refuses(refusesAll); err != nil {
			return err
		}
		return system.Truncate(file, size)
	}
	files.Rename = func(from, to string) error {
		if err := d.refuses(refusesAll, refusesNames); err != nil {
			return err
		}
		return system.Rename(from, to)
	}
	files.Remove = func(path string) error {
		if err := d.refuses(refusesAll, refusesNames); err != nil {
			return err
		}
		return system.Remove(path)
	}
	files.Free = func(string) (uint64, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.kind == refusesAll || d.kind == refusesNoFree {
			return 0, nil
		}
		return 1 << 40, nil
	}
	return files
}

// diskHost is a control host on a disk that fills up.
type diskHost struct {
	hub    *Hub
	disk   *fillingDisk
	folder string
	log    *bytes.Buffer
	stop   context.CancelFunc
	done   chan error
}

// diskSite is an installation of control hosts that call each other directly.
type diskSite struct {
	t     *testing.T
	timer *timer.Service

	mu    sync.Mutex
	hosts map[unit.HostName]*diskHost
}

func (s *diskSite) host(name unit.HostName) *diskHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[name]
}

func (s *diskSite) names() []unit.HostName {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []unit.HostName
	for name := range s.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *diskSite) start(name unit.HostName, folder string, form bool) {
	s.startWith(name, folder, form, []unit.HostName{"h1", "h2", "h3"}, controlHosts)
}

// startAlone starts the only host of an installation.
func (s *diskSite) startAlone(name unit.HostName, folder string) {
	s.startWith(name, folder, true, []unit.HostName{name}, 1)
}

func (s *diskSite) startWith(name unit.HostName, folder string, form bool, seeds []unit.HostName, voters int) {
	h := &diskHost{disk: &fillingDisk{}, folder: folder, log: &bytes.Buffer{}, done: make(chan error, 1)}
	log := eventlog.New("host", string(name))
	h.hub = New(Dependencies{
		Name: name, DataFolder: folder, Seeds: func() []unit.HostName { return seeds }, FormGroup: form, Voters: voters,
		Incarnation: unit.Incarnation(time.Now().UnixNano()), Timer: s.timer, Log: log, Files: h.disk.files(),
		Call: func(ctx context.Context, to unit.HostName, kind string, payload []byte) ([]byte, error) {
			target := s.host(to)
			if target == nil {
				return nil, fault.Unreachable.New("%s doesn't run", to)
			}
			return target.hub.Handle(ctx, name, kind, payload)
		},
		Send: func(to unit.HostName, kind string, payload []byte) {
			if target := s.host(to); target != nil {
				_, _ = target.hub.Handle(context.Background(), name, kind, payload)
			}
		},
	})
	config := h.hub.group.config
	h.hub.group.config = func() (c member.Config) {
		c = config()
		c.SnapshotBytes, c.TrailingEntries = 128<<10, 4 // members that were away for a moment need a snapshot
		return c
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	s.mu.Lock()
	s.hosts[name] = h
	s.mu.Unlock()
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		_ = log.Run(ctx, h.log)
	}()
	go func() {
		err := h.hub.Run(ctx)
		<-logged
		h.done <- err
	}()
}

// end stops a host and returns it.
func (s *diskSite) end(name unit.HostName) *diskHost {
	s.mu.Lock()
	h := s.hosts[name]
	delete(s.hosts, name)
	s.mu.Unlock()
	h.stop()
	assert.Check(s.t, <-h.done)
	return h
}

// wipe restarts a host with an empty disk.
func (s *diskSite) wipe(name unit.HostName) {
	h := s.end(name)
	assert.NilError(s.t, os.RemoveAll(h.folder))
	assert.NilError(s.t, os.MkdirAll(h.folder, 0o700))
	s.start(name, h.folder, false)
}

// damage restarts a host with a flipped bit in the oldest record of its log.
func (s *diskSite) damage(name unit.HostName) {
	h := s.end(name)
	segments, err := filepath.Glob(filepath.Join(h.folder, "book*", "segment-*"))
	assert.NilError(s.t, err)
	newest := segments[len(segments)-1]
	oldest := segments[slices.IndexFunc(segments, func(path string) bool { return filepath.Dir(path) == filepath.Dir(newest) })]
	data, err := os.ReadFile(oldest)
	assert.NilError(s.t, err)
	data[recordHeader] ^= 1
	assert.NilError(s.t, os.WriteFile(oldest, data, 0o600))
	s.start(name, h.folder, false)
}

// submit submits a table of the version through one of the hosts.
func (s *diskSite) submit(through unit.HostName, version table.Version, size int) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), ackTimeout)
	defer cancel()
	return s.host(through).hub.Submit(ctx, &table.Table{Version: version}, make([]byte, size))
}

// unsettled says why not all hosts vote and have the version, empty if they do.
func (s *diskSite) unsettled(version table.Version) string {
	for _, name := range s.names() {
		h := s.host(name)
		m, err := h.hub.group.member()
		if err != nil {
			return fmt.Sprintf("%s: %v", name, err)
		}
		status := m.Status()
		if len(status.Voters) != controlHosts || len(status.Learners) > 0 || !slices.Contains(status.Voters, status.Self) || len(status.Silent) > 0 {
			return fmt.Sprintf("%s (%s): voters %v, learners %v, silent %v", name, status.Self, status.Voters, status.Learners, status.Silent)
		}
		h.hub.mu.Lock()
		has := h.hub.tablePage.Version
		h.hub.mu.Unlock()
		if has < version {
			return fmt.Sprintf("%s has version %d of %d", name, has, version)
		}
	}
	return ""
}

func (s *diskSite) waitUntilSettled(version table.Version, within time.Duration) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if cause := s.unsettled(version); cause != "" {
			return poll.Continue("%s", cause)
		}
		return poll.Success()
	}, poll.WithTimeout(within), poll.WithDelay(20*time.Millisecond))
}

// Guards against a host that says that it leads the group while its log is closed, so that the others follow two leaders.
func TestAHostWhoseLogIsClosedDoesNotSayThatItLeads(t *testing.T) {
	s := &diskSite{t: t, timer: timer.New(), hosts: map[unit.HostName]*diskHost{}}
	t.Cleanup(func() { _ = s.end("h1") })
	s.startAlone("h1", t.TempDir())
	h := s.host("h1")
	leads := func(want bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			h.hub.mu.Lock()
			defer h.hub.mu.Unlock()
			if h.hub.isLeader != want {
				return poll.Continue("the host says that it leads: %v", h.hub.isLeader)
			}
			return poll.Success()
		}, poll.WithTimeout(ackTimeout), poll.WithDelay(20*time.Millisecond))
	}
	leads(true)
	h.disk.set(refusesAll)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Assert(t, h.hub.Submit(ctx, &table.Table{Version: 1}, nil) != nil)
	leads(false)
	h.disk.set(works)
	leads(true)
}

// Guards against control hosts that refuse changes, leave them unanswered or don't vote any more long after their disks had room again (Acks,
// CONFIG): the disks are full in turn for a moment, never two at once, while changes are submitted, hosts lose their disks, find their logs
// damaged and restart.
func TestDisksThatAreFullInTurn(t *testing.T) {
	seeds, first := defaultFullDiskSeeds, 1
	for variable, value := range map[string]*int{fullDiskSeedsVariable: &seeds, fullDiskFirstVariable: &first} {
		if text := os.Getenv(variable); text != "" {
			var err error
			*value, err = strconv.Atoi(text)
			assert.NilError(t, err)
		}
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			fillDisksInTurn(t, uint64(seed))
		})
	}
}

func fillDisksInTurn(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	s := &diskSite{t: t, timer: timer.New(), hosts: map[unit.HostName]*diskHost{}}
	t.Cleanup(func() {
		for _, name := range s.names() {
			h := s.end(name)
			if t.Failed() {
				t.Logf("%s", h.log)
			}
		}
	})
	parent := t.TempDir()
	for i := range controlHosts {
		name := unit.HostName(fmt.Sprint("h", i+1))
		folder := filepath.Join(parent, string(name))
		assert.NilError(t, os.MkdirAll(folder, 0o700))
		s.start(name, folder, true)
	}
	s.waitUntilSettled(0, 20*time.Second)
	version := table.Version(0)
	for turn := range fullDiskTurns {
		name := s.names()[random.IntN(controlHosts)]
		if random.IntN(2) == 0 {
			name = s.leader()
		}
		event := "goes on"
		switch random.IntN(6) {
		case 0: // its disk may be full while it catches up
			event = "was wiped"
			s.waitUntilSettled(version, catchUpTime+ackTimeout) // no third host is lost meanwhile
			s.wipe(name)
		case 1:
			event = "was restarted"
			h := s.end(name)
			s.start(name, h.folder, false)
		case 2:
			event = "has a damaged log"
			s.waitUntilSettled(version, catchUpTime+ackTimeout)
			s.damage(name)
		}
		kind := works + 1 + refusal(random.IntN(int(refusals)-1))
		disk := s.host(name).disk
		timer.Sleep(t.Context(), time.Duration(random.IntN(400))*time.Millisecond)
		disk.set(kind)
		t.Logf("turn %d: %s %s, its disk refuses %d", turn, name, event, kind)
		until := time.Now().Add(300*time.Millisecond + time.Duration(random.IntN(2200))*time.Millisecond)
		for time.Now().Before(until) {
			version++
			through := s.names()[random.IntN(controlHosts)]
			size := 1 + random.IntN(60_000)
			if random.IntN(10) == 0 {
				size = severalChunks
			}
			assert.NilError(t, s.submit(through, version, size), "turn %d, version %d through %s, %s %s, its disk refuses %d", turn, version, through, name, event, kind)
		}
		disk.set(works)
		if random.IntN(3) == 0 {
			timer.Sleep(t.Context(), time.Duration(random.IntN(1500))*time.Millisecond)
		} else {
			s.waitUntilSettled(version, catchUpTime+ackTimeout)
		}
	}
	s.waitUntilSettled(version, catchUpTime+ackTimeout)
	for _, name := range s.names() {
		version++
		assert.NilError(t, s.submit(name, version, 100))
	}
	s.waitUntilSettled(version, ackTimeout)
}

func (s *diskSite) leader() unit.HostName {
	for _, name := range s.names() {
		if m, err := s.host(name).hub.group.member(); err == nil && m.Status().IsLeader {
			return name
		}
	}
	return s.names()[0]
}
