// Package control implements the control role. It combines the consensus groups with their state machines, the archive of the
// record, the grantor of shares and the rollout of weights.
package control

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/citronglade/citronglade/internal/admission/share"
	"github.com/citronglade/citronglade/internal/agreement/member"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/configuration"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/control/ledger"
	"github.com/citronglade/citronglade/internal/control/rollout"
	"github.com/citronglade/citronglade/internal/host/settings"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/planning/sheet"
	"github.com/citronglade/citronglade/internal/record/archive"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

const (
	// mainGroup is the id of the consensus group that holds the configuration and the rollout. The ledger groups follow it.
	mainGroup = 0
	// Timing of the groups. Each tick and heartbeat wakes the process once for every group, which is most of the cost of an idle
	// control host. A leader whose disk write takes longer than the election timeout loses the leadership, so with a shorter timeout
	// a slow disk would cause frequent changes of the leader.
	groupTick      = 25 * time.Millisecond
	groupHeartbeat = 100 * time.Millisecond
	groupElection  = 800 * time.Millisecond
)

// Dependencies are the parameters of New.
type Dependencies struct {
	Settings  *settings.Settings
	Timer     *timer.Service
	WallClock func() time.Time
	// Send sends a one-way message to another host.
	Send func(to unit.HostName, kind string, payload []byte)
	// Endpoints returns the endpoints that the entry role in the same process knows. It is nil without that role; the host then reads
	// the endpoints from gossip.
	Endpoints func() []endpoint.Entry
}

// Host is the control role of one process. It is safe for concurrent use.
type Host struct {
	Dependencies
	mainMachine *mainMachine
	ledgers     []*ledger.Machine
	groups      []*member.Member // by group id
	archive     *archive.Archive

	mu               sync.Mutex
	grantor          *share.Grantor
	grantorTermStart unit.Moment // when this host became the leader that grantor belongs to
	limits           sheetLimits
	roster           *endpoint.Roster
	quarantines      *quarantine.Register
}

// sheetLimits is the decoded sheet of a configuration version, from which limits are read.
type sheetLimits struct {
	version unit.ConfigurationVersion
	sheet   *sheet.Sheet
}

// New returns a host with the state in the data folder. It fails with fault.Corrupt, fault.DiskFailed or fault.DiskFull.
func New(d Dependencies) (*Host, error) {
	store, err := archive.Open(filepath.Join(d.Settings.DataFolder, "record"))
	if err != nil {
		return nil, err
	}
	h := &Host{
		Dependencies: d,
		archive:      store,
		mainMachine:  &mainMachine{configuration: configuration.New(), rollout: rollout.New()},
		roster:       endpoint.New(d.Settings.Freshness),
		quarantines:  quarantine.New(),
	}
	if err := h.openGroup(mainGroup, h.mainMachine); err != nil {
		return nil, err
	}
	for group := range d.Settings.LedgerGroups {
		machine := ledger.New()
		h.ledgers = append(h.ledgers, machine)
		if err := h.openGroup(uint32(group+1), machine); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// Run runs all groups until ctx ends. If the disk of one group fails, Run stops all groups and returns the error: the other groups
// would fail next, and a host that serves only some of its groups is hard to operate.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var actors run.Group
	stop := func(error) { cancel() }
	for _, group := range h.groups {
		actors.Add(func() error { return group.Run(ctx) }, stop)
	}
	actors.Add(func() error { return h.runRollout(ctx) }, stop)
	defer h.archive.Close()
	return actors.Run()
}

// Status returns the state of all groups, by group id.
func (h *Host) Status() []member.Status {
	statuses := make([]member.Status, 0, len(h.groups))
	for _, group := range h.groups {
		statuses = append(statuses, group.Status())
	}
	return statuses
}

// Ready reports whether every group knows a leader.
func (h *Host) Ready() bool {
	for _, status := range h.Status() {
		if status.Leader == "" {
			return false
		}
	}
	return true
}

// Archive returns the record that is stored on this host.
func (h *Host) Archive() *archive.Archive {
	return h.archive
}

// Configuration returns the newest configuration that this host has applied, which may lag behind the leader's.
func (h *Host) Configuration() configuration.Current {
	return h.mainMachine.configuration.Current()
}

// endpoints returns all endpoints known from the entry role in this process or from gossip.
func (h *Host) endpoints() []endpoint.Entry {
	if h.Endpoints != nil {
		return h.Endpoints()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var entries []endpoint.Entry
	for _, entry := range h.roster.All() {
		entries = append(entries, *entry)
	}
	return entries
}

// Rollout returns the progress of the rollout as this host has applied it, which may lag behind the leader's.
func (h *Host) Rollout() rollout.Status {
	return h.mainMachine.rollout.Status()
}

func (h *Host) openGroup(group uint32, machine member.StateMachine) error {
	opened, err := member.New(member.Config{
		Group:  group,
		Self:   string(h.Settings.Name),
		Peers:  hostNames(h.Settings.ControlHosts),
		Folder: filepath.Join(h.Settings.DataFolder, fmt.Sprintf("group-%d", group)),
		Timer:  h.Timer,
		Send:   h.sendGroupMessage,
		Tick:   groupTick, Heartbeat: groupHeartbeat, Election: groupElection,
		Seed: uint64(h.WallClock().UnixNano()),
	}, machine)
	if err != nil {
		return err
	}
	h.groups = append(h.groups, opened)
	return nil
}

func (h *Host) sendGroupMessage(to string, group uint32, payload []byte) {
	message, err := codec.Marshal(leader.Message{Group: group, Payload: payload})
	if err == nil {
		h.Send(unit.HostName(to), kind.Quorum, message)
	}
}

func hostNames(names []unit.HostName) []string {
	result := make([]string, 0, len(names))
	for _, name := range names {
		result = append(result, string(name))
	}
	return result
}
