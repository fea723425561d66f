package placement

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// Cost estimates used until the first answers arrive. They favour keeping a request at its home endpoint: a cache miss
// costs more than a short queue.
const (
	priorPrefill  = 50 * float64(time.Microsecond) // per token
	priorQueue    = 50 * float64(time.Millisecond) // per request ahead
	priorTransfer = 5 * float64(time.Microsecond)  // per token
)

const (
	// transferSetup is the fixed cost of an import from a cache store: one lookup and one connection.
	transferSetup = 5 * time.Millisecond
	// minSampleTokens is the minimum number of computed tokens for a prefill sample. With fewer tokens, the time to
	// first token depends more on the network than on prefill.
	minSampleTokens unit.Tokens = 256
	// learnRate is the weight of a new sample once there are many samples.
	learnRate = 0.1
	// decreaseRate and increaseRate are the weights of prefill samples below and above the estimate. An engine computes
	// the prompts in its slots one after the other, so most samples include a wait that the engine doesn't report; only
	// the low samples show the cost of prefill itself.
	decreaseRate = 0.3
	increaseRate = 0.01
	// minOwnSamples is the number of samples from which on an endpoint's own prefill cost is used instead of its
	// pool's.
	minOwnSamples = 32
	// queuePriorWeight is the number of requests that the prior estimate of a wait counts as.
	queuePriorWeight = 4
	// queueDecay multiplies the sums that the wait estimates are computed from, each time that a request is added to
	// them.
	queueDecay = 0.98
	// maxCongestion is reached when the endpoints compute prompts 80% of the time.
	maxCongestion = 4
	// maxCosts limits the number of endpoints with learned costs.
	maxCosts = 4096
)

// Limits of the learned costs, so that a single implausible answer can't make an endpoint look free or unusable.
const (
	minTokenCost      = float64(100 * time.Nanosecond)
	maxTokenCost      = float64(10 * time.Millisecond)
	maxWaitPerRequest = float64(2 * time.Second)
)

// average is a running mean: the first samples have a high weight, later ones are averaged exponentially.
type average struct {
	Value   float64
	Samples int
}

func (a *average) add(sample float64) {
	a.Samples = min(a.Samples+1, 1000)
	a.moveTowards(sample, max(learnRate, 1/float64(a.Samples)))
}

// addLowBiased adds a sample and follows low samples faster than high ones, see increaseRate.
func (a *average) addLowBiased(sample float64) {
	a.Samples = min(a.Samples+1, 1000)
	switch {
	case a.Samples == 1:
		a.moveTowards(sample, 1)
	case sample > a.Value:
		a.moveTowards(min(sample, 2*a.Value), increaseRate)
	default:
		a.moveTowards(sample, decreaseRate)
	}
}

func (a *average) moveTowards(sample, rate float64) {
	a.Value += rate * (min(max(sample, minTokenCost), maxTokenCost) - a.Value)
}

// cost holds the learned costs of one endpoint or of a whole pool. Times are in nanoseconds.
type cost struct {
	Prefill  average // per token
	Transfer average // per token
	// Waited sums the time that requests waited in the queue for a slot, Ahead the number of requests that were ahead
	// of them. Both decay.
	Waited, Ahead float64
	// Urgent and Rest hold the waits in slots for requests of urgency 0 and for all others, which engines let the
	// urgent ones overtake.
	Urgent, Rest slotWaits
}

// slotWaits sums, over requests that run in slots, the time that they waited for the prefill of other requests
// (Shared), the time of their own prefill (Worked), and the number of requests that were at the endpoint when they were
// sent (Present). All three sums decay.
type slotWaits struct {
	Shared, Worked, Present float64
}

type costTable struct {
	endpoints map[unit.EndpointID]*cost
	pools     map[poolKey]*cost
}

func newCostTable() *costTable {
	return &costTable{endpoints: map[unit.EndpointID]*cost{}, pools: map[poolKey]*cost{}}
}

func (c *costTable) getOrCreate(e *endpoint.Entry) (own, pool *cost) {
	own, ok := c.endpoints[e.Endpoint]
	if !ok {
		if len(c.endpoints) >= maxCosts {
			clear(c.endpoints) // mostly endpoints that left long ago; the pool's costs are used until new samples arrive
		}
		own = &cost{}
		c.endpoints[e.Endpoint] = own
	}
	key := poolKey{e.Kind, e.Name()}
	pool, ok = c.pools[key]
	if !ok {
		pool = &cost{}
		c.pools[key] = pool
	}
	return own, pool
}

// learn updates the costs of the endpoint and of its pool with the times of an answer.
func (c *costTable) learn(e *endpoint.Entry, r Result) {
	own, pool := c.getOrCreate(e)
	computed := r.PromptTokens - r.CachedTokens
	work := float64(r.FirstToken - r.Queue)
	switch {
	case work <= 0:
	case r.Imported >= minSampleTokens:
		prefill := float64(max(computed, 0)) * own.prefillPerToken(pool)
		own.Transfer.add((work - prefill - float64(transferSetup)) / float64(r.Imported))
		pool.Transfer.add((work - prefill - float64(transferSetup)) / float64(r.Imported))
	case computed >= minSampleTokens:
		own.Prefill.addLowBiased(work / float64(computed))
		pool.Prefill.addLowBiased(work / float64(computed))
	}
	worked := float64(max(computed, 0)) * own.prefillPerToken(pool)
	if r.Imported > 0 {
		worked += float64(r.Imported)*own.transferPerToken(pool) + float64(transferSetup)
	}
	for _, each := range []*cost{own, pool} {
		each.Waited = each.Waited*queueDecay + max(float64(r.Queue), 0)
	}
	waits := pool.slotWaitsFor(r.Urgency)
	waits.Shared = waits.Shared*queueDecay + max(work-worked, 0)
	waits.Worked = waits.Worked*queueDecay + worked
	waits.Present = waits.Present*queueDecay + float64(r.Occupancy)
}

// busyFraction returns the estimate for a pool, or 0 before its first answers.
func (c *costTable) busyFraction(key poolKey) float64 {
	if pool, ok := c.pools[key]; ok {
		return pool.busyFraction()
	}
	return 0
}

// countSent records how many requests are ahead of one that is being sent to the endpoint.
func (c *costTable) countSent(e *endpoint.Entry) {
	own, pool := c.getOrCreate(e)
	for _, each := range []*cost{own, pool} {
		each.Ahead = each.Ahead*queueDecay + float64(e.QueueLength())
	}
}

func (c *cost) slotWaitsFor(urgency int) *slotWaits {
	if urgency == 0 {
		return &c.Urgent
	}
	return &c.Rest
}

// prefillPerToken returns the cost of one token at the endpoint, or that of its pool until the endpoint has enough
// samples.
func (c *cost) prefillPerToken(pool *cost) float64 {
	switch {
	case c.Prefill.Samples >= minOwnSamples:
		return c.Prefill.Value
	case pool.Prefill.Samples > 0:
		return pool.Prefill.Value
	default:
		return priorPrefill
	}
}

func (c *cost) transferPerToken(pool *cost) float64 {
	switch {
	case c.Transfer.Samples >= 3:
		return c.Transfer.Value
	case pool.Transfer.Samples > 0:
		return pool.Transfer.Value
	default:
		return priorTransfer
	}
}

// busyFraction estimates the fraction of time in which the endpoints compute prompts: with random arrivals, a request's
// wait is its work times busy/(1-busy).
func (c *cost) busyFraction() float64 {
	shared, worked := c.Urgent.Shared+c.Rest.Shared, c.Urgent.Worked+c.Rest.Worked
	if worked <= 0 {
		return 0
	}
	return shared / (shared + worked)
}

// congestion returns the delay that each unit of prefill time causes to other requests: the busier the engines, the
// more requests wait behind it.
func (c *cost) congestion() float64 {
	worked := c.Urgent.Worked + c.Rest.Worked
	if worked <= 0 {
		return 0
	}
	return min((c.Urgent.Shared+c.Rest.Shared)/worked, maxCongestion)
}

// queueWaitPerRequest returns the wait in the queue for each request ahead. While the endpoint has few samples, the
// estimate is pulled towards that of the pool.
func (c *cost) queueWaitPerRequest(pool *cost) float64 {
	typical := (priorQueue*queuePriorWeight + pool.Waited) / (queuePriorWeight + pool.Ahead)
	own := (typical*queuePriorWeight + c.Waited) / (queuePriorWeight + c.Ahead)
	return min(own, maxWaitPerRequest)
}

// slotWaitPerRequest returns the wait in a slot for each request at the endpoint, or 0 before any wait has been
// observed. It is called on the costs of the pool, since a single endpoint gives too few samples.
func (c *cost) slotWaitPerRequest(urgency int) float64 {
	s := c.slotWaitsFor(urgency)
	return min(s.Shared/(queuePriorWeight+s.Present), maxWaitPerRequest)
}
