package fault

import "github.com/joomcode/errorx"

// The outcomes of a failed request, as written in answers to callers.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// OutcomeUnknown is the property of an error whose outcome is "unknown" whatever its traits, because an earlier request with
// the same idempotency key may have run.
var OutcomeUnknown = errorx.RegisterPrintableProperty("outcome-unknown")

// Outcome returns the outcome of a request that failed with err: "done" or "not-run" if that is certain, "unknown" otherwise.
func Outcome(err error) string {
	if _, unknown := errorx.ExtractProperty(err, OutcomeUnknown); unknown {
		return outcomeUnknown
	}
	switch {
	case errorx.HasTrait(err, NotRun):
		return outcomeNotRun
	case errorx.HasTrait(err, Ran):
		return outcomeDone
	default:
		return outcomeUnknown
	}
}
