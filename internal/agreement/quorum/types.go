// Package quorum implements a deterministic consensus core in the style of Raft: elections with pre-vote, log replication,
// leader leases and membership changes of one host at a time. It does no I/O itself; package member runs it.
package quorum

import (
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

type (
	// GroupID identifies one of the groups that run on a host.
	GroupID uint32
	// NodeID is a host name and the identity of that host's disk, "host/identity". A host that has lost its disk becomes
	// another node, so it can't vote a second time in a term whose vote was lost with the disk.
	NodeID string
	// Term is the number of an election. Each term has at most one leader.
	Term uint64
	// Index is the number of a log entry, starting with 1.
	Index uint64
)

// NewNodeID combines a host name and a disk identity.
func NewNodeID(host, identity string) NodeID {
	return NodeID(host + "/" + identity)
}

// Host returns the host name of the node.
func (id NodeID) Host() string {
	if at := strings.LastIndexByte(string(id), '/'); at >= 0 {
		return string(id[:at])
	}
	return string(id)
}

// EntryKind determines how a log entry is applied.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand       EntryKind = iota // a command of the state machine
	EntryEmpty                          // appended by each new leader, so that it can commit an entry of its own term
	EntryConfiguration                  // CBOR of a Configuration
)

// Entry is one position of the replicated log.
type Entry struct {
	Index Index     `cbor:"1,keyasint"`
	Term  Term      `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the state that must be durable before any message that depends on it is sent. Group is the name of the group
// that the node belongs to, and is empty until the node has formed or joined one.
type HardState struct {
	Term  Term   `cbor:"1,keyasint"`
	Vote  NodeID `cbor:"2,keyasint,omitempty"`
	Group string `cbor:"3,keyasint,omitempty"`
}

// Configuration is the membership of a group. Both lists are sorted.
type Configuration struct {
	Voters   []NodeID `cbor:"1,keyasint"`
	Learners []NodeID `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the state of the state machine after the entry at Index. A snapshot with Index 0 contains only the first
// configuration.
type Snapshot struct {
	Index         Index         `cbor:"1,keyasint"`
	Term          Term          `cbor:"2,keyasint"`
	Configuration Configuration `cbor:"3,keyasint"`
	Data          []byte        `cbor:"4,keyasint,omitempty"`
}

// Persist is a write to stable storage. Writes must become durable in the order of Number. The snapshot is written first;
// with Reset it replaces the whole log. Entries replace all stored entries from the index of the first one on.
type Persist struct {
	Number    uint64
	HardState *HardState
	Snapshot  *Snapshot
	Reset     bool
	Entries   []Entry
}

// Persisted reports that every Persist up to Number is durable, or that the disk failed.
type Persisted struct {
	Number uint64
	Failed bool
}

// Loaded is the state that a node loads from its disk when it starts. Entries follow the snapshot's index without a gap.
type Loaded struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Change is a request to add or remove one host. If Add is set, Remove is ignored.
type Change struct {
	Add    string
	Remove string
}

// Position identifies a proposal in the log. The entry at Index is the proposal only if its term is Term.
type Position struct {
	Index Index
	Term  Term
}

// ReadResult is the result of the read request ID. Unless Err is set, the state machine may be read once it has applied the
// entry at Index.
type ReadResult struct {
	ID    uint64
	Index Index
	Err   error
}

// Input is one event for the node. Several fields may be set; they are handled in the order of Node.handle.
type Input struct {
	Persisted          *Persisted
	Message            *Message
	Snapshot           *Snapshot // taken by the state machine; returned in Output.SaveSnapshot unless another one is being saved
	SnapshotSaved      *Snapshot // an Output.SaveSnapshot that is durable now
	Propose            []byte
	Batch              [][]byte // further proposals, replicated together
	Change             *Change
	Read               uint64   // a nonzero id, answered in Output.Reads
	Peers              []string // replaces Config.Peers of a node with Config.Join
	TransferLeadership bool     // transfer the leadership to the most advanced other voter
	Tick               bool
}

// Output lists what the caller must do, in the order of the fields.
type Output struct {
	LeaderChanged bool   // the leader, the role or the term changed; see Status
	SteppedDown   string // why this leader stepped down by itself, empty otherwise
	Persist       *Persist
	SaveSnapshot  *Snapshot // to be made durable in the background; the log doesn't wait for it because it may be large
	Send          []Message
	Restore       *Snapshot // to restore the state machine from before Committed is applied
	Committed     []Entry
	Proposed      []Position // of Propose, Batch or Change, in order
	Rejected      error      // why the proposals beyond Proposed were rejected
	Reads         []ReadResult
}

// Role is the node's current role in elections and replication.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Status is a copy of the state of a node that its users need.
type Status struct {
	Self          NodeID
	Group         string
	Role          Role
	Term          Term
	Leader        NodeID
	LeaderSince   unit.Moment // when this node became leader
	LeaseUntil    unit.Moment // the end of the lease, 0 without one
	Commit        Index
	Last          Index
	Configuration Configuration
	Transferring  bool // a leadership transfer is in progress
	Failed        bool
	LastContactAt unit.Moment // when the node last heard the leader; on the leader, when it last heard a quorum
	Candidates    []string    // hosts that ask to join and aren't members, sorted
	Silent        []string    // members that haven't acknowledged this leader's heartbeats for SilentAfter
}

// Config holds the fixed settings of a node.
type Config struct {
	Self  NodeID
	Peers []string // host names of the first voters, this host included; with Join: hosts of the group to join
	Join  bool     // never form a group, only join the group that Peers belong to
	Seed  uint64

	HeartbeatInterval time.Duration // time between two heartbeat rounds
	ElectionTimeout   time.Duration // minimum election timeout; the maximum is twice this
	LeaseDuration     time.Duration // shorter than ElectionTimeout by the largest relative clock drift

	MaxInFlight         int   // append messages without a response, for each follower
	MaxBatchBytes       int   // entry bytes in one append message
	MaxUncommitted      int   // uncommitted entries beyond which proposals are rejected
	MaxUncommittedBytes int64 // data bytes of uncommitted entries beyond which proposals are rejected
	ChunkBytes          int   // data bytes of a snapshot in one message
	MaxSnapshot         int64 // data bytes of the largest snapshot that a follower accepts
	TrailingEntries     Index // entries before a snapshot that stay in the log for slow followers
}

// withDefaults returns a copy with default values for unset fields.
func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, 50*time.Millisecond)
	setDefault(&c.ElectionTimeout, 400*time.Millisecond)
	// A lease that is a fifth shorter than the election timeout tolerates 20% of clock drift, far more than real clocks have.
	setDefault(&c.LeaseDuration, c.ElectionTimeout*4/5)
	setDefault(&c.MaxInFlight, 16)
	setDefault(&c.MaxBatchBytes, 1<<20)
	setDefault(&c.MaxUncommitted, 8192)
	setDefault(&c.MaxUncommittedBytes, 256<<20)
	setDefault(&c.ChunkBytes, 1<<20)
	setDefault(&c.MaxSnapshot, 1<<30)
	setDefault(&c.TrailingEntries, 1024)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
