package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/prefix"
)

const second = unit.Moment(time.Second)

// fleet is an entry host's view of some engines.
type fleet struct {
	Dependencies
	sequence uint64
}

func newFleet(engines int, seed uint64) *fleet {
	return newFleetOf(engines, seed, 200_000)
}

// newFleetOf limits the index to a number of pieces, as the caches of real engines evict pieces that aren't used.
func newFleetOf(engines int, seed uint64, pieces int) *fleet {
	f := &fleet{Dependencies: Dependencies{
		Roster: endpoint.New(2 * time.Second), Index: cache.New(pieces), Seed: seed,
	}}
	f.announce(0, engines, nil)
	return f
}

func engineID(i int) unit.EndpointID {
	return unit.EndpointID(fmt.Sprintf("e%03d", i))
}

// announce sends a new announcement for each engine. The function change may modify each announcement before it is
// sent.
func (f *fleet) announce(now unit.Moment, engines int, change func(i int, a *endpoint.Announcement)) {
	f.sequence++
	for i := range engines {
		a := endpoint.Announcement{
			Endpoint: engineID(i), Kind: endpoint.KindEngine, Model: "m", Weights: "w1", Incarnation: 1, Slots: 8,
			Sequence: f.sequence, Load: endpoint.Load{FreeSlots: 8},
		}
		if change != nil {
			change(i, &a)
		}
		f.Roster.Apply(now, a)
	}
}

func (f *fleet) placer(variant string) *Placer {
	p, err := New(variant, f.Dependencies)
	if err != nil {
		panic(err)
	}
	return p
}

// chainOf returns the chain of a prompt with a system prompt of 4 pieces, a profile of 3 and a question of half a
// piece.
func chainOf(systemPrompt, profile int) prefix.Chain {
	return chainAt("w1", systemPrompt, profile)
}

func chainAt(weights unit.WeightsVersion, systemPrompt, profile int) prefix.Chain {
	text := func(name string, pieces int) string {
		return strings.Repeat(name, pieces*16/len(name)+1)[:pieces*16]
	}
	chain := prefix.New(prefix.Prompt{
		Customer: "c", Model: "m", Weights: weights,
		Messages: []string{
			text(fmt.Sprintf("f%07d", systemPrompt), 4),
			text(fmt.Sprintf("p%07d", profile), 3), "question",
		},
	}, 4, 4)
	// Short texts keep the tests fast; the token counts are scaled up to those of real pieces.
	chain.Tokens *= 500
	chain.PieceTokens *= 500
	return chain
}

func request(chain prefix.Chain) Request {
	return Request{Kind: endpoint.KindEngine, Name: "m", Chain: chain, Urgency: 1}
}

// serve places a request, simulates an engine that caches every prompt it has computed, and passes the result to Learn.
func (f *fleet) serve(now unit.Moment, p *Placer, chain prefix.Chain) Decision {
	d, err := p.Place(now, request(chain))
	if err != nil {
		panic(err)
	}
	e, _ := f.Roster.Get(d.Endpoint.Endpoint)
	held, _ := f.Index.Depth(e.Endpoint, e.Incarnation, chain.Digests)
	cached := chain.PrefixTokens(held)
	p.Learn(now, Result{
		Endpoint: e.Endpoint, Incarnation: e.Incarnation, Chain: chain, CachedTokens: cached, PromptTokens: chain.Tokens,
		FirstToken: time.Duration(chain.Tokens-cached) * 40 * time.Microsecond,
	})
	return d
}

// skewed returns a random number below n; small numbers are more likely.
func skewed(random *rand.Rand, n int) int {
	return int(float64(n) * random.Float64() * random.Float64())
}
