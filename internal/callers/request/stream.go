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

// slowCaller is how long a caller may take to read one chunk. Beyond it the stream is given up, because it holds a slot of
// an engine.
const slowCaller = 30 * time.Second

// callerStream is the caller's side of a streamed answer.
type callerStream struct {
	writer  http.ResponseWriter
	encoder *stream.Encoder
	control *http.ResponseController
	begun   bool
}

func newCallerStream(w http.ResponseWriter) *callerStream {
	controller := http.NewResponseController(w)
	return &callerStream{writer: w, encoder: stream.NewEncoder(w, controller.Flush), control: controller}
}

// forward sends one chunk. The header goes out with the first one, so that an earlier failure can still get a status of
// its own.
func (c *callerStream) forward(chunk stream.Chunk) error {
	if !c.begun {
		c.begun = true
		c.writer.Header().Set("Content-Type", "text/event-stream")
		c.writer.Header().Set("Cache-Control", "no-cache")
		c.writer.WriteHeader(http.StatusOK)
	}
	// A test's recorder has no deadlines; a connection without one is only slower to notice a caller that doesn't read.
	_ = c.control.SetWriteDeadline(time.Now().Add(slowCaller))
	if err := c.encoder.Chunk(chunk); err != nil {
		return fault.CallerLeft.Wrap(err, "the caller left during its stream")
	}
	return nil
}

// serveStream forwards a streamed answer. A broken attempt is resumed on another endpoint of the same weights; a stream
// that can't be completed ends with an error event.
func (f *flow) serveStream(ctx context.Context, w http.ResponseWriter) error {
	caller := newCallerStream(w)
	merger := stream.New(0)
	var last error
	for {
		if err := f.place(); err != nil {
			return f.endStream(caller, firstOf(last, err))
		}
		wrote, err := f.attemptStream(ctx, merger, caller, w)
		if err == nil {
			return nil
		}
		_, resumable := merger.Resume()
		next := retry.Attempt{Wrote: wrote, Delivered: caller.begun, Resumable: resumable}
		if !f.mayRetry(ctx, next, err) {
			return f.endStream(caller, err)
		}
		last = err
	}
}

// attemptStream makes one attempt and forwards its chunks.
func (f *flow) attemptStream(ctx context.Context, merger *stream.Merger, caller *callerStream, w http.ResponseWriter) (wrote bool, err error) {
	defer f.handler.Router.Ended(f.chosen)
	from, _ := merger.Resume()
	if err := merger.Begin(f.attempt); err != nil {
		return false, err
	}
	answer, err := f.send(ctx, from)
	if err != nil {
		f.learn(ctx, answer, answer.Elapsed, err)
		f.recordAttempt(answer.Wrote, answer.Status, err)
		return answer.Wrote, err
	}
	defer func() { _ = answer.Body.Close() }()
	f.learn(ctx, answer, answer.Elapsed, nil)
	f.status = answer.Status
	if answer.Status != http.StatusOK {
		err = f.passError(answer, caller, w)
	} else {
		f.weights = answer.Weights
		err = f.pump(answer, merger, caller)
		if err == nil {
			err = callerError(caller.encoder.Done())
		}
	}
	if ctx.Err() != nil && err != nil {
		err = fault.CallerLeft.Wrap(err, "the caller left during its stream")
	}
	if err != nil {
		f.learn(ctx, answer, answer.Elapsed, err)
	} else {
		f.handler.Router.Served(f.content)
	}
	f.recordAttempt(answer.Wrote, answer.Status, err)
	return answer.Wrote, err
}

// pump forwards the events of one attempt until its end.
func (f *flow) pump(answer *dispatch.Answer, merger *stream.Merger, caller *callerStream) error {
	reader := stream.NewEventReader(answer.Body, 0)
	shape := stream.Completions
	if strings.HasSuffix(f.Operation, "/chat/completions") {
		shape = stream.Chat
	}
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) || (err == nil && event.IsDone()) {
			return merger.End(f.attempt)
		}
		if err != nil {
			return err
		}
		chunk, err := stream.Parse(shape, f.attempt, event.Data)
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
		f.noteFirstToken()
		if err := caller.forward(chunk); err != nil {
			return err
		}
	}
}

// passError forwards an endpoint's own error answer, such as a refused parameter.
func (f *flow) passError(answer *dispatch.Answer, caller *callerStream, w http.ResponseWriter) error {
	if caller.begun {
		return fault.BrokenAnswer.New("the endpoint answered status %d in the middle of a stream", answer.Status)
	}
	whole, err := readWhole(answer)
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusInternalServerError {
		return fault.BrokenAnswer.New("the endpoint answered status %d", answer.Status)
	}
	return whole.write(w)
}

// endStream ends a stream that can't be completed. Before its first chunk the failure is returned and gets a status.
func (f *flow) endStream(caller *callerStream, err error) error {
	if !caller.begun || f.callerLeft(err) {
		return err
	}
	_ = caller.encoder.Error(stream.Failure{
		Message: "the stream broke and can't be completed", Type: "server_error", Code: fault.Name(err),
		Outcome: unit.Outcome(fault.Outcome(err)), Request: f.ID,
	})
	return err
}

func callerError(err error) error {
	if err != nil {
		return fault.CallerLeft.Wrap(err, "the caller left during its stream")
	}
	return nil
}
