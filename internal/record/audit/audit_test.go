package audit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/chain"
)

var testSheet = Sheet{
	Digest: "sheet-1",
	Match: func(_ unit.CustomerID, target, _ string) (Rule, bool) {
		switch target {
		case "taalmodel":
			return Rule{Row: 4, Class: "matching", Urgency: 1, Repeat: "idempotent"}, true
		case "koppel-app":
			return Rule{Row: 7, Class: "confirming", Urgency: 0, Repeat: "once-only"}, true
		}
		return Rule{}, false
	},
	Limit: func(unit.CustomerID) (float64, bool) { return 2.5, true },
}

// testHost writes the entries of one host's incarnation. If change is set, it edits each entry before it is chained.
type testHost struct {
	*chain.Writer
	at      int64
	change  func(e *chain.Entry)
	entries []chain.Entry
}

func newHost(name unit.HostName, incarnation unit.Incarnation) *testHost {
	return &testHost{Writer: chain.New(name, incarnation, chain.DefaultLimits()), at: 1_764_000_000_000}
}

func (h *testHost) add(e chain.Entry) {
	h.at += 40
	e.AtUnixMilli = h.at
	if h.change != nil {
		h.change(&e)
	}
	h.entries = append(h.entries, h.Append(e))
}

func (h *testHost) decide(request unit.RequestID, target string) {
	rule, _ := testSheet.Match("", target, "")
	e := chain.Entry{
		Kind: chain.KindDecision, Request: request, Customer: "intake-utrecht", Target: target, Operation: "/pair",
		ConfigurationVersion: 3, SheetDigest: testSheet.Digest, Row: rule.Row, Class: rule.Class, Urgency: rule.Urgency,
		Limit: 2.5, Repeat: rule.Repeat, Chosen: "e1", Reason: "lowest expected time",
		Candidates: []chain.Candidate{
			{Endpoint: "e1", CachedPieces: 9, Expected: 30 * time.Millisecond, QueueWait: 10 * time.Millisecond, Home: true},
			{Endpoint: "e2", Expected: 90 * time.Millisecond, Prefill: 90 * time.Millisecond},
		},
	}
	if rule.Repeat == repeatOnceOnly {
		e.KeyDigest = "key of " + string(request)
	}
	h.add(e)
}

func (h *testHost) attempt(request unit.RequestID, number int, wrote bool, status int, outcome unit.Outcome) {
	h.add(chain.Entry{
		Kind: chain.KindAttempt, Request: request, Attempt: number, Chosen: "e1", Wrote: wrote, Status: status, Outcome: outcome,
	})
}

func (h *testHost) final(request unit.RequestID, outcome unit.Outcome) {
	h.add(chain.Entry{Kind: chain.KindFinal, Request: request, Outcome: outcome, Status: 200})
}

// recordSoundEntries records entries without a problem: an idempotent request that is sent again, a once-only request whose
// first two attempts didn't run it, a refusal and a request that is still running.
func (h *testHost) recordSoundEntries() {
	h.decide("r1", "taalmodel")
	h.attempt("r1", 1, true, 0, unit.OutcomeUnknown)
	h.attempt("r1", 2, true, 200, unit.OutcomeDone)
	h.final("r1", unit.OutcomeDone)
	h.decide("r2", "koppel-app")
	h.attempt("r2", 1, false, 0, unit.OutcomeNotRun)
	h.attempt("r2", 2, true, 409, unit.OutcomeNotRun)
	h.attempt("r2", 3, true, 200, unit.OutcomeDone)
	h.final("r2", unit.OutcomeDone)
	h.add(chain.Entry{Kind: chain.KindRefused, Outcome: unit.OutcomeNotRun, Reason: "no token"})
	h.decide("r3", "taalmodel")
}

// Guards against an audit that reports problems of a correct record.
func TestSoundRecordIsClean(t *testing.T) {
	h := newHost("h", 1)
	h.recordSoundEntries()
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(h.entries), func(i, j int) {
		h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	})
	report := Verify(append(h.entries, h.entries[:3]...), testSheet)
	assert.Assert(t, report.Clean(), "%s", report)
	assert.Equal(t, report.Entries, 11)
	assert.Equal(t, report.Requests, 3)
	assert.Equal(t, report.InFlight, 1)
	assert.DeepEqual(t, report.Heads, []Head{{"h", 1, 11, h.End().Hash}})
}

// Guards against tampering or a wrong decision that the audit doesn't find or reports as another kind.
func TestAuditFindsEachProblem(t *testing.T) {
	alter := func(sequence int, change func(e *chain.Entry)) func(*testHost) []chain.Entry {
		return func(h *testHost) []chain.Entry {
			h.change = func(e *chain.Entry) {
				if sequence--; sequence == 0 {
					change(e)
				}
			}
			h.recordSoundEntries()
			return h.entries
		}
	}
	after := func(change func(h *testHost)) func(*testHost) []chain.Entry {
		return func(h *testHost) []chain.Entry {
			h.recordSoundEntries()
			change(h)
			return h.entries
		}
	}
	for _, test := range []struct {
		kind   string
		record func(h *testHost) []chain.Entry
	}{
		{KindGap, after(func(h *testHost) { h.entries = append(h.entries[:1], h.entries[2:]...) })},
		{KindMissingStart, after(func(h *testHost) { h.entries = h.entries[4:] })},
		{KindEdited, after(func(h *testHost) { h.entries[1].Reason = "x" })},
		{KindFork, after(func(h *testHost) {
			other := newHost("h", 1)
			other.change = func(e *chain.Entry) { e.Reason = "x" }
			other.recordSoundEntries()
			h.entries = append(h.entries, other.entries[10])
		})},
		{KindBrokenLink, after(func(h *testHost) {
			h.entries[2].Reason = "x"
			h.entries[2].Hash, _ = h.entries[2].ComputeHash()
		})},
		{KindBrokenLink, after(func(h *testHost) {
			h.entries = h.entries[:1]
			h.entries[0].Previous = "x"
			h.entries[0].Hash, _ = h.entries[0].ComputeHash()
		})},
		{KindUnknownSheet, alter(1, func(e *chain.Entry) { e.SheetDigest = "other" })},
		{KindUnknownSheet, alter(1, func(e *chain.Entry) { e.SheetDigest = "" })},
		{KindNoRule, alter(1, func(e *chain.Entry) { e.Target = "other" })},
		{KindWrongRow, alter(1, func(e *chain.Entry) { e.Row = 5 })},
		{KindWrongClass, alter(1, func(e *chain.Entry) { e.Class = "other" })},
		{KindWrongClass, alter(5, func(e *chain.Entry) { e.Urgency = 3 })},
		{KindWrongLimit, alter(1, func(e *chain.Entry) { e.Limit = 100 })},
		{KindWrongRepeat, alter(1, func(e *chain.Entry) { e.Repeat = "once-only" })},
		{KindChosenNotCandidate, alter(1, func(e *chain.Entry) { e.Chosen = "e9" })},
		{KindDispatchedTwice, alter(7, func(e *chain.Entry) { e.Outcome = unit.OutcomeUnknown })},
		{KindDispatchedTwice, func(h *testHost) []chain.Entry {
			other := newHost("other", 1)
			other.change = func(e *chain.Entry) { e.KeyDigest = "key of r2" }
			h.recordSoundEntries()
			other.decide("r9", "koppel-app")
			other.attempt("r9", 1, true, 0, unit.OutcomeUnknown)
			other.final("r9", unit.OutcomeUnknown)
			return append(h.entries, other.entries...)
		}},
		{KindFalseNotRun, alter(4, func(e *chain.Entry) { e.Outcome = unit.OutcomeNotRun })},
		{KindFalseNotRun, func(h *testHost) []chain.Entry {
			h.decide("r2", "koppel-app")
			h.attempt("r2", 1, true, 0, unit.OutcomeNotRun) // no answer proves that the request didn't run
			h.final("r2", unit.OutcomeNotRun)
			return h.entries
		}},
		{KindMissingFinal, after(func(h *testHost) {
			next := newHost("h", 2)
			next.decide("r4", "taalmodel")
			h.entries = append(h.entries, next.entries...)
		})},
		{KindMissingFinal, after(func(h *testHost) {
			h.at += maxRequestDuration.Milliseconds()
			h.add(chain.Entry{Kind: chain.KindRefused})
		})},
		{KindTwoFinals, after(func(h *testHost) { h.final("r1", unit.OutcomeDone) })},
	} {
		t.Run(test.kind, func(t *testing.T) {
			report := Verify(test.record(newHost("h", 1)), testSheet)
			assert.Assert(t, report.Counts[test.kind] == 1, "%s", report)
			if test.kind != KindWrongRepeat {
				assert.Equal(t, report.Problems, 1, "%s", report)
			}
		})
	}
}

// Guards against a report whose counts, findings, text and JSON disagree, or whose list of findings grows without bound.
func TestReportForms(t *testing.T) {
	h := newHost("h", 1)
	h.change = func(e *chain.Entry) { e.SheetDigest = "other" }
	for i := range maxFindings + 5 {
		h.decide(unit.RequestID(fmt.Sprint(i)), "taalmodel")
		h.final(unit.RequestID(fmt.Sprint(i)), unit.OutcomeDone)
	}
	report := Verify(h.entries, testSheet)
	assert.Equal(t, report.Counts[KindUnknownSheet], maxFindings+5)
	assert.Equal(t, len(report.Findings), maxFindings)
	text := report.String()
	assert.Assert(t, strings.Contains(text, "\nunknown-sheet: host h, incarnation 1, entry 1, request 0: the sheet"))
	assert.Assert(t, strings.HasSuffix(text, "\n5 more are not listed\n"))
	data, err := report.JSON()
	assert.NilError(t, err)
	var decoded map[string]any
	assert.NilError(t, json.Unmarshal(data, &decoded))
	assert.Equal(t, decoded["in-flight"], 0.0)
	assert.Equal(t, decoded["problems"], float64(maxFindings+5))
}

// Guards against an explanation without the rule, the limit, a candidate, the chosen endpoint, an attempt, the answer or
// signs of tampering.
func TestExplainTellsTheWholeStory(t *testing.T) {
	h := newHost("h", 1)
	h.recordSoundEntries()
	text, err := Explain(h.entries, "r2")
	assert.NilError(t, err)
	assert.Equal(t, text, `Request r2 of customer intake-utrecht was received by entry host h; the first entry is from 2025-11-24 16:00:00.200 UTC.
It asked for "/pair" of "koppel-app". Row 7 of the planners' sheet applies (configuration 3, sheet sheet-1).
That row puts it into class "confirming" with urgency 0, where 0 is the most urgent. The customer may send 2.5 requests per second. The request must not run more than once, so it is never sent again when its outcome is unclear.
2 endpoints could take it; the lowest expected time is the best:
  - e1: expected to start answering after 30ms, of which 10ms waiting in its queue, 0s computing the part of the prompt that it has not stored and 0s fetching stored parts; it has 9 pieces of the prompt stored and is one of the endpoints that usually serve this prompt.
  - e2: expected to start answering after 90ms, of which 0s waiting in its queue, 90ms computing the part of the prompt that it has not stored and 0s fetching stored parts; it has 0 pieces of the prompt stored.
The router chose e1, because: lowest expected time.
Attempt 1, at 2025-11-24 16:00:00.240 UTC, went to e1. No part of the request was sent, so this attempt did not run it. Result: not run, the request certainly did not run.
Attempt 2, at 2025-11-24 16:00:00.280 UTC, went to e1. The request was sent and the endpoint answered with status 409. Result: not run, the request certainly did not run.
Attempt 3, at 2025-11-24 16:00:00.320 UTC, went to e1. The request was sent and the endpoint answered with status 200. Result: done, the request ran.
160ms later the caller got the final answer: done, the request ran. The HTTP status was 200.
`)
	h.entries[10].Chosen = "e2"
	text, err = Explain(h.entries, "r3")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "Warning: entry 11 of host h was changed after it was written"))
	assert.Assert(t, strings.Contains(text, "doesn't say how the request ended"))
	_, err = Explain(h.entries, "other")
	assert.Assert(t, errorx.IsOfType(err, fault.NotFound))
}
