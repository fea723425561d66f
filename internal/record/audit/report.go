package audit

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// maxFindings bounds the findings that a report lists. Its counts include all findings.
const maxFindings = 10_000

// Kinds of a Finding.
const (
	// KindGap is a run of missing sequence numbers.
	KindGap = "gap"
	// KindMissingStart is a host's incarnation whose first entry isn't number 1. Retention removed the earlier entries, or
	// they are lost.
	KindMissingStart = "missing-start"
	// KindEdited is an entry whose hash doesn't match its content.
	KindEdited = "edited"
	// KindFork is a sequence number with several different entries.
	KindFork = "fork"
	// KindBrokenLink is an entry whose previous hash isn't the hash of the entry before it.
	KindBrokenLink = "broken-link"
	// KindUnknownSheet is a decision or refusal under a sheet that wasn't passed to Verify.
	KindUnknownSheet = "unknown-sheet"
	// KindNoRule is a decision about a request for which the sheet has no rule.
	KindNoRule = "no-rule"
	// KindWrongRow is a decision or refusal by another row than that of the sheet's rule.
	KindWrongRow = "wrong-row"
	// KindWrongClass is a decision or refusal with another class or urgency than the sheet's.
	KindWrongClass = "wrong-class"
	// KindWrongLimit is a decision or refusal with another limit than the sheet's.
	KindWrongLimit = "wrong-limit"
	// KindWrongRepeat is a decision or refusal with another repeat rule than the sheet's.
	KindWrongRepeat = "wrong-repeat-rule"
	// KindChosenNotCandidate is a decision whose chosen endpoint isn't among its candidates.
	KindChosenNotCandidate = "chosen-not-weighed"
	// KindDispatchedTwice is a once-only request that was dispatched again after an attempt that may have run it.
	KindDispatchedTwice = "once-only-dispatched-twice"
	// KindFalseNotRun is a request that was reported as not-run although it may have run.
	KindFalseNotRun = "not-run-after-dispatch"
	// KindMissingFinal is a decided request without a recorded answer, which is no longer running.
	KindMissingFinal = "missing-final"
	// KindTwoFinals is a request with more than one answer.
	KindTwoFinals = "two-finals"
)

// Finding is one problem of a record.
type Finding struct {
	Kind        string           `json:"kind"`
	Host        unit.HostName    `json:"host"`
	Incarnation unit.Incarnation `json:"incarnation"`
	Sequence    uint64           `json:"sequence"`
	Request     unit.RequestID   `json:"request,omitempty"`
	Detail      string           `json:"detail"`
}

// Head is the last entry of a host's incarnation. A monitor can detect that the end of a record was cut off by comparing its
// heads with earlier heads or with those of another copy.
type Head struct {
	Host        unit.HostName    `json:"host"`
	Incarnation unit.Incarnation `json:"incarnation"`
	Sequence    uint64           `json:"sequence"`
	Hash        string           `json:"hash"`
}

// Report is the result of Verify. InFlight counts the requests that may still be running at the end of the record.
type Report struct {
	Entries  int            `json:"entries"`
	Requests int            `json:"requests"`
	InFlight int            `json:"in-flight"`
	Heads    []Head         `json:"heads"`
	Problems int            `json:"problems"`
	Counts   map[string]int `json:"counts"`
	Findings []Finding      `json:"findings"`
}

// Clean reports whether the record has no problems.
func (r Report) Clean() bool {
	return r.Problems == 0
}

// JSON returns the report as one JSON object with kebab-case names.
func (r Report) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot encode the report")
	}
	return data, nil
}

// String returns the report as lines of text for operators.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "checked %d entries about %d requests of %d host incarnations; %d requests may still be running\n",
		r.Entries, r.Requests, len(r.Heads), r.InFlight)
	if r.Clean() {
		text.WriteString("no problem found\n")
		return text.String()
	}
	fmt.Fprintf(&text, "%d problems found\n", r.Problems)
	for _, kind := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&text, "  %-28s %d\n", kind, r.Counts[kind])
	}
	for _, f := range r.Findings {
		fmt.Fprintf(&text, "%s: host %s, incarnation %d, entry %d", f.Kind, f.Host, f.Incarnation, f.Sequence)
		if f.Request != "" {
			fmt.Fprintf(&text, ", request %s", f.Request)
		}
		fmt.Fprintf(&text, ": %s\n", f.Detail)
	}
	if r.Problems > len(r.Findings) {
		fmt.Fprintf(&text, "%d more are not listed\n", r.Problems-len(r.Findings))
	}
	return text.String()
}

func (r *Report) addFinding(kind string, host unit.HostName, incarnation unit.Incarnation, sequence uint64,
	request unit.RequestID, format string, arguments ...any,
) {
	r.Problems++
	r.Counts[kind]++
	if len(r.Findings) < maxFindings {
		r.Findings = append(r.Findings, Finding{
			Kind: kind, Host: host, Incarnation: incarnation, Sequence: sequence, Request: request,
			Detail: fmt.Sprintf(format, arguments...),
		})
	}
}
