package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// placeRoundRobin implements the variant "round-robin": it uses the endpoints in turn.
func (p *Placer) placeRoundRobin(_ unit.Moment, r *Request, pool *pool) (Decision, error) {
	for range pool.entries {
		e := pool.entries[p.nextInTurn%uint64(len(pool.entries))]
		p.nextInTurn++
		if !r.excludes(e) {
			return p.decisionWithoutCosts(r, e, "next in turn"), nil
		}
	}
	return Decision{}, errAllTried(r)
}

// placeLeastLoaded implements the variant "least-loaded": it chooses the endpoint with the fewest requests per slot.
// Ties are broken at random, so that entry hosts with the same view don't all choose the same endpoint.
func (p *Placer) placeLeastLoaded(_ unit.Moment, r *Request, pool *pool) (Decision, error) {
	var best *endpoint.Entry
	least, equal := 0.0, 0
	for _, e := range pool.entries {
		load := loadPerSlot(e)
		if best != nil && load > least || r.excludes(e) {
			continue
		}
		if best == nil || load < least {
			best, least, equal = e, load, 1
			continue
		}
		equal++
		if p.random.IntN(equal) == 0 {
			best = e
		}
	}
	if best == nil {
		return Decision{}, errAllTried(r)
	}
	return p.decisionWithoutCosts(r, best, "fewest requests for each slot"), nil
}

// placeConsistentHash implements the variant "consistent-hash": it chooses the endpoint with the highest rendezvous
// weight for the first piece of the prompt, or for the request id if the prompt is shorter than one piece.
func (p *Placer) placeConsistentHash(_ unit.Moment, r *Request, pool *pool) (Decision, error) {
	var best *endpoint.Entry
	highest := uint64(0)
	for i := range pool.versions {
		v := &pool.versions[i]
		chain := r.chain(v.weights)
		key := xxhash.Sum64String(string(r.ID))
		if len(chain.Digests) > 0 {
			key = levelKey(chain.Digests[0])
		}
		for at, e := range v.entries {
			if weight := mix(key ^ v.hashes[at]); (best == nil || weight > highest) && !r.excludes(e) {
				best, highest = e, weight
			}
		}
	}
	if best == nil {
		return Decision{}, errAllTried(r)
	}
	return p.decisionWithoutCosts(r, best, "highest hash of the first piece"), nil
}

// decisionWithoutCosts returns the decision of a variant that estimates no costs.
func (p *Placer) decisionWithoutCosts(r *Request, e *endpoint.Entry, reason string) Decision {
	return Decision{
		Endpoint:   e.Announcement,
		Candidates: []Candidate{{Endpoint: e.Endpoint}},
		Reason:     reason,
		Chain:      r.chain(e.Weights),
	}
}
