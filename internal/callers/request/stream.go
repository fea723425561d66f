package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/dispatch"
	"github.com/citronglade/citronglade/internal/callers/stream"
	"github.com/citronglade/citronglade/internal/routing/retry"
)

// callerWriteTimeout is how long a caller may take to read one chunk. After that the stream is cancelled, because it
// occupies a slot of an engine.
const callerWriteTimeout = 30 * time.Second

// callerStream is the caller's side of a streamed answer.
type callerStream struct {
	writer     http.ResponseWriter
	encoder    *stream.Encoder
	controller *http.ResponseController
	headerSent bool
}

func newCallerStream(w http.ResponseWriter) *callerStream {
	controller := http.NewResponseController(w)
	return &callerStream{writer: w, encoder: stream.NewEncoder(w, controller.Flush), controller: controller}
}

// forward sends one chunk to the caller. It sends the header with the first chunk, so that a failure before that can still
// be answered with an error status.
func (c *callerStream) forward(chunk stream.Chunk) error {
	if !c.headerSent {
		c.headerSent = true
		c.writer.Header().Set("Content-Type", "text/event-stream")
		c.writer.Header().Set("Cache-Control", "no-cache")
		c.writer.WriteHeader(http.StatusOK)
	}
	// The error is ignored: writers without deadlines, such as httptest.ResponseRecorder, are only slower to detect a caller
	// that doesn't read.
	_ = c.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if err := c.encoder.Chunk(chunk); err != nil {
		return fault.CallerLeft.Wrap(err, "the caller left during its stream")
	}
	return nil
}

// serveStream forwards a streamed answer. When an attempt breaks off, the stream is resumed on another endpoint with the
// same weights; a stream that can't be completed ends with an error event.
func (e *execution) serveStream(ctx context.Context, w http.ResponseWriter) error {
	caller := newCallerStream(w)
	merger := stream.New(0)
	var last error
	for {
		if err := e.placeAttempt(); err != nil {
			return e.endStream(caller, preferAttemptError(last, err))
		}
		wrote, err := e.attemptStream(ctx, merger, caller, w)
		if err == nil {
			return nil
		}
		_, resumable := merger.Resume()
		next := retry.Attempt{Wrote: wrote, Delivered: caller.headerSent, Resumable: resumable}
		if !e.mayRetry(ctx, next, err) {
			return e.endStream(caller, err)
		}
		last = err
	}
}

// attemptStream makes one attempt and forwards its chunks. It reports whether a byte of the request may have been sent.
func (e *execution) attemptStream(ctx context.Context, merger *stream.Merger, caller *callerStream, w http.ResponseWriter) (wrote bool, err error) {
	defer e.handler.Router.EndAttempt(e.chosen)
	from, _ := merger.Resume()
	if err := merger.Begin(e.attempt); err != nil {
		return false, err
	}
	answer, err := e.send(ctx, from)
	if err != nil {
		e.reportResult(ctx, answer, answer.Elapsed, err)
		e.recordAttempt(answer.Wrote, answer.Status, err)
		return answer.Wrote, err
	}
	defer func() { _ = answer.Body.Close() }()
	e.reportResult(ctx, answer, answer.Elapsed, nil)
	e.status = answer.Status
	if answer.Status != http.StatusOK {
		err = e.forwardErrorAnswer(answer, caller, w)
	} else {
		software := e.chosen.Endpoint.Software
		e.weights, e.software = answer.Weights, &software
		err = e.forwardEvents(answer, merger, caller)
		if err == nil {
			err = wrapCallerLeft(caller.encoder.Done())
		}
	}
	if ctx.Err() != nil && err != nil {
		err = fault.CallerLeft.Wrap(err, "the caller left during its stream")
	}
	if err != nil {
		e.reportResult(ctx, answer, answer.Elapsed, err)
	} else {
		e.handler.Router.RecordSuccess(e.content, e.parts())
	}
	e.recordAttempt(answer.Wrote, answer.Status, err)
	return answer.Wrote, err
}

// forwardEvents forwards the events of one attempt until the stream ends.
func (e *execution) forwardEvents(answer *dispatch.Answer, merger *stream.Merger, caller *callerStream) error {
	reader := stream.NewEventReader(answer.Body, 0)
	shape := stream.Completions
	if strings.HasSuffix(e.Operation, "/chat/completions") {
		shape = stream.Chat
	}
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) || (err == nil && event.IsDone()) {
			return merger.End(e.attempt)
		}
		if err != nil {
			return err
		}
		chunk, err := stream.Parse(shape, e.attempt, event.Data)
		if err != nil {
			return err
		}
		forward, err := merger.Add(chunk)
		if err != nil {
			return err
		}
		if !forward {
			continue
		}
		e.markFirstToken()
		if err := caller.forward(chunk); err != nil {
			return err
		}
	}
}

// forwardErrorAnswer forwards an endpoint's answer with another status than 200, such as a rejected parameter. A 5xx
// status, and any status after the stream has begun, is returned as fault.BrokenAnswer.
func (e *execution) forwardErrorAnswer(answer *dispatch.Answer, caller *callerStream, w http.ResponseWriter) error {
	if caller.headerSent {
		return fault.BrokenAnswer.New("the endpoint answered status %d in the middle of a stream", answer.Status)
	}
	buffered, err := bufferAnswer(answer)
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusInternalServerError {
		return fault.BrokenAnswer.New("the endpoint answered status %d", answer.Status)
	}
	return buffered.write(w)
}

// endStream ends a stream that can't be completed with an error event. Before the first chunk it only returns err, which is
// then answered with an error status.
func (e *execution) endStream(caller *callerStream, err error) error {
	if !caller.headerSent || e.isCallerLeft(err) {
		return err
	}
	_ = caller.encoder.Error(stream.Failure{
		Message: "the stream broke and can't be completed", Type: "server_error", Code: fault.Name(err),
		Outcome: unit.Outcome(fault.Outcome(err)), Request: e.ID,
	})
	return err
}

func wrapCallerLeft(err error) error {
	if err != nil {
		return fault.CallerLeft.Wrap(err, "the caller left during its stream")
	}
	return nil
}
