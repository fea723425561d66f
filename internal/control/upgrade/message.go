package upgrade

import (
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// Replica is one engine replica as the registry lists it.
type Replica struct {
	ID              unit.EndpointID
	Service         table.ServiceName
	Born            int64 // identifies the lifetime of the replica's process
	Leaving         bool  // also set if the replica has been silent for so long that it is probably gone
	Weights         map[unit.ModelName]decisions.WeightsNumber
	LongRequests    int // running requests of all hosts whose answers take long
	RunningRequests int // all running requests
}

// Input is the state on which one call of Planner.Step decides.
type Input struct {
	Replicas []Replica
	Newest   map[unit.ModelName]decisions.WeightsNumber
	// Term is the fencing number of this host's leadership, 0 while it isn't the leader or its lease has expired.
	Term uint64
}

// Order tells a replica to load weights.
type Order struct {
	Model    unit.ModelName
	Number   decisions.WeightsNumber
	Fencing  uint64
	Expected uint64 // orders that the replica has accepted so far in this lifetime
	// KeepRequests lets running requests continue with the new weights. Otherwise the replica finishes them first and takes no others
	// until then.
	KeepRequests bool
}

// Action is a call that must be made to one replica. Its outcome is passed to Planner.HandleStatus or Planner.HandleReply.
type Action struct {
	Replica unit.EndpointID
	Born    int64
	Order   *Order // if nil, the call requests the replica's status
}

// Status is the state that a replica reports.
type Status struct {
	Weights  map[unit.ModelName]decisions.WeightsNumber
	Busy     bool   // an order is in progress
	Accepted uint64 // orders accepted in this lifetime
	Leaving  bool   // the replica reports that it is leaving
}

// Reply is a replica's answer to an order.
type Reply uint8

const (
	// ReplyAccepted means that the order is in progress.
	ReplyAccepted Reply = iota
	// ReplyUpToDate means that the replica already has the ordered weights.
	ReplyUpToDate
	// ReplyConflict means that another order is in progress or that the number of accepted orders isn't the expected one.
	ReplyConflict
	// ReplyFenced means that the replica has seen a higher fencing number.
	ReplyFenced
	// ReplyRefused means that the replica can't execute the order.
	ReplyRefused
	// ReplyMissing means that no answer was received; the order may be executed at any later time.
	ReplyMissing
)

var replyNames = [...]string{"accepted", "holds", "conflict", "fenced", "refused", "lost"}

// String returns the name that logs use.
func (r Reply) String() string {
	return replyNames[r]
}
