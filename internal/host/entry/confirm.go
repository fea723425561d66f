package entry

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/network/kind"
)

const (
	confirmInterval = 250 * time.Millisecond
	// confirmFanout is the number of peers asked at the same time, in turn. The peer that confirmed the configuration last is asked, too.
	confirmFanout = 3
	// confirmTimeout bounds a request to the leader. It is less than half of the default lease, so that peers can be asked afterwards.
	confirmTimeout = time.Second
)

// needsConfirmation reports whether half of the configuration's lease has passed.
func (h *Host) needsConfirmation() bool {
	remaining, _ := h.follower.Remaining(h.Timer.Now())
	return remaining <= h.Settings.ConfigurationLease/2
}

// confirmWithLeader renews the lease of the configuration at the leader when half of it has passed.
func (h *Host) confirmWithLeader(ctx context.Context) {
	if !h.needsConfirmation() {
		return
	}
	answered := h.askLeader(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaderUnreachable = !answered
}

// confirmWithPeers asks a few peers to confirm the configuration if the leader didn't answer the last request. A peer only passes on the
// remaining time of its own lease, so that hosts without any path to the leader still stop serving. The next peers are asked after
// confirmInterval even if some of these haven't answered yet: a peer may have little time left until it renews its own lease, and to wait
// for time-outs of other peers or the leader would use up the rest of this host's lease.
func (h *Host) confirmWithPeers(ctx context.Context) {
	if !h.needsConfirmation() {
		return
	}
	for _, peer := range h.peersToAsk() {
		h.confirmations.Go(func() {
			if h.askPeer(ctx, peer) {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.confirmedBy = peer
			}
		})
	}
}

// peersToAsk returns the peers to ask for a confirmation, none if the leader answered the last request.
func (h *Host) peersToAsk() []unit.HostName {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leaderUnreachable {
		return nil
	}
	var peers []unit.HostName
	for range min(confirmFanout, len(h.peers)) {
		h.peersAsked++
		peers = append(peers, h.peers[h.peersAsked%len(h.peers)])
	}
	if h.confirmedBy != "" && !slices.Contains(peers, h.confirmedBy) {
		peers = append(peers, h.confirmedBy)
	}
	return peers
}

// askPeer asks one peer to confirm the configuration. It reports whether the peer did.
func (h *Host) askPeer(ctx context.Context, peer unit.HostName) (confirmed bool) {
	answer, ok := h.requestConfiguration(func(payload []byte) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		return h.Call(ctx, peer, kind.ConfigurationConfirm, payload)
	})
	return ok && answer.ValidFor > 0
}

// askLeader asks the leader to confirm the configuration. It reports whether there was a usable answer.
func (h *Host) askLeader(ctx context.Context) (answered bool) {
	_, answered = h.requestConfiguration(func(payload []byte) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		return h.Leaders.Call(ctx, 0, kind.ConfigurationGet, payload)
	})
	return answered
}

// requestConfiguration sends a configuration request with call, and applies and returns the answer. It returns false if there was no usable
// answer.
func (h *Host) requestConfiguration(call func(payload []byte) ([]byte, error)) (answer follower.Answer, ok bool) {
	payload, err := codec.Marshal(h.follower.Request())
	if err != nil {
		return answer, false
	}
	sent := h.Timer.Now()
	raw, err := call(payload)
	if err != nil {
		klog.V(1).Infof("configuration: request for confirmation failed: %v", err)
		return answer, false
	}
	if err := codec.Unmarshal(raw, &answer); err != nil {
		klog.Warningf("configuration: cannot decode the answer: %v", err)
		return answer, false
	}
	if err := h.follower.Accept(sent, answer); err != nil {
		klog.Warningf("configuration: cannot apply the update: %v", err)
		return answer, false
	}
	return answer, true
}
