package entry

import (
	"context"

	"github.com/citronglade/citronglade/internal/admission/share"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/network/gossip"
	"github.com/citronglade/citronglade/internal/network/kind"
)

// Handle answers one message of another host; name is the kind of the message. It fails with fault.NotFound for a kind that entry
// hosts don't answer.
func (h *Host) Handle(_ context.Context, from unit.HostName, name string, payload []byte) ([]byte, error) {
	switch name {
	case kind.Gossip:
		return h.receiveGossip(from, payload)
	case kind.ConfigurationConfirm:
		return h.confirmConfigurationFor(payload)
	case kind.PlacementSnapshot:
		if !h.hasState() {
			// A host that has just started has no useful state to copy.
			return nil, fault.Stopping.New("this host hasn't learned anything yet")
		}
		return codec.Marshal(h.router.Snapshot())
	default:
		return nil, fault.NotFound.New("an entry host doesn't answer %q", name)
	}
}

// receiveGossip applies a peer's message, and remembers a peer that has a newer configuration.
func (h *Host) receiveGossip(from unit.HostName, payload []byte) ([]byte, error) {
	var message gossip.Message
	if err := codec.Unmarshal(payload, &message); err != nil {
		return nil, err
	}
	if _, version := h.follower.Remaining(h.Timer.Now()); message.Version > version {
		h.mu.Lock()
		h.newerPeer = from
		h.mu.Unlock()
	}
	return codec.Marshal(h.router.Receive(message))
}

// confirmConfigurationFor answers a peer with the configuration in force and how long it remains valid.
func (h *Host) confirmConfigurationFor(payload []byte) ([]byte, error) {
	var request follower.Request
	if err := codec.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return codec.Marshal(h.follower.Answer(h.Timer.Now(), request))
}

func (h *Host) acceptShareGrant(sent unit.Moment, raw []byte) error {
	var grant share.Grant
	if err := codec.Unmarshal(raw, &grant); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Accept(sent, grant)
	return nil
}
