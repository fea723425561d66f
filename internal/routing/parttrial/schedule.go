// Package parttrial decides when a request with a blocked part in its prompt is sent to an engine all the same, because the part may be
// harmless. One schedule decides for all hosts, since each request with a part that isn't harmless crashes an engine.
package parttrial

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
)

const (
	// trialTimeout is how long the result of a trial may take: the answer or the crash, and the notice of it. A trial may have no result,
	// since its caller may leave.
	trialTimeout = 2 * time.Second
	// quietTime is the time without a crash before a trial. In a storm of crashes, the trial would break off with its engine. A request waits
	// doubtTime longer for each crash that only its blocked part explains and for each rival of the part, so that requests which are more
	// likely to be harmless go first.
	quietTime, doubtTime = 500 * time.Millisecond, 4 * time.Second
	// maxRecent limits the trials granted in the last recentTime that have no result yet.
	maxRecent, recentTime = 4, time.Second
	// maxFailures is the number of trials of a part that may end with a crash.
	maxFailures = 2
	// maxRivals limits the rivals that count.
	maxRivals = 10
	// maxParts limits the parts whose trials are remembered.
	maxParts = 1024
)

// Schedule grants the trials, a few at a time and one of each part. It is a deterministic state machine and not safe for concurrent use.
type Schedule struct {
	startedAt unit.Moment
	trials    map[crashcause.PartID]*trials
}

// trials are the trials of one part.
type trials struct {
	grantedAt unit.Moment // the last one
	ended     bool        // the last one has a result
	risky     bool        // the last one will probably crash its engine
	failures  int
}

// New returns a schedule that grants nothing for the first 2 s, in which a trial that another schedule granted may still run.
func New(now unit.Moment) *Schedule {
	return &Schedule{startedAt: now, trials: map[crashcause.PartID]*trials{}}
}

// Query is an entry host's question whether it may send a request in which only one part is blocked.
type Query struct {
	Part crashcause.PartID `cbor:"1,keyasint"`
	// Rivals is the number of other parts of the request that may have caused crashes. If it isn't 0, a crash would say little of Part.
	Rivals uint `cbor:"2,keyasint,omitempty"`
}

// Grant reports whether one request may be sent to an engine now although a part of it is blocked.
func (s *Schedule) Grant(now unit.Moment, q Query, causes *crashcause.Register) bool {
	part := q.Part
	recent, risky := s.settle(now, causes)
	cause, blocked := causes.Check(now, []crashcause.PartID{part})
	lastCrash, _ := causes.LastCrash()
	doubts := time.Duration(cause.OwnCrashes) + time.Duration(min(q.Rivals, maxRivals)) //nolint:gosec // bounded
	switch {
	case !blocked || !cause.Doubtful || recent >= maxRecent || now.Sub(s.startedAt) < trialTimeout:
		return false
	case now.Sub(lastCrash) < quietTime+doubts*doubtTime:
		return false
	case risky || doubts > 0 && recent > 0:
		// Several crashes at once would leave few engines, and break off the trials of harmless parts there.
		return false
	}
	known := s.trials[part]
	if known == nil {
		if len(s.trials) >= maxParts {
			return false
		}
		known = &trials{ended: true}
		s.trials[part] = known
	}
	if known.failures >= maxFailures || !known.ended && now.Sub(known.grantedAt) < trialTimeout {
		return false
	}
	known.grantedAt, known.ended, known.risky = now, false, doubts > 0
	return true
}

// settle records the results of trials and returns the number of recent ones without a result, and whether one of these will probably crash
// its engine.
func (s *Schedule) settle(now unit.Moment, causes *crashcause.Register) (recent int, risky bool) {
	for part, t := range s.trials {
		cause, blocked := causes.Check(now, []crashcause.PartID{part})
		switch {
		case !blocked:
			delete(s.trials, part)
		case t.ended:
		case cause.LastCrash > t.grantedAt:
			t.ended = true
			t.failures++
		case now.Sub(t.grantedAt) < recentTime:
			recent++
			risky = risky || t.risky
		}
	}
	return recent, risky
}
