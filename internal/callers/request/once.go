package request

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/ledger"
)

const (
	// claimHoldTime is how long the ledger reports a claim without an outcome as in progress. After that it reports unknown.
	claimHoldTime = 60 * time.Second
	// claimTimeout bounds the wait for the ledger's reply. An election of a new leader takes about a second.
	claimTimeout = 5 * time.Second
	// finishWaitTime is how long an answer is delayed until its outcome is durable. The answer is valid without that, so it
	// isn't delayed longer.
	finishWaitTime = 2 * time.Second
	// finishTimeout is how long a host tries to record an outcome. Until it is recorded, a resend gets fault.UnknownOutcome.
	finishTimeout = 10 * time.Minute
	// onceOnlyTimeout bounds the time of a once-only call at the endpoint, also after its caller has disconnected.
	onceOnlyTimeout = 10 * time.Minute
	// lookupTimeout bounds the lookup in the ledger before a once-only call is refused, see checkEarlierRequest.
	lookupTimeout = time.Second
	// claimMargin is the part of claimHoldTime that is reserved for sending the request to the endpoint.
	claimMargin = 5 * time.Second
	// progressPollInterval is how often a resend polls the ledger for the outcome of the first request.
	progressPollInterval = 100 * time.Millisecond
)

// serveOnceOnly runs a call that may not be repeated: it claims the idempotency key, sends the request and records the
// outcome. The claim is durable before the first byte is sent. The call goes on after its caller has disconnected, so that
// a resend can learn the outcome.
func (e *execution) serveOnceOnly(ctx context.Context, w http.ResponseWriter) error {
	reply, err := e.claim(ctx)
	if err != nil {
		return err
	}
	if reply.State != ledger.StateGranted {
		return e.answerFromClaim(w, reply)
	}
	type result struct {
		answer *bufferedAnswer
		err    error
	}
	done := make(chan result, 1)
	e.handler.background.Go(func() {
		running, cancel := context.WithTimeout(context.WithoutCancel(ctx), onceOnlyTimeout)
		defer cancel()
		answer, err := e.runOnceOnly(running)
		done <- result{answer, err}
	})
	r := <-done
	if r.err != nil {
		return r.err
	}
	return r.answer.write(w)
}

// runOnceOnly sends a claimed call to an endpoint and records its outcome.
func (e *execution) runOnceOnly(ctx context.Context) (*bufferedAnswer, error) {
	answer, err := e.runAttempts(ctx)
	finish := e.newFinish()
	switch {
	case err == nil:
		finish.Outcome, finish.Status = unit.OutcomeDone, answer.status
		finish.ContentType, finish.Body = answer.header.Get("Content-Type"), answer.body
	case errorx.HasTrait(err, fault.NotRun):
		finish.Outcome = unit.OutcomeNotRun
	case errorx.HasTrait(err, fault.Ran):
		// The outcome has no status, which tells a resend that the request ran but its answer wasn't stored.
		finish.Outcome = unit.OutcomeDone
	default:
		finish.Outcome = unit.OutcomeUnknown
		err = fault.UnknownOutcome.Wrap(err, "the request was sent and its outcome isn't known; it won't be run again")
	}
	e.recordOutcome(finish)
	return answer, err
}

// claim claims the idempotency key in the ledger. While another request with the same key is running, it waits and tries
// again.
func (e *execution) claim(ctx context.Context) (ledger.Reply, error) {
	remaining := e.deadline().Sub(e.handler.Now())
	ctx, cancel := context.WithTimeout(ctx, max(remaining, claimTimeout))
	defer cancel()
	var previous ledger.Reply
	for {
		e.claimedAt = e.handler.Now()
		reply, err := e.sendCommand(ctx, ledger.Command{Claim: &ledger.Claim{
			Customer: e.Customer.ID, Key: e.Key, Body: e.bodyDigest(), Owner: e.handler.Host,
			OwnerIncarnation: e.handler.Incarnation, Request: e.ID, HoldMilli: claimHoldTime.Milliseconds(),
		}})
		if err != nil {
			err = e.abandonClaim(err)
			if previous.State == ledger.StateInProgress {
				// Another request holds the key and may have run, so "not run" would mislead the caller.
				return previous, nil
			}
			return reply, err
		}
		if reply.State != ledger.StateInProgress || !timer.Sleep(ctx, progressPollInterval) {
			return reply, nil
		}
		previous = reply
	}
}

// abandonClaim withdraws a claim after an error, since the ledger may have granted it nevertheless. The outcome is "not
// run", because this host doesn't send the request.
func (e *execution) abandonClaim(cause error) error {
	if !errorx.IsOfType(cause, fault.Unreachable) {
		finish := e.newFinish()
		finish.Outcome = unit.OutcomeNotRun
		e.recordOutcomeInBackground(finish)
	}
	return fault.ClaimFailed.Wrap(cause, "the claim couldn't be made durable, so the request wasn't run").
		WithProperty(fault.RetryAfter, time.Second)
}

func (e *execution) newFinish() ledger.Finish {
	return ledger.Finish{
		Customer: e.Customer.ID, Key: e.Key, Owner: e.handler.Host, OwnerIncarnation: e.handler.Incarnation, Request: e.ID,
	}
}

// recordOutcome records an outcome in the ledger and waits up to finishWaitTime for it to become durable.
func (e *execution) recordOutcome(finish ledger.Finish) {
	settled := e.recordOutcomeInBackground(finish)
	limit := time.NewTimer(finishWaitTime)
	defer limit.Stop()
	select {
	case <-settled:
	case <-limit.C:
	}
}

// recordOutcomeInBackground records an outcome in the ledger, retrying for up to finishTimeout, because no other host knows
// the outcome of the claim. The returned channel is closed when it ends.
func (e *execution) recordOutcomeInBackground(finish ledger.Finish) <-chan struct{} {
	settled := make(chan struct{})
	e.handler.background.Go(func() {
		defer close(settled)
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		for {
			reply, err := e.sendCommand(ctx, ledger.Command{Finish: &finish})
			if err == nil {
				if reply.State == ledger.StateConflict {
					klog.Errorf("request: can't record outcome of %s as %s, the claim belongs to %s", e.ID, finish.Outcome, reply.Request)
				}
				return
			}
			if ctx.Err() != nil {
				klog.Errorf("request: giving up recording outcome %s of %s: %v", finish.Outcome, e.ID, err)
				return
			}
		}
	})
	return settled
}

// checkEarlierRequest returns the refusal of a once-only call unchanged, which means "not run", only if the ledger knows
// that no earlier request with the same key has run. Otherwise, also if the ledger doesn't answer, the outcome is marked as
// unknown.
func (e *execution) checkEarlierRequest(ctx context.Context, refusal error) error {
	payload, err := codec.Marshal(ledger.Key{Customer: e.Customer.ID, Key: e.Key})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	raw, err := e.handler.LedgerLookup(ctx, ledger.Shard(e.Customer.ID, uint32(e.handler.LedgerGroups)), payload)
	if err == nil {
		var reply ledger.Reply
		if reply, err = ledger.DecodeReply(raw); err == nil && (reply.State == ledger.StateNotFound || reply.State == ledger.StateNotRun) {
			return refusal
		}
	}
	return withUnknownOutcome(refusal)
}

// withUnknownOutcome returns the refusal, with its type, marked with an unknown outcome for the key.
func withUnknownOutcome(refusal error) error {
	typed := errorx.Cast(refusal)
	if typed == nil {
		return refusal
	}
	return typed.WithProperty(fault.OutcomeUnknown, true)
}

// sendCommand sends a command to the customer's ledger group.
func (e *execution) sendCommand(ctx context.Context, command ledger.Command) (ledger.Reply, error) {
	payload, err := ledger.EncodeCommand(command)
	if err != nil {
		return ledger.Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	raw, err := e.handler.Ledger(ctx, ledger.Shard(e.Customer.ID, uint32(e.handler.LedgerGroups)), payload)
	if err != nil {
		return ledger.Reply{}, err
	}
	return ledger.DecodeReply(raw)
}

// answerFromClaim answers a request whose claim wasn't granted, by the state of the key in the ledger.
func (e *execution) answerFromClaim(w http.ResponseWriter, reply ledger.Reply) error {
	switch reply.State {
	case ledger.StateDone:
		if reply.Status == 0 {
			return fault.AnswerLost.New("the request ran; its answer wasn't kept")
		}
		e.replayed = true
		w.Header().Set("Citronglade-Replayed", "true")
		header := http.Header{"Content-Type": {reply.ContentType}}
		return (&bufferedAnswer{status: reply.Status, header: header, body: reply.Body}).write(w)
	case ledger.StateConflict:
		return fault.Conflict.New("this Idempotency-Key came before with another request")
	case ledger.StateTooLarge:
		if !reply.Claimed {
			return fault.TooLarge.New("the claim is over a size bound, the request wasn't run")
		}
		return fault.AnswerLost.New("the request ran; its answer was too large to be kept")
	case ledger.StateFull:
		return fault.Overloaded.New("the ledger is full, the request wasn't run")
	case ledger.StateStaleOwner:
		return fault.Stopping.New("this host was taken for dead, the request wasn't run")
	case ledger.StateNotRun:
		return fault.ClaimFailed.New("the request was taken back and wasn't run")
	case ledger.StateInProgress:
		return fault.UnknownOutcome.New("the first request with this key is still running").
			WithProperty(fault.RetryAfter, time.Second)
	case ledger.StateExpired:
		return fault.UnknownOutcome.New("the request with this key is older than answers are kept; it won't be run again")
	case ledger.StateUnknown:
		return fault.UnknownOutcome.New("the outcome of the request with this key isn't known; it won't be run again")
	default:
		return fault.Internal.New("the ledger answered %q", reply.State)
	}
}
