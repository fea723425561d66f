// Package quorum is a deterministic consensus core in the style of Raft: elections with pre-vote, log replication, leader
// leases and membership change one host at a time. It does no I/O; the member package runs it.
package quorum

import (
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

type (
	// GroupID numbers the groups that run on one host.
	GroupID uint32
	// NodeID is a host name and the identity of that host's disk, "host/identity". A host that lost its disk is another
	// node, so it can't vote a second time in a term it has forgotten.
	NodeID string
	// Term numbers elections.
	Term uint64
	// Index numbers log entries from 1.
	Index uint64
)

// NewNodeID joins a host name and a disk identity.
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

// EntryKind says how a log entry is applied.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand       EntryKind = iota // a command of the state machine
	EntryEmpty                          // appended by each new leader so that it can commit in its own term
	EntryConfiguration                  // CBOR of a Configuration
)

// Entry is one position of the replicated log.
type Entry struct {
	Index Index     `cbor:"1,keyasint"`
	Term  Term      `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState must be durable before any message that depends on it is sent. Group names the formation of the group that
// the node belongs to; it is empty until the node was formed or joined.
type HardState struct {
	Term  Term   `cbor:"1,keyasint"`
	Vote  NodeID `cbor:"2,keyasint,omitempty"`
	Group string `cbor:"3,keyasint,omitempty"`
}

// Configuration is the membership in force, both lists sorted.
type Configuration struct {
	Voters   []NodeID `cbor:"1,keyasint"`
	Learners []NodeID `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the state machine's state after the entry Index. Index 0 carries the first configuration and no data.
type Snapshot struct {
	Index         Index         `cbor:"1,keyasint"`
	Term          Term          `cbor:"2,keyasint"`
	Configuration Configuration `cbor:"3,keyasint"`
	Data          []byte        `cbor:"4,keyasint,omitempty"`
}

// Persist is a write that must be made durable in the order of Number. The snapshot comes first; with Reset it replaces
// the whole log. The first entry replaces everything stored from its index on.
type Persist struct {
	Number   uint64
	Hard     *HardState
	Snapshot *Snapshot
	Reset    bool
	Entries  []Entry
}

// Persisted reports that every Persist up to Number is durable, or that the disk failed.
type Persisted struct {
	Number uint64
	Failed bool
}

// Loaded is what a node finds on its disk when it starts. Entries follow the snapshot's index without a gap.
type Loaded struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Change is an operator's order to add or remove one host.
type Change struct {
	Add    string
	Remove string
}

// Position identifies a proposal: the entry at Index is this proposal only if it has this Term.
type Position struct {
	Index Index
	Term  Term
}

// Read answers one read request: the state machine must have applied Index before it is read.
type Read struct {
	ID    uint64
	Index Index
	Err   error
}

// Input is one event for the node. Several fields may be set; they are handled in the order in which they are listed.
type Input struct {
	Persisted *Persisted
	Message   *Message
	Snapshot  *Snapshot // taken by the state machine; answered with Output.Save unless another one is being saved
	Saved     *Snapshot // an Output.Save that is durable now
	Propose   []byte
	Batch     [][]byte // further proposals, replicated together
	Change    *Change
	Read      uint64   // a nonzero id, answered in Output.Reads
	Peers     []string // replaces the hosts that an unformed node announces itself to
	Transfer  bool     // hand the leadership to the most advanced other voter
	Tick      bool
}

// Output is what the caller must do, in the order in which it is listed.
type Output struct {
	LeaderChanged bool   // the leader, the role or the term changed; see Status
	SteppedDown   string // why this leader gave up on its own, empty otherwise
	Persist       *Persist
	Save          *Snapshot // make durable in the background; it may be large, so the log doesn't wait for it
	Send          []Message
	Restore       *Snapshot // replaces the state machine's state before Committed is applied
	Committed     []Entry
	Proposed      []Position // of Propose, Batch or Change, in order
	Rejected      error      // why the proposals beyond Proposed were refused
	Reads         []Read
}

// Role is what the node does at the moment.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Status is a copy of the node's visible state.
type Status struct {
	Self          NodeID
	Group         string
	Role          Role
	Term          Term
	Leader        NodeID
	LeaderSince   unit.Moment // when this node became leader
	LeaseUntil    unit.Moment // 0 without a lease
	Commit        Index
	Last          Index
	Configuration Configuration
	HandingOver   bool // a successor is being prepared
	Failed        bool
	HeardAt       unit.Moment // when a follower heard its leader, or a leader its quorum
	Candidates    []string    // hosts that ask to join and aren't members, sorted
	Silent        []string    // members that haven't answered this leader for SilentAfter, sorted
}

// Config holds the fixed settings of a node.
type Config struct {
	Self  NodeID
	Peers []string // host names to form the group with at the first start, self included
	Join  bool     // never form a group, only join the one that Peers belong to
	Seed  uint64

	Heartbeat time.Duration // between two heartbeat rounds
	Election  time.Duration // minimum election timeout; the maximum is twice this
	Lease     time.Duration // shorter than Election, by the largest relative clock drift

	MaxInFlight    int   // append messages without an answer, for each follower
	MaxBatchBytes  int   // entry bytes in one append message
	MaxUncommitted int   // proposals that wait for a quorum
	MaxWaiting     int64 // bytes of these proposals
	ChunkBytes     int   // snapshot bytes in one message
	MaxSnapshot    int64 // bytes of a snapshot that a follower accepts
	Trailing       Index // entries kept behind a snapshot for slow followers
}

// withDefaults fills unset fields.
func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, 50*time.Millisecond)
	setDefault(&c.Election, 400*time.Millisecond)
	// A fifth less than the election timeout covers clocks that drift apart by up to 20% and is far above real drift.
	setDefault(&c.Lease, c.Election*4/5)
	setDefault(&c.MaxInFlight, 16)
	setDefault(&c.MaxBatchBytes, 1<<20)
	setDefault(&c.MaxUncommitted, 8192)
	setDefault(&c.MaxWaiting, 256<<20)
	setDefault(&c.ChunkBytes, 1<<20)
	setDefault(&c.MaxSnapshot, 1<<30)
	setDefault(&c.Trailing, 1024)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
