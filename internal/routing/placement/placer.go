// Package placement chooses the endpoint for a request.
package placement

import (
	"math/rand/v2"
	"slices"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/ejection"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// Dependencies is the state that a placer reads. Guard may be nil. Hosts need different seeds; otherwise they break
// ties alike and send their requests to the same endpoint.
type Dependencies struct {
	Roster *endpoint.Roster
	Index  *cache.Index
	Guard  *ejection.Detector
	Seed   uint64
}

// Placer places requests by one of the variants. The caller must tell the roster when an attempt begins and ends.
type Placer struct {
	Dependencies
	place      func(p *Placer, now unit.Moment, r *Request, pool *pool) (Decision, error)
	random     *rand.Rand
	pools      map[poolKey]*pool
	levels     *levelTable
	costs      *costTable
	nextInTurn uint64 // of placeRoundRobin

	// Buffers that are reused, so that a placement allocates only what it returns.
	candidates []scoredCandidate
	views      []versionView // one for each weights version
	holders    []unit.EndpointID
	nearBest   []int
	resolved   cache.ResolvedChain // of all views, one after the other
}

func newPlacer(d Dependencies, place func(*Placer, unit.Moment, *Request, *pool) (Decision, error)) *Placer {
	return &Placer{
		Dependencies: d,
		place:        place,
		random:       rand.New(rand.NewPCG(d.Seed, 0)),
		pools:        map[poolKey]*pool{},
		levels:       newLevelTable(),
		costs:        newCostTable(),
	}
}

// Place chooses an endpoint. It fails with fault.NoEndpoint if none is usable.
func (p *Placer) Place(now unit.Moment, r Request) (Decision, error) {
	usable := p.Roster.Usable(now, r.Kind, r.Name)
	if p.Guard != nil {
		usable = p.Guard.Allowed(now, usable)
	}
	if len(usable) == 0 {
		return Decision{}, fault.NoEndpoint.New("no usable %s for %q", r.Kind, r.Name)
	}
	pool := p.poolFor(poolKey{r.Kind, r.Name}, usable)
	if r.Kind == endpoint.KindService {
		return p.placeLeastLoaded(now, &r, pool)
	}
	return p.place(p, now, &r, pool)
}

// Learn updates the cache index and the costs with the result of an attempt. If the answer came from a newer
// incarnation than the known one, everything known about the endpoint's cache is discarded, even if the attempt failed.
func (p *Placer) Learn(_ unit.Moment, r Result) {
	if r.Failed {
		p.Index.Observe(r.Endpoint, r.Incarnation, nil, 0)
		return
	}
	pieces := len(r.Chain.Digests)
	// An engine that sends cache events reports itself what it has stored. For any other engine, the whole prompt that
	// it has just computed counts as cached.
	if r.Chain.PieceTokens > 0 && p.Index.SendsEvents(r.Endpoint, r.Incarnation) {
		// The engine's tokenizer counts differently from the estimate, so the count is rounded to the nearest piece.
		pieces = min(int((r.CachedTokens+r.Chain.PieceTokens/2)/r.Chain.PieceTokens), pieces)
	}
	p.Index.Observe(r.Endpoint, r.Incarnation, r.Chain.Digests, pieces)
	if e, ok := p.Roster.Get(r.Endpoint); ok {
		p.costs.learn(e, r)
	}
}

func errAllTried(r *Request) error {
	return fault.NoEndpoint.New("every usable %s for %q has been tried", r.Kind, r.Name)
}

func (r *Request) excludes(e *endpoint.Entry) bool {
	return r.Weights != "" && e.Weights != r.Weights || r.Software != nil && e.Software != *r.Software || slices.Contains(r.Avoid, e.Endpoint)
}
