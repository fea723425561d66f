package assign

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
)

const (
	// minFetchTokens is the number of tokens from which a fetch is worth its overhead.
	minFetchTokens unit.Tokens = 48
	// fetchOverhead is the fixed time of a fetch, in addition to the transfer of its bytes.
	fetchOverhead = 8 * time.Millisecond
	// maxEventDelay is how long after a request was sent the cache events of its parts may still be on their way.
	maxEventDelay = 800 * time.Millisecond
	// remoteFetchFactor is how many times longer a fetch from another data centre takes.
	remoteFetchFactor = 2
	// The probability that parts are cached without a cache event that says so: at the first home of the prompt and at the second
	// one.
	homeHitChance, nextHomeHitChance = 0.6, 0.15
	// reportedHitChance is the probability that parts are cached of which an event has just arrived. A few events are lost.
	reportedHitChance = 0.95
	// remoteSourceFactor reduces the expected share from a source in another data centre, so that sources in the same one are
	// preferred.
	remoteSourceFactor = 0.97
	// maxSources is the number of sources that are considered for each version of the weights.
	maxSources = 6
	// storeLinkShare is the share of the cache store's link bandwidth that fetches may use.
	storeLinkShare = 0.5
)

// homes ranks the endpoints for one prompt by rendezvous hashing; the endpoints with the lowest ranks are the homes of the
// prompt. Every host computes the same order without coordination, and an endpoint that is added or removed moves only the
// prompts whose home it is. Replicas with different weights can't share parts, so they are ranked separately.
type homes struct {
	ranks []int // by position: number of reachable endpoints with the same weights that come first; 0 is the first home
	order []int // positions in the order of their hashes
}

// homes returns an empty ranking for work without a prompt.
func (a *Assigner) homes(now unit.Moment, w *Request, candidates []*replica) homes {
	prefix, ok := w.affinityPrefix()
	if !ok {
		return homes{}
	}
	hashes := make([]uint64, len(candidates))
	order := make([]int, len(candidates))
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(prefix))
	for i, r := range candidates {
		hash := xxhash.New()
		_, _ = hash.Write(buffer[:])
		_, _ = hash.WriteString(string(r.ID))
		hashes[i], order[i] = hash.Sum64(), i
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(hashes[j], hashes[i]) })
	h := homes{ranks: make([]int, len(candidates)), order: order}
	next := map[decisions.WeightsNumber]int{}
	for _, i := range order {
		r := candidates[i]
		h.ranks[i] = next[r.weights(w.Model)]
		if a.reachable(now, r) {
			next[r.weights(w.Model)]++
		}
	}
	return h
}

func (h homes) rank(i int) int {
	if i < len(h.ranks) {
		return h.ranks[i]
	}
	return 0
}

// reachable reports whether the endpoint is expected to answer.
func (a *Assigner) reachable(now unit.Moment, r *replica) bool {
	return r.acceptsRequests(now) && r.pausedUntil <= now && now.Sub(r.heardAt) <= a.settings.ReportSilence
}

// cacheState is what one endpoint is assumed to have cached of a prompt.
type cacheState struct {
	reported     bool    // known from cache events
	held         int     // leading parts that are cached, or will be when the requests already sent there have been prefilled
	fetchable    int     // leading parts that other endpoints can fetch
	evictionRate float64 // share of its cached parts that the endpoint evicts per second
}

// retention is the probability that a part is still cached after the given time.
func (s cacheState) retention(after time.Duration) float64 {
	if !s.reported {
		return 1
	}
	return reportedHitChance * math.Exp(-s.evictionRate*(after+maxEventDelay/2).Seconds())
}

// cacheStates returns the cache state of each candidate. Parts that were sent to it within maxEventDelay count as cached although
// no event has reported them yet.
func (a *Assigner) cacheStates(now unit.Moment, w *Request, candidates []*replica) []cacheState {
	if !w.HasPrompt {
		return nil
	}
	states := make([]cacheState, len(candidates))
	for i, r := range candidates {
		state, place := &states[i], cachedparts.Place(r.ID)
		if state.reported = a.holdings.Known(place); !state.reported {
			state.held = r.cached.held(w, 0)
			state.fetchable = state.held
			continue
		}
		state.evictionRate = a.evictions.rate(now, place, a.holdings.Count(place))
		for j, part := range w.partsAt(r.weights(w.Model)) {
			holds := a.holdings.Holds(place, part)
			if !holds && !r.cached.has(w, j, now.Add(-maxEventDelay)) {
				break
			}
			if holds && state.fetchable == j {
				state.fetchable++
			}
			state.held++
		}
	}
	return states
}

// estimates holds what a choice needs to know of all candidates, indexed by their position.
type estimates struct {
	homes       homes
	cacheStates []cacheState
	sources     map[decisions.WeightsNumber][]int
	loads       []Load
	headroom    []float64 // for plain services only
	stat        serviceStat
}

func (a *Assigner) estimate(now unit.Moment, w *Request, candidates []*replica) *estimates {
	est := &estimates{homes: a.homes(now, w, candidates), cacheStates: a.cacheStates(now, w, candidates), stat: a.serviceStat(w.statKey())}
	est.sources = a.sources(now, w, candidates, est)
	est.loads = a.estimateLoads(now, w, candidates, est.stat)
	if !w.HasPrompt {
		est.headroom = a.estimateHeadroom(now, w, candidates, est.loads)
	}
	return est
}

// cachePlan says how an endpoint gets the shared parts of a prompt.
type cachePlan struct {
	missing    unit.Tokens   // tokens that the endpoint is expected to prefill
	recomputed unit.Tokens   // shared tokens among the missing
	fetched    unit.Tokens   // shared tokens that are expected to be fetched
	fetchTime  time.Duration // expected time until the fetched parts have arrived
	source     string
	save       string
}

// planCache chooses the source from which the endpoint at position i fetches shared parts that it hasn't cached, or will have
// evicted by the time that the request begins after its wait.
func (a *Assigner) planCache(now unit.Moment, r *replica, w *Request, est *estimates, i int, wait time.Duration) cachePlan {
	if !w.HasPrompt || r.engine == nil {
		return cachePlan{}
	}
	shared := max(len(w.Parts)-1, 0)
	own := est.cacheStates[i]
	plan := cachePlan{missing: w.tokensAfter(shared)}
	all := w.tokensAfter(0) - plan.missing
	kept := w.tokensAfter(0) - w.tokensAfter(min(own.held, shared))
	lacking := float64(all - kept)
	if !own.reported {
		lacking *= 1 - homeChance(est.homes.rank(i))
	}
	absent := lacking + (1-own.retention(wait))*float64(kept)
	found := 0.0
	if all >= minFetchTokens {
		var far bool
		plan.source, found, far = a.source(now, r, w, est, min(own.held, shared), wait)
		if plan.source != "" {
			plan.fetched = unit.Tokens(found * absent)
			plan.fetchTime = time.Duration(found * absent / float64(all) * float64(a.fetchTime(r, all, far)))
		} else if a.store != nil && a.holdings.Known(cachedparts.Place(a.store.Address)) && lacking > 0 {
			plan.save = a.store.Address
		}
	}
	plan.recomputed = unit.Tokens((1 - found) * absent)
	plan.missing += plan.recomputed
	return plan
}

// homeChance is the probability that the endpoint of that rank among a prompt's homes has its shared parts cached because other
// hosts sent requests there.
func homeChance(rank int) float64 {
	switch rank {
	case 0:
		return homeHitChance
	case 1:
		return nextHomeHitChance
	default:
		return 0
	}
}

// sources returns, by version of the weights, the positions of the candidates that are expected to hold most of the shared parts,
// the best first. Evictions during the wait are ignored here, because the wait depends on the endpoint that fetches.
func (a *Assigner) sources(now unit.Moment, w *Request, candidates []*replica, est *estimates) map[decisions.WeightsNumber][]int {
	if len(w.Parts) < 2 {
		return nil
	}
	best := map[decisions.WeightsNumber][]int{}
	for _, i := range est.homes.order {
		share := est.expectedShare(w, i, 0)
		if share == 0 || !a.reachable(now, candidates[i]) {
			continue
		}
		number := candidates[i].weights(w.Model)
		known := best[number]
		at := len(known)
		for at > 0 && est.expectedShare(w, known[at-1], 0) < share {
			at--
		}
		if at < maxSources {
			known = slices.Insert(known, at, i)
			best[number] = known[:min(len(known), maxSources)]
		}
	}
	return best
}

// expectedShare is the share of the shared tokens that the candidate at position i is expected to hold after the given time.
// Without cache events, the first home of the prompt is assumed to hold them with the probability homeHitChance.
func (est *estimates) expectedShare(w *Request, i int, after time.Duration) float64 {
	shared, s := len(w.Parts)-1, est.cacheStates[i]
	fetchable, chance := min(s.fetchable, shared), s.retention(after)
	if !s.reported && est.homes.ranks[i] == 0 && fetchable < shared {
		fetchable, chance = shared, homeHitChance
	}
	return chance * float64(w.tokensAfter(0)-w.tokensAfter(fetchable)) / float64(max(w.tokensAfter(0)-w.tokensAfter(shared), 1))
}

// source returns the address of the replica with the same weights, or of the cache store, that is expected to hold most of the
// shared parts, and more than the endpoint itself. It also returns the share of these parts that is expected to be found, and
// whether the source counts as far away for the time of the fetch.
func (a *Assigner) source(now unit.Moment, r *replica, w *Request, est *estimates, held int, wait time.Duration) (address string, found float64, far bool) {
	shared := len(w.Parts) - 1
	least := min(held+1, shared) // a second copy of all shared parts helps if the endpoint evicts its own during the wait
	for _, i := range est.sources[r.weights(w.Model)] {
		other := a.services[w.Service][i]
		if other == r || est.cacheStates[i].reported && est.cacheStates[i].fetchable < least {
			continue
		}
		share := est.expectedShare(w, i, wait)
		if other.DataCentre != r.DataCentre {
			share *= remoteSourceFactor
		}
		if share > found {
			address, found, far = other.Address, share, other.DataCentre != r.DataCentre
		}
	}
	if a.store != nil && a.storeHolds(r, w, shared-1) && a.storeLinkHasRoom(now) {
		place := cachedparts.Place(a.store.Address)
		inStore := cacheState{reported: true, evictionRate: a.evictions.rate(now, place, a.holdings.Count(place))}
		if share := remoteSourceFactor * inStore.retention(wait); share > found {
			return a.store.Address, share, true
		}
	}
	return address, found, far
}

// storeLinkHasRoom reports whether the cache store's link, which all engines share, has room for another fetch. Other hosts are
// assumed to fetch as much as this one.
func (a *Assigner) storeLinkHasRoom(now unit.Moment) bool {
	if a.store.LinkBytesPerSecond <= 0 {
		return true
	}
	return a.storeFetches.rate(now)*float64(a.hosts) < storeLinkShare*a.store.LinkBytesPerSecond
}

// storeHolds reports whether the cache store holds the first held+1 parts of the prompt.
func (a *Assigner) storeHolds(r *replica, w *Request, held int) bool {
	if a.store == nil {
		return false
	}
	place := cachedparts.Place(a.store.Address)
	for _, part := range w.partsAt(r.weights(w.Model))[:held+1] {
		if !a.holdings.Holds(place, part) {
			return false
		}
	}
	return true
}

func (a *Assigner) fetchTime(r *replica, tokens unit.Tokens, far bool) time.Duration {
	if r.engine.LinkBytesPerSecond <= 0 {
		return fetchOverhead
	}
	seconds := float64(tokens) * r.engine.TokenBytes / r.engine.LinkBytesPerSecond
	if far {
		seconds *= remoteFetchFactor
	}
	return fetchOverhead + time.Duration(seconds*float64(time.Second))
}
