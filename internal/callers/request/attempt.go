package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/dispatch"
	"github.com/citronglade/citronglade/internal/callers/stream"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/placement"
	"github.com/citronglade/citronglade/internal/routing/retry"
)

// maxBufferedAnswer is the largest body, in bytes, of an answer that isn't streamed. Such an answer is buffered until it is
// complete, so that another attempt can replace one that breaks off.
const maxBufferedAnswer = 32 << 20

// bufferedAnswer is a complete answer of an endpoint in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// runAttempts makes attempts until one gives a complete answer or no further attempt is allowed.
func (e *execution) runAttempts(ctx context.Context) (*bufferedAnswer, error) {
	var last error
	for {
		if err := e.placeAttempt(); err != nil {
			return nil, preferAttemptError(last, err)
		}
		answer, wrote, err := e.attemptBuffered(ctx)
		if err == nil || !e.mayRetry(ctx, retry.Attempt{Wrote: wrote}, err) {
			return answer, err
		}
		last = err
	}
}

// attemptBuffered makes one attempt and reads its answer to the end.
func (e *execution) attemptBuffered(ctx context.Context) (buffered *bufferedAnswer, wrote bool, err error) {
	defer e.handler.Router.EndAttempt(e.chosen)
	answer, err := e.send(ctx, stream.ResumePoint{})
	if err == nil {
		buffered, err = bufferAnswer(answer)
		_ = answer.Body.Close()
	}
	e.reportResult(ctx, answer, answer.Elapsed, err)
	e.recordAttempt(answer.Wrote, answer.Status, err)
	if err == nil {
		e.handler.Router.RecordSuccess(e.content, e.parts())
		e.status = answer.Status
		e.markFirstToken()
	}
	return buffered, answer.Wrote, err
}

// send sends one attempt to the chosen endpoint. The answer isn't nil, also with an error.
func (e *execution) send(ctx context.Context, from stream.ResumePoint) (*dispatch.Answer, error) {
	chosen := e.chosen.Endpoint
	header := http.Header{}
	setUnlessEmpty(header, "Content-Type", e.ContentType)
	setUnlessEmpty(header, "Accept", e.Accept)
	setUnlessEmpty(header, "Idempotency-Key", e.Key)
	answer, err := e.handler.Dispatcher.Send(ctx, dispatch.Attempt{
		Request: e.ID, Endpoint: chosen.Endpoint, Address: chosen.Address, Engine: e.Kind == endpoint.KindEngine,
		Incarnation: chosen.Incarnation, Weights: chosen.Weights, Method: e.Method, Path: e.Path, Header: header,
		Body: e.Body, OnceOnly: e.isOnceOnly(), Priority: e.Class.Urgency, Pieces: e.chosen.Chain.Digests,
		PromptTokens: e.chosen.Chain.Tokens, ResumeFrom: from.Token, Delivered: from.Text, ImportFrom: e.chosen.ImportFrom,
	})
	if answer == nil {
		answer = &dispatch.Answer{}
	}
	if err != nil && ctx.Err() != nil && answer.Wrote {
		err = fault.CallerLeft.Wrap(err, "the caller left")
	}
	return answer, err
}

// reportResult reports the result of an attempt to the router and the admission gate. It does nothing after the caller has
// disconnected, because the failure then says nothing about the endpoint.
func (e *execution) reportResult(ctx context.Context, answer *dispatch.Answer, firstToken time.Duration, err error) {
	if ctx.Err() != nil {
		return
	}
	chosen := e.chosen.Endpoint
	result := placement.Result{
		Endpoint: chosen.Endpoint, Incarnation: chosen.Incarnation, Chain: e.chosen.Chain, CachedTokens: answer.CachedTokens,
		Imported: answer.ImportedTokens, PromptTokens: e.chosen.Chain.Tokens, FirstToken: firstToken, Queue: answer.Queue,
		Failed: err != nil, Urgency: e.Class.Urgency, Occupancy: e.chosen.Occupancy,
	}
	if answer.IncarnationChanged {
		result.Incarnation = answer.Incarnation
	}
	e.handler.Router.Learn(result)
	if err == nil {
		e.handler.Gate(e.Kind, e.Target).Observe(answer.Queue)
		e.promptTokens, e.cachedTokens = e.chosen.Chain.Tokens, answer.CachedTokens+answer.ImportedTokens
	}
}

// mayRetry reports whether another attempt is allowed after err. If the engine has crashed, it first counts the crash
// against the request's content, so that a request that has crashed two engines isn't sent to a third.
func (e *execution) mayRetry(ctx context.Context, attempt retry.Attempt, err error) bool {
	if ctx.Err() != nil || errorx.IsOfType(err, fault.CallerLeft) || errorx.IsOfType(err, fault.BadInput) {
		return false
	}
	chosen := e.chosen.Endpoint
	if e.Kind == endpoint.KindEngine && attempt.Wrote && connectionBroken(err) {
		quarantined := e.handler.Router.RecordCrash(e.content(), e.parts(), chosen.Endpoint, chosen.Incarnation)
		// The other hosts must know of the crash before the caller gets its answer and resends the request through one of them.
		e.handler.SpreadQuarantines(ctx)
		if quarantined {
			klog.Warningf("request: %s has crashed two engines and is quarantined, last crashed engine: %s", e.ID, chosen.Endpoint)
			return false
		}
		if e.handler.Router.SuspectsParts(e.parts()) {
			klog.Warningf("request: %s has a message that may have crashed several engines, last crashed engine: %s", e.ID, chosen.Endpoint)
			return false
		}
	}
	e.triedEndpoints = append(e.triedEndpoints, chosen.Endpoint)
	attempt.Repeatable, attempt.OnceOnly = !e.isOnceOnly(), e.isOnceOnly()
	attempt.Number = e.attempt
	if errorx.IsOfType(err, fault.Unreachable) {
		// The endpoint received nothing, or refused the request before running it.
		attempt.Wrote, attempt.Refused = false, true
	}
	attempt.Deadline = e.retryDeadline()
	allowed, reason := e.handler.Router.AllowRetry(attempt)
	klog.V(1).Infof("request: %s failed at %s (%s); another attempt: %t, %s", e.ID, chosen.Endpoint, fault.Name(err), allowed, reason)
	return allowed
}

// retryDeadline returns the time after which a retry is useless. A stream whose first token has come may be resumed at any
// time.
func (e *execution) retryDeadline() unit.Moment {
	if e.firstToken > 0 {
		return unit.Never
	}
	return e.deadline()
}

// connectionBroken reports whether the connection was closed before the end of the answer, as it is when an engine crashes.
// An endpoint that times out or sends an invalid answer hasn't crashed.
func connectionBroken(err error) bool {
	for ; err != nil; err = causeOf(err) {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
			errors.Is(err, syscall.EPIPE) {
			return true
		}
	}
	return false
}

func causeOf(err error) error {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Cause()
	}
	return nil
}

func bufferAnswer(answer *dispatch.Answer) (*bufferedAnswer, error) {
	if answer.TooLarge {
		return nil, fault.AnswerLost.New("the request ran; its answer was too large to be kept")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBufferedAnswer {
		return nil, fault.BrokenAnswer.New("the answer has more than %d bytes", maxBufferedAnswer)
	}
	return &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// write sends the answer to the caller. It fails with fault.CallerLeft when the caller's connection is broken.
func (a *bufferedAnswer) write(w http.ResponseWriter) error {
	for name, values := range a.header {
		// Headers of the endpoint protocol aren't meant for callers, and this host sets its own Date.
		if name != "Content-Length" && name != "Date" && !strings.HasPrefix(name, "Citronglade-") {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		return fault.CallerLeft.Wrap(err, "the caller left before its answer was sent")
	}
	return nil
}

// preferAttemptError returns the error of the last attempt, or the placement error if there was no attempt.
func preferAttemptError(attempt, placing error) error {
	if attempt != nil {
		return attempt
	}
	return placing
}

func setUnlessEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}
