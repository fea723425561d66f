package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/admission/retryafter"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/meter"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// maxLoggedBytes limits a value that a caller sent in a log line.
const maxLoggedBytes = 64

// log logs the outcome of a request and the values on which it was decided.
func (r *request) log(outcome string, err error) {
	attributes := []any{
		"request", string(r.call.ID), "outcome", outcome, "ms", r.h.Now().Sub(r.call.Arrived).Milliseconds(), "sends", r.sends, "may-have-run", r.possibleRuns,
	}
	if r.table != nil {
		attributes = append(attributes, "table-version", uint64(r.table.Version))
	}
	if r.route != nil {
		attributes = append(attributes, "route", r.route.Name)
	}
	if r.customer != nil {
		attributes = append(attributes, "customer", string(r.customer.Name))
	}
	if len(r.tried) > 0 {
		attributes = append(attributes, "endpoints", r.tried)
	}
	if r.relayedBy != "" {
		attributes = append(attributes, "relayed-by", string(r.relayedBy))
	}
	if r.call.Relayed != nil {
		attributes = append(attributes, "relayed-from", string(r.call.Relayed.From))
	}
	if r.route != nil && r.route.Kind == table.KindStream && r.lastChoice != nil {
		attributes = append(attributes, "software", string(r.lastChoice.Software))
	}
	if r.call.ResumeAfter != "" {
		attributes = append(attributes, "resume-after", clip(r.call.ResumeAfter), "resumes", clip(string(r.call.Resumes)))
		if r.takesUp {
			attributes = append(attributes, "began-at", string(*r.work.Software))
		}
	}
	if r.headSent {
		attributes = append(attributes, "first-byte-ms", r.firstByte.Sub(r.call.Arrived).Milliseconds())
	}
	if c := r.lastChoice; c != nil && (r.work.HasPrompt || outcome == "refused") {
		attributes = append(attributes, "endpoint", string(c.Endpoint), "expected-ms", c.Expected.Milliseconds(), "waiting-ms", c.QueueTime.Milliseconds(),
			"weights", uint64(c.Weights), "missing-tokens", int64(c.Missing), "again-tokens", int64(c.Recomputed), "source", c.Source, "save", c.Save != "",
			"weighed", c.Considered, "paused", c.Paused, "limited", c.Limited, "load-age-ms", c.LoadAge.Milliseconds())
	}
	if c := r.lastChoice; c != nil && r.work.Gathering != table.GatherNone {
		attributes = append(attributes, "in-stream-group", c.InGroup, "endpoint-time-factor", c.TimeFactor)
	}
	attributes = append(attributes, r.roomAttributes()...)
	if c := r.lastChoice; c != nil && c.Limit.InForce() {
		attributes = append(attributes, "limit-per-second", c.Limit.PerSecond, "limit-version", c.Limit.Version)
	}
	if r.usageRefusal != nil {
		attributes = append(attributes, r.usageRefusal.attributes()...)
	}
	if r.retryAfter > 0 {
		attributes = append(attributes, "retry-after-ms", r.retryAfter.Milliseconds(), "came-back", r.work.PreviouslyRefused)
	}
	if err != nil {
		attributes = append(attributes, "cause", err.Error())
	}
	r.h.Log.Info("request-ended", attributes...)
}

// clip limits a value that a caller sent to its first maxLoggedBytes bytes.
func clip(value string) string {
	return value[:min(len(value), maxLoggedBytes)]
}

// measure adds the request to the counters and latency histograms.
func (r *request) measure(outcome unit.Outcome, code string) {
	sample := meter.Sample{
		Class: "none", Target: "none", Outcome: outcome, Code: code, Total: r.h.Now().Sub(r.call.Arrived), Attempts: r.sends,
		PromptTokens: r.work.Prompt,
	}
	if r.route != nil {
		sample.Class = unit.ClassName("priority-" + strconv.Itoa(r.priority()))
	}
	if r.service != nil {
		sample.Target = string(r.service.Name)
	}
	if r.customer != nil {
		sample.Customer = r.customer.Name
	}
	if r.headSent {
		sample.FirstToken = r.firstByte.Sub(r.call.Arrived)
	}
	r.h.Meter.Observe(sample)
}

// fail ends a request that no endpoint has answered completely. If a part of a stream has been forwarded, it aborts the caller's
// connection, so that the caller doesn't take the stream for complete.
func (r *request) fail(ctx context.Context, err error) {
	switch {
	case r.headSent:
		r.log("broken", err)
		r.measure(unit.OutcomeUnknown, "broken")
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && errorx.IsOfType(err, fault.CallerLeft):
		r.returnUsage()
		r.log("caller-left", err)
		r.measure(unit.OutcomeUnknown, fault.Name(err))
	case r.fallback != nil:
		r.writeWhole(r.fallback)
		r.log("failed-by-endpoint", err)
		r.measure(unit.OutcomeDone, "failed-by-endpoint")
	case r.possibleRuns > 0:
		status := http.StatusBadGateway
		if r.h.Now() >= r.deadline {
			status = http.StatusGatewayTimeout
		}
		r.log("failed", err)
		r.measure(unit.OutcomeUnknown, fault.Name(err))
		r.writeText(status, err)
	default:
		r.refuse(err)
	}
}

// refuse answers a request that did not run.
func (r *request) refuse(err error) {
	r.returnUsage()
	status := http.StatusServiceUnavailable
	switch {
	case errorx.IsOfType(err, fault.OverLimit):
		status = http.StatusTooManyRequests
	case errorx.IsOfType(err, fault.NotFound):
		status = http.StatusNotFound
	case errorx.IsOfType(err, fault.Unauthenticated):
		status = http.StatusUnauthorized
	case errorx.IsOfType(err, fault.BadInput):
		status = http.StatusBadRequest
	case errorx.IsOfType(err, fault.TooLarge):
		status = http.StatusRequestEntityTooLarge
	case errorx.IsOfType(err, fault.BodyTimeout):
		status = http.StatusRequestTimeout
	case errorx.IsOfType(err, fault.CallerLeft):
		r.log("caller-left", err)
		return
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		room, _ := fault.RetryAfterOf(err) // 0 if unknown
		r.retryAfter = room
		if !errorx.IsOfType(err, fault.Quarantined) && !errorx.IsOfType(err, fault.Unresumable) {
			r.retryAfter = retryafter.Refusal{UntilCapacity: room, Remaining: r.timeLeft(), Draw: rand.Float64()}.After()
		}
		r.w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	r.log("refused", err)
	r.measure(unit.OutcomeNotRun, fault.Name(err))
	r.writeText(status, err)
}

// refuseStopping refuses a request that came after StopAccepting.
func (r *request) refuseStopping() {
	err := fault.Stopping.New("this host is about to stop")
	if r.call.Relayed != nil {
		r.decline(err)
		return
	}
	r.refuse(err)
}

// timeLeft returns how much longer the caller waits.
func (r *request) timeLeft() time.Duration {
	timeout := r.call.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return max(0, timeout-r.h.Now().Sub(r.call.Arrived))
}

// writeHead sends the status and the header of the answer.
func (r *request) writeHead(status int) {
	r.answered = true
	r.w.WriteHeader(status)
}

func (r *request) writeText(status int, err error) {
	text := fault.Name(err) + "\n"
	header := r.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	r.writeHead(status)
	_, _ = r.w.Write([]byte(text)) // an error means that the caller has disconnected
}
