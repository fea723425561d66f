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
	// maxRecent limits the trials granted in the last recentTime that have no result yet, of which there may be trialsPerEngine for each
	// engine. The leader hears of a result about 300 ms after the grant on a busy machine, and of some never; with one trial for three
	// engines, parts were still being freed 10 s after the last crash.
	maxRecent, recentTime, trialsPerEngine = 8, time.Second, 2
	// maxFailures is the number of trials of a part that may end with a crash, maxHidingFailures of a part with Cause.HidesOthers: three
	// crashes count against it, and the users allow three more.
	maxFailures, maxHidingFailures = 2, 1
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
	// Engines is the number of engines that may run the request, 0 if it isn't known.
	Engines uint `cbor:"3,keyasint,omitempty"`
}

// Grant reports whether one request may be sent to an engine now although a part of it is blocked.
func (s *Schedule) Grant(now unit.Moment, q Query, causes *crashcause.Register) bool {
	part := q.Part
	recent, riskyRecent, riskyRunning := s.settle(now, causes)
	cause, blocked := causes.Check(now, []crashcause.PartID{part})
	lastCrash, _ := causes.LastCrash()
	doubts, failures := time.Duration(min(q.Rivals, maxRivals)), maxHidingFailures //nolint:gosec // bounded
	if !cause.HidesOthers {
		doubts, failures = doubts+time.Duration(cause.OwnCrashes), maxFailures
	}
	if cause.Last {
		doubts++
	}
	risky := doubts > 0 || cause.HidesOthers
	switch {
	case !blocked || !cause.Doubtful || recent >= maxRecentOf(q.Engines) || now.Sub(s.startedAt) < trialTimeout:
		return false
	case now.Sub(lastCrash) < quietTime+doubts*doubtTime:
		return false
	case riskyRecent || risky && (riskyRunning || recent > 0):
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
	if known.failures >= failures || !known.ended && now.Sub(known.grantedAt) < trialTimeout {
		return false
	}
	known.grantedAt, known.ended, known.risky = now, false, risky
	return true
}

func maxRecentOf(engines uint) int {
	return int(min(max(engines, 1)*trialsPerEngine, maxRecent)) //nolint:gosec // bounded
}

// settle records the results of trials. It returns the number of recent ones without a result, whether one of these will probably crash its
// engine, and whether such a trial may still run.
func (s *Schedule) settle(now unit.Moment, causes *crashcause.Register) (recent int, riskyRecent, riskyRunning bool) {
	for part, t := range s.trials {
		cause, blocked := causes.Check(now, []crashcause.PartID{part})
		age := now.Sub(t.grantedAt)
		switch {
		case !blocked:
			delete(s.trials, part)
		case t.ended:
		case cause.LastCrash > t.grantedAt:
			t.ended = true
			t.failures++
		case age < trialTimeout:
			riskyRunning = riskyRunning || t.risky
			if age < recentTime {
				recent++
				riskyRecent = riskyRecent || t.risky
			}
		}
	}
	return recent, riskyRecent, riskyRunning
}
