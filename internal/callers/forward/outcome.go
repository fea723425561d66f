package forward

import (
	"strconv"

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
	if c := r.lastChoice; c != nil && c.Limit.InForce() {
		attributes = append(attributes, "limit-per-second", c.Limit.PerSecond, "limit-version", c.Limit.Version)
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
