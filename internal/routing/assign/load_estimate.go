package assign

import (
	"cmp"
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
	readTokens := prefillTimeShare * prefillRate * float64(lag.Milliseconds())
	// The estimate also counts what engines read of the prompts that were sent after the report. Without that, the estimated wait is longer than the
	// real one by about the age of the report.
	readsNew := w.learnsSpeeds()
	if readsNew {
		readTokens /= stat.latencyFactor
	}
	remaining := math.Exp(-float64(lag) / float64(stat.meanDuration))
	var filled levels
	filledUrgent := make([]levels, w.ownClasses())
	for i, r := range candidates {
		reported, unreported := r.others, r.unreportedLoad(now, a.hosts)
		if readsNew {
			reported, unreported = reported.Add(unreported), Load{}
		}
		speed := 1 / r.knownFactor()
		prefilled := unit.Tokens(readTokens * speed)
		after := reported
		whole := reported.whole().after(prefilled, remaining)
		after.Requests, after.Tokens, after.PendingPrefill = whole.Requests, whole.Tokens, whole.PendingPrefill
		for class := range filledUrgent {
			after.Urgent[class] = reported.Urgent[class].after(prefilled, remaining)
		}
		loads[i] = r.own.Add(after).Add(unreported)
		if a.reachable(now, r) && !r.weightsUpdating && !a.suspected(now, r) && !r.limit.InForce() {
			filled.add(loads[i].whole(), speed, prefilled-reported.PendingPrefill)
			for class := range filledUrgent {
				filledUrgent[class].add(loads[i].Urgent[class], speed, prefilled-reported.Urgent[class].PendingPrefill)
			}
		}
	}
	rate, ok := a.sendRates[w.Service]
	if !ok {
		return loads
	}
	// The share that unreportedLoad has already added to each engine's load isn't counted again.
	hostSeconds := (float64(a.hosts-1) - unreportedShare*float64(min(a.hosts-1, maxUnreportedHosts))) * lag.Seconds()
	fill := func(of levels, requests, tokens, unread decayingRate) (levelAt func(r *replica) ClassLoad) {
		amount := hostSeconds * unread.rateSinceStart(now)
		if readsNew {
			amount = max(0, amount-of.spare)
		}
		level := ClassLoad{
			Requests: int(waterLevel(of.requests, hostSeconds*requests.rateSinceStart(now)) + 0.5),
			Tokens:   unit.Tokens(waterLevel(of.tokens, hostSeconds*tokens.rateSinceStart(now))),
		}
		unreadLevel := weightedWaterLevel(of.unread, amount)
		return func(r *replica) ClassLoad {
			level.PendingPrefill = unit.Tokens(unreadLevel / r.knownFactor())
			return level
		}
	}
	levelAt := fill(filled, rate.requests, rate.tokens, rate.unread)
	for i, r := range candidates {
		l, level := &loads[i], levelAt(r)
		l.Requests, l.Tokens, l.PendingPrefill = max(l.Requests, level.Requests), max(l.Tokens, level.Tokens), max(l.PendingPrefill, level.PendingPrefill)
	}
	for class := range filledUrgent {
		u := &rate.urgent[class]
		levelAt = fill(filledUrgent[class], u.requests, u.tokens, u.unread)
		for i, r := range candidates {
			l, level := &loads[i].Urgent[class], levelAt(r)
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
	requests, tokens []float64
	unread           []level
	spare            float64 // tokens that the engines could read besides the reported ones
}

func (f *levels) add(l ClassLoad, speed float64, spare unit.Tokens) {
	f.requests = append(f.requests, float64(l.Requests))
	f.tokens, f.unread = append(f.tokens, float64(l.Tokens)), append(f.unread, level{float64(l.PendingPrefill), speed})
	f.spare += max(0, float64(spare))
}

// level is the load of one engine and the weight of that engine.
type level struct {
	amount, weight float64
}

// waterLevel returns the height up to which the amount fills the lowest of the levels.
func waterLevel(levels []float64, amount float64) float64 {
	weighted := make([]level, 0, len(levels))
	for _, l := range levels {
		weighted = append(weighted, level{l, 1})
	}
	return weightedWaterLevel(weighted, amount)
}

// weightedWaterLevel is waterLevel for engines of different weights. The height of a level is its amount divided by its weight.
func weightedWaterLevel(levels []level, amount float64) float64 {
	slices.SortFunc(levels, func(a, b level) int { return cmp.Compare(a.amount/a.weight, b.amount/b.weight) })
	sum, weight := amount, 0.0
	for i, l := range levels {
		sum, weight = sum+l.amount, weight+l.weight
		height := sum / weight
		if i+1 == len(levels) || height <= levels[i+1].amount/levels[i+1].weight {
			return height
		}
	}
	return 0
}
