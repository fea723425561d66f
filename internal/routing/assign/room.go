package assign

import (
	"time"

	"github.com/citronglade/citronglade/internal/admission/room"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// arrivalRate measures the requests of one class that arrive at this host.
type arrivalRate struct {
	prefill decayingRate // tokens that engines have to prefill for them
	memory  decayingRate // tokens of memory that they take
}

// hasRoomLimits reports whether package room decides on the request.
func (w *Request) hasRoomLimits() bool {
	return w.HasPrompt && w.Classes >= 2 && len(w.Objectives) > int(w.Class)
}

// recordArrival records a request that wasn't sent to any endpoint yet, whether it is admitted or not.
func (a *Assigner) recordArrival(now unit.Moment, w *Request, missing unit.Tokens) {
	if !w.hasRoomLimits() {
		return
	}
	key := w.statKey()
	if a.arrivals[key] == nil {
		a.arrivals[key] = &arrivalRate{}
	}
	a.arrivals[key].prefill.add(now, float64(missing))
	a.arrivals[key].memory.add(now, float64(w.memoryTokens()))
}

// keptRoom returns what the engines need for the more urgent requests that arrive while the request waits. Arrivals are balanced over the
// hosts, so that all together get the number of hosts times as many as this one.
func (a *Assigner) keptRoom(now unit.Moment, w *Request, candidates []*replica) room.Kept {
	if !w.hasRoomLimits() {
		return room.Kept{}
	}
	engines := 0
	for _, r := range candidates {
		if a.reachable(now, r) {
			engines++
		}
	}
	kept, perEngine := room.Kept{}, float64(a.hosts)/float64(max(engines, 1))
	for class := range w.Class {
		key := serviceClass{w.Service, class}
		arrivals, ok := a.arrivals[key]
		if !ok {
			continue
		}
		stat := a.serviceStat(key)
		kept.Share += perEngine * arrivals.prefill.rateSinceStart(now) * stat.latencyFactor / (prefillRate * float64(time.Second/time.Millisecond))
		kept.Memory += unit.Tokens(perEngine * arrivals.memory.rateSinceStart(now) * stat.meanDuration.Seconds())
	}
	return kept
}

// decideRoom decides whether the request is admitted at the endpoint. It returns nil if the service has one class.
func (a *Assigner) decideRoom(r *replica, w *Request, l Load, stall time.Duration, kept room.Kept) *room.Decision {
	if !w.hasRoomLimits() || r.engine == nil {
		return nil
	}
	request := room.Request{Objectives: w.Objectives[:w.Class+1], Objective: w.Objective, Kept: kept, Waits: make([]time.Duration, w.Class+1)}
	urgent := unit.Tokens(0) // memory of more urgent requests
	for class := range w.Class + 1 {
		load, stat, own := l.upTo(w, class), a.serviceStat(serviceClass{w.Service, class}), unit.Tokens(0)
		if class == w.Class {
			load.Tokens += max(0, kept.Memory-urgent)
			own = w.memoryTokens()
		}
		memory := r.waitForMemory(own, stat, load)
		request.Waits[class] = r.waitForPrefill(stat, load) + memory + r.waitForSlot(stat, load) + stall
		if class == w.Class {
			request.MemoryWait = memory
		}
		urgent = load.Tokens
	}
	decision := room.Decide(request)
	return &decision
}
