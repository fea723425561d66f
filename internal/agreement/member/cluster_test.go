package member

import (
	"context"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const testTick = 5 * time.Millisecond

// counter is a state machine that counts and sums up its commands, so that lost or repeated commands are noticed.
type counter struct {
	count, sum uint64
}

func (c *counter) Apply(_ uint64, command []byte) []byte {
	c.count++
	c.sum += binary.LittleEndian.Uint64(command)
	return binary.LittleEndian.AppendUint64(nil, c.count)
}

func (c *counter) Snapshot() ([]byte, error) {
	data := binary.LittleEndian.AppendUint64(nil, c.count)
	return binary.LittleEndian.AppendUint64(data, c.sum), nil
}

func (c *counter) Restore(data []byte) error {
	c.count, c.sum = binary.LittleEndian.Uint64(data), binary.LittleEndian.Uint64(data[8:])
	return nil
}

func encodeCommand(value uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, value)
}

// host is a running member of a cluster.
type host struct {
	*Member
	machine *counter
	stop    context.CancelFunc
	done    chan error
}

// cluster runs members in one process. They store real files and exchange messages by direct calls.
type cluster struct {
	t      testing.TB
	folder string
	peers  []string
	adjust func(name string, cfg *Config)
	timer  *timer.Service
	ticked chan struct{} // receives at each tick, for rechecking conditions

	mu       sync.Mutex
	hosts    map[string]*host
	isolated map[string]bool
}

func newCluster(t testing.TB, size int, adjust func(name string, cfg *Config)) *cluster {
	c := &cluster{
		t: t, folder: t.TempDir(), adjust: adjust, hosts: map[string]*host{}, isolated: map[string]bool{},
		timer: timer.New(), ticked: make(chan struct{}, 1),
	}
	t.Cleanup(c.timer.Subscribe(testTick, func(unit.Moment) {
		select {
		case c.ticked <- struct{}{}:
		default:
		}
	}))
	for i := range size {
		c.peers = append(c.peers, fmt.Sprintf("host-%d", i+1))
	}
	for _, name := range c.peers {
		c.start(name)
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) send(from string) func(to string, group uint32, payload []byte) {
	return func(to string, _ uint32, payload []byte) {
		c.mu.Lock()
		target, blocked := c.hosts[to], c.isolated[from] || c.isolated[to]
		c.mu.Unlock()
		if target != nil && !blocked {
			target.HandleMessage(from, payload)
		}
	}
}

func (c *cluster) start(name string) *host {
	c.t.Helper()
	h := &host{machine: &counter{}, done: make(chan error, 1)}
	cfg := Config{
		Group: 1, Self: name, Peers: c.peers, Folder: filepath.Join(c.folder, name), Send: c.send(name),
		Timer: c.timer, Tick: testTick, Heartbeat: 20 * time.Millisecond, Election: 200 * time.Millisecond, Seed: 1,
		Files: journal.System(),
	}
	if c.adjust != nil {
		c.adjust(name, &cfg)
	}
	m, err := New(cfg, h.machine)
	assert.NilError(c.t, err)
	h.Member = m
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	c.mu.Lock()
	c.hosts[name] = h
	c.mu.Unlock()
	go func() { h.done <- m.Run(ctx) }()
	return h
}

// stopHost stops a host and returns the result of its Run.
func (c *cluster) stopHost(name string) error {
	c.mu.Lock()
	h := c.hosts[name]
	c.mu.Unlock()
	h.stop()
	err := <-h.done
	c.mu.Lock()
	delete(c.hosts, name)
	c.mu.Unlock()
	return err
}

func (c *cluster) stopAll() {
	for _, name := range c.names() {
		_ = c.stopHost(name)
	}
}

func (c *cluster) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.hosts {
		names = append(names, name)
	}
	return names
}

func (c *cluster) get(name string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[name]
}

// await checks a condition at each tick until it holds, and fails the test after 20 s.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	limit := time.After(20 * time.Second)
	for !condition() {
		select {
		case <-c.ticked:
		case <-limit:
			c.t.Fatalf("timeout while waiting until %s", what)
		}
	}
}

// leader waits until a host that isn't isolated is leader with a valid lease, and returns it.
func (c *cluster) leader() (string, *host) {
	c.t.Helper()
	var name string
	c.await("a leader holds a lease", func() bool {
		for _, candidate := range c.names() {
			if h := c.get(candidate); h != nil && !c.isolated[candidate] && h.Status().LeaseValid {
				name = candidate
				return true
			}
		}
		return false
	})
	return name, c.get(name)
}

// propose proposes a command to the current leader, retrying until it is committed, and returns the result.
func (c *cluster) propose(value uint64) []byte {
	c.t.Helper()
	for {
		_, h := c.leader()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		result, err := h.Propose(ctx, encodeCommand(value))
		cancel()
		if err == nil {
			return result
		}
	}
}
