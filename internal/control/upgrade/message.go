package upgrade

import (
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// Replica is one engine as the registry knows it.
type Replica struct {
	ID      unit.EndpointID
	Service table.ServiceName
	Born    int64
	Leaving bool // or not heard of for so long that it is probably gone
	Weights map[unit.ModelName]book.WeightsNumber
	Long    int // requests in hand of all hosts whose answers take long
	Busy    int // all requests in hand
}

// Input is what one step decides on.
type Input struct {
	Replicas []Replica
	Newest   map[unit.ModelName]book.WeightsNumber
	// Term is the fencing number of this host's leadership, 0 while it doesn't lead or its lease has run out.
	Term uint64
}

// Order tells a replica to load weights.
type Order struct {
	Model    unit.ModelName
	Number   book.WeightsNumber
	Fencing  uint64
	Expected uint64 // orders that the replica has accepted so far in this lifetime
	// GoOn lets the requests in hand go on under the new weights. Otherwise they finish first, and the replica takes no others
	// until then.
	GoOn bool
}

// Action is what the caller must do for one replica; its outcome goes to Planner.Reported or Planner.Answered.
type Action struct {
	Replica unit.EndpointID
	Born    int64
	Order   *Order // nil asks the replica for its status
}

// Status is a replica's own account of its weights.
type Status struct {
	Weights  map[unit.ModelName]book.WeightsNumber
	Busy     bool   // an order is being carried out
	Accepted uint64 // orders accepted in this lifetime
	Leaves   bool   // the replica says that it leaves
}

// Reply is a replica's answer to an order.
type Reply uint8

const (
	// ReplyAccepted is an order that is being carried out.
	ReplyAccepted Reply = iota
	// ReplyHolds is an order whose target is in place.
	ReplyHolds
	// ReplyConflict is another order in progress, or another number of accepted orders than expected.
	ReplyConflict
	// ReplyFenced is a replica that has seen a higher fencing number.
	ReplyFenced
	// ReplyRefused is an order that the replica can't carry out.
	ReplyRefused
	// ReplyLost is no answer; the order may be carried out at any later time.
	ReplyLost
)

var replyNames = [...]string{"accepted", "holds", "conflict", "fenced", "refused", "lost"}

// String returns the name that logs use.
func (r Reply) String() string {
	return replyNames[r]
}
