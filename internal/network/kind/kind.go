// Package kind defines the kinds of messages that the system's own processes send each other with the package link.
package kind

// The kinds of calls and one-way messages. They are part of the network protocol, so their values and meanings must not
// change.
const (
	// Quorum is a one-way message of a consensus group; its payload is a leader.Message.
	Quorum = "quorum"
	// Ledger is a call with a ledger.Command for the leader of a ledger group.
	Ledger = "ledger"
	// LedgerLookup is a read-only call with a ledger.Key for the leader of a ledger group.
	LedgerLookup = "ledger-lookup"
	// Order is a call with a configuration.Order for the leader of group 0.
	Order = "order"
	// Intervene is a call with a rollout.Intervention for the leader of group 0.
	Intervene = "intervene"
	// MemberChange is a call with a control.MemberChange for the leader of any group.
	MemberChange = "member-change"
	// ConfigurationGet is a call with a follower.Request for the leader of group 0.
	ConfigurationGet = "configuration-get"
	// ConfigurationConfirm is a call with a follower.Request for another entry host.
	ConfigurationConfirm = "configuration-confirm"
	// ShareDemand is a call with a share.Demand for the leader of group 0.
	ShareDemand = "share-demand"
	// RecordBatch is a call with a chain.Batch for every control host.
	RecordBatch = "record-batch"
	// Gossip is a call with a gossip.Message between entry hosts, and from entry to control hosts.
	Gossip = "gossip"
	// PlacementSnapshot is a call without payload that an entry host makes to another one when it starts; the answer is
	// that host's routing state.
	PlacementSnapshot = "placement-snapshot"
	// Sync is a call with a hub.SyncRequest that an entry host makes to a control host several times a second.
	Sync = "sync"
	// HubState is a one-way message with a hub.State between control hosts.
	HubState = "hub-state"
	// HubConfirm is a call with a registry.Update between control hosts.
	HubConfirm = "hub-confirm"
	// HubFetch is a call without payload that a control host makes to another one when it starts; the answer is a
	// registry.Update.
	HubFetch = "hub-fetch"
	// StreamOrigin is a call with a streamorigin.Query that an entry host makes to a control host; the answer is a
	// streamorigin.Answer.
	StreamOrigin = "stream-origin"
	// PartTrial is a call with a parttrial.Query that an entry host makes to the leader of group 0; the answer says whether the request may
	// be sent.
	PartTrial = "part-trial"
	// Relay is a call with a relay.Request that an entry host makes to another one; the answer is a stream of the package relay.
	Relay = "relay"
	// BookCommand is a call with a decisions.Command for the leader of group 0.
	BookCommand = "book-command"
	// BookRead is a call for the leader of group 0; the answer is a decisions.AcceptedTable.
	BookRead = "book-read"
)
