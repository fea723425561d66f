package control

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/admission/share"
	"github.com/citronglade/citronglade/internal/agreement/member"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/configuration"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/control/ledger"
	"github.com/citronglade/citronglade/internal/control/rollout"
	"github.com/citronglade/citronglade/internal/network/gossip"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/planning/sheet"
	"github.com/citronglade/citronglade/internal/record/shipper"
)

// Handle answers one message of another host; name is the kind of the message. It fails with fault.NotFound for a kind that control
// hosts don't answer.
func (h *Host) Handle(ctx context.Context, from unit.HostName, name string, payload []byte) ([]byte, error) {
	switch name {
	case kind.RecordBatch:
		return h.storeBatch(from, payload)
	case kind.Gossip:
		return h.receiveGossip(payload)
	case kind.Quorum, kind.Ledger, kind.LedgerLookup, kind.Order, kind.Intervene, kind.MemberChange, kind.ConfigurationGet, kind.ShareDemand:
		return h.handleGroup(ctx, from, name, payload)
	default:
		return nil, fault.NotFound.New("a control host doesn't answer %q", name)
	}
}

func (h *Host) handleGroup(ctx context.Context, from unit.HostName, name string, payload []byte) ([]byte, error) {
	var message leader.Message
	if err := codec.Unmarshal(payload, &message); err != nil {
		return nil, err
	}
	if int(message.Group) >= len(h.groups) {
		return nil, fault.NotFound.New("group %d doesn't exist, this host has %d", message.Group, len(h.groups))
	}
	group := h.groups[message.Group]
	switch name {
	case kind.Quorum:
		group.HandleMessage(string(from), message.Payload)
		return nil, nil
	case kind.Ledger:
		return h.applyLedger(ctx, group, from, message.Payload)
	case kind.LedgerLookup:
		return h.lookUpClaim(ctx, message.Group, message.Payload)
	case kind.Order:
		return h.applyOrder(ctx, message.Payload)
	case kind.Intervene:
		return h.applyIntervention(ctx, message.Payload)
	case kind.MemberChange:
		return nil, changeMember(ctx, group, message.Payload)
	case kind.ConfigurationGet:
		return h.confirmConfiguration(ctx, message.Payload)
	default:
		return h.grantShares(message.Payload)
	}
}

// applyLedger proposes a ledger command with the time of this host's clock, so that the clocks of entry hosts don't matter. A host may
// send commands only in its own name.
func (h *Host) applyLedger(ctx context.Context, group *member.Member, from unit.HostName, payload []byte) ([]byte, error) {
	command, err := ledger.DecodeCommand(payload)
	if err != nil {
		return nil, err
	}
	now := h.WallClock().UnixMilli()
	owner := from
	switch {
	case command.Claim != nil:
		command.Claim.AtUnixMilli, owner = now, command.Claim.Owner
	case command.Finish != nil:
		command.Finish.AtUnixMilli, owner = now, command.Finish.Owner
	case command.Started != nil:
		command.Started.AtUnixMilli, owner = now, command.Started.Host
	case command.Resolve != nil:
		command.Resolve.AtUnixMilli = now
	}
	if owner != from {
		return nil, fault.Forbidden.New("host %s sent a command in the name of %s", from, owner)
	}
	encoded, err := ledger.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	return group.Propose(ctx, encoded)
}

// lookUpClaim returns the ledger's state of a key. The read is linearizable: it includes all commands accepted before the call.
func (h *Host) lookUpClaim(ctx context.Context, group uint32, payload []byte) ([]byte, error) {
	var key ledger.Key
	if err := codec.Unmarshal(payload, &key); err != nil {
		return nil, err
	}
	if group == mainGroup {
		return nil, fault.NotFound.New("group %d holds no claims", group)
	}
	if err := h.groups[group].ReadBarrier(ctx); err != nil {
		return nil, err
	}
	var reply ledger.Reply
	h.groups[group].View(func() { reply = h.ledgers[group-1].Lookup(key.Customer, key.Key) })
	return codec.Marshal(reply)
}

// applyOrder proposes the CBOR of a configuration.Order and returns the CBOR of a configuration.Answer.
func (h *Host) applyOrder(ctx context.Context, payload []byte) ([]byte, error) {
	var order configuration.Order
	if err := codec.Unmarshal(payload, &order); err != nil {
		return nil, err
	}
	if len(order.Sheet) > 0 {
		// A sheet that entry hosts can't decode must not be accepted.
		if _, err := sheet.Decode(order.Sheet); err != nil {
			return nil, fault.BadInput.Wrap(err, "the sheet of order %s can't be used", order.ID)
		}
	}
	command, err := configuration.EncodeCommand(configuration.Command{AtUnixMilli: h.WallClock().UnixMilli(), Order: &order})
	if err != nil {
		return nil, err
	}
	return h.groups[mainGroup].Propose(ctx, append([]byte{prefixConfiguration}, command...))
}

// applyIntervention proposes the CBOR of a rollout.Intervention and returns the result of the command.
func (h *Host) applyIntervention(ctx context.Context, payload []byte) ([]byte, error) {
	var intervention rollout.Intervention
	if err := codec.Unmarshal(payload, &intervention); err != nil {
		return nil, err
	}
	command, err := rollout.EncodeCommand(rollout.Command{
		AtUnixMilli: h.WallClock().UnixMilli(), Intervention: &intervention,
	})
	if err != nil {
		return nil, err
	}
	return h.groups[mainGroup].Propose(ctx, append([]byte{prefixRollout}, command...))
}

// MemberChange is a request to add a control host to a group or to remove it. Only one of the fields is set.
type MemberChange struct {
	Add    unit.HostName `cbor:"1,keyasint,omitempty"`
	Remove unit.HostName `cbor:"2,keyasint,omitempty"`
}

func changeMember(ctx context.Context, group *member.Member, payload []byte) error {
	var change MemberChange
	if err := codec.Unmarshal(payload, &change); err != nil {
		return err
	}
	// The call may be a repetition of one whose answer was lost, so a change that has already been made counts as a success.
	if change.Add != "" {
		return ignoreType(group.AddHost(ctx, string(change.Add)), fault.Conflict)
	}
	return ignoreType(group.RemoveHost(ctx, string(change.Remove)), fault.NotFound)
}

// ignoreType returns nil for an error of the accepted type, and otherwise err.
func ignoreType(err error, accepted *errorx.Type) error {
	if errorx.IsOfType(err, accepted) {
		return nil
	}
	return err
}

// confirmConfiguration answers with the newest accepted configuration. The read barrier ensures that no newer one had been accepted
// when the request arrived.
func (h *Host) confirmConfiguration(ctx context.Context, payload []byte) ([]byte, error) {
	var request follower.Request
	if err := codec.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	if err := h.groups[mainGroup].ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return codec.Marshal(follower.Answer{
		ValidFor: h.Settings.ConfigurationLease,
		Update:   h.mainMachine.configuration.Since(request.Known),
	})
}

// grantShares grants an entry host leases of parts of the customers' limits. A new leader starts with a new grantor, which waits until
// the leases of the former leader have expired.
func (h *Host) grantShares(payload []byte) ([]byte, error) {
	var demand share.Demand
	if err := codec.Unmarshal(payload, &demand); err != nil {
		return nil, err
	}
	group := h.groups[mainGroup]
	now := h.Timer.Now()
	since, leading := group.LeaderSince()
	if !leading || !group.HoldsLeaderLease(now) {
		return nil, fault.NotLeader.New("this host doesn't lead group 0").WithProperty(fault.Leader, group.Status().Leader)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.grantor == nil || h.grantorTermStart != since {
		h.grantor, h.grantorTermStart = share.NewGrantor(now, len(h.Settings.EntryHosts), share.LeaseTime), since
	}
	if err := h.loadLimits(); err != nil {
		return nil, err
	}
	return codec.Marshal(h.grantor.Grant(now, demand, h.customerLimit))
}

// loadLimits decodes the current sheet once for each version. The lock must be held.
func (h *Host) loadLimits() error {
	current := h.mainMachine.configuration.Current()
	if h.limits.version == current.Version {
		return nil
	}
	decoded, err := sheet.Decode(current.Sheet)
	if err != nil {
		return err
	}
	h.limits = sheetLimits{version: current.Version, sheet: decoded}
	return nil
}

// customerLimit returns a customer's limit in the current sheet, 0 if there is none. The lock must be held.
func (h *Host) customerLimit(id unit.CustomerID) float64 {
	if h.limits.sheet == nil {
		return 0
	}
	customer, _ := h.limits.sheet.Customer(id)
	return customer.Limit
}

// storeBatch stores a batch of an entry host's record in the archive. A host may send only its own record.
func (h *Host) storeBatch(from unit.HostName, payload []byte) ([]byte, error) {
	batch, err := shipper.Unpack(payload)
	if err != nil {
		return nil, err
	}
	if batch.Host != from {
		return nil, fault.Forbidden.New("host %s sent the record of %s", from, batch.Host)
	}
	through, err := h.archive.Store(batch)
	if err != nil {
		return nil, err
	}
	return codec.Marshal(shipper.Receipt{Through: through})
}

// receiveGossip applies a gossip message of an entry host, because the rollout needs the announcements of endpoints.
func (h *Host) receiveGossip(payload []byte) ([]byte, error) {
	var message gossip.Message
	if err := codec.Unmarshal(payload, &message); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return codec.Marshal(gossip.Receive(h.Timer.Now(), h.roster, h.quarantines, message))
}
