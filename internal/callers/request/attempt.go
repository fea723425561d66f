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

// maxWholeAnswer bounds an answer that is kept until it is complete, so that a broken one can be replaced by another
// attempt's.
const maxWholeAnswer = 32 << 20

// wholeAnswer is a complete answer of an endpoint.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempts tries endpoints until one gives a complete answer or another attempt isn't allowed.
func (f *flow) attempts(ctx context.Context) (*wholeAnswer, error) {
	var last error
	for {
		if err := f.place(); err != nil {
			return nil, firstOf(last, err)
		}
		answer, wrote, err := f.attemptWhole(ctx)
		if err == nil || !f.mayRetry(ctx, retry.Attempt{Wrote: wrote}, err) {
			return answer, err
		}
		last = err
	}
}

// attemptWhole makes one attempt and reads its answer to the end.
func (f *flow) attemptWhole(ctx context.Context) (whole *wholeAnswer, wrote bool, err error) {
	defer f.handler.Router.Ended(f.chosen)
	answer, err := f.send(ctx, stream.Point{})
	if err == nil {
		whole, err = readWhole(answer)
		_ = answer.Body.Close()
	}
	f.learn(ctx, answer, answer.Elapsed, err)
	f.recordAttempt(answer.Wrote, answer.Status, err)
	if err == nil {
		f.handler.Router.Served(f.content)
		f.status = answer.Status
		f.noteFirstToken()
	}
	return whole, answer.Wrote, err
}

// send carries out one attempt at the chosen endpoint.
func (f *flow) send(ctx context.Context, from stream.Point) (*dispatch.Answer, error) {
	chosen := f.chosen.Endpoint
	header := http.Header{}
	setUnlessEmpty(header, "Content-Type", f.ContentType)
	setUnlessEmpty(header, "Accept", f.Accept)
	setUnlessEmpty(header, "Idempotency-Key", f.Key)
	answer, err := f.handler.Dispatcher.Send(ctx, dispatch.Attempt{
		Request: f.ID, Endpoint: chosen.Endpoint, Address: chosen.Address, Engine: f.Kind == endpoint.KindEngine,
		Incarnation: chosen.Incarnation, Weights: chosen.Weights, Method: f.Method, Path: f.Path, Header: header,
		Body: f.Body, OnceOnly: f.onceOnly(), Priority: f.Class.Urgency, Pieces: f.chosen.Chain.Digests,
		PromptTokens: f.chosen.Chain.Tokens, ResumeFrom: from.Token, Delivered: from.Text, ImportFrom: f.chosen.ImportFrom,
	})
	if answer == nil {
		answer = &dispatch.Answer{}
	}
	if err != nil && ctx.Err() != nil && answer.Wrote {
		err = fault.CallerLeft.Wrap(err, "the caller left")
	}
	return answer, err
}

// learn tells the routing state what an attempt showed. A caller that left shows nothing about the endpoint.
func (f *flow) learn(ctx context.Context, answer *dispatch.Answer, firstToken time.Duration, err error) {
	if ctx.Err() != nil {
		return
	}
	chosen := f.chosen.Endpoint
	result := placement.Result{
		Endpoint: chosen.Endpoint, Incarnation: chosen.Incarnation, Chain: f.chosen.Chain, CachedTokens: answer.CachedTokens,
		Imported: answer.ImportedTokens, PromptTokens: f.chosen.Chain.Tokens, FirstToken: firstToken, Queue: answer.Queue,
		Failed: err != nil, Urgency: f.Class.Urgency, Present: f.chosen.Present,
	}
	if answer.IncarnationChanged {
		result.Incarnation = answer.Incarnation
	}
	f.handler.Router.Learn(result)
	if err == nil {
		f.handler.Gate(f.Kind, f.Target).Observe(answer.Queue)
		f.promptTokens, f.cachedTokens = f.chosen.Chain.Tokens, answer.CachedTokens+answer.ImportedTokens
	}
}

// mayRetry decides about another attempt, and notes a crash of the endpoint before that, so that a request that crashes
// engines isn't sent to a third one.
func (f *flow) mayRetry(ctx context.Context, attempt retry.Attempt, err error) bool {
	if ctx.Err() != nil || errorx.IsOfType(err, fault.CallerLeft) || errorx.IsOfType(err, fault.BadInput) {
		return false
	}
	chosen := f.chosen.Endpoint
	if f.Kind == endpoint.KindEngine && attempt.Wrote && brokeOff(err) {
		quarantined := f.handler.Router.Crashed(f.content(), chosen.Endpoint, chosen.Incarnation)
		// The caller may send the request again through another host as soon as it has its answer.
		f.handler.SpreadQuarantines(ctx)
		if quarantined {
			klog.Warningf("request: %s is quarantined, it has crashed two engines, the last one %s", f.ID, chosen.Endpoint)
			return false
		}
	}
	f.avoid = append(f.avoid, chosen.Endpoint)
	attempt.Repeatable, attempt.OnceOnly = !f.onceOnly(), f.onceOnly()
	attempt.Number = f.attempt
	if errorx.IsOfType(err, fault.Unreachable) {
		// The endpoint got nothing, or refused before it ran anything.
		attempt.Wrote, attempt.Refused = false, true
	}
	attempt.Deadline = f.retryDeadline()
	allowed, reason := f.handler.Router.AllowRetry(attempt)
	klog.V(1).Infof("request: %s failed at %s (%s); another attempt: %t, %s", f.ID, chosen.Endpoint, fault.Name(err), allowed, reason)
	return allowed
}

// retryDeadline is the moment after which another attempt can't help. A begun stream may be resumed at any time.
func (f *flow) retryDeadline() unit.Moment {
	if f.firstToken > 0 {
		return unit.Never
	}
	return f.deadline()
}

// brokeOff reports whether the connection ended in the middle, as it does when an engine crashes. An endpoint that is
// silent or answers wrongly hasn't crashed.
func brokeOff(err error) bool {
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

func readWhole(answer *dispatch.Answer) (*wholeAnswer, error) {
	if answer.TooLarge {
		return nil, fault.AnswerLost.New("the request ran; its answer was too large to be kept")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxWholeAnswer {
		return nil, fault.BrokenAnswer.New("the answer has more than %d bytes", maxWholeAnswer)
	}
	return &wholeAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// write sends the answer to the caller. An error here is the caller's connection.
func (a *wholeAnswer) write(w http.ResponseWriter) error {
	for name, values := range a.header {
		// The endpoint protocol's own headers are no caller's business, and the date is this host's.
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

// firstOf prefers the failure of an attempt to the lack of a further endpoint.
func firstOf(attempt, placing error) error {
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
