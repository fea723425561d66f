package assign

import (
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// prefillTimeShare is the share of an engine's time that is assumed to go into prefill; decoding takes the rest. It gives the
	// rate at which the tokens that other hosts reported as unread are processed after the report.
	prefillTimeShare = 0.6
	// maxLoadLag limits the time over which the load of other hosts is extrapolated.
	maxLoadLag = time.Second
)

// sendRate measures the load that this host sends to a service.
type sendRate struct {
	requests, tokens, unread decayingRate
}

func (s *sendRate) add(now unit.Moment, l Load) {
	s.requests.add(now, float64(l.Requests))
	s.tokens.add(now, float64(l.Tokens))
	s.unread.add(now, float64(l.PendingPrefill))
}

// estimateLoads estimates the current load at each candidate. The loads reported by other hosts are some hundred milliseconds
// old. Since then, engines have gone on with their prefill, and the other hosts, which decide on the same reports, have sent
// requests to the engines that seemed least loaded. Those engines are therefore assumed to be filled up evenly (water-filling) by
// the amount that the other hosts send in that time. Otherwise an engine that seems idle would get the requests of all hosts at
// once, which gets worse the more hosts there are.
func (a *Assigner) estimateLoads(now unit.Moment, w *Request, candidates []*replica, stat serviceStat) []Load {
	loads := make([]Load, len(candidates))
	if !w.HasPrompt {
		for i, r := range candidates {
			loads[i] = r.own.Add(r.others)
		}
		return loads
	}
	lag := min(loadLag+now.Sub(a.loadsAt), maxLoadLag)
	prefilled := unit.Tokens(prefillTimeShare * prefillRate * float64(lag.Milliseconds()))
	remaining := math.Exp(-float64(lag) / float64(stat.meanDuration))
	var requests, tokens, unread []float64
	for i, r := range candidates {
		reported := r.others
		reported.PendingPrefill = max(0, reported.PendingPrefill-prefilled)
		reported.Requests, reported.Tokens = int(float64(reported.Requests)*remaining+0.5), unit.Tokens(float64(reported.Tokens)*remaining)
		loads[i] = r.own.Add(reported).Add(r.unreportedLoad(now, a.hosts))
		if a.reachable(now, r) && !r.weightsUpdating && !a.suspected(now, r) && !r.limit.InForce() {
			requests = append(requests, float64(loads[i].Requests))
			tokens, unread = append(tokens, float64(loads[i].Tokens)), append(unread, float64(loads[i].PendingPrefill))
		}
	}
	rate, ok := a.sendRates[w.Service]
	if !ok {
		return loads
	}
	// The share that unreportedLoad has already added to each engine's load isn't counted again.
	hostSeconds := (float64(a.hosts-1) - unreportedShare*float64(min(a.hosts-1, maxUnreportedHosts))) * lag.Seconds()
	level := Load{
		Requests:       int(waterLevel(requests, hostSeconds*rate.requests.rateSinceStart(now)) + 0.5),
		Tokens:         unit.Tokens(waterLevel(tokens, hostSeconds*rate.tokens.rateSinceStart(now))),
		PendingPrefill: unit.Tokens(waterLevel(unread, hostSeconds*rate.unread.rateSinceStart(now))),
	}
	for i := range loads {
		l := &loads[i]
		l.Requests, l.Tokens, l.PendingPrefill = max(l.Requests, level.Requests), max(l.Tokens, level.Tokens), max(l.PendingPrefill, level.PendingPrefill)
	}
	return loads
}

// waterLevel returns the height up to which the amount fills the lowest of the levels.
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
