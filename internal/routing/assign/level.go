package assign

import (
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// drainShare is the part of an engine's reading speed at which the prompts that others told of are expected to be read
	// meanwhile. The rest of its time goes into answers.
	drainShare = 0.6
	// longestLag bounds the time for which the sending of other hosts is extrapolated.
	longestLag = time.Second
)

// sending measures what this host sends to a service.
type sending struct {
	requests, tokens, unread flow
}

func (s *sending) add(now unit.Moment, l Load) {
	s.requests.add(now, float64(l.Requests))
	s.tokens.add(now, float64(l.Tokens))
	s.unread.add(now, float64(l.Unread))
}

// loads estimates what is in hand at each candidate now. What other hosts told is some hundred milliseconds old. Since then
// engines have gone on reading, and the other hosts, which see the same, have sent to the engines that seemed to have least:
// these are expected to be filled up evenly by as much as the others send in that time. Otherwise an engine that seems idle
// gets the requests of all hosts at once, the more so the more hosts there are.
func (a *Assigner) loads(now unit.Moment, w *Work, candidates []*replica, p pace) []Load {
	loads := make([]Load, len(candidates))
	if !w.Prompted {
		for i, r := range candidates {
			loads[i] = r.own.Add(r.others)
		}
		return loads
	}
	lag := min(loadLag+now.Sub(a.loadsAt), longestLag)
	read := unit.Tokens(drainShare * readRate * float64(lag.Milliseconds()))
	stays := math.Exp(-float64(lag) / float64(p.mean))
	var requests, tokens, unread []float64
	for i, r := range candidates {
		told := r.others
		told.Unread = max(0, told.Unread-read)
		told.Requests, told.Tokens = int(float64(told.Requests)*stays+0.5), unit.Tokens(float64(told.Tokens)*stays)
		loads[i] = r.own.Add(told).Add(r.untold(now, a.hosts))
		if a.reachable(now, r) && !r.updating && !a.suspects(now, r) {
			requests = append(requests, float64(loads[i].Requests))
			tokens, unread = append(tokens, float64(loads[i].Tokens)), append(unread, float64(loads[i].Unread))
		}
	}
	sent, ok := a.sendings[w.Service]
	if !ok {
		return loads
	}
	// What the untold part of each engine's load covers already doesn't count again.
	others := (float64(a.hosts-1) - untoldShare*float64(min(a.hosts-1, mostUntold))) * lag.Seconds()
	level := Load{
		Requests: int(waterLevel(requests, others*sent.requests.youngRate(now)) + 0.5),
		Tokens:   unit.Tokens(waterLevel(tokens, others*sent.tokens.youngRate(now))),
		Unread:   unit.Tokens(waterLevel(unread, others*sent.unread.youngRate(now))),
	}
	for i := range loads {
		l := &loads[i]
		l.Requests, l.Tokens, l.Unread = max(l.Requests, level.Requests), max(l.Tokens, level.Tokens), max(l.Unread, level.Unread)
	}
	return loads
}

// waterLevel is the height up to which the amount fills the lowest of the levels.
func waterLevel(levels []float64, amount float64) float64 {
	slices.Sort(levels)
	sum := amount
	for i, level := range levels {
		sum += level
		height := sum / float64(i+1)
		if i+1 == len(levels) || height <= levels[i+1] {
			return height
		}
	}
	return 0
}
