package assign

import (
	"time"

	"github.com/citronglade/citronglade/internal/admission/room"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// maxClosed limits how long new requests of a class are refused after one that had returned. The estimate of the wait changes with each
// message from the control hosts, several times in that time.
const maxClosed = 500 * time.Millisecond

// arrivalKey identifies the requests of one class that are new, or that have returned after a refusal.
type arrivalKey struct {
	serviceClass
	returned bool
}

// arrivalRate measures the requests of an arrivalKey that arrive at this host.
type arrivalRate struct {
	prefill decayingRate // tokens that engines have to prefill for them
	memory  decayingRate // tokens of memory that they take
}

// hasRoomLimits reports whether package room decides on the request.
func (w *Request) hasRoomLimits() bool {
	return w.HasPrompt && w.Classes >= 2 && len(w.Objectives) > int(w.Class)
}

// recordArrival records a request that wasn't sent to any endpoint yet, and whether it is admitted.
func (a *Assigner) recordArrival(now unit.Moment, w *Request, missing unit.Tokens, decision *room.Decision) {
	if !w.hasRoomLimits() {
		return
	}
	refused := decision != nil && !decision.Admitted
	if w.PreviouslyRefused && refused {
		a.closedUntil[w.statKey()] = now.Add(min(decision.Until, maxClosed))
	}
	if refused != w.PreviouslyRefused { // a returned request that is refused will return again
		a.expectReturn(now, w, missing)
	}
	key := arrivalKey{w.statKey(), w.PreviouslyRefused}
	if a.arrivals[key] == nil {
		a.arrivals[key] = &arrivalRate{}
	}
	a.arrivals[key].prefill.add(now, float64(missing))
	a.arrivals[key].memory.add(now, float64(w.memoryTokens()))
}

// expectReturn records that the caller of a new request was told to return, or that one has returned and is admitted.
func (a *Assigner) expectReturn(now unit.Moment, w *Request, missing unit.Tokens) {
	expected := a.returning[w.statKey()]
	if expected == nil {
		expected = &decayingRate{}
		a.returning[w.statKey()] = expected
	}
	tokens := float64(missing)
	if w.PreviouslyRefused {
		tokens = -tokens
	}
	expected.add(now, tokens)
	expected.sum = max(0, expected.sum)
}

// keptRoom returns what the engines need for the requests that arrive while the request waits and go first: more urgent ones and, before a
// new request, those of its class that have returned after a refusal. Arrivals are balanced over the
// hosts, so that all together get the number of hosts times as many as this one.
func (a *Assigner) keptRoom(now unit.Moment, w *Request, candidates []*replica) room.Kept {
	kept, perEngine := room.Kept{}, a.hostsPerEngine(now, candidates)
	var first []arrivalKey
	for class := range w.Class {
		of := serviceClass{w.Service, class}
		first = append(first, arrivalKey{of, false}, arrivalKey{of, true})
	}
	if !w.PreviouslyRefused {
		first = append(first, arrivalKey{w.statKey(), true})
	}
	for _, key := range first {
		arrivals, ok := a.arrivals[key]
		if !ok {
			continue
		}
		stat := a.serviceStat(key.serviceClass)
		kept.Share += perEngine * arrivals.prefill.rateSinceStart(now) * stat.latencyFactor / (prefillRate * float64(time.Second/time.Millisecond))
		if key.class == w.Class {
			continue // no less urgent ones take their memory
		}
		kept.Memory += unit.Tokens(perEngine * arrivals.memory.rateSinceStart(now) * stat.meanDuration.Seconds())
	}
	return kept
}

// roomQueue returns what goes before the request when there is room again. Callers return to any host, so that this host sees its part of those
// that were refused and of those that return. Callers that don't return are forgotten with the time constant of the rate.
func (a *Assigner) roomQueue(now unit.Moment, w *Request, candidates []*replica) room.Queue {
	queue := room.Queue{ClosedFor: max(0, a.closedUntil[w.statKey()].Sub(now))}
	if expected := a.returning[w.statKey()]; expected != nil {
		tokens := expected.sum * expected.decayFactor(now) * a.hostsPerEngine(now, candidates)
		queue.Returning = time.Duration(tokens * a.serviceStat(w.statKey()).latencyFactor / prefillRate * float64(time.Millisecond))
	}
	return queue
}

// hostsPerEngine returns the number of hosts that share one reachable engine.
func (a *Assigner) hostsPerEngine(now unit.Moment, candidates []*replica) float64 {
	engines := 0
	for _, r := range candidates {
		if a.reachable(now, r) {
			engines++
		}
	}
	return float64(a.hosts) / float64(max(engines, 1))
}

// roomQuestion is what decisions on one request have in common at all endpoints.
type roomQuestion struct {
	request room.Request
	stats   []serviceStat // by class
}

// roomQuestion returns nil if package room doesn't decide on the request.
func (a *Assigner) roomQuestion(now unit.Moment, w *Request, candidates []*replica) *roomQuestion {
	if !w.hasRoomLimits() {
		return nil
	}
	q := &roomQuestion{request: room.Request{
		Objectives: w.Objectives[:w.Class+1], Objective: w.Objective, Returned: w.PreviouslyRefused, Waits: make([]time.Duration, w.Class+1),
		Kept: a.keptRoom(now, w, candidates), Queue: a.roomQueue(now, w, candidates),
	}}
	for class := range w.Class + 1 {
		q.stats = append(q.stats, a.serviceStat(serviceClass{w.Service, class}))
	}
	return q
}

// decide decides whether the request is admitted at the endpoint. It returns nil if package room isn't asked.
func (q *roomQuestion) decide(r *replica, w *Request, l Load, stall time.Duration) *room.Decision {
	if q == nil || r.engine == nil {
		return nil
	}
	request := q.request
	urgent := unit.Tokens(0) // memory of more urgent requests
	for class := range w.Class + 1 {
		load, stat, own := l.upTo(w, class), q.stats[class], unit.Tokens(0)
		if class == w.Class {
			load.Tokens += max(0, request.Kept.Memory-urgent)
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
