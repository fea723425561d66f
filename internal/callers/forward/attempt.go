package forward

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

const (
	// maxAnswerBytes is the largest answer body that is buffered before it is forwarded.
	maxAnswerBytes = 8 << 20
	// maxRefusalBytes and refusalReadTimeout limit how much of an endpoint's refusal is read, and for how long. It is read only
	// so that its connection can be reused: its text isn't used, and another endpoint may have room for the request.
	maxRefusalBytes, refusalReadTimeout = 64 << 10, 100 * time.Millisecond
	// bodyTimeShare is the share of the remaining time within which an answer must be complete if the request may still be sent to
	// another endpoint.
	bodyTimeShare = 0.5
	// callerWriteTimeout limits how long a buffered answer may take to be written to its caller, and how long a stream may still
	// be written after the request's deadline, so that a caller that doesn't read doesn't hold its connection for good.
	callerWriteTimeout = 10 * time.Second
	// maxLoggedParts limits the parts of a prompt in a log line.
	maxLoggedParts = 8
)

// errSilent cancels an attempt whose endpoint has sent nothing for too long or can't be reached any more. errReadTimeout cancels
// one whose answer doesn't end in time.
var (
	errSilent      = errors.New("the endpoint does not respond")
	errReadTimeout = errors.New("the answer did not end within its time limit")
)

// errDeadline is the cause with which the context of a request ends at the request's deadline, errStopping that before the host stops.
var (
	errDeadline = errors.New("the request's deadline has passed")
	errStopping = errors.New("the host is stopping")
)

// connectionHeaders apply to a single connection and aren't forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// attemptResult is the result of one attempt. Unless done is set, the caller hasn't received a complete answer yet.
type attemptResult struct {
	done   bool
	notRun bool // the endpoint certainly did not run the request
	err    error
}

// attempt sends the request to one endpoint and forwards its answer to the caller.
func (r *request) attempt(ctx context.Context, choice assign.Choice, flight *assign.Attempt) attemptResult {
	r.tried = append(r.tried, choice.Endpoint)
	attemptContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.watch(flight, cancel)
	defer r.unwatch(flight)
	answer, err := r.h.Pool.Send(attemptContext, r.endpointRequest(choice))
	if err != nil {
		return r.handleNoAnswer(ctx, attemptContext, choice, flight, err)
	}
	defer answer.Close()
	r.reachedEndpoint = true
	r.withAssigner(func(a *assign.Assigner) { a.Reached(r.h.Now(), choice.Endpoint) })
	r.applySignals(choice, flight, answer)
	if r.h.Wire.NotRun(answer.Status, answer.Header) {
		return r.handleRefusal(choice, flight, answer, cancel)
	}
	r.possibleRuns++
	if r.headSent && answer.Status != http.StatusOK {
		err := fault.BrokenAnswer.New("%s answered the resumed stream with status %d", choice.Endpoint, answer.Status)
		r.endAttempt(flight, choice, assign.EndedFailed, err)
		return attemptResult{err: err}
	}
	if r.headSent && !isEventStream(answer.Header) {
		err := fault.BrokenAnswer.New("%s answered the resumed stream with something else", choice.Endpoint)
		r.endAttempt(flight, choice, assign.EndedFailed, err)
		return attemptResult{err: err}
	}
	if answer.Status < http.StatusMultipleChoices && !r.h.Wire.FromEndpoint(answer.Header) {
		err := fault.BrokenAnswer.New("%s sent a success without the header that marks an endpoint's own answers", choice.Endpoint)
		r.endAttempt(flight, choice, assign.EndedBroken, err)
		return attemptResult{err: err}
	}
	if r.work.HasPrompt {
		if number, ok := r.h.Wire.Weights(answer.Header); ok {
			r.withAssigner(func(a *assign.Assigner) { a.LearnWeights(choice.Endpoint, r.work.Model, number) })
		}
	}
	if r.route.Kind == table.KindStream && answer.Status == http.StatusOK {
		return r.forwardStream(ctx, attemptContext, choice, flight, answer)
	}
	if r.route.Repeatable() && r.possibleRuns < r.route.MaxEndpoints {
		left := time.Duration(bodyTimeShare * float64(r.deadline.Sub(r.h.Now())))
		defer time.AfterFunc(left, func() { cancel(errReadTimeout) }).Stop()
	}
	return r.forwardWhole(ctx, attemptContext, choice, flight, answer)
}

// isEventStream reports whether a header says that the body is a stream of server-sent events.
func isEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

func (r *request) withAssigner(use func(*assign.Assigner)) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	use(r.h.assigner)
}

// watch registers the attempt so that Sweep can cancel it, unless the request couldn't be sent to another endpoint afterwards.
func (r *request) watch(flight *assign.Attempt, cancel context.CancelCauseFunc) {
	if flight == nil || !r.route.Repeatable() || r.possibleRuns+1 >= r.route.MaxEndpoints {
		return
	}
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	r.h.cancellable[flight] = cancellableAttempt{r.service.Name, cancel}
}

func (r *request) unwatch(flight *assign.Attempt) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	delete(r.h.cancellable, flight)
}

func (r *request) endpointRequest(choice assign.Choice) exchange.Request {
	order := RequestInfo{
		Request: r.call.ID, Endpoint: choice.Endpoint, TimeLeft: r.deadline.Sub(r.h.Now()), Prompted: r.work.HasPrompt, ResumeAfter: r.lastEventID,
	}
	if r.customer != nil {
		order.Customer = r.customer.Name
	}
	order.Priority = r.priority()
	if r.goesBeforeNew() {
		order.Priority--
	}
	if r.takesUp {
		order.Priority = max(order.Priority-1, 0) // the caller has waited for the stream before
	}
	if r.work.HasPrompt {
		order.Weights, order.FetchFrom, order.SaveTo = choice.Weights, choice.Source, choice.Save
		order.CacheKey = assign.CacheKey(choice.Weights, r.work.Scope)
	}
	header := r.call.Header.Clone()
	r.h.Wire.Encode(header, order)
	return exchange.Request{
		Endpoint: choice.Endpoint, Address: choice.Address, Method: r.call.Method, Target: r.call.Target, Host: r.call.Host,
		Header: header, Body: r.body, MaxConnections: r.h.Connections(r.service),
		Matches: func(h http.Header) bool { return r.h.Wire.AnswersRequest(h, r.call.ID) },
	}
}

// handleNoAnswer handles an attempt that failed before the head of an answer arrived.
func (r *request) handleNoAnswer(ctx, attempt context.Context, choice assign.Choice, flight *assign.Attempt, err error) attemptResult {
	full := errorx.IsOfType(err, fault.Overloaded)
	sent := !full && !errorx.IsOfType(err, fault.Unreachable)
	if sent {
		r.reachedEndpoint = true
		r.possibleRuns++
	}
	ending := r.failureEnding(ctx, attempt, sent)
	if full {
		ending = assign.EndedFull
	}
	r.endAttempt(flight, choice, ending, err)
	if r.callerLeft(ctx) {
		err = r.endCause(ctx)
	}
	return attemptResult{notRun: !sent, err: err}
}

// failureEnding classifies an attempt that got no complete answer by what that says about its endpoint.
func (r *request) failureEnding(ctx, attempt context.Context, sent bool) assign.Ending {
	switch {
	case r.callerLeft(ctx), context.Cause(ctx) == errStopping: //nolint:errorlint // compared with the cause that EndRequests sets
		return assign.EndedByCaller
	case ctx.Err() != nil, context.Cause(attempt) == errSilent: //nolint:errorlint // compared with the cause that Sweep sets
		return assign.EndedSilent
	case !sent:
		return assign.EndedUnreachable
	default:
		return assign.EndedBroken
	}
}

// callerLeft reports whether the request's context has ended because the caller disconnected, not because of the deadline or a stop.
func (r *request) callerLeft(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && cause != errDeadline && cause != errStopping && r.h.Now() < r.deadline //nolint:errorlint // compared with the causes that Serve and EndRequests set
}

// endCause returns why the request's context has ended: fault.CallerLeft, or fault.BrokenAnswer if the deadline has passed or the host is
// stopping.
func (r *request) endCause(ctx context.Context) error {
	if r.callerLeft(ctx) {
		return fault.CallerLeft.Wrap(ctx.Err(), "the caller disconnected")
	}
	return fault.BrokenAnswer.Wrap(context.Cause(ctx), "the answer didn't begin in time")
}

// endComplete records the end of an attempt with a complete answer.
func (r *request) endComplete(flight *assign.Attempt, choice assign.Choice, answer *exchange.Answer) {
	now := r.h.Now()
	r.withAssigner(func(a *assign.Assigner) {
		a.End(now, flight, assign.EndedComplete)
		r.placeFreed(now)
	})
	if answer.EndsWithConnection() {
		r.contentDigest() // computed here, since this goroutine may go on to use it
		go r.confirmServed(choice)
		return
	}
	r.recordServed(choice)
}

// endAttempt records and logs the end of an attempt without a complete answer.
func (r *request) endAttempt(flight *assign.Attempt, choice assign.Choice, ending assign.Ending, err error) {
	now := r.h.Now()
	r.withAssigner(func(a *assign.Assigner) {
		a.End(now, flight, ending)
		r.placeFreed(now)
	})
	if ending == assign.EndedUnreachable {
		r.unreachable++
		r.h.Pool.CloseIdle(choice.Endpoint)
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	attributes := []any{
		"request", string(r.call.ID), "endpoint", string(choice.Endpoint), "ending", ending.String(),
		"attempt", r.sends, "expected-ms", choice.Expected.Milliseconds(), "missing-tokens", int64(choice.Missing),
		"load-age-ms", choice.LoadAge.Milliseconds(), "weighed", choice.Considered, "cause", cause,
	}
	if ending.Unanswered() {
		attributes = append(attributes, "content", r.contentDigest().String(), "lifetime", choice.Born, "shared-parts", r.work.SharedParts(maxLoggedParts))
	}
	r.h.Log.Info("attempt-ended", attributes...)
	if ending.Unanswered() {
		r.recordBroken(choice, ending)
	}
}

// handleRefusal handles an answer which says that the endpoint did not run the request.
func (r *request) handleRefusal(choice assign.Choice, flight *assign.Attempt, answer *exchange.Answer, cancel context.CancelCauseFunc) attemptResult {
	limit := time.AfterFunc(refusalReadTimeout, func() { cancel(errReadTimeout) })
	_, _ = answer.ReadAll(maxRefusalBytes) // after an error the connection just isn't reused
	limit.Stop()
	ending := assign.EndedFull
	if r.h.Wire.Misdirected(answer.Status) {
		ending = assign.EndedMismatch
	}
	err := fault.Overloaded.New("%s refused the request with status %d", choice.Endpoint, answer.Status)
	r.endAttempt(flight, choice, ending, err)
	return attemptResult{notRun: true, err: err}
}

// forwardWhole reads an answer to its end before it forwards it, so that the request can be sent to another endpoint if the answer
// breaks off.
func (r *request) forwardWhole(ctx, attempt context.Context, choice assign.Choice, flight *assign.Attempt, answer *exchange.Answer) attemptResult {
	r.withAssigner(func(a *assign.Assigner) { a.Began(r.h.Now(), flight) })
	data, err := readWhole(answer, r.openMemory(string(choice.Endpoint)))
	if err != nil {
		r.endAttempt(flight, choice, r.failureEnding(ctx, attempt, true), err)
		return attemptResult{err: err}
	}
	result := &wholeAnswer{answer.Status, answer.Header, data}
	if answer.Status >= http.StatusInternalServerError {
		err := fault.BrokenAnswer.New("%s answered with status %d", choice.Endpoint, answer.Status)
		r.endAttempt(flight, choice, assign.EndedFailed, err)
		if impliesNotRun(answer.Status) {
			// This status would tell the caller that the request didn't run, which the endpoint hasn't confirmed.
			return attemptResult{err: err}
		}
		r.fallback = result
		return attemptResult{err: err}
	}
	r.endComplete(flight, choice, answer)
	if impliesNotRun(answer.Status) {
		return attemptResult{err: fault.BrokenAnswer.New("%s answered with status %d", choice.Endpoint, answer.Status)}
	}
	r.writeWhole(result)
	r.log("answered", nil)
	r.measure(unit.OutcomeDone, "")
	return attemptResult{done: true}
}

// impliesNotRun reports whether callers take a status to mean that their request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func (r *request) writeWhole(answer *wholeAnswer) {
	r.copyHeader(answer.header)
	r.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	defer r.limitWrites(callerWriteTimeout)()
	r.writeHead(answer.status)
	_, _ = r.w.Write(answer.body) // an error means that the caller has disconnected
}

func (r *request) copyHeader(from http.Header) {
	header := r.w.Header()
	for name, values := range from {
		if !slices.Contains(connectionHeaders, name) {
			header[name] = values
		}
	}
}

// forwardStream forwards the events of a stream as they arrive. If the stream breaks off, another endpoint may resume it after the
// last event that the caller has received.
func (r *request) forwardStream(ctx, attempt context.Context, choice assign.Choice, flight *assign.Attempt, answer *exchange.Answer) attemptResult {
	events := newRawEventReader(answer, r.openMemory(string(choice.Endpoint)))
	// The connection to the endpoint is closed at the request's deadline. The write deadline ends the caller's connection soon
	// after that if the caller doesn't read.
	defer r.limitWrites(max(r.deadline.Sub(r.h.Now()), 0) + callerWriteTimeout)()
	flusher := http.NewResponseController(r.w)
	for {
		raw, id, err := events.next()
		if err != nil && err != io.EOF { //nolint:errorlint // next returns io.EOF as it is
			r.endAttempt(flight, choice, r.failureEnding(ctx, attempt, true), err)
			if r.callerLeft(ctx) {
				err = r.endCause(ctx)
			}
			return attemptResult{err: err}
		}
		if !r.headSent {
			if err := r.awaitCorrection(ctx); err != nil {
				r.endAttempt(flight, choice, assign.EndedByCaller, err) // the endpoint isn't at fault
				return attemptResult{err: err}
			}
			r.copyHeader(answer.Header)
			r.writeHead(answer.Status)
			r.headSent = true
			r.work.Software = &choice.Software
			r.firstByte = r.h.Now()
			r.withAssigner(func(a *assign.Assigner) { a.Began(r.firstByte, flight) })
			r.unwatch(flight)
		}
		if err != nil {
			break
		}
		r.withAssigner(func(a *assign.Assigner) { a.RecordActivity(r.h.Now(), flight) })
		if r.alreadySent(id) {
			continue
		}
		if _, err := r.w.Write(raw); err != nil {
			r.endAttempt(flight, choice, assign.EndedByCaller, err)
			return attemptResult{err: fault.CallerLeft.Wrap(err, "the caller disconnected")}
		}
		if err := flusher.Flush(); err != nil {
			r.endAttempt(flight, choice, assign.EndedByCaller, err)
			return attemptResult{err: fault.CallerLeft.Wrap(err, "the caller disconnected")}
		}
		if len(id) > 0 {
			r.lastEventID = string(id)
		}
	}
	r.endComplete(flight, choice, answer)
	r.log("answered", nil)
	r.measure(unit.OutcomeDone, "")
	return attemptResult{done: true}
}

// alreadySent reports whether the caller has already received the event with this id.
func (r *request) alreadySent(id []byte) bool {
	if len(id) == 0 || r.lastEventID == "" {
		return false
	}
	number, err := strconv.ParseUint(string(id), 10, 64)
	last, lastErr := strconv.ParseUint(r.lastEventID, 10, 64)
	return err == nil && lastErr == nil && number <= last
}
