// Package audit verifies a record of requests against the sheets that were in force, and explains single requests.
package audit

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/chain"
)

const (
	// maxRequestDuration is the longest time that a request may run. It equals the longest hold of a once-only claim.
	maxRequestDuration = 10 * time.Minute
	// keyRetention is the least time for which the ledger keeps an idempotency key. A later use of the key is another request.
	keyRetention   = 30 * 24 * time.Hour
	repeatOnceOnly = "once-only"
)

// Rule is the part of a sheet's rule that the audit compares with decisions.
type Rule struct {
	Row     int
	Class   unit.ClassName
	Urgency int
	Repeat  string // idempotent or once-only
}

// Sheet identifies one sheet and looks up its rules and limits.
type Sheet struct {
	Digest string
	Match  func(customer unit.CustomerID, target, operation string) (Rule, bool)
	Limit  func(customer unit.CustomerID) (requestsPerSecond float64, known bool)
}

// auditor holds the state of one Verify call.
type auditor struct {
	report    Report
	sheets    map[string]Sheet
	requests  map[unit.RequestID]*requestEntries
	lastEntry map[unit.HostName]chain.Entry // last entry of the newest incarnation
}

// requestEntries holds the entries about one request.
type requestEntries struct {
	decision   *chain.Entry
	final      *chain.Entry
	mayHaveRun *chain.Entry // first attempt after which the request may have run
}

// onceOnlyKey identifies a once-only request by customer and digest of the idempotency key, or by the request's id if no key
// was recorded.
type onceOnlyKey struct {
	customer unit.CustomerID
	key      string
}

// Verify checks entries of any hosts, in any order, against the sheets that were in force. Copies of an entry with the same
// hash count once.
func Verify(entries []chain.Entry, sheets ...Sheet) Report {
	a := &auditor{
		report: Report{Counts: map[string]int{}, Findings: []Finding{}, Heads: []Head{}},
		sheets: map[string]Sheet{}, requests: map[unit.RequestID]*requestEntries{},
		lastEntry: map[unit.HostName]chain.Entry{},
	}
	for _, sheet := range sheets {
		a.sheets[sheet.Digest] = sheet
	}
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, compareEntries)
	entries = a.checkChains(entries)
	a.report.Entries = len(entries)
	for i := range entries {
		a.lastEntry[entries[i].Host] = entries[i]
		a.checkSheet(&entries[i])
		a.addToRequest(&entries[i])
	}
	a.report.Requests = len(a.requests)
	a.checkOnceOnly(entries)
	for i := range entries {
		a.checkFinal(&entries[i])
	}
	return a.report
}

// checkChains checks the chain of each host's incarnation and returns the entries without repeated copies.
func (a *auditor) checkChains(sorted []chain.Entry) []chain.Entry {
	unique := make([]chain.Entry, 0, len(sorted))
	var before []chain.Entry
	for len(sorted) > 0 {
		count := 1
		for count < len(sorted) && sameSequence(sorted[0], sorted[count]) {
			count++
		}
		versions := slices.CompactFunc(slices.Clone(sorted[:count]), func(x, y chain.Entry) bool {
			return x.Hash == y.Hash && (chain.VerifyEntry(x) == nil) == (chain.VerifyEntry(y) == nil)
		})
		sorted = sorted[count:]
		if len(before) > 0 && !sameIncarnation(before[0], versions[0]) {
			before = nil
		}
		a.checkVersions(before, versions)
		unique = append(unique, versions...)
		before = versions
	}
	return unique
}

// checkVersions checks the different entries with one sequence number, of which a correct record has only one. before
// holds the entries with the preceding sequence number in the record, none for the first number of an incarnation.
func (a *auditor) checkVersions(before, versions []chain.Entry) {
	e := versions[0]
	for _, version := range versions {
		if chain.VerifyEntry(version) != nil {
			a.addFinding(KindEdited, version, "the content doesn't have the recorded hash %s", version.Hash)
		}
	}
	if len(versions) > 1 {
		a.addFinding(KindFork, e, "%d different entries have this number", len(versions))
	}
	linked := slices.ContainsFunc(versions, func(version chain.Entry) bool {
		return slices.ContainsFunc(before, func(b chain.Entry) bool { return version.Previous == b.Hash })
	})
	switch {
	case len(before) == 0 && e.Sequence > 1:
		a.addFinding(KindMissingStart, e, "the entries 1 to %d are missing", e.Sequence-1)
	case len(before) == 0 && e.Previous != "":
		a.addFinding(KindBrokenLink, e, "the first entry names a previous one")
	case len(before) == 0:
	case e.Sequence > before[0].Sequence+1:
		a.addFinding(KindGap, e, "the entries %d to %d are missing", before[0].Sequence+1, e.Sequence-1)
	case !linked:
		a.addFinding(KindBrokenLink, e, "the entry names %s as the one before, which is %s", e.Previous, before[0].Hash)
	}
	if len(before) == 0 {
		a.report.Heads = append(a.report.Heads, Head{Host: e.Host, Incarnation: e.Incarnation})
	}
	head := &a.report.Heads[len(a.report.Heads)-1]
	head.Sequence, head.Hash = e.Sequence, e.Hash
}

// checkSheet compares a decision or refusal with the sheet that it names. A refusal without a sheet is valid: it was made
// before the caller was authenticated.
func (a *auditor) checkSheet(e *chain.Entry) {
	if e.Kind != chain.KindDecision && (e.Kind != chain.KindRefused || e.SheetDigest == "") {
		return
	}
	sheet, known := a.sheets[e.SheetDigest]
	if !known {
		a.addFinding(KindUnknownSheet, *e, "the sheet with digest %q is not known", e.SheetDigest)
		return
	}
	if e.Chosen != "" && len(e.Candidates) > 0 && !slices.ContainsFunc(e.Candidates, func(c chain.Candidate) bool {
		return c.Endpoint == e.Chosen
	}) {
		a.addFinding(KindChosenNotCandidate, *e, "%s was chosen but isn't among the %d candidates", e.Chosen, len(e.Candidates))
	}
	rule, matched := sheet.Match(e.Customer, e.Target, e.Operation)
	if !matched {
		if e.Kind == chain.KindDecision {
			a.addFinding(KindNoRule, *e, "the sheet has no rule for customer %s, target %s, operation %s",
				e.Customer, e.Target, e.Operation)
		}
		return
	}
	if e.Row != rule.Row {
		a.addFinding(KindWrongRow, *e, "row %d was applied, the sheet says row %d", e.Row, rule.Row)
	}
	if e.Class != rule.Class || e.Urgency != rule.Urgency {
		a.addFinding(KindWrongClass, *e, "class %s with urgency %d was applied, the sheet says %s with %d",
			e.Class, e.Urgency, rule.Class, rule.Urgency)
	}
	if e.Repeat != rule.Repeat {
		a.addFinding(KindWrongRepeat, *e, "repeat rule %q was applied, the sheet says %q", e.Repeat, rule.Repeat)
	}
	if limit, ok := sheet.Limit(e.Customer); !ok || limit != e.Limit {
		a.addFinding(KindWrongLimit, *e, "a limit of %g requests/s was applied, the sheet says %g", e.Limit, limit)
	}
}

func (a *auditor) addToRequest(e *chain.Entry) {
	if e.Request == "" {
		return
	}
	s := a.requests[e.Request]
	if s == nil {
		s = &requestEntries{}
		a.requests[e.Request] = s
	}
	switch e.Kind {
	case chain.KindDecision:
		if s.decision == nil {
			s.decision = e
		}
	case chain.KindAttempt:
		if s.mayHaveRun == nil && mayHaveRun(*e) {
			s.mayHaveRun = e
		}
	case chain.KindFinal, chain.KindRefused:
		if s.final != nil {
			a.addFinding(KindTwoFinals, *e, "the request was answered before, by entry %d of %s", s.final.Sequence, s.final.Host)
			return
		}
		s.final = e
	}
}

// mayHaveRun reports whether the endpoint may have run the request in an attempt: a part of the request was sent, and no
// answer says that it wasn't run. An engine gives such an answer to a request for another incarnation.
func mayHaveRun(e chain.Entry) bool {
	return e.Wrote && (e.Outcome != unit.OutcomeNotRun || e.Status == 0)
}

// checkOnceOnly reports once-only requests that were dispatched more than once with the same idempotency key, by any hosts
// and under any request ids. It uses the repeat rule of the decision, which checkSheet compares with the sheet.
func (a *auditor) checkOnceOnly(sorted []chain.Entry) {
	dispatches := map[onceOnlyKey]chain.Entry{}
	byTime := slices.Clone(sorted)
	slices.SortStableFunc(byTime, func(x, y chain.Entry) int { return cmp.Compare(x.AtUnixMilli, y.AtUnixMilli) })
	for _, e := range byTime {
		if e.Kind != chain.KindAttempt || !mayHaveRun(e) {
			continue
		}
		request := a.requests[e.Request]
		if request == nil || request.decision == nil || request.decision.Repeat != repeatOnceOnly {
			continue
		}
		key := onceOnlyKey{customer: request.decision.Customer, key: request.decision.KeyDigest}
		if key.key == "" {
			key.key = "request " + string(e.Request)
		}
		first, again := dispatches[key]
		if again && e.AtUnixMilli-first.AtUnixMilli <= keyRetention.Milliseconds() {
			a.addFinding(KindDispatchedTwice, e, "the request was dispatched before, by entry %d of %s, incarnation %d",
				first.Sequence, first.Host, first.Incarnation)
		}
		dispatches[key] = e
	}
}

// checkFinal checks that a decided request has a final answer and that an answer of not-run is correct.
func (a *auditor) checkFinal(e *chain.Entry) {
	s := a.requests[e.Request]
	if s == nil {
		return
	}
	if s.final == e && e.Outcome == unit.OutcomeNotRun && s.mayHaveRun != nil {
		a.addFinding(KindFalseNotRun, *e, "the caller was told that the request didn't run, but entry %d of %s sent it to %s",
			s.mayHaveRun.Sequence, s.mayHaveRun.Host, s.mayHaveRun.Chosen)
	}
	if s.decision != e || s.final != nil {
		return
	}
	last := a.lastEntry[e.Host]
	switch {
	case last.Incarnation != e.Incarnation:
		a.addFinding(KindMissingFinal, *e, "the host restarted before it recorded the answer")
	case last.AtUnixMilli-e.AtUnixMilli > maxRequestDuration.Milliseconds():
		a.addFinding(KindMissingFinal, *e, "no answer was recorded within %s", maxRequestDuration)
	default:
		a.report.InFlight++
	}
}

func (a *auditor) addFinding(kind string, e chain.Entry, format string, arguments ...any) {
	a.report.addFinding(kind, e.Host, e.Incarnation, e.Sequence, e.Request, format, arguments...)
}

func sameIncarnation(x, y chain.Entry) bool {
	return x.Host == y.Host && x.Incarnation == y.Incarnation
}

func sameSequence(x, y chain.Entry) bool {
	return sameIncarnation(x, y) && x.Sequence == y.Sequence
}

func compareEntries(x, y chain.Entry) int {
	return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Incarnation, y.Incarnation),
		cmp.Compare(x.Sequence, y.Sequence), cmp.Compare(x.Hash, y.Hash))
}
