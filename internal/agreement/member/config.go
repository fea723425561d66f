package member

import (
	"time"

	"github.com/citronglade/citronglade/internal/agreement/journal"
	"github.com/citronglade/citronglade/internal/agreement/quorum"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Config holds the settings of one member of one group.
type Config struct {
	Group  uint32
	Self   string   // this host's name
	Peers  []string // host names of the first voters, this host included; with Join: hosts of the group to join
	Join   bool     // never form a group, only join the group that Peers belong to
	Folder string   // where this group stores its data; not shared with other groups

	// Send sends a message to a host. It must not block; messages may be lost, duplicated and reordered.
	Send func(to string, group uint32, payload []byte)
	// Now returns the current time, by default that of Timer. The clock must keep running while the process is suspended.
	Now   func() unit.Moment
	Timer *timer.Service
	Tick  time.Duration // interval at which timeouts are checked, 10 ms by default

	Heartbeat      time.Duration // time between two heartbeats, 50 ms by default
	Election       time.Duration // minimum election timeout, 400 ms by default; the maximum is twice this
	SnapshotBytes  int64         // applied bytes between two snapshots, 4 MiB by default
	MaxUncommitted int           // uncommitted entries beyond which proposals are rejected, 8192 by default
	// TrailingEntries is the number of entries before a snapshot that stay in memory for slow members, 1024 by default.
	TrailingEntries uint64
	Seed            uint64        // for random election timeouts, which differ between hosts with the same seed
	Files           journal.Files // the operating system's by default
}

const (
	defaultTick          = 10 * time.Millisecond
	defaultSnapshotBytes = 4 << 20
	// entryOverhead is added to the size of each applied entry, so that many small commands also reach SnapshotBytes.
	entryOverhead = 64
	// maxBatchRequests limits the proposals in one step of the core, and the requests that wait for the core.
	maxBatchRequests = 512
	// maxInboxMessages limits the received messages that wait for the core. Further ones are dropped, as if lost on the network.
	maxInboxMessages = 4096
)

func (c *Config) checkAndSetDefaults() error {
	if c.Self == "" || c.Folder == "" || c.Send == nil {
		return fault.BadSetting.New("member requires a host name, a folder and a send function")
	}
	if c.Timer == nil {
		c.Timer = timer.New()
	}
	if c.Now == nil {
		c.Now = c.Timer.Now
	}
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	return nil
}

func (c *Config) coreConfig(self quorum.NodeID) quorum.Config {
	return quorum.Config{
		Self: self, Peers: c.Peers, Join: c.Join, Seed: c.Seed, HeartbeatInterval: c.Heartbeat, ElectionTimeout: c.Election,
		MaxUncommitted: c.MaxUncommitted, TrailingEntries: quorum.Index(c.TrailingEntries),
	}
}
