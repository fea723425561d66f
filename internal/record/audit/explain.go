package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/chain"
)

// Explain describes the handling of one request in sentences for readers who don't know the program. It fails with
// fault.NotFound if the record has no entry about the request.
func Explain(entries []chain.Entry, id unit.RequestID) (string, error) {
	var found []chain.Entry
	for _, e := range entries {
		if e.Request == id {
			found = append(found, e)
		}
	}
	if len(found) == 0 {
		return "", fault.NotFound.New("the record has no entry about request %s", id)
	}
	slices.SortStableFunc(found, func(x, y chain.Entry) int {
		return cmp.Or(cmp.Compare(x.AtUnixMilli, y.AtUnixMilli), compareEntries(x, y))
	})
	found = slices.CompactFunc(found, func(x, y chain.Entry) bool { return x.Hash == y.Hash && compareEntries(x, y) == 0 })
	var text strings.Builder
	first := found[0]
	fmt.Fprintf(&text, "Request %s%s was received by entry host %s; the first entry is from %s.\n",
		id, customerClause(first), first.Host, formatTime(first))
	answered := false
	for _, e := range found {
		if chain.VerifyEntry(e) != nil {
			fmt.Fprintf(&text, "Warning: entry %d of host %s was changed after it was written, so what it says may be false.\n",
				e.Sequence, e.Host)
		}
		writeEntry(&text, e, first)
		answered = answered || e.Kind == chain.KindFinal || e.Kind == chain.KindRefused
	}
	if !answered {
		text.WriteString("The record doesn't say how the request ended: it was still running when the record was taken, " +
			"or the host stopped before it could write the answer down.\n")
	}
	return text.String(), nil
}

func writeEntry(text *strings.Builder, e, first chain.Entry) {
	switch e.Kind {
	case chain.KindDecision:
		writeRule(text, e)
		writeChoice(text, e)
	case chain.KindAttempt:
		writeAttempt(text, e)
	case chain.KindRefused:
		if e.SheetDigest != "" {
			writeRule(text, e)
		}
		fmt.Fprintf(text, "The request was refused%s. It was not sent to any endpoint and did not run.%s\n",
			reasonClause(e.Reason), statusSentence(e))
	case chain.KindFinal:
		fmt.Fprintf(text, "%s later the caller got the final answer: %s%s.%s\n",
			time.Duration(e.AtUnixMilli-first.AtUnixMilli)*time.Millisecond, describeOutcome(e.Outcome),
			reasonClause(e.Reason), statusSentence(e))
	default:
		fmt.Fprintf(text, "The record has an entry of the unknown kind %q.\n", e.Kind)
	}
}

func writeRule(text *strings.Builder, e chain.Entry) {
	fmt.Fprintf(text, "It asked for %q of %q. Row %d of the planners' sheet applies (configuration %d, sheet %s).\n",
		e.Operation, e.Target, e.Row, e.ConfigurationVersion, e.SheetDigest)
	fmt.Fprintf(text, "That row puts it into class %q with urgency %d, where 0 is the most urgent. ", e.Class, e.Urgency)
	fmt.Fprintf(text, "The customer may send %g requests per second. ", e.Limit)
	if e.Repeat == repeatOnceOnly {
		text.WriteString("The request must not run more than once, so it is never sent again when its outcome is unclear.\n")
	} else {
		text.WriteString("The request may be repeated without harm.\n")
	}
}

func writeChoice(text *strings.Builder, e chain.Entry) {
	switch len(e.Candidates) {
	case 0:
	case 1:
		text.WriteString("One endpoint could take it:\n")
	default:
		fmt.Fprintf(text, "%d endpoints could take it; the lowest expected time is the best:\n", len(e.Candidates))
	}
	for _, c := range e.Candidates {
		fmt.Fprintf(text, "  - %s: expected to start answering after %s, of which %s waiting in its queue, "+
			"%s computing the part of the prompt that it has not stored and %s fetching stored parts; "+
			"it has %d pieces of the prompt stored", c.Endpoint, c.Expected, c.QueueWait, c.Prefill, c.Transfer, c.CachedPieces)
		if c.Home {
			text.WriteString(" and is one of the endpoints that usually serve this prompt")
		}
		text.WriteString(".\n")
	}
	if e.Chosen != "" {
		fmt.Fprintf(text, "The router chose %s%s.\n", e.Chosen, reasonClause(e.Reason))
	}
}

func writeAttempt(text *strings.Builder, e chain.Entry) {
	fmt.Fprintf(text, "Attempt %d, at %s, went to %s. ", e.Attempt, formatTime(e), e.Chosen)
	switch {
	case !e.Wrote:
		text.WriteString("No part of the request was sent, so this attempt did not run it. ")
	case e.Status != 0:
		fmt.Fprintf(text, "The request was sent and the endpoint answered with status %d. ", e.Status)
	default:
		text.WriteString("The request was sent, at least in part, and no answer came back. ")
	}
	fmt.Fprintf(text, "Result: %s%s.\n", describeOutcome(e.Outcome), reasonClause(e.Reason))
}

func describeOutcome(outcome unit.Outcome) string {
	switch outcome {
	case unit.OutcomeDone:
		return "done, the request ran"
	case unit.OutcomeNotRun:
		return "not run, the request certainly did not run"
	case unit.OutcomeUnknown:
		return "unknown, the request may or may not have run"
	default:
		return fmt.Sprintf("%q", string(outcome))
	}
}

func reasonClause(reason string) string {
	if reason == "" {
		return ""
	}
	return ", because: " + reason
}

func statusSentence(e chain.Entry) string {
	if e.Status == 0 {
		return ""
	}
	return fmt.Sprintf(" The HTTP status was %d.", e.Status)
}

func customerClause(e chain.Entry) string {
	if e.Customer == "" {
		return ""
	}
	return " of customer " + string(e.Customer)
}

func formatTime(e chain.Entry) string {
	return time.UnixMilli(e.AtUnixMilli).UTC().Format("2006-01-02 15:04:05.000 UTC")
}
