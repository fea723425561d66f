package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/ledger"
	"github.com/citronglade/citronglade/internal/network/gossip"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/routing/router"
)

const (
	updateInterval    = 250 * time.Millisecond
	leaderCallTimeout = 2 * time.Second
	peerTimeout       = time.Second
	shareInterval     = time.Second
	// quarantineTimeout bounds how long an answer to a caller waits until other hosts know about a crash.
	quarantineTimeout = 500 * time.Millisecond
	// earlyRenewalInterval is the shortest time between a renewal of the shares and an early one for a customer at its limit.
	// earlyRenewalTimeout bounds how long the customer's request waits for the early renewal.
	earlyRenewalInterval = 100 * time.Millisecond
	earlyRenewalTimeout  = 100 * time.Millisecond
	// earlyRenewalPause is the wait after an early renewal, in which the new share accumulates its first requests.
	earlyRenewalPause  = 10 * time.Millisecond
	gateResizeInterval = 100 * time.Millisecond
	restoreInterval    = 500 * time.Millisecond
	// restoreRounds is the number of times that a starting host asks its peers for their routing state. When all hosts start at the
	// same time, no peer has any.
	restoreRounds = 2
)

// loop is a periodic task of a host.
type loop struct {
	interval time.Duration
	step     func(context.Context)
}

func (h *Host) loops() []loop {
	rounds := 0
	announced := 0
	return []loop{
		{restoreInterval, func(ctx context.Context) {
			if announced < h.Settings.LedgerGroups && h.announceStart(ctx, uint32(announced+1)) {
				announced++
			}
		}},
		{confirmInterval, h.confirmWithLeader},
		{confirmInterval, h.confirmWithPeers},
		{updateInterval, h.fetchNewerConfiguration},
		{gossip.Interval, h.gossipRound},
		{shareInterval, h.renewShares},
		{gateResizeInterval, h.resizeGates},
		{snapshotInterval, h.saveSnapshot},
		{restoreInterval, func(ctx context.Context) {
			if rounds++; !h.restoreFinished() {
				h.restoreFromPeers(ctx, rounds >= restoreRounds)
			}
		}},
	}
}

// fetchNewerConfiguration fetches the configuration from a peer that has a newer one. A change thus spreads from host to host, and the
// leader doesn't have to send it to every host. It is a separate loop, because confirmWithLeader may wait for a leader that it
// can't reach.
func (h *Host) fetchNewerConfiguration(ctx context.Context) {
	h.mu.Lock()
	peer := h.newerPeer
	h.newerPeer = ""
	h.mu.Unlock()
	_, version := h.follower.Remaining(h.Timer.Now())
	if h.NewestVersion != nil && h.NewestVersion() > version {
		h.askLeader(ctx)
		return
	}
	if peer == "" {
		return
	}
	h.askPeer(ctx, peer)
	if _, now := h.follower.Remaining(h.Timer.Now()); now <= version {
		h.askLeader(ctx)
	}
}

// gossipRound sends recent changes to a few peers.
func (h *Host) gossipRound(ctx context.Context) {
	h.mu.Lock()
	targets := h.exchange.Targets()
	h.mu.Unlock()
	var group sync.WaitGroup
	for _, peer := range targets {
		group.Go(func() { h.gossipWith(ctx, peer) })
	}
	group.Wait()
}

// gossipWith exchanges changes with one peer until neither side has more.
func (h *Host) gossipWith(ctx context.Context, peer unit.HostName) {
	_, version := h.follower.Remaining(h.Timer.Now())
	h.mu.Lock()
	message := h.router.Compose(h.exchange, version)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for more := true; more; {
		answer, err := h.sendGossip(ctx, peer, message)
		if err != nil {
			klog.V(2).Infof("gossip: %s didn't answer: %v", peer, err)
			return
		}
		message, more = h.router.Continue(message, answer)
	}
}

// SpreadQuarantines sends the quarantined contents and the causes of crashes to all neighbours without waiting for the next gossip round,
// because the caller may resend the request that caused the crashes to another host at once. It returns when the neighbours have answered,
// or after quarantineTimeout.
func (h *Host) SpreadQuarantines(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), quarantineTimeout)
	defer cancel()
	h.mu.Lock()
	neighbours := h.exchange.Neighbours()
	h.mu.Unlock()
	message := gossip.Message{Quarantines: h.router.Quarantines(), CrashCauses: h.router.CrashCauses()}
	var group sync.WaitGroup
	for _, peer := range neighbours {
		group.Go(func() {
			if _, err := h.sendGossip(ctx, peer, message); err != nil {
				klog.Warningf("gossip: cannot send quarantined contents to %s: %v", peer, err)
			}
		})
	}
	group.Wait()
}

func (h *Host) sendGossip(ctx context.Context, peer unit.HostName, message gossip.Message) (gossip.Answer, error) {
	var answer gossip.Answer
	payload, err := codec.Marshal(message)
	if err != nil {
		return answer, err
	}
	raw, err := h.Call(ctx, peer, kind.Gossip, payload)
	if err != nil {
		return answer, err
	}
	return answer, codec.Unmarshal(raw, &answer)
}

// renewSharesEarly renews the shares before the next regular renewal, for a customer that has used up its share. A customer whose load
// has just started or moved to this host then doesn't have to wait. Requests that need a renewal at the same time share one. It
// reports false if the shares were renewed less than earlyRenewalInterval ago or the time has run out.
func (h *Host) renewSharesEarly() bool {
	renewed, _, _ := h.renewalGroup.Do("", func() (any, error) {
		h.mu.Lock()
		due := h.Timer.Now().Sub(h.sharesRequestedAt) >= earlyRenewalInterval
		h.mu.Unlock()
		if !due {
			return false, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), earlyRenewalTimeout)
		defer cancel()
		h.renewShares(ctx)
		return timer.Sleep(ctx, earlyRenewalPause), nil
	})
	done, _ := renewed.(bool)
	return done
}

// renewShares sends the leader the demand of the customers at this host, and accepts the shares that the leader grants.
func (h *Host) renewShares(ctx context.Context) {
	now := h.Timer.Now()
	h.mu.Lock()
	h.sharesRequestedAt = now
	demand := h.holder.Demand(now)
	h.mu.Unlock()
	payload, err := codec.Marshal(demand)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	raw, err := h.Leaders.Call(ctx, 0, kind.ShareDemand, payload)
	if err != nil {
		klog.V(1).Infof("share: renewal failed: %v", err)
		return
	}
	if err := h.acceptShareGrant(now, raw); err != nil {
		klog.Warningf("share: cannot decode the grant: %v", err)
	}
}

// resizeGates sets the number of slots of each gate to that of the endpoints that are available now.
func (h *Host) resizeGates(context.Context) {
	for key, g := range h.allGates() {
		g.Resize(h.router.Slots(key.kind, key.name), len(h.Settings.EntryHosts))
	}
}

// announceStart informs a ledger group of this incarnation. If a caller resends a request that the former incarnation was running, it
// then learns at once that the outcome is unknown.
func (h *Host) announceStart(ctx context.Context, group uint32) bool {
	payload, err := ledger.EncodeCommand(ledger.Command{
		Started: &ledger.HostStarted{Host: h.Settings.Name, Incarnation: h.Incarnation},
	})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	_, err = h.Leaders.Call(ctx, group, kind.Ledger, payload)
	return err == nil
}

// restoreFromPeers copies the routing state of the first peer that has one, so that a restarted host places requests as it did before.
// After the last round the host serves without that state.
func (h *Host) restoreFromPeers(ctx context.Context, last bool) {
	for _, peer := range h.peers {
		if h.restoreFromPeer(ctx, peer) {
			last = true
			break
		}
	}
	if last {
		h.mu.Lock()
		h.restoreDone = true
		h.mu.Unlock()
	}
}

// restoreFromPeer copies one peer's routing state and reports whether that succeeded.
func (h *Host) restoreFromPeer(ctx context.Context, peer unit.HostName) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	raw, err := h.Call(ctx, peer, kind.PlacementSnapshot, nil)
	if err != nil {
		return false
	}
	var snapshot router.Snapshot
	if err := codec.Unmarshal(raw, &snapshot); err != nil {
		return false
	}
	if err := h.router.Restore(snapshot); err != nil {
		klog.Warningf("restore: cannot use the routing state of %s: %v", peer, err)
		return false
	}
	klog.Infof("restore: restored the routing state of %s", peer)
	return true
}

// hasState reports whether this host has routing state that a peer can copy.
func (h *Host) hasState() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restoreDone || h.restoredOwn
}

// restoreFinished reports whether the host has snapshot a peer's routing state or has stopped trying.
func (h *Host) restoreFinished() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restoreDone
}
