package enginespeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// Guards against engines of unlike speed that look alike because each host has few samples, against noise that is taken for a speed, and against
// changes that are noticed late. Sixty engines of the speeds 0.7, 0.7 and 1.7 get five requests per second each; 15 in 100 samples take 2.5 times
// as long. Five control hosts hear a fifth of the samples each.
func TestSpeedsAreLearnedFromAllHosts(t *testing.T) {
	const engines, control = 60, 5
	random := rand.New(rand.NewPCG(1, 1))
	speeds := make([]float64, engines)
	for i := range speeds {
		speeds[i] = []float64{0.7, 0.7, 1.7}[i%3]
	}
	id := func(i int) registry.Lifetime {
		return registry.Lifetime{Endpoint: unit.EndpointID(fmt.Sprint("e", i)), Born: 1}
	}
	var registers []*Register
	for range control {
		registers = append(registers, New())
	}
	now := unit.Moment(0)
	run := func(length time.Duration) map[registry.Lifetime]float64 {
		for end := now.Add(length); now < end; now = now.Add(100 * time.Millisecond) {
			for i := range engines {
				if random.Float64() >= 0.5 {
					continue
				}
				ratio := 1 / speeds[i]
				if random.Float64() < 0.15 {
					ratio *= 2.5
				}
				registers[random.IntN(control)].Add(now, id(i), math.Log(ratio), 1)
			}
			if now%unit.Moment(500*time.Millisecond) != 0 {
				continue
			}
			for i, from := range registers {
				entries := map[registry.Lifetime]Entry{}
				for engine, average := range from.Own(now) {
					entries[engine] = average.Entry(1)
				}
				for j, to := range registers {
					if i != j {
						to.SetPeer(now, unit.HostName(fmt.Sprint("c", i)), entries)
					}
				}
			}
		}
		return registers[0].Factors(now)
	}
	factors := run(15 * time.Second)
	for i := range engines {
		for j := range engines {
			if speeds[i] > speeds[j] {
				assert.Assert(t, factors[id(i)] < factors[id(j)], "engine %d of speed %.1f is taken for slower than %d of speed %.1f", i, speeds[i], j, speeds[j])
			}
		}
	}
	// Control hosts agree, apart from what they haven't told each other yet.
	for engine, factor := range registers[control-1].Factors(now) {
		assert.Assert(t, math.Abs(factor-factors[engine]) < 0.15, "%v: %.2f and %.2f", engine, factor, factors[engine])
	}
	speeds[2] = 0.4
	factors = run(5 * time.Second)
	assert.Assert(t, factors[id(2)] > 0, "an engine that became four times as slow 5 s ago is still taken for a fast one: %.2f", factors[id(2)])
	// What an engine did before it stopped getting requests isn't held against it for long.
	speeds[2] = 1.7
	for engine, factor := range registers[0].Factors(now.Add(time.Minute)) {
		assert.Assert(t, math.Abs(factor) < 0.05, "%v: %.2f", engine, factor)
	}
	_, known := factors[registry.Lifetime{Endpoint: id(2).Endpoint, Born: 2}]
	assert.Assert(t, !known, "a restarted engine is learned anew")
}
