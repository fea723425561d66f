package placement

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/prefix"
)

// Request is the input of a placement.
type Request struct {
	ID      unit.RequestID
	Class   unit.ClassName
	Urgency int // 0 is the most urgent
	Kind    endpoint.Kind
	Name    string // model or service
	// Chain is the prompt's chain. While engines serve several weights versions, ChainFor returns the chain for each
	// version; if it is nil, Chain is used for all versions.
	Chain     prefix.Chain
	ChainFor  func(unit.WeightsVersion) prefix.Chain
	MaxTokens unit.Tokens
	// Weights restricts the choice to endpoints that serve this weights version; empty allows any. A stream that has
	// begun must continue on the same weights.
	Weights unit.WeightsVersion
	// Software restricts the choice likewise to endpoints of this software version; nil allows any.
	Software *unit.SoftwareVersion
	// Avoid lists endpoints that must not be chosen because an attempt there has failed.
	Avoid []unit.EndpointID
}

func (r *Request) chain(weights unit.WeightsVersion) prefix.Chain {
	if r.ChainFor != nil {
		return r.ChainFor(weights)
	}
	return r.Chain
}

// Candidate is an endpoint that was considered. Expected is the expected time to first token, the sum of QueueWait,
// Prefill and Transfer.
type Candidate struct {
	Endpoint                               unit.EndpointID
	CachedPieces                           int
	QueueWait, Prefill, Transfer, Expected time.Duration
	Home                                   bool
	// Score orders the candidates, lowest first. It adds further multiples of Prefill to Expected, the more the less
	// urgent the request is.
	Score time.Duration
	// Overloaded marks a candidate above the load bound, which is chosen only if all candidates are.
	Overloaded bool
}

// Decision says where a request goes and why.
type Decision struct {
	Endpoint endpoint.Announcement
	// Candidates holds the best 8 candidates, always including the chosen one.
	Candidates []Candidate
	Reason     string
	// ImportFrom is the address of the cache store from which the engine should import pieces, empty for none.
	ImportFrom string
	// Occupancy estimates the number of requests that are already at the chosen endpoint.
	Occupancy int
	// Chain is the chain for the chosen endpoint's weights version.
	Chain prefix.Chain
}

// Result is the outcome of an attempt. It is passed to Learn as soon as the first token arrives or the attempt has
// failed.
type Result struct {
	Endpoint unit.EndpointID
	// Incarnation is the one in the endpoint's answer, or the expected one if there was no answer.
	Incarnation                unit.Incarnation
	Chain                      prefix.Chain
	CachedTokens, PromptTokens unit.Tokens
	FirstToken, Queue          time.Duration
	Failed                     bool
	// Urgency is the request's urgency, Occupancy the value from the decision.
	Urgency, Occupancy int
	// Imported counts the tokens that the engine imported from a cache store; they are included in CachedTokens.
	Imported unit.Tokens
}

// Pace returns the time that the engine took per 2,000 computed tokens. A quarter of a piece is added to the computed
// tokens to account for the fixed cost. Unlike the time to first token, the pace is comparable between engines that get
// long prompts and engines that get short ones, as ejection requires.
func (r Result) Pace() time.Duration {
	computed := max(r.PromptTokens-r.CachedTokens, 0) + prefix.DefaultPieceTokens/4
	work := max(r.FirstToken-r.Queue, 0)
	return time.Duration(float64(work) * float64(prefix.DefaultPieceTokens) / float64(computed))
}
