package ledger

import (
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// States of a Reply.
const (
	// StateGranted reports that the request owns the claim: only this request may be dispatched, until the deadline.
	StateGranted = "granted"
	// StateDone reports that the request ran; the reply holds the stored answer.
	StateDone = "done"
	// StateNotRun reports that the request certainly didn't run and never will. Another request may claim the key.
	StateNotRun = "not-run"
	// StateInProgress reports that another request owns the claim and the deadline hasn't passed.
	StateInProgress = "in-progress"
	// StateUnknown reports that the outcome isn't known. The request may have run, so it isn't run again.
	StateUnknown = "unknown"
	// StateConflict reports that the key was claimed with another body, or that a finish isn't from the claim's owner.
	StateConflict = "conflict"
	// StateExpired reports that the claim of the key has expired and its answer is gone. The request isn't run again.
	StateExpired = "expired"
	// StateTooLarge reports either that the request ran but its answer exceeded a size limit and wasn't kept, or that the
	// claim itself exceeds a limit and isn't granted. Claimed is true in the first case only.
	StateTooLarge = "too-large"
	// StateFull reports that a claim is refused because the ledger has reached one of its Limits.
	StateFull = "full"
	// StateStaleOwner reports that a claim is refused because its owner has restarted with a newer incarnation.
	StateStaleOwner = "stale-owner"
	// StateNotFound reports that the key of a finish, resolution or look-up isn't known to the ledger.
	StateNotFound = "not-found"
	// StateBadCommand reports a command that can't be decoded or lacks a field.
	StateBadCommand = "bad-command"
)

// Command is the typed union of the log entries of this machine; exactly one pointer is set.
type Command struct {
	Claim   *Claim       `cbor:"claim,omitempty"`
	Finish  *Finish      `cbor:"finish,omitempty"`
	Resolve *Resolve     `cbor:"resolve,omitempty"`
	Started *HostStarted `cbor:"started,omitempty"`
	Limits  *Limits      `cbor:"limits,omitempty"`
}

// Claim asks for the right to run a once-only request. HoldMilli is how long the owner may take, in ms; 0 means 60 s, and
// more than 10 minutes counts as 10 minutes. The group's leader sets AtUnixMilli when it proposes the command, so that the
// clocks of entry hosts don't matter.
type Claim struct {
	Customer         unit.CustomerID  `cbor:"customer"`
	Key              string           `cbor:"key"`
	Body             unit.Digest      `cbor:"body"`
	Owner            unit.HostName    `cbor:"owner"`
	OwnerIncarnation unit.Incarnation `cbor:"owner-incarnation"`
	Request          unit.RequestID   `cbor:"request"`
	Record           []byte           `cbor:"record,omitempty"`
	HoldMilli        int64            `cbor:"hold-milli,omitempty"`
	AtUnixMilli      int64            `cbor:"at-unix-milli"`
}

// Header is one header field of a stored answer.
type Header struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// Finish reports the outcome of a claim. It must name the owner, incarnation and request of the claim. If a finish as
// not-run is applied before its own claim, the ledger records it and refuses the claim later.
type Finish struct {
	Customer         unit.CustomerID  `cbor:"customer"`
	Key              string           `cbor:"key"`
	Owner            unit.HostName    `cbor:"owner"`
	OwnerIncarnation unit.Incarnation `cbor:"owner-incarnation"`
	Request          unit.RequestID   `cbor:"request"`
	Outcome          unit.Outcome     `cbor:"outcome"`
	Status           int              `cbor:"status,omitempty"`
	ContentType      string           `cbor:"content-type,omitempty"`
	Headers          []Header         `cbor:"headers,omitempty"`
	Body             []byte           `cbor:"body,omitempty"`
	AtUnixMilli      int64            `cbor:"at-unix-milli"`
}

// Resolve is an operator's decision about a claim in StateUnknown, after checking with the service that may have run the
// request. Outcome is done or not-run; with not-run, the operator confirms that the request didn't run, and the key is free
// again.
type Resolve struct {
	Customer    unit.CustomerID `cbor:"customer"`
	Key         string          `cbor:"key"`
	Outcome     unit.Outcome    `cbor:"outcome"`
	Operator    string          `cbor:"operator"`
	Reason      string          `cbor:"reason"`
	AtUnixMilli int64           `cbor:"at-unix-milli"`
}

// HostStarted reports the new incarnation of an entry host that has restarted. Open claims of its older incarnations
// become unknown. A claim by the new incarnation has the same effect.
type HostStarted struct {
	Host        unit.HostName    `cbor:"host"`
	Incarnation unit.Incarnation `cbor:"incarnation"`
	AtUnixMilli int64            `cbor:"at-unix-milli"`
}

// Resolution is the part of a Resolve that is stored with the claim.
type Resolution struct {
	Operator    string       `cbor:"operator"`
	Reason      string       `cbor:"reason"`
	Outcome     unit.Outcome `cbor:"outcome"`
	AtUnixMilli int64        `cbor:"at-unix-milli"`
}

// Reply is the result of every command. Claimed reports whether the key has or had a claim. Owner, OwnerIncarnation,
// Request, DeadlineUnixMilli and Resolutions describe that claim; Status, ContentType, Headers and Body hold the stored
// answer of a done claim.
type Reply struct {
	State             string           `cbor:"state"`
	Claimed           bool             `cbor:"claimed,omitempty"`
	Owner             unit.HostName    `cbor:"owner,omitempty"`
	OwnerIncarnation  unit.Incarnation `cbor:"owner-incarnation,omitempty"`
	Request           unit.RequestID   `cbor:"request,omitempty"`
	DeadlineUnixMilli int64            `cbor:"deadline-unix-milli,omitempty"`
	Status            int              `cbor:"status,omitempty"`
	ContentType       string           `cbor:"content-type,omitempty"`
	Headers           []Header         `cbor:"headers,omitempty"`
	Body              []byte           `cbor:"body,omitempty"`
	Resolutions       []Resolution     `cbor:"resolutions,omitempty"`
}

// Key identifies a claim. The field Key is unique within one customer.
type Key struct {
	Customer unit.CustomerID `cbor:"customer"`
	Key      string          `cbor:"key"`
}

// EncodeCommand returns the log entry of a command.
func EncodeCommand(command Command) ([]byte, error) {
	return codec.Marshal(command)
}

// DecodeCommand reads a log entry and checks that its fields are present. It fails with fault.BadPeer or
// fault.BadInput.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := codec.Unmarshal(data, &command); err != nil {
		return Command{}, err
	}
	set := 0
	valid := true
	if c := command.Claim; c != nil {
		set++
		valid = validClaimID(c.Customer, c.Key) && validOwner(c.Owner, c.Request) && c.HoldMilli >= 0
	}
	if f := command.Finish; f != nil {
		set++
		valid = valid && validClaimID(f.Customer, f.Key) && validOwner(f.Owner, f.Request) && validOutcome(f.Outcome)
	}
	if r := command.Resolve; r != nil {
		set++
		valid = valid && validClaimID(r.Customer, r.Key) && validResolve(r)
	}
	if s := command.Started; s != nil {
		set++
		valid = valid && s.Host != "" && len(s.Host) <= maxNameBytes
	}
	if l := command.Limits; l != nil {
		set++
		valid = valid && l.Bytes > 0 && l.Claims > 0 && l.Claims <= maxClaims && l.Tombstones > 0
	}
	if set != 1 || !valid {
		return Command{}, fault.BadInput.New("the command lacks a field or is not exactly one of the union")
	}
	return command, nil
}

// DecodeReply reads the result of Apply. It fails with fault.BadPeer.
func DecodeReply(data []byte) (Reply, error) {
	var reply Reply
	err := codec.Unmarshal(data, &reply)
	return reply, err
}

func validClaimID(customer unit.CustomerID, key string) bool {
	return customer != "" && key != "" && len(customer) <= maxNameBytes && len(key) <= maxNameBytes
}

func validOwner(owner unit.HostName, request unit.RequestID) bool {
	return owner != "" && request != "" && len(owner) <= maxNameBytes && len(request) <= maxNameBytes
}

func validOutcome(outcome unit.Outcome) bool {
	return outcome == unit.OutcomeDone || outcome == unit.OutcomeNotRun || outcome == unit.OutcomeUnknown
}

func validResolve(r *Resolve) bool {
	return (r.Outcome == unit.OutcomeDone || r.Outcome == unit.OutcomeNotRun) && r.Operator != "" && r.Reason != "" &&
		len(r.Operator) <= maxNameBytes && len(r.Reason) <= maxReasonBytes
}
