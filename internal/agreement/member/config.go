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
	Peers  []string // all voters at first start, self included
	Join   bool     // never form a group, only join the one that Peers belong to
	Folder string   // of this group alone

	// Send passes a message to a host and must not block; messages may be lost, repeated and reordered.
	Send func(to string, group uint32, payload []byte)
	// Now is the clock of Timer by default. It must include time that the process spends frozen.
	Now   func() unit.Moment
	Timer *timer.Service
	Tick  time.Duration // between two checks of the timeouts, 10 ms by default

	Heartbeat      time.Duration // 50 ms by default
	Election       time.Duration // the minimum election timeout, 400 ms by default; the maximum is twice this
	SnapshotBytes  int64         // applied bytes between two snapshots, 4 MiB by default
	MaxUncommitted int           // proposals that wait for a quorum, 8192 by default
	Seed           uint64        // of the election timeouts; hosts differ with the same seed
	Files          journal.Files // the operating system's by default
}

const (
	defaultTick          = 10 * time.Millisecond
	defaultSnapshotBytes = 4 << 20
	// entryOverhead counts towards SnapshotBytes for each command, so that many small commands cause snapshots too.
	entryOverhead = 64
	// batchRequests bounds the proposals in one step of the core.
	batchRequests = 512
	// inboxMessages bounds received messages; further ones are dropped like messages lost on the network.
	inboxMessages = 4096
)

func (c *Config) complete() error {
	if c.Self == "" || c.Folder == "" || c.Send == nil {
		return fault.BadSetting.New("member needs a host name, a folder and a function to send with")
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

func (c *Config) quorum(self quorum.NodeID) quorum.Config {
	return quorum.Config{
		Self: self, Peers: c.Peers, Join: c.Join, Seed: c.Seed, HeartbeatInterval: c.Heartbeat, ElectionTimeout: c.Election,
		MaxUncommitted: c.MaxUncommitted,
	}
}
