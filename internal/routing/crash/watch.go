// Package crash determines which requests were running at endpoints when these crashed. An answer that breaks off may
// also be due to a lost connection, so it alone doesn't show that the endpoint crashed.
package crash

import (
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
)

const (
	// attributionWindow is the maximum time between the end of an incomplete answer and the discovery that the
	// endpoint's lifetime has ended, in either order, for the crash to be attributed to the content. An endpoint that
	// crashes is back within some seconds and reports at once.
	attributionWindow = 10 * time.Second
	// maxLifetimes limits the number of remembered lifetimes, maxAttempts the number of broken attempts of each
	// lifetime. One host has fewer requests in progress at one endpoint.
	maxLifetimes, maxAttempts = 1024, 1024
)

// Tracker is one host's record of incomplete answers and crashes. A lifetime is one run of an endpoint from its start to
// its end. Tracker is a deterministic state machine and not safe for concurrent use.
type Tracker struct {
	brokenAttempts map[registry.Lifetime][]brokenAttempt
	crashedAt      map[registry.Lifetime]unit.Moment // when the crash was discovered
}

// brokenAttempt is an attempt that ended without a complete answer.
type brokenAttempt struct {
	content unit.Digest
	parts   []crashcause.Part // parts of the prompt that other requests may share
	at      unit.Moment
}

// New returns a tracker without any attempts.
func New() *Tracker {
	return &Tracker{brokenAttempts: map[registry.Lifetime][]brokenAttempt{}, crashedAt: map[registry.Lifetime]unit.Moment{}}
}

// RecordBrokenAnswer records that an attempt ended without a complete answer. It reports whether the endpoint is known to have
// crashed.
func (w *Tracker) RecordBrokenAnswer(now unit.Moment, l registry.Lifetime, content unit.Digest, parts []crashcause.Part) (crashed bool) {
	w.prune(now)
	if _, crashed = w.crashedAt[l]; crashed {
		return true
	}
	if len(w.brokenAttempts) >= maxLifetimes && w.brokenAttempts[l] == nil || len(w.brokenAttempts[l]) >= maxAttempts {
		return false
	}
	w.brokenAttempts[l] = append(w.brokenAttempts[l], brokenAttempt{content, parts, now})
	return false
}

// Suspects reports whether an attempt with the content ended without a complete answer and it isn't known yet whether
// the endpoint crashed.
func (w *Tracker) Suspects(content unit.Digest) bool {
	for _, attempts := range w.brokenAttempts {
		if slices.ContainsFunc(attempts, func(a brokenAttempt) bool { return a.content == content }) {
			return true
		}
	}
	return false
}

// Empty reports whether no broken attempt is recorded.
func (w *Tracker) Empty() bool {
	return len(w.brokenAttempts) == 0
}

// RecordSuccess records that an endpoint answered the content, so that it isn't blamed for any crash before.
func (w *Tracker) RecordSuccess(content unit.Digest) {
	for l, attempts := range w.brokenAttempts {
		attempts = slices.DeleteFunc(attempts, func(a brokenAttempt) bool { return a.content == content })
		if len(attempts) == 0 {
			delete(w.brokenAttempts, l)
			continue
		}
		w.brokenAttempts[l] = attempts
	}
}

// Lifetimes returns the lifetimes with recent broken attempts, in no particular order.
func (w *Tracker) Lifetimes(now unit.Moment) []registry.Lifetime {
	w.prune(now)
	lifetimes := make([]registry.Lifetime, 0, len(w.brokenAttempts))
	for l := range w.brokenAttempts {
		lifetimes = append(lifetimes, l)
	}
	return lifetimes
}

// RecordCrash records that a lifetime has ended without notice, and returns the contents and the parts of its broken attempts, each
// once.
func (w *Tracker) RecordCrash(now unit.Moment, l registry.Lifetime) ([]unit.Digest, []crashcause.Part) {
	w.prune(now)
	var contents []unit.Digest
	var parts []crashcause.Part
	for _, a := range w.brokenAttempts[l] {
		if !slices.Contains(contents, a.content) {
			contents = append(contents, a.content)
		}
		for _, p := range a.parts {
			if !slices.Contains(parts, p) {
				parts = append(parts, p)
			}
		}
	}
	delete(w.brokenAttempts, l)
	if len(w.crashedAt) < maxLifetimes {
		w.crashedAt[l] = now
	}
	return contents, parts
}

// RecordPlannedStop records that a lifetime ends as announced, so that the contents of its broken attempts aren't blamed.
func (w *Tracker) RecordPlannedStop(l registry.Lifetime) {
	delete(w.brokenAttempts, l)
}

// prune removes everything that is older than attributionWindow.
func (w *Tracker) prune(now unit.Moment) {
	for l, attempts := range w.brokenAttempts {
		attempts = slices.DeleteFunc(attempts, func(a brokenAttempt) bool { return now.Sub(a.at) > attributionWindow })
		if len(attempts) == 0 {
			delete(w.brokenAttempts, l)
			continue
		}
		w.brokenAttempts[l] = attempts
	}
	for l, at := range w.crashedAt {
		if now.Sub(at) > attributionWindow {
			delete(w.crashedAt, l)
		}
	}
}
