package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
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
	// maxAnswerBytes bounds an answer that is read whole before it is passed on.
	maxAnswerBytes = 8 << 20
	// maxRefusalBytes and refusalTime bound what is read of an endpoint's refusal, so that its connection can be kept. A refusal's
	// text decides nothing, and another endpoint may have room.
	maxRefusalBytes, refusalTime = 64 << 10, 100 * time.Millisecond
	// bodyShare is the part of the time left within which an answer must be whole where another endpoint may be asked instead.
	bodyShare = 0.5
	// callerTime is how long a caller may take nothing of an answer that is ready before its connection is given up.
	callerTime = 10 * time.Second
)

// errSilent cancels an attempt whose endpoint sends nothing, and errEndless one whose endpoint comes to no end.
var (
	errSilent  = errors.New("the endpoint is silent")
	errEndless = errors.New("the answer comes to no end")
)

// connectionHeaders concern one connection and aren't passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// attemptResult says what an attempt came to. Unless done, the caller has no final answer yet.
type attemptResult struct {
	done   bool
	notRun bool // the endpoint certainly did not run the request
	err    error
}

// attempt sends the request to one endpoint and passes the answer on.
func (r *request) attempt(ctx context.Context, choice assign.Choice, flight *assign.Flight) attemptResult {
	r.tried = append(r.tried, choice.Endpoint)
	attemptContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.watch(flight, cancel)
	defer r.unwatch(flight)
	answer, err := r.h.Pool.Send(attemptContext, r.outgoing(choice))
	if err != nil {
		return r.unanswered(ctx, attemptContext, choice, flight, err)
	}
	defer answer.Close()
	r.arrived = true
	r.heed(choice, answer)
	if r.h.Wire.NotRun(answer.Status, answer.Header) {
		return r.notRun(choice, flight, answer, cancel)
	}
	r.ran++
	if r.headSent && answer.Status != http.StatusOK {
		err := fault.BrokenAnswer.New("%s answered the resumed stream with status %d", choice.Endpoint, answer.Status)
		r.end(flight, choice, assign.EndedFailed, err)
		return attemptResult{err: err}
	}
	if answer.Status < http.StatusMultipleChoices && !r.h.Wire.Genuine(answer.Header) {
		err := fault.BrokenAnswer.New("%s sent a success without its mark", choice.Endpoint)
		r.end(flight, choice, assign.EndedBroken, err)
		return attemptResult{err: err}
	}
	if r.work.Prompted {
		if number, ok := r.h.Wire.Weights(answer.Header); ok {
			r.withAssigner(func(a *assign.Assigner) { a.LearnWeights(choice.Endpoint, r.work.Model, number) })
		}
	}
	if r.route.Kind == table.KindStream && answer.Status == http.StatusOK {
		return r.stream(ctx, attemptContext, choice, flight, answer)
	}
	if r.route.Repeatable() && r.ran < r.route.MaxEndpoints {
		left := time.Duration(bodyShare * float64(r.deadline.Sub(r.h.Now())))
		defer time.AfterFunc(left, func() { cancel(errEndless) }).Stop()
	}
	return r.whole(ctx, attemptContext, choice, flight, answer)
}

func (r *request) withAssigner(use func(*assign.Assigner)) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	use(r.h.assigner)
}

// watch lets Sweep cancel the attempt, if it can be made elsewhere afterwards.
func (r *request) watch(flight *assign.Flight, cancel context.CancelCauseFunc) {
	if flight == nil || !r.route.Repeatable() || r.ran+1 >= r.route.MaxEndpoints {
		return
	}
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	r.h.watched[flight] = watchedAttempt{r.service.Name, cancel}
}

func (r *request) unwatch(flight *assign.Flight) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	delete(r.h.watched, flight)
}

func (r *request) outgoing(choice assign.Choice) exchange.Request {
	order := Order{
		Request: r.call.ID, Endpoint: choice.Endpoint, Left: r.deadline.Sub(r.h.Now()), Prompted: r.work.Prompted, ResumeAfter: r.lastID,
	}
	if r.customer != nil {
		order.Customer = r.customer.Name
	}
	order.Priority = r.priority()
	if r.work.Prompted {
		order.Weights, order.Source, order.Save = choice.Weights, choice.Source, choice.Save
		order.CacheKey = assign.CacheKey(choice.Weights, r.work.Wall)
	}
	header := r.call.Header.Clone()
	r.h.Wire.Encode(header, order)
	return exchange.Request{
		Endpoint: choice.Endpoint, Address: choice.Address, Method: r.call.Method, Target: r.call.Target, Host: r.call.Host,
		Header: header, Body: r.body, MaxConnections: r.h.Connections(r.service),
		Matches: func(h http.Header) bool { return r.h.Wire.Answers(h, r.call.ID) },
	}
}

// unanswered handles an attempt that ended before the head of an answer.
func (r *request) unanswered(ctx, attempt context.Context, choice assign.Choice, flight *assign.Flight, err error) attemptResult {
	full := errorx.IsOfType(err, fault.Overloaded)
	sent := !full && !errorx.IsOfType(err, fault.Unreachable)
	if sent {
		r.arrived = true
		r.ran++
	}
	ending := r.ending(ctx, attempt, sent)
	if full {
		ending = assign.EndedFull
	}
	r.end(flight, choice, ending, err)
	if ctx.Err() != nil && !r.expired() {
		err = fault.CallerLeft.New("the caller left")
	}
	return attemptResult{notRun: !sent, err: err}
}

// ending says what an attempt without a whole answer tells about its endpoint.
func (r *request) ending(ctx, attempt context.Context, sent bool) assign.Ending {
	switch {
	case ctx.Err() != nil && !r.expired():
		return assign.EndedByCaller
	case ctx.Err() != nil, context.Cause(attempt) == errSilent: //nolint:errorlint // compared with the cause that Sweep sets
		return assign.EndedSilent
	case !sent:
		return assign.EndedUnreachable
	default:
		return assign.EndedBroken
	}
}

func (r *request) expired() bool {
	return r.h.Now() >= r.deadline
}

// end notes the end of an attempt and logs it unless it went well.
func (r *request) end(flight *assign.Flight, choice assign.Choice, ending assign.Ending, err error) {
	r.h.mu.Lock()
	r.h.assigner.End(r.h.Now(), flight, ending)
	r.h.mu.Unlock()
	if ending == assign.EndedWell {
		r.served()
		return
	}
	if ending == assign.EndedUnreachable {
		r.h.Pool.Forget(choice.Endpoint)
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	attributes := []any{
		"request", string(r.call.ID), "endpoint", string(choice.Endpoint), "ending", ending.String(),
		"attempt", r.sends, "expected-ms", choice.Expected.Milliseconds(), "missing-tokens", int64(choice.Missing),
		"load-age-ms", choice.LoadAge.Milliseconds(), "weighed", choice.Others, "cause", cause,
	}
	if ending.Unanswered() {
		attributes = append(attributes, "content", r.content().String(), "lifetime", choice.Born)
	}
	r.h.Log.Info("attempt-ended", attributes...)
	if ending.Unanswered() {
		r.broke(choice, ending)
	}
}

// notRun handles an endpoint that refused the request.
func (r *request) notRun(choice assign.Choice, flight *assign.Flight, answer *exchange.Answer, cancel context.CancelCauseFunc) attemptResult {
	limit := time.AfterFunc(refusalTime, func() { cancel(errEndless) })
	_, _ = answer.All(maxRefusalBytes) // a failure only costs the connection
	limit.Stop()
	ending := assign.EndedFull
	if r.h.Wire.Elsewhere(answer.Status) {
		ending = assign.EndedElsewhere
	}
	err := fault.Overloaded.New("%s refused the request with status %d", choice.Endpoint, answer.Status)
	r.end(flight, choice, ending, err)
	return attemptResult{notRun: true, err: err}
}

// whole reads an answer to its end before it is passed on, so that a broken one can be replaced.
func (r *request) whole(ctx, attempt context.Context, choice assign.Choice, flight *assign.Flight, answer *exchange.Answer) attemptResult {
	r.withAssigner(func(a *assign.Assigner) { a.Began(r.h.Now(), flight) })
	data, err := r.readWhole(answer)
	if err != nil {
		r.end(flight, choice, r.ending(ctx, attempt, true), err)
		return attemptResult{err: err}
	}
	result := &wholeAnswer{answer.Status, answer.Header, data}
	if answer.Status >= http.StatusInternalServerError {
		err := fault.BrokenAnswer.New("%s answered with status %d", choice.Endpoint, answer.Status)
		r.end(flight, choice, assign.EndedFailed, err)
		if promises(answer.Status) {
			// The endpoint doesn't say that the request didn't run, so the caller must not be told that it didn't.
			return attemptResult{err: err}
		}
		r.kept = result
		return attemptResult{err: err}
	}
	r.end(flight, choice, assign.EndedWell, nil)
	if promises(answer.Status) {
		return attemptResult{err: fault.BrokenAnswer.New("%s answered with status %d", choice.Endpoint, answer.Status)}
	}
	r.writeWhole(result)
	r.log("answered", nil)
	r.measure(unit.OutcomeDone, "")
	return attemptResult{done: true}
}

// promises reports whether a status tells a caller that its request did not run.
func promises(status int) bool {
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
	defer r.limitCaller(callerTime)()
	r.w.WriteHeader(answer.status)
	_, _ = r.w.Write(answer.body) // a caller that has left can't be told anything
}

func (r *request) copyHeader(from http.Header) {
	header := r.w.Header()
	for name, values := range from {
		header[name] = values
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}

// stream passes events on as they come. When the endpoint breaks off, the stream may go on at another one after the last
// event that the caller has.
func (r *request) stream(ctx, attempt context.Context, choice assign.Choice, flight *assign.Flight, answer *exchange.Answer) attemptResult {
	events := newRawEvents(answer, r.hold)
	// The endpoint's connection ends with the request's time, and so does the caller's if the caller doesn't read.
	defer r.limitCaller(max(r.deadline.Sub(r.h.Now()), 0) + callerTime)()
	flusher := http.NewResponseController(r.w)
	for {
		raw, id, err := events.next()
		if err != nil && err != io.EOF { //nolint:errorlint // next returns io.EOF as it is
			r.end(flight, choice, r.ending(ctx, attempt, true), err)
			if ctx.Err() != nil && !r.expired() {
				err = fault.CallerLeft.New("the caller left")
			}
			return attemptResult{err: err}
		}
		if !r.headSent {
			r.copyHeader(answer.Header)
			r.w.WriteHeader(answer.Status)
			r.headSent = true
			r.firstByte = r.h.Now()
			r.withAssigner(func(a *assign.Assigner) { a.Began(r.firstByte, flight) })
			r.unwatch(flight)
		}
		if err != nil {
			break
		}
		r.withAssigner(func(a *assign.Assigner) { a.Heard(r.h.Now(), flight) })
		if r.repeats(id) {
			continue
		}
		if _, err := r.w.Write(raw); err != nil {
			r.end(flight, choice, assign.EndedByCaller, err)
			return attemptResult{err: fault.CallerLeft.Wrap(err, "the caller left")}
		}
		if err := flusher.Flush(); err != nil {
			r.end(flight, choice, assign.EndedByCaller, err)
			return attemptResult{err: fault.CallerLeft.Wrap(err, "the caller left")}
		}
		if len(id) > 0 {
			r.lastID = string(id)
		}
	}
	r.end(flight, choice, assign.EndedWell, nil)
	r.log("answered", nil)
	r.measure(unit.OutcomeDone, "")
	return attemptResult{done: true}
}

// repeats reports whether the caller has the event already.
func (r *request) repeats(id []byte) bool {
	if len(id) == 0 || r.lastID == "" {
		return false
	}
	number, err := strconv.ParseUint(string(id), 10, 64)
	last, lastErr := strconv.ParseUint(r.lastID, 10, 64)
	return err == nil && lastErr == nil && number <= last
}
