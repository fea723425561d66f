package assign

import (
	"container/list"
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/permit"
)

const (
	// prefillRate is the initial estimate of an engine's prefill speed, in prompt tokens per millisecond.
	prefillRate = 50.0
	// firstTokenOverhead is the initial estimate of the time to the first byte for a request without tokens to prefill.
	firstTokenOverhead = 25 * time.Millisecond
	// defaultDuration is the initial estimate of the time for which a request takes a slot at an endpoint.
	defaultDuration = 150 * time.Millisecond
	// replicaLearningRate is the weight of a new sample in the moving averages of an endpoint.
	replicaLearningRate = 0.1
	// serviceLearningRate is the weight of a new sample in the moving averages of a service, and maxSampleRatio limits the effect
	// of one sample on a latency factor.
	serviceLearningRate, maxSampleRatio = 0.04, 5.0
	// minLatencyFactor and maxLatencyFactor limit the learned ratio of observed to expected time.
	maxLatencyFactor, minLatencyFactor = 8.0, 0.6
	// failureDecayTime is the time constant of the exponential decay of failure counts.
	failureDecayTime = 4 * time.Second
	// firstPause is how long an endpoint that can't be reached gets no requests. It doubles with each further failure, up to
	// longestPause.
	firstPause, longestPause = 400 * time.Millisecond, 6 * time.Second
	// loadLag is the age of the loads that other hosts report. unreportedShare is the share of this host's own recent load that
	// each other host is assumed to have sent to the same endpoint in that time.
	loadLag         = 180 * time.Millisecond
	unreportedShare = 0.8
	// minStall is the silence beyond the expected time from which an endpoint counts as stalled.
	minStall = 100 * time.Millisecond
	// maxUnreportedHosts limits the number of other hosts for which unreportedShare is assumed. With very many hosts, each sends
	// so little that its own load says nothing about that of the others.
	maxUnreportedHosts = 8
	// fullPause is how long an endpoint that was full gets no requests.
	fullPause = 60 * time.Millisecond
)

// replica is the state of one endpoint as this host knows it.
type replica struct {
	registry.Report
	heardAt           unit.Moment
	engine            *table.Engine // nil for a plain service
	weightsUpdating   bool          // its weights are being updated
	weightsUpdateNext bool          // its weights are updated next
	own               Load          // load of this host's running requests
	recent            floatLoad     // load sent by this host, decayed with the time constant loadLag
	recentAt          unit.Moment
	others            Load // load of other hosts, as reported by them
	flights           map[*Attempt]struct{}

	cached        *partCache
	latencyFactor float64 // observed / expected time to the first byte
	relativeTime  relativeTime
	meanDuration  time.Duration // see duration
	unlearned     float64       // weight of defaultDuration in meanDuration

	failures, attempts  float64 // decayed with the time constant failureDecayTime
	decayedAt           unit.Moment
	failuresInRow       int
	pausedUntil         unit.Moment
	unreachableAt       unit.Moment // when the endpoint was last unreachable or silent
	checkedAt           unit.Moment // when the last check began
	connectFailedAt     unit.Moment // when a connection last couldn't be made
	restsUntil          unit.Moment // until when this host sends it nothing while it is brittle
	lastByteAt          unit.Moment // when the endpoint last sent something
	crashedAt           unit.Moment // when the endpoint's process was found to have ended
	leaving             bool        // an answer said that the endpoint leaves
	requestedPauseUntil unit.Moment // end of the pause that the endpoint asked for

	limit          requestlimit.Limit // named in answers to this or other hosts
	limitKnownAt   unit.Moment        // when this host learned limit
	publishedLimit requestlimit.Limit // known to the control host
	permits        []permit.Batch
	demand         decayingRate // requests for which this endpoint was the best choice, while it names a limit
	ownTurn        unit.Moment  // when this host may send a request without a permit, see mayUseOwnShare
}

func newReplica(r registry.Endpoint, engine *table.Engine) *replica {
	memory := unit.Tokens(0)
	if engine != nil {
		memory = engine.CacheTokens
	}
	return &replica{
		Report: r.Report, heardAt: r.HeardAt, engine: engine, cached: newPartCache(memory), latencyFactor: 1, meanDuration: defaultDuration, unlearned: 1,
		flights: map[*Attempt]struct{}{},
	}
}

// unreportedLoad estimates what other hosts have sent since their last report: probably about as much per host as this host,
// because all hosts decide alike on the same information.
func (r *replica) unreportedLoad(now unit.Moment, hosts int) Load {
	keep := math.Exp(-float64(now.Sub(r.recentAt)) / float64(loadLag))
	return r.recent.scale(keep * unreportedShare * float64(min(hosts-1, maxUnreportedHosts))).round()
}

// addRecent adds a load that other hosts can't know of yet.
func (r *replica) addRecent(now unit.Moment, l Load) {
	keep := math.Exp(-float64(now.Sub(r.recentAt)) / float64(loadLag))
	r.recent = r.recent.scale(keep).add(l)
	r.recentAt = now
}

// tokensAfter returns the number of prompt tokens after the first held parts.
func (w *Request) tokensAfter(held int) unit.Tokens {
	left := w.Prompt
	for _, part := range w.Parts[:held] {
		left -= part.Tokens
	}
	return max(left, 0)
}

// queueTime returns how long the request waits for others at the endpoint. It needs the memory of own tokens to begin.
func (r *replica) queueTime(w *Request, own unit.Tokens, stat serviceStat, l Load) time.Duration {
	if r.engine == nil || !w.HasPrompt {
		slots := max(r.Slots, 1)
		// Requests beyond the number of slots wait until one becomes free.
		return time.Duration(float64(r.duration(stat)) * float64(max(0, l.Requests+1-slots)) / float64(slots))
	}
	ahead := l.ahead(w)
	return r.waitForPrefill(stat, ahead) + r.waitForMemory(own, stat, ahead) + r.waitForSlot(stat, ahead)
}

// unqueuedTime returns the time to the first byte of a request that doesn't wait for others.
func (r *replica) unqueuedTime(w *Request, stat serviceStat, missing unit.Tokens) time.Duration {
	if r.engine == nil || !w.HasPrompt {
		return r.duration(stat)
	}
	return time.Duration(stat.latencyFactor * r.timeFactor() * (float64(firstTokenOverhead) + float64(missing)/prefillRate*float64(time.Millisecond)))
}

// duration returns the estimated duration of a request that isn't a prompt. As far as an endpoint that names a limit hasn't answered yet,
// the mean of its service is used: with the fixed initial estimate, it would look slow among faster endpoints and never get the requests
// that correct it.
func (r *replica) duration(stat serviceStat) time.Duration {
	if r.engine != nil || !r.limit.InForce() { // stat of a service with engines is that of prompts
		return r.meanDuration
	}
	return r.meanDuration + time.Duration(r.unlearned*float64(stat.meanDuration-defaultDuration))
}

// stallTime returns how much longer than expected the endpoint has sent nothing while a request of this host waits for its first
// byte. The next request will probably wait for as long again.
func (r *replica) stallTime(now unit.Moment) time.Duration {
	stall := time.Duration(0)
	for f := range r.flights {
		if !f.answering {
			stall = max(stall, f.silence(now)-f.expected)
		}
	}
	if stall < minStall {
		return 0
	}
	return stall
}

// waitForPrefill returns the time until the engine has read the prompts.
func (r *replica) waitForPrefill(stat serviceStat, l ClassLoad) time.Duration {
	return time.Duration(stat.latencyFactor * r.timeFactor() * float64(l.PendingPrefill) / prefillRate * float64(time.Millisecond))
}

// waitForMemory returns the time until enough running requests have ended to free the needed memory. Their memory is assumed to
// be freed evenly over the mean duration of a request.
func (r *replica) waitForMemory(own unit.Tokens, stat serviceStat, l ClassLoad) time.Duration {
	short := l.Tokens + own - r.engine.CacheTokens
	if short <= 0 || l.Tokens <= 0 {
		return 0
	}
	return time.Duration(float64(stat.meanDuration) * float64(short) / float64(l.Tokens))
}

func (r *replica) waitForSlot(stat serviceStat, l ClassLoad) time.Duration {
	over := l.Requests + 1 - r.engine.Slots
	if over <= 0 || r.engine.Slots <= 0 {
		return 0
	}
	return time.Duration(float64(stat.meanDuration) * float64(over) / float64(r.engine.Slots))
}

// reliability is the expected share of successful attempts.
func (r *replica) reliability(now unit.Moment) float64 {
	r.decay(now)
	return 1 - r.failures/(r.attempts+2)
}

func (r *replica) decay(now unit.Moment) {
	keep := math.Exp(-float64(now.Sub(r.decayedAt)) / float64(failureDecayTime))
	r.failures *= keep
	r.attempts *= keep
	r.decayedAt = now
}

// recordEnding updates failure counts and pauses with the end of an attempt.
func (r *replica) recordEnding(now unit.Moment, ending Ending) {
	switch ending {
	case EndedByCaller:
		return
	case EndedFull:
		r.pausedUntil = max(r.pausedUntil, now.Add(fullPause))
		return
	case EndedMismatch:
		return
	case EndedComplete:
		r.failuresInRow = 0
		r.decay(now)
		r.attempts++
		return
	case EndedFailed, EndedBroken, EndedSilent, EndedUnreachable:
	}
	r.decay(now)
	r.attempts++
	r.failures++
	if ending == EndedUnreachable || ending == EndedSilent {
		r.pausedUntil = now.Add(min(firstPause<<min(r.failuresInRow, 8), longestPause))
		r.unreachableAt = now
		r.failuresInRow++
	}
}

// weights returns the version of the model's weights, 0 if unknown.
func (r *replica) weights(model unit.ModelName) decisions.WeightsNumber {
	return r.Weights[model]
}

// floatLoad is a load with fractional counts.
type floatLoad struct {
	requests, tokens, unread float64
	urgent                   [MaxClasses - 1]floatClassLoad
}

type floatClassLoad struct {
	requests, tokens, unread float64
}

func (l floatLoad) add(other Load) floatLoad {
	for i, o := range other.Urgent {
		u := &l.urgent[i]
		u.requests, u.tokens, u.unread = u.requests+float64(o.Requests), u.tokens+float64(o.Tokens), u.unread+float64(o.PendingPrefill)
	}
	l.requests, l.tokens, l.unread = l.requests+float64(other.Requests), l.tokens+float64(other.Tokens), l.unread+float64(other.PendingPrefill)
	return l
}

func (l floatLoad) round() Load {
	rounded := Load{Requests: int(l.requests + 0.5), Tokens: unit.Tokens(l.tokens), PendingPrefill: unit.Tokens(l.unread)}
	for i, u := range l.urgent {
		rounded.Urgent[i] = ClassLoad{int(u.requests + 0.5), unit.Tokens(u.tokens), unit.Tokens(u.unread)}
	}
	return rounded
}

func (l floatLoad) scale(by float64) floatLoad {
	for i := range l.urgent {
		u := &l.urgent[i]
		u.requests, u.tokens, u.unread = u.requests*by, u.tokens*by, u.unread*by
	}
	l.requests, l.tokens, l.unread = l.requests*by, l.tokens*by, l.unread*by
	return l
}

// maxCachedParts bounds the parts of one engine, since callers may state parts without tokens. Engines hold some 400 parts of usual sizes.
const maxCachedParts = 512

// partCache models the prompt parts that an engine has cached: the most recently used ones that fit into its memory.
type partCache struct {
	memory unit.Tokens
	used   unit.Tokens
	order  *list.List // of *cachedPart, most recently used first
	parts  map[Prefix]*list.Element
}

type cachedPart struct {
	prefix Prefix
	tokens unit.Tokens
	sentAt unit.Moment // when a request with this part was last sent
}

func newPartCache(memory unit.Tokens) *partCache {
	return &partCache{memory: memory, order: list.New(), parts: map[Prefix]*list.Element{}}
}

// held returns the number of leading parts of the prompt that are cached and were last sent at or after since.
func (c *partCache) held(w *Request, since unit.Moment) int {
	for i := range w.prefixes {
		if !c.has(w, i, since) {
			return i
		}
	}
	return len(w.prefixes)
}

func (c *partCache) has(w *Request, i int, since unit.Moment) bool {
	element, ok := c.parts[w.prefixes[i]]
	if !ok {
		return false
	}
	part, _ := element.Value.(*cachedPart)
	return part.sentAt >= since
}

// add records that the engine prefills the prompt. The parts count as used in reverse order, so that a shared part is evicted
// after the parts that follow it.
func (c *partCache) add(now unit.Moment, w *Request, memory unit.Tokens) {
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
	for (c.used > c.memory || c.order.Len() > maxCachedParts) && c.order.Len() > 0 {
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
