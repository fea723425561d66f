package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/ejection"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/prefix"
)

// Guards against baseline variants that don't do what their names say: comparisons with the default variant would be
// wrong.
func TestBaselines(t *testing.T) {
	for _, v := range Variants[1:] {
		f := newFleet(5, 1)
		f.announce(1, 5, func(i int, a *endpoint.Announcement) {
			a.Load.Running = 2
			if i == 3 {
				a.Load.Running = 1
			}
		})
		p, chosen := f.placer(v.Name), map[unit.EndpointID]int{}
		for i := range 20 {
			d, err := p.Place(1, request(chainOf(1, i)))
			assert.NilError(t, err)
			chosen[d.Endpoint.Endpoint]++
		}
		switch v.Name {
		case "round-robin":
			assert.Equal(t, len(chosen), 5)
			assert.Equal(t, chosen["e000"], 4)
		case "least-loaded":
			assert.Equal(t, chosen["e003"], 20)
		case "consistent-hash":
			assert.Equal(t, len(chosen), 1)
			for i := range 20 {
				d, err := p.Place(1, request(chainOf(i, 1)))
				assert.NilError(t, err)
				chosen[d.Endpoint.Endpoint]++
			}
			assert.Equal(t, len(chosen), 5, "prompts with different first pieces use all endpoints")
		}
		services := request(prefix.Chain{})
		services.Kind = endpoint.KindService
		_, err := p.Place(1, services)
		assert.Assert(t, err != nil)
	}
}

// BenchmarkPlace places requests with 400 different system prompts among 600 replicas, with 200,000 index entries. The
// target is 20 µs per placement.
func BenchmarkPlace(b *testing.B) {
	const engines, systemPrompts, profiles = 600, 400, 40
	for _, pieces := range []int{8, 40} {
		for _, v := range Variants {
			b.Run(v.Name+"/pieces="+string(rune('0'+pieces/10))+string(rune('0'+pieces%10)), func(b *testing.B) {
				benchmarkPlace(b, v.Name, engines, systemPrompts, profiles, pieces)
			})
		}
	}
}

func benchmarkPlace(b *testing.B, variant string, engines, systemPrompts, profiles, pieces int) {
	f := newFleet(engines, 1)
	// Under high load the home sets are wide, which costs more than narrow ones.
	busy := func(i int, a *endpoint.Announcement) { a.Load = endpoint.Load{Running: 5 + i%4, FreeSlots: 3 - i%4} }
	f.announce(0, engines, busy)
	f.Guard = ejection.New(ejection.Defaults())
	for i := range engines {
		f.Guard.Report(0, engineID(i), false, time.Second)
	}
	p := f.placer(variant)
	random := rand.New(rand.NewPCG(1, 1))
	chains := make([]prefix.Chain, systemPrompts*profiles)
	for i := range chains {
		chains[i] = longChain(i/profiles, i, pieces)
	}
	now := unit.Moment(0)
	for f.Index.Len() < 200_000 {
		f.Index.Observe(engineID(random.IntN(engines)), 1, chains[random.IntN(len(chains))].Digests, pieces)
	}
	for range 20_000 {
		f.serve(now, p, chains[skewed(random, len(chains))])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += second / 1000
		if i%500 == 0 {
			b.StopTimer()
			f.announce(now, engines, busy)
			b.StartTimer()
		}
		r := request(chains[skewed(random, len(chains))])
		r.Urgency = i % 3
		if _, err := p.Place(now, r); err != nil {
			b.Fatal(err)
		}
	}
}

// longChain builds a chain with random digests instead of hashing text. Half of its pieces belong to the system prompt.
func longChain(systemPrompt, profile, pieces int) prefix.Chain {
	chain := prefix.Chain{
		Tokens: unit.Tokens(pieces)*2000 + 500, PieceTokens: 2000,
		Levels: []prefix.Level{{Pieces: pieces / 2}, {Pieces: pieces}},
	}
	for i := range pieces {
		owner := profile + 1_000_000
		if i < pieces/2 {
			owner = systemPrompt
		}
		random := rand.New(rand.NewPCG(uint64(owner), uint64(i)))
		var d unit.Digest
		for j := range d {
			d[j] = byte(random.Uint32())
		}
		chain.Digests = append(chain.Digests, d)
	}
	return chain
}
