package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/prefix"
)

// Maximum numbers of endpoints that are considered for one request, by source. Each endpoint costs about one index
// lookup per piece.
const (
	maxHomes               = 8 // homes of the innermost level
	maxOuterHomes          = 3 // homes of the next outer level
	maxHolders             = 3 // endpoints that hold the whole chain
	maxOuterHolders        = 2 // endpoints that hold the next outer level
	randomCandidates       = 2 // drawn from all endpoints: the power of two choices
	urgentRandomCandidates = 4 // drawn from all endpoints for the most urgent class
	maxReported            = 8 // candidates listed in a decision
	maxStores              = 4
	// returnHomeOneIn: of the requests that find their prefix away from home, one in this many goes back to a home.
	// That costs 3% of them a cache miss.
	returnHomeOneIn = 32
	// tieMargin and tieFraction: candidates count as equal if their scores differ from the best one by at most
	// tieMargin or by at most tieFraction of it.
	tieMargin   = 2 * time.Millisecond
	tieFraction = 0.05
	// prefillWeightPerStep is the extra weight of prefill in a score for each step of lower urgency, since the waits of
	// less urgent requests are longer and matter less.
	prefillWeightPerStep = 2
	maxUrgencySteps      = 4
)

// scoredCandidate is a candidate with the data that is needed to choose it.
type scoredCandidate struct {
	Candidate
	entry   *endpoint.Entry
	version int // position of its weights version in the pool
	store   *endpoint.Entry
	assumed bool // CachedPieces is assumed, not observed
}

// versionView is the state of one request with respect to one weights version.
type versionView struct {
	index        int // position of the version in the pool
	version      *versionPool
	chain        prefix.Chain
	store        *endpoint.Entry
	storedPieces int // number of leading pieces that the store holds
	levels       requestLevels
	resolved     cache.ResolvedChain
	levelHeld    bool // an endpoint is known to hold the level whose homes are being added
}

// placeWarm implements the variant "warm": it chooses by expected time to first token. It compares the homes of the
// prompt, the known holders of its prefix and a few random endpoints. Among candidates with nearly equal scores, homes
// that are known to hold the prefix are preferred; of two such homes drawn at random, the less loaded one is chosen.
func (p *Placer) placeWarm(now unit.Moment, r *Request, pool *pool) (Decision, error) {
	p.candidates, p.views, p.resolved = p.candidates[:0], p.views[:0], p.resolved[:0]
	pool.refreshLoad(now)
	bound, neededFraction := pool.load.overloadBound(), pool.load.neededFraction(p.costs.busyFraction(poolKey{r.Kind, r.Name}))
	for i := range pool.versions {
		view := versionView{index: i, version: &pool.versions[i], chain: r.chain(pool.versions[i].weights)}
		if len(view.chain.Digests) > 0 {
			begin := len(p.resolved)
			p.resolved = p.Index.Resolve(p.resolved, view.chain.Digests)
			view.resolved = p.resolved[begin:]
			view.levels = p.requestLevelsFor(now, view.version, view.chain, neededFraction)
			view.store, view.storedPieces = p.bestStore(now, view.chain)
		}
		p.views = append(p.views, view)
		p.addVersion(r, &view, bound)
	}
	if len(p.candidates) == 0 && !p.addAllEndpoints(r, bound) {
		return Decision{}, errAllTried(r)
	}
	chosen := p.choose()
	c := &p.candidates[chosen]
	p.costs.countSent(c.entry)
	d := p.buildDecision(chosen)
	d.Chain = p.views[c.version].chain
	d.Occupancy = c.entry.Occupancy()
	d.Reason = reason(p.candidates, chosen, len(d.Chain.Digests))
	return d, nil
}

// addVersion adds the candidates of one weights version.
func (p *Placer) addVersion(r *Request, view *versionView, bound float64) {
	levels := &view.levels
	if levels.count > 0 {
		inner := levels.list[levels.count-1]
		p.addHomes(r, view, bound, inner, maxHomes, true)
		p.addHolders(r, view, bound, inner.pieces, maxHolders)
		if levels.count > 1 {
			outer := levels.list[levels.count-2]
			p.addHomes(r, view, bound, outer, maxOuterHomes, false)
			p.addHolders(r, view, bound, outer.pieces, maxOuterHolders)
		}
	}
	draws := randomCandidates
	if r.Urgency == 0 {
		draws = urgentRandomCandidates
	}
	for range draws {
		p.addCandidate(r, view, bound, int32(p.random.IntN(len(view.version.entries))), 0, false)
	}
}

// addHomes adds homes of a level. If the level has more homes than the limit, the first home and random others are
// added. The candidates are marked as homes if home is set.
func (p *Placer) addHomes(r *Request, view *versionView, bound float64, level levelHomes, limit int, home bool) {
	p.holders = p.Index.Holders(p.holders[:0], view.chain.Digests[level.pieces-1], 1)
	view.levelHeld = len(p.holders) > 0
	for i := range min(limit, len(level.homes)) {
		at := level.homes[i]
		if i > 0 && len(level.homes) > limit {
			at = level.homes[p.random.IntN(len(level.homes))]
		}
		p.addCandidate(r, view, bound, at, level.pieces, home)
	}
}

func (p *Placer) addHolders(r *Request, view *versionView, bound float64, pieces, limit int) {
	p.holders = p.Index.Holders(p.holders[:0], view.chain.Digests[pieces-1], limit)
	for _, id := range p.holders {
		if at, ok := view.version.position[id]; ok {
			p.addCandidate(r, view, bound, at, 0, false)
		}
	}
}

// addAllEndpoints adds every endpoint that the request doesn't exclude. It is used when all endpoints that were drawn
// are excluded.
func (p *Placer) addAllEndpoints(r *Request, bound float64) bool {
	for i := range p.views {
		for at := range p.views[i].version.entries {
			p.addCandidate(r, &p.views[i], bound, int32(at), 0, false)
		}
	}
	return len(p.candidates) > 0
}

// addCandidate scores an endpoint, unless it was added before. A home whose cache isn't known is assumed to hold the
// pieces of its level, so that a router without observations chooses the same endpoint as a router with them. An engine
// that restarted while this router observed it is assumed to hold nothing until an observation says otherwise.
func (p *Placer) addCandidate(r *Request, view *versionView, bound float64, at int32, assumedPieces int, home bool) {
	e := view.version.entries[at]
	for i := range p.candidates {
		if p.candidates[i].entry == e {
			return
		}
	}
	if r.excludes(e) {
		return
	}
	estimate := p.Index.EstimateResolved(e.Endpoint, e.Incarnation, view.chain.Digests, view.resolved)
	cachedPieces := estimateCachedPieces(estimate, e.CachePieces)
	// If another endpoint reported that it holds the level, this endpoint's events would have reported it as well.
	wouldBeReported := view.levelHeld && p.Index.SendsEvents(e.Endpoint, e.Incarnation)
	if estimate.Known || e.Restarted || wouldBeReported || assumedPieces <= cachedPieces {
		assumedPieces = 0
	}
	cachedPieces = max(cachedPieces, assumedPieces)
	p.candidates = append(p.candidates, scoredCandidate{
		Candidate: Candidate{Endpoint: e.Endpoint, CachedPieces: cachedPieces, Home: home},
		entry:     e,
		version:   view.index,
		assumed:   assumedPieces > 0,
	})
	c := &p.candidates[len(p.candidates)-1]
	p.score(c, view, r.Urgency)
	occupancy := e.Occupancy()
	c.Overloaded = occupancy >= e.Slots && float64(occupancy) > bound
}

// estimateCachedPieces returns the number of leading pieces that an engine with a cache of cachePieces pieces probably
// holds. Each lost event evicted at most one of them, so after a few lost events nearly all doubtful pieces are still
// cached. After many lost events, or if the cache size isn't known, a doubtful piece is cached with probability 0.5.
func estimateCachedPieces(estimate cache.Estimate, cachePieces int) int {
	trust := 0.5
	if cachePieces > 0 {
		trust = max(trust, 1-float64(estimate.Lost)/float64(cachePieces))
	}
	return estimate.Confirmed + int(math.Ceil(trust*float64(estimate.Pieces-estimate.Confirmed)-0.5)) // rounded to the nearest integer, halves down
}

// score computes the expected time to first token and the score. The score weighs prefill more than its duration,
// because recomputing a cached prefix costs the whole system: it delays the requests behind it. Only for urgent
// requests is that worthwhile.
func (p *Placer) score(c *scoredCandidate, view *versionView, urgency int) {
	own, pool := p.costs.getOrCreate(c.entry)
	prefill := own.prefillPerToken(pool)
	c.QueueWait = time.Duration(own.queueWaitPerRequest(pool)*float64(c.entry.QueueLength()) +
		pool.slotWaitPerRequest(urgency)*float64(c.entry.Occupancy()))
	c.Prefill = time.Duration(prefill * float64(view.chain.Tokens-view.chain.PrefixTokens(c.CachedPieces)))
	if view.store != nil && view.storedPieces > c.CachedPieces {
		imported := view.chain.PrefixTokens(view.storedPieces) - view.chain.PrefixTokens(c.CachedPieces)
		transfer := transferSetup + time.Duration(own.transferPerToken(pool)*float64(imported))
		rest := time.Duration(prefill * float64(view.chain.Tokens-view.chain.PrefixTokens(view.storedPieces)))
		if transfer+rest < c.Prefill {
			c.Transfer, c.Prefill, c.store = transfer, rest, view.store
		}
	}
	c.Expected = c.QueueWait + c.Prefill + c.Transfer
	steps := min(max(urgency, 0), maxUrgencySteps)
	c.Score = c.Expected + time.Duration(float64(c.Prefill)*(pool.congestion()+prefillWeightPerStep*float64(steps)))
}

// bestStore returns the usable cache store that holds the most leading pieces of the chain.
func (p *Placer) bestStore(now unit.Moment, c prefix.Chain) (best *endpoint.Entry, pieces int) {
	stores := p.Roster.Usable(now, endpoint.KindStore, "")
	for _, e := range stores[:min(len(stores), maxStores)] {
		if depth, known := p.Index.Depth(e.Endpoint, e.Incarnation, c.Digests); known && depth > pieces {
			best, pieces = e, depth
		}
	}
	return best, pieces
}

// choose sorts the candidates and returns the index of the chosen one.
func (p *Placer) choose() int {
	slices.SortStableFunc(p.candidates, func(a, b scoredCandidate) int {
		if a.Overloaded != b.Overloaded {
			if a.Overloaded {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Score, b.Score)
	})
	best := &p.candidates[0]
	limit := best.Score + max(tieMargin, time.Duration(float64(best.Score)*tieFraction))
	p.nearBest = p.nearBest[:0]
	preferred := 0
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.Overloaded != best.Overloaded || c.Score > limit {
			break
		}
		preference := c.preference()
		if preference > preferred {
			preferred, p.nearBest = preference, p.nearBest[:0]
		}
		if preference == preferred {
			p.nearBest = append(p.nearBest, i)
		}
	}
	return p.maybeReturnHome(p.lessLoadedOfTwo(p.nearBest))
}

// maybeReturnHome replaces a chosen endpoint that isn't a home by a home whose queue is no longer, in one of
// returnHomeOneIn cases. That returns a prefix that was moved away by a queue or a change of width to its home, at the
// price of one cache miss; otherwise a router that restarts wouldn't find the prefix.
func (p *Placer) maybeReturnHome(chosen int) int {
	if p.candidates[chosen].Home {
		return chosen
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.Home && !c.Overloaded && c.QueueWait <= p.candidates[chosen].QueueWait {
			if p.random.IntN(returnHomeOneIn) == 0 {
				return i
			}
			break
		}
	}
	return chosen
}

// preference ranks candidates with nearly equal scores, higher first. A home that is only assumed to hold the prefix
// ranks lowest: if another endpoint is known to hold it, the home may have restarted.
func (c *scoredCandidate) preference() int {
	switch {
	case c.assumed:
		return 0
	case !c.Home:
		return 1
	default:
		return 2
	}
}

// lessLoadedOfTwo draws two of the candidates and returns the one with fewer requests per slot. Load reports are stale,
// so choosing the least loaded of all would attract the requests of every entry host at the same time.
func (p *Placer) lessLoadedOfTwo(among []int) int {
	if len(among) == 1 {
		return among[0]
	}
	first := p.random.IntN(len(among))
	second := (first + 1 + p.random.IntN(len(among)-1)) % len(among)
	a, b := among[first], among[second]
	if loadPerSlot(p.candidates[b].entry) < loadPerSlot(p.candidates[a].entry) {
		return b
	}
	return a
}

// buildDecision returns a decision for the chosen candidate, listing it and the best others.
func (p *Placer) buildDecision(chosen int) Decision {
	c := &p.candidates[chosen]
	d := Decision{Endpoint: c.entry.Announcement}
	if c.store != nil {
		d.ImportFrom = c.store.Address
	}
	d.Candidates = make([]Candidate, 0, min(len(p.candidates), maxReported))
	for i := range p.candidates {
		room := maxReported - len(d.Candidates)
		if room == 0 {
			break
		}
		// The last place is reserved for the chosen candidate.
		if room == 1 && chosen > i {
			i = chosen
		}
		d.Candidates = append(d.Candidates, p.candidates[i].Candidate)
	}
	return d
}

func loadPerSlot(e *endpoint.Entry) float64 {
	return float64(e.Occupancy()) / float64(max(e.Slots, 1))
}
