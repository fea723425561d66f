package request

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/admission/gate"
	"github.com/citronglade/citronglade/internal/admission/queue"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/chain"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/placement"
	"github.com/citronglade/citronglade/internal/routing/prefix"
)

// execution is the state of one call while it is processed.
type execution struct {
	Call
	handler        *Handler
	chains         map[unit.WeightsVersion]prefix.Chain
	slot           *gate.Slot
	attempt        int
	triedEndpoints []unit.EndpointID
	// weights is the version with which a stream that has begun must be resumed. It is empty before that.
	weights unit.WeightsVersion
	// software is likewise the software version with which it must be resumed, nil before that.
	software *unit.SoftwareVersion
	// chosen is the placement decision of the latest attempt.
	chosen placement.Decision
	// firstToken is the time of the first token, 0 before it.
	firstToken unit.Moment
	// status is the HTTP status of the endpoint's answer, 0 without an answer.
	status int
	// claimedAt is the time when the claim of a once-only call was sent.
	claimedAt unit.Moment
	// replayed is set when the caller gets the stored answer of an earlier request with the same idempotency key.
	replayed     bool
	promptTokens unit.Tokens
	cachedTokens unit.Tokens
}

func newExecution(h *Handler, call Call) *execution {
	return &execution{Call: call, handler: h, chains: map[unit.WeightsVersion]prefix.Chain{}}
}

// chainFor returns the prompt's prefix chain for a weights version. It computes the chain once for each version.
func (e *execution) chainFor(weights unit.WeightsVersion) prefix.Chain {
	if c, ok := e.chains[weights]; ok {
		return c
	}
	c := prefix.New(e.prompt(weights), e.handler.PieceTokens, e.handler.BytesPerToken)
	e.chains[weights] = c
	return c
}

// content returns the digest of the prompt without the weights version, by which contents are quarantined.
func (e *execution) content() unit.Digest {
	return prefix.ContentDigest(e.prompt(""))
}

// parts identifies the messages of the prompt that other requests may share: all but the last one.
func (e *execution) parts() []crashcause.PartID {
	var parts []crashcause.PartID
	for _, message := range e.Messages[:max(len(e.Messages)-1, 0)] {
		parts = append(parts, crashcause.NewPartID(unit.ModelName(e.Target), message))
	}
	return parts
}

func (e *execution) prompt(weights unit.WeightsVersion) prefix.Prompt {
	return prefix.Prompt{
		Customer: e.Customer.ID, Model: unit.ModelName(e.Target), Weights: weights, Messages: e.Messages,
	}
}

// admit runs the checks that can refuse a request before anything is sent: the record has room, the content isn't
// quarantined for crashing engines, the customer is within its limit, and the request can meet its deadline. It waits in
// the admission queue for a slot.
func (e *execution) admit(ctx context.Context) error {
	h := e.handler
	if err := h.Record.Admit(); err != nil {
		return err
	}
	if e.Kind == endpoint.KindEngine {
		if err := h.Router.CheckQuarantine(e.content, e.parts()); err != nil {
			return err
		}
	}
	promptChain := e.chainFor(h.Router.Weights(e.Target))
	if ok, after := h.Take(e.Customer.ID, e.Customer.Limit); !ok {
		return fault.OverLimit.New("this host has used up its share of customer %s's limit of %g requests/s", e.Customer.ID, e.Customer.Limit).
			WithProperty(fault.RetryAfter, after)
	}
	slot, err := h.Gate(e.Kind, e.Target).Acquire(ctx, queue.Ticket{
		ID: e.ID, Customer: e.Customer.ID, Class: e.Class, Weight: e.Customer.Weight, Arrived: e.Arrived,
		Deadline: e.deadline(), Cost: promptChain.Tokens + e.MaxTokens,
	})
	if err != nil {
		h.GiveBack(e.Customer.ID)
		return err
	}
	if err := e.refreshConfiguration(); err != nil {
		slot.Release()
		h.GiveBack(e.Customer.ID)
		return err
	}
	e.slot = slot
	return nil
}

// markFirstToken stores the time of the first token and reports it to the admission queue. Further calls do nothing.
func (e *execution) markFirstToken() {
	if e.firstToken == 0 {
		e.firstToken = e.handler.Now()
		e.slot.FirstToken()
	}
}

// refreshConfiguration matches the request with the sheet again if the configuration has changed while the request waited.
// If the host was suspended in the meantime and its configuration is stale, it fails with fault.StaleConfiguration.
func (e *execution) refreshConfiguration() error {
	view, err := e.handler.View(e.handler.Now())
	if err != nil || view.Version == e.View.Version {
		return err
	}
	rule, class, ok := view.Sheet.Match(e.Customer.ID, e.Target, e.Operation)
	customer, known := view.Sheet.Customer(e.Customer.ID)
	if !ok || !known {
		return fault.Forbidden.New("the sheet no longer has a rule for %s %s of customer %s", e.Target, e.Operation, e.Customer.ID)
	}
	if rule.Repeat != e.Rule.Repeat {
		return fault.Conflict.New("the sheet has changed whether %s %s may be repeated, send the request again", e.Target, e.Operation).
			WithProperty(fault.RetryAfter, time.Second)
	}
	e.View, e.Rule, e.Class, e.Customer = view, rule, class, customer
	return nil
}

// placeAttempt chooses the endpoint of the next attempt and records the decision. The caller must call Router.EndAttempt when
// the attempt ends.
func (e *execution) placeAttempt() error {
	h := e.handler
	if e.isOnceOnly() && h.Now().Sub(e.claimedAt) > claimHoldTime-claimMargin {
		// When the claim's hold time is over, an operator may release the key, so a host that was suspended for so long must not
		// send the request any more.
		return fault.ClaimFailed.New("this host was held up for too long after its claim, the request wasn't run")
	}
	decision, err := h.Router.Place(placement.Request{
		ID: e.ID, Class: e.Class.Name, Urgency: e.Class.Urgency, Kind: e.Kind, Name: e.Target,
		ChainFor: e.chainFor, MaxTokens: e.MaxTokens, Avoid: e.triedEndpoints, Weights: e.weights, Software: e.software,
	})
	if err != nil {
		return err
	}
	e.chosen = decision
	e.attempt++
	entry := e.newRecordEntry(chain.KindDecision)
	entry.Chosen, entry.EndpointIncarnation = decision.Endpoint.Endpoint, decision.Endpoint.Incarnation
	entry.Attempt, entry.Reason = e.attempt, decision.Reason
	for _, c := range decision.Candidates {
		entry.Candidates = append(entry.Candidates, chain.Candidate{
			Endpoint: c.Endpoint, CachedPieces: c.CachedPieces, QueueWait: c.QueueWait, Prefill: c.Prefill,
			Transfer: c.Transfer, Expected: c.Expected, Home: c.Home,
		})
	}
	h.Record.Append(entry)
	return nil
}

// newRecordEntry returns an entry for the record with the request's id, configuration, rule and class.
func (e *execution) newRecordEntry(kind string) chain.Entry {
	return chain.Entry{
		Request: e.ID, Kind: kind, AtUnixMilli: e.handler.WallClock().UnixMilli(),
		ConfigurationVersion: e.View.Version, SheetDigest: e.View.Digest, Row: e.Rule.Row, Customer: e.Customer.ID,
		Target: e.Target, Operation: e.Operation, Class: e.Class.Name, Urgency: e.Class.Urgency, Limit: e.Customer.Limit,
		Repeat: e.Rule.Repeat, KeyDigest: e.keyDigest(),
	}
}

// recordAttempt appends the result of one attempt to the record.
func (e *execution) recordAttempt(wrote bool, status int, err error) {
	entry := e.newRecordEntry(chain.KindAttempt)
	entry.Chosen, entry.EndpointIncarnation = e.chosen.Endpoint.Endpoint, e.chosen.Endpoint.Incarnation
	entry.Attempt, entry.Wrote, entry.Status = e.attempt, wrote, status
	if err != nil {
		entry.Reason = fault.Name(err)
	}
	e.handler.Record.Append(entry)
}

// recordFinal appends the final outcome to the record. A request for which no attempt was made is recorded as refused.
func (e *execution) recordFinal(outcome unit.Outcome, status int, reason string) {
	kind := chain.KindFinal
	if e.attempt == 0 {
		kind = chain.KindRefused
	}
	entry := e.newRecordEntry(kind)
	entry.Attempt, entry.Outcome, entry.Status, entry.Reason = e.attempt, outcome, status, reason
	e.handler.Record.Append(entry)
}
