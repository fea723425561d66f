// Package crash finds out which contents were running at endpoints that turned out to have crashed. An answer that breaks off may
// also be lost with its connection, so that it alone says nothing of the endpoint.
package crash

import (
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

const (
	// window is how long after an answer broke off the end of the endpoint's lifetime counts as its cause. An endpoint that crashes is
	// back within some seconds and reports at once.
	window = 10 * time.Second
	// maxLifetimes and maxContents bound what is remembered: lifetimes, and contents of each. One host has fewer requests in hand at
	// one endpoint.
	maxLifetimes, maxContents = 1024, 1024
)

// Watch is one host's view. It is a deterministic state machine, not safe for concurrent use.
type Watch struct {
	broken  map[registry.Lifetime][]attempt
	crashed map[registry.Lifetime]unit.Moment // when that was found out
}

// attempt is one that ended without a whole answer.
type attempt struct {
	content unit.Digest
	at      unit.Moment
}

// New returns a watch that knows of no attempt.
func New() *Watch {
	return &Watch{broken: map[registry.Lifetime][]attempt{}, crashed: map[registry.Lifetime]unit.Moment{}}
}

// Broke notes that an attempt ended without a whole answer. It reports whether the endpoint is known to have crashed.
func (w *Watch) Broke(now unit.Moment, l registry.Lifetime, content unit.Digest) (crashed bool) {
	w.prune(now)
	if _, crashed = w.crashed[l]; crashed {
		return true
	}
	if len(w.broken) >= maxLifetimes && w.broken[l] == nil || len(w.broken[l]) >= maxContents {
		return false
	}
	w.broken[l] = append(w.broken[l], attempt{content, now})
	return false
}

// Suspects reports whether an attempt with the content broke off of which it isn't known whether the endpoint crashed.
func (w *Watch) Suspects(content unit.Digest) bool {
	for _, attempts := range w.broken {
		if slices.ContainsFunc(attempts, func(a attempt) bool { return a.content == content }) {
			return true
		}
	}
	return false
}

// Empty reports whether no attempt is remembered.
func (w *Watch) Empty() bool {
	return len(w.broken) == 0
}

// Served notes that an endpoint answered the content, so that it had no part in a crash before that.
func (w *Watch) Served(content unit.Digest) {
	for l, attempts := range w.broken {
		attempts = slices.DeleteFunc(attempts, func(a attempt) bool { return a.content == content })
		if len(attempts) == 0 {
			delete(w.broken, l)
			continue
		}
		w.broken[l] = attempts
	}
}

// Lifetimes returns those at which attempts broke off lately, in no order.
func (w *Watch) Lifetimes(now unit.Moment) []registry.Lifetime {
	w.prune(now)
	lifetimes := make([]registry.Lifetime, 0, len(w.broken))
	for l := range w.broken {
		lifetimes = append(lifetimes, l)
	}
	return lifetimes
}

// Crashed notes that a lifetime has ended without notice, and returns the contents whose attempts broke off there.
func (w *Watch) Crashed(now unit.Moment, l registry.Lifetime) []unit.Digest {
	w.prune(now)
	var contents []unit.Digest
	for _, a := range w.broken[l] {
		if !slices.Contains(contents, a.content) {
			contents = append(contents, a.content)
		}
	}
	delete(w.broken, l)
	if len(w.crashed) < maxLifetimes {
		w.crashed[l] = now
	}
	return contents
}

// Leaves notes that a lifetime ends as announced, so that what broke off there has no part in it.
func (w *Watch) Leaves(l registry.Lifetime) {
	delete(w.broken, l)
}

// prune drops what is older than the window.
func (w *Watch) prune(now unit.Moment) {
	for l, attempts := range w.broken {
		attempts = slices.DeleteFunc(attempts, func(a attempt) bool { return now.Sub(a.at) > window })
		if len(attempts) == 0 {
			delete(w.broken, l)
			continue
		}
		w.broken[l] = attempts
	}
	for l, at := range w.crashed {
		if now.Sub(at) > window {
			delete(w.crashed, l)
		}
	}
}
