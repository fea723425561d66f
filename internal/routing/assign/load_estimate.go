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
	urgent                   [MaxClasses - 1]struct{ requests, tokens, unread decayingRate }
}

func (s *sendRate) add(now unit.Moment, l Load) {
	s.requests.add(now, float64(l.Requests))
	s.tokens.add(now, float64(l.Tokens))
	s.unread.add(now, float64(l.PendingPrefill))
	for i, load := range l.Urgent {
		if load == (ClassLoad{}) {
			continue
		}
		u := &s.urgent[i]
		u.requests.add(now, float64(load.Requests))
		u.tokens.add(now, float64(load.Tokens))
		u.unread.add(now, float64(load.PendingPrefill))
	}
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
	var filled levels
	filledUrgent := make([]levels, w.ownClasses())
	for i, r := range candidates {
		reported := r.others
		whole := reported.whole().after(prefilled, remaining)
		reported.Requests, reported.Tokens, reported.PendingPrefill = whole.Requests, whole.Tokens, whole.PendingPrefill
		for class := range filledUrgent {
			reported.Urgent[class] = reported.Urgent[class].after(prefilled, remaining)
		}
		loads[i] = r.own.Add(reported).Add(r.unreportedLoad(now, a.hosts))
		if a.reachable(now, r) && !r.weightsUpdating && !a.suspected(now, r) && !r.limit.InForce() {
			filled.add(loads[i].whole())
			for class := range filledUrgent {
				filledUrgent[class].add(loads[i].Urgent[class])
			}
		}
	}
	rate, ok := a.sendRates[w.Service]
	if !ok {
		return loads
	}
	// The share that unreportedLoad has already added to each engine's load isn't counted again.
	hostSeconds := (float64(a.hosts-1) - unreportedShare*float64(min(a.hosts-1, maxUnreportedHosts))) * lag.Seconds()
	level := filled.fill(hostSeconds*rate.requests.rateSinceStart(now), hostSeconds*rate.tokens.rateSinceStart(now), hostSeconds*rate.unread.rateSinceStart(now))
	for i := range loads {
		l := &loads[i]
		l.Requests, l.Tokens, l.PendingPrefill = max(l.Requests, level.Requests), max(l.Tokens, level.Tokens), max(l.PendingPrefill, level.PendingPrefill)
	}
	for class := range filledUrgent {
		u := &rate.urgent[class]
		level = filledUrgent[class].fill(hostSeconds*u.requests.rateSinceStart(now), hostSeconds*u.tokens.rateSinceStart(now), hostSeconds*u.unread.rateSinceStart(now))
		for i := range loads {
			l := &loads[i].Urgent[class]
			l.Requests, l.Tokens, l.PendingPrefill = max(l.Requests, level.Requests), max(l.Tokens, level.Tokens), max(l.PendingPrefill, level.PendingPrefill)
		}
	}
	return loads
}

// after returns the load after the engine has prefilled the given number of tokens and the given share of the requests still runs.
func (l ClassLoad) after(prefilled unit.Tokens, remaining float64) ClassLoad {
	return ClassLoad{int(float64(l.Requests)*remaining + 0.5), unit.Tokens(float64(l.Tokens) * remaining), max(0, l.PendingPrefill-prefilled)}
}

// levels are the loads of the engines to which requests may be sent.
type levels struct {
	requests, tokens, unread []float64
}

func (f *levels) add(l ClassLoad) {
	f.requests = append(f.requests, float64(l.Requests))
	f.tokens, f.unread = append(f.tokens, float64(l.Tokens)), append(f.unread, float64(l.PendingPrefill))
}

// fill returns the load up to which the given amounts fill the least loaded engines.
func (f *levels) fill(requests, tokens, unread float64) ClassLoad {
	return ClassLoad{
		Requests: int(waterLevel(f.requests, requests) + 0.5), Tokens: unit.Tokens(waterLevel(f.tokens, tokens)), PendingPrefill: unit.Tokens(waterLevel(f.unread, unread)),
	}
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
