package rollout

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Actions of an Intervention.
const (
	// ActionPause stops new steps from being started. Steps that were started before are completed.
	ActionPause = "pause"
	// ActionResume ends a pause and retries failed steps.
	ActionResume = "resume"
	// ActionAbort abandons the model's target until the configuration names another one. Orders of started steps are no
	// longer resent. Engines that already have the target keep it; a rollback needs a new target.
	ActionAbort = "abort"
)

// Reasons of an Answer that isn't accepted.
const (
	// ReasonBadCommand refuses a command that can't be decoded or isn't valid.
	ReasonBadCommand = "bad-command"
	// ReasonOldLeader refuses a command of a leader whose term isn't the newest.
	ReasonOldLeader = "old-leader"
	// ReasonOldTarget refuses a step whose weights aren't the model's target, or targets of an old configuration version.
	ReasonOldTarget = "old-target"
	// ReasonUnusable refuses a step for an endpoint that is gone, restarted or draining, or whose step failed before.
	ReasonUnusable = "unusable-endpoint"
	// ReasonNothingToDo refuses a step for an endpoint that has the target, is being brought to it, or has no target.
	ReasonNothingToDo = "nothing-to-do"
	// ReasonPaused refuses a step of a paused or aborted model.
	ReasonPaused = "paused"
	// ReasonNoSlot refuses a step while Settings.MaxLoading endpoints are loading.
	ReasonNoSlot = "no-slot"
	// ReasonTooFewServing refuses a step that would leave too few replicas or too little urgent capacity serving.
	ReasonTooFewServing = "too-few-serving"
	// ReasonNotFound refuses an intervention on a model without a target.
	ReasonNotFound = "not-found"
	// ReasonTooLarge refuses a command that exceeds a size limit.
	ReasonTooLarge = "too-large"
)

// Settings are set by a log entry, so that all members agree on them also during a rolling restart with changed flags.
type Settings struct {
	// MaxLoading is the maximum number of endpoints, over all models, that load at the same time. The limit is common to
	// all models because their endpoints load from the same store.
	MaxLoading int `cbor:"max-loading"`
	// MinServingPercent is the share of a model's replicas, and of their urgent capacity, that must keep serving.
	MinServingPercent int `cbor:"min-serving-percent"`
	// RemoveAfter is how long an endpoint may be unobserved before it is removed and its slot is free. It must be longer
	// than any load takes.
	RemoveAfter time.Duration `cbor:"vanish-after-ns"`
	// FailAfter is the time after which a started step fails if its endpoint neither loads nor has the target.
	FailAfter time.Duration `cbor:"fail-after-ns"`
	// MaxOrderDelay is how long an order may be in flight. A step that replaces another one can't complete earlier than this
	// after its start, since the order of the replaced step may still arrive.
	MaxOrderDelay time.Duration `cbor:"settle-ns"`
	// PauseAfterFailures is the number of failed steps that pauses a model, since its weights are probably broken.
	PauseAfterFailures int `cbor:"pause-after-failures"`
}

// DefaultSettings returns settings for the installation Taalmaatjes. They don't suit Norrmark, whose store slows down with
// more than 2 loading replicas.
func DefaultSettings() Settings {
	return Settings{
		MaxLoading: 3, MinServingPercent: 70, RemoveAfter: 30 * time.Second, FailAfter: 60 * time.Second,
		MaxOrderDelay: 5 * time.Second, PauseAfterFailures: 3,
	}
}

// Observed is the state of one engine in the leader's roster. Sequence is the number of the engine's announcement; an
// observation that is older than the previous one, by incarnation and sequence, is ignored. UrgentCapacity is the number
// of urgent requests that the engine can run at the same time.
type Observed struct {
	Endpoint       unit.EndpointID     `cbor:"endpoint"`
	Incarnation    unit.Incarnation    `cbor:"incarnation"`
	Sequence       uint64              `cbor:"sequence"`
	Model          unit.ModelName      `cbor:"model"`
	Weights        unit.WeightsVersion `cbor:"weights"` // empty while the engine has none
	Loading        bool                `cbor:"loading"`
	Draining       bool                `cbor:"draining"`
	HonoursFencing bool                `cbor:"honours-fencing"`
	UrgentCapacity int                 `cbor:"urgent-capacity"`
}

// Order tells one incarnation of an engine which weights to load. It is idempotent and may be sent any number of times.
type Order struct {
	Endpoint       unit.EndpointID     `cbor:"endpoint"`
	Incarnation    unit.Incarnation    `cbor:"incarnation"`
	Model          unit.ModelName      `cbor:"model"`
	Weights        unit.WeightsVersion `cbor:"weights"`
	Fencing        unit.FencingNumber  `cbor:"fencing"`
	HonoursFencing bool                `cbor:"honours-fencing"`
	// Started is false for a planned order. It has no fencing number yet and must be proposed as StepStarted before it is
	// sent.
	Started bool `cbor:"started"`
}

// Targets are the target weights of the models in one version of the configuration. A version that isn't newer than the
// last one is refused.
type Targets struct {
	Version unit.ConfigurationVersion              `cbor:"version"`
	Weights map[unit.ModelName]unit.WeightsVersion `cbor:"weights"`
}

// LeaderStarted is the first command of a new leader, proposed after the old leader's lease has expired. It gives started
// steps new fencing numbers, which makes orders of the old leader that are still in flight stale.
type LeaderStarted struct {
	Host unit.HostName `cbor:"host"`
	Term uint64        `cbor:"term"`
}

// StepStarted asks for the right to send a planned order. Term is the term of the proposing leader.
type StepStarted struct {
	Term  uint64 `cbor:"term"`
	Order Order  `cbor:"order"`
}

// StepObserved holds all engines in the leader's roster. The leader proposes it when the roster has changed and, while
// Status.Active is true, at least every 5 s, because the machine's time only advances with commands.
type StepObserved struct {
	Endpoints []Observed `cbor:"endpoints"`
}

// Intervention is an operator's command on the rollout of one model.
type Intervention struct {
	Action   string         `cbor:"action"`
	Model    unit.ModelName `cbor:"model"`
	Operator string         `cbor:"operator"`
	Reason   string         `cbor:"reason"`
}

// Command is the typed union of the log entries of this machine; exactly one pointer is set.
type Command struct {
	// AtUnixMilli is the leader's wall clock when it proposed the command.
	AtUnixMilli  int64          `cbor:"at-unix-milli"`
	Configure    *Settings      `cbor:"configure,omitempty"`
	Targets      *Targets       `cbor:"targets,omitempty"`
	Leader       *LeaderStarted `cbor:"leader,omitempty"`
	Started      *StepStarted   `cbor:"started,omitempty"`
	Observed     *StepObserved  `cbor:"observed,omitempty"`
	Intervention *Intervention  `cbor:"intervention,omitempty"`
}

// Answer is the result of every command. Order is set for an accepted StepStarted; the leader sends it now.
type Answer struct {
	Accepted bool   `cbor:"accepted"`
	Reason   string `cbor:"reason,omitempty"`
	Order    *Order `cbor:"order,omitempty"`
}

// EncodeCommand returns the log entry of a command.
func EncodeCommand(command Command) ([]byte, error) {
	return codec.Marshal(command)
}

// DecodeCommand reads a log entry. It fails with fault.BadPeer or fault.BadInput.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := codec.Unmarshal(data, &command); err != nil {
		return Command{}, err
	}
	set := 0
	for _, present := range []bool{
		command.Configure != nil, command.Targets != nil, command.Leader != nil,
		command.Started != nil, command.Observed != nil, command.Intervention != nil,
	} {
		if present {
			set++
		}
	}
	if set != 1 || !validSettings(command.Configure) || !validIntervention(command.Intervention) {
		return Command{}, fault.BadInput.New("the command is not exactly one of the union or has a value out of range")
	}
	return command, nil
}

// DecodeAnswer reads the result of Apply. It fails with fault.BadPeer.
func DecodeAnswer(data []byte) (Answer, error) {
	var answer Answer
	err := codec.Unmarshal(data, &answer)
	return answer, err
}

func validSettings(s *Settings) bool {
	return s == nil || (s.MaxLoading > 0 && s.MinServingPercent >= 0 && s.MinServingPercent <= 100 &&
		s.RemoveAfter > 0 && s.FailAfter > 0 && s.MaxOrderDelay >= 0 && s.PauseAfterFailures > 0)
}

func validIntervention(i *Intervention) bool {
	if i == nil {
		return true
	}
	known := i.Action == ActionPause || i.Action == ActionResume || i.Action == ActionAbort
	return known && i.Operator != "" && len(i.Operator) <= maxNameBytes && len(i.Reason) <= maxReasonBytes
}
