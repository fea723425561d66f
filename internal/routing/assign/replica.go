package assign

import (
	"container/list"
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
)

const (
	// readRate is the speed in prompt tokens a millisecond at which an engine reads a prompt, before answers tell better.
	readRate = 50.0
	// firstStep is the time of an engine's answer to a request without unread tokens, before answers tell better.
	firstStep = 25 * time.Millisecond
	// defaultDuration is the time that a request takes a place at an endpoint, before answers tell better.
	defaultDuration = 150 * time.Millisecond
	// learnShare is the weight of a new sample in learned times.
	learnShare = 0.1
	// paceShare is the weight of a new sample in the pace of a whole service, and ratioBound bounds one sample.
	paceShare, ratioBound = 0.04, 5.0
	// slowest and fastest bound the learned factor between expected and observed times.
	slowest, fastest = 8.0, 0.6
	// failureMemory is the time constant with which failures are forgotten.
	failureMemory = 4 * time.Second
	// firstPause is how long an endpoint that can't be reached is left out; it doubles with each further failure.
	firstPause, longestPause = 400 * time.Millisecond, 6 * time.Second
	// loadLag is the age of what other hosts tell of their load, and untoldShare the part of this host's own sending that
	// each of the others is expected to have sent to the same endpoint meanwhile.
	loadLag     = 180 * time.Millisecond
	untoldShare = 0.8
	// leastStall is the silence beyond the expected time from which an endpoint counts as stalled.
	leastStall = 100 * time.Millisecond
	// mostUntold bounds the hosts that this is expected of. One of very many hosts sends so little that its own sending says
	// nothing about the others'.
	mostUntold = 8
	// fullPause is how long an endpoint that was full is left out.
	fullPause = 60 * time.Millisecond
)

// replica is what this host believes of one endpoint.
type replica struct {
	registry.Report
	heardAt  unit.Moment
	engine   *table.Engine // nil for a plain service
	updating bool          // its weights are being changed
	upcoming bool          // its weights are changed next
	own      Load          // in hand from this host
	recent   floatLoad     // sent from this host within loadLag, weighted by age
	recentAt unit.Moment
	others   Load // in hand from other hosts, as they told
	flights  map[*Flight]struct{}

	cached *partCache
	factor float64 // observed over expected time to the first byte
	mean   time.Duration

	failures, attempts float64 // within failureMemory
	decayedAt          unit.Moment
	inRow              int
	pausedUntil        unit.Moment
	failedAt           unit.Moment // when the endpoint last couldn't be reached or was silent
	checkedAt          unit.Moment // when a check began last
	answeredAt         unit.Moment // the last byte from the endpoint
	leaving            bool        // said in an answer that it leaves
	aloneUntil         unit.Moment // end of the pause that it asked for
}

func newReplica(r registry.Endpoint, engine *table.Engine) *replica {
	memory := unit.Tokens(0)
	if engine != nil {
		memory = engine.Memory
	}
	return &replica{
		Report: r.Report, heardAt: r.HeardAt, engine: engine, cached: newPartCache(memory), factor: 1, mean: defaultDuration,
		flights: map[*Flight]struct{}{},
	}
}

// untold estimates what other hosts have sent since they told: each of them has probably sent as much there as this host has,
// because all decide alike on the same view.
func (r *replica) untold(now unit.Moment, hosts int) Load {
	keep := math.Exp(-float64(now.Sub(r.recentAt)) / float64(loadLag))
	return r.recent.scale(keep * untoldShare * float64(min(hosts-1, mostUntold))).round()
}

// sent notes a load that other hosts can't know of yet.
func (r *replica) sent(now unit.Moment, l Load) {
	keep := math.Exp(-float64(now.Sub(r.recentAt)) / float64(loadLag))
	r.recent = r.recent.scale(keep).add(l)
	r.recentAt = now
}

// unread is the part of the prompt that is left after its first parts.
func (w *Work) unread(held int) unit.Tokens {
	left := w.Prompt
	for _, part := range w.Parts[:held] {
		left -= part.Tokens
	}
	return max(left, 0)
}

// waiting returns how long a request that takes so much memory of its own waits for others at the endpoint.
func (r *replica) waiting(w *Work, own unit.Tokens, p pace, l Load) time.Duration {
	if r.engine == nil || !w.Prompted {
		slots := max(r.Slots, 1)
		// Requests beyond the places wait for one to become free.
		return time.Duration(float64(r.mean) * float64(max(0, l.Requests+1-slots)) / float64(slots))
	}
	reading := p.factor * r.factor * float64(l.Unread) / readRate * float64(time.Millisecond)
	return time.Duration(reading) + r.waitForMemory(own, p, l) + r.waitForSlot(p, l)
}

// alone returns the time until the first byte of an answer that waits for nobody.
func (r *replica) alone(w *Work, p pace, missing unit.Tokens) time.Duration {
	if r.engine == nil || !w.Prompted {
		return r.mean
	}
	return time.Duration(p.factor * r.factor * (float64(firstStep) + float64(missing)/readRate*float64(time.Millisecond)))
}

// stalled is how much longer than expected the endpoint has sent nothing at all while a request of this host waits there.
// The next request will probably wait for as long again.
func (r *replica) stalled(now unit.Moment) time.Duration {
	longest := time.Duration(0)
	for f := range r.flights {
		if !f.begun {
			longest = max(longest, f.quiet(now)-f.expected)
		}
	}
	if longest < leastStall {
		return 0
	}
	return longest
}

// waitForMemory is the time until enough of the running requests have ended to make room. Their memory is expected to be
// given back evenly over the mean time of a request.
func (r *replica) waitForMemory(own unit.Tokens, p pace, l Load) time.Duration {
	short := l.Tokens + own - r.engine.Memory
	if short <= 0 || l.Tokens <= 0 {
		return 0
	}
	return time.Duration(float64(p.mean) * float64(short) / float64(l.Tokens))
}

func (r *replica) waitForSlot(p pace, l Load) time.Duration {
	over := l.Requests + 1 - r.engine.Slots
	if over <= 0 || r.engine.Slots <= 0 {
		return 0
	}
	return time.Duration(float64(p.mean) * float64(over) / float64(r.engine.Slots))
}

// reliability is the part of attempts that is expected to succeed.
func (r *replica) reliability(now unit.Moment) float64 {
	r.decay(now)
	return 1 - r.failures/(r.attempts+2)
}

func (r *replica) decay(now unit.Moment) {
	keep := math.Exp(-float64(now.Sub(r.decayedAt)) / float64(failureMemory))
	r.failures *= keep
	r.attempts *= keep
	r.decayedAt = now
}

// note takes the end of an attempt into account.
func (r *replica) note(now unit.Moment, ending Ending) {
	switch ending {
	case EndedByCaller:
		return
	case EndedFull:
		r.pausedUntil = max(r.pausedUntil, now.Add(fullPause))
		return
	case EndedElsewhere:
		return
	case EndedWell:
		r.inRow = 0
		r.decay(now)
		r.attempts++
		return
	case EndedFailed, EndedBroken, EndedSilent, EndedUnreachable:
	}
	r.decay(now)
	r.attempts++
	r.failures++
	if ending == EndedUnreachable || ending == EndedSilent {
		r.pausedUntil = now.Add(min(firstPause<<min(r.inRow, 8), longestPause))
		r.failedAt = now
		r.inRow++
	}
}

// weights returns the number of the model's weights, 0 if unknown.
func (r *replica) weights(model unit.ModelName) book.WeightsNumber {
	return r.Weights[model]
}

// floatLoad is a load in fractions.
type floatLoad struct {
	requests, tokens, unread float64
}

func (l floatLoad) add(other Load) floatLoad {
	return floatLoad{l.requests + float64(other.Requests), l.tokens + float64(other.Tokens), l.unread + float64(other.Unread)}
}

func (l floatLoad) round() Load {
	return Load{Requests: int(l.requests + 0.5), Tokens: unit.Tokens(l.tokens), Unread: unit.Tokens(l.unread)}
}

func (l floatLoad) scale(by float64) floatLoad {
	return floatLoad{l.requests * by, l.tokens * by, l.unread * by}
}

// partCache models which prompt parts an engine holds: the most recently used ones that fit its memory.
type partCache struct {
	memory unit.Tokens
	used   unit.Tokens
	order  *list.List // of *cachedPart, the most recently used first
	parts  map[Prefix]*list.Element
}

type cachedPart struct {
	prefix Prefix
	tokens unit.Tokens
	sentAt unit.Moment // when a request with it was sent last
}

func newPartCache(memory unit.Tokens) *partCache {
	return &partCache{memory: memory, order: list.New(), parts: map[Prefix]*list.Element{}}
}

// held returns how many of the prompt's first parts are cached, counting those that were sent after the moment since.
func (c *partCache) held(w *Work, since unit.Moment) int {
	for i := range w.prefixes {
		if !c.has(w, i, since) {
			return i
		}
	}
	return len(w.prefixes)
}

func (c *partCache) has(w *Work, i int, since unit.Moment) bool {
	element, ok := c.parts[w.prefixes[i]]
	if !ok {
		return false
	}
	part, _ := element.Value.(*cachedPart)
	return part.sentAt >= since
}

// add notes that the engine reads the prompt. The parts of a request count as used last part first, so that a shared part
// outlives what follows it.
func (c *partCache) add(now unit.Moment, w *Work, memory unit.Tokens) {
	c.memory = memory
	for i := len(w.prefixes) - 1; i >= 0; i-- {
		if element, ok := c.parts[w.prefixes[i]]; ok {
			c.order.MoveToFront(element)
			known, _ := element.Value.(*cachedPart)
			known.sentAt = now
			continue
		}
		part := &cachedPart{w.prefixes[i], w.Parts[i].Tokens, now}
		c.parts[part.prefix] = c.order.PushFront(part)
		c.used += part.tokens
	}
	for c.used > c.memory && c.order.Len() > 0 {
		last := c.order.Back()
		part, _ := c.order.Remove(last).(*cachedPart)
		delete(c.parts, part.prefix)
		c.used -= part.tokens
	}
}

func (c *partCache) clear() {
	c.used = 0
	c.order.Init()
	clear(c.parts)
}
