package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// plainSimulation simulates many hosts that send short requests to a few endpoints with slots and a queue, and that learn of each
// other's load late.
type plainSimulation struct {
	hosts, endpoints, slots, queue int
	rate                           float64 // requests per second of all hosts
	work, objective                time.Duration
	loadInterval, loadAge          time.Duration // interval between two sums of the loads, and the age of a sum when it arrives
	slow                           map[int]float64
	choose                         func(r *rand.Rand, a *Assigner, now unit.Moment, w *Request, known []registry.Endpoint) Choice
}

type plainResult struct {
	sent, full, inTime int
	toSlow             int
}

type plainRequest struct {
	host    *Assigner
	flight  *Attempt
	arrived unit.Moment
	endsAt  unit.Moment
}

func (p plainSimulation) run(length time.Duration) plainResult {
	random := rand.New(rand.NewPCG(11, 11))
	var known []registry.Endpoint
	numbers := map[unit.EndpointID]int{}
	for i := range p.endpoints {
		e := endpoint(fmt.Sprintf("p%02d", i), 0, at(0))
		e.Service, e.Slots, e.Weights = "plain", p.slots, nil
		known = append(known, e)
		numbers[e.ID] = i
	}
	var hosts []*Assigner
	for range p.hosts {
		a := New(Settings{ReportSilence: time.Hour, WeightsGrace: time.Hour, WeightsLimit: time.Hour})
		a.SetHosts(p.hosts)
		a.SetEndpoints(known, func(table.ServiceName) (*table.Service, bool) { return nil, false }, nil, nil)
		hosts = append(hosts, a)
	}
	type sum struct {
		at    unit.Moment
		total map[unit.EndpointID]Load
	}
	var sums []sum
	running, waiting := make([][]*plainRequest, p.endpoints), make([][]*plainRequest, p.endpoints)
	var result plainResult
	due := 0.0
	const step = time.Millisecond
	for passed := time.Duration(0); passed < length; passed += step {
		now := at(0).Add(passed)
		if passed%p.loadInterval == 0 {
			total := map[unit.EndpointID]Load{}
			for _, h := range hosts {
				for id, load := range h.OwnLoads(now) {
					total[id] = total[id].Add(load)
				}
			}
			sums = append(sums, sum{now, total})
			for _, s := range sums {
				if now.Sub(s.at) != p.loadAge {
					continue
				}
				for _, h := range hosts {
					h.SetLoads(s.at, s.total)
				}
			}
		}
		for i := range running {
			kept := running[i][:0]
			for _, q := range running[i] {
				if q.endsAt > now {
					kept = append(kept, q)
					continue
				}
				q.host.End(now, q.flight, EndedComplete)
				if now.Sub(q.arrived) <= p.objective {
					result.inTime++
				}
			}
			running[i] = kept
			for len(running[i]) < p.slots && len(waiting[i]) > 0 {
				q := waiting[i][0]
				waiting[i] = waiting[i][1:]
				took := float64(p.work) * random.ExpFloat64()
				if factor, ok := p.slow[i]; ok {
					took *= factor
				}
				q.endsAt = now.Add(time.Duration(took))
				running[i] = append(running[i], q)
			}
		}
		for due += p.rate * step.Seconds(); due >= 1; due-- {
			host := hosts[random.IntN(len(hosts))]
			w := &Request{Service: "plain", Objective: p.objective, ShortestObjective: p.objective, MaxLatency: time.Second, Random: random.Float64()}
			choice := p.choose(random, host, now, w, known)
			i := numbers[choice.Endpoint]
			result.sent++
			if _, ok := p.slow[i]; ok {
				result.toSlow++
			}
			flight := host.Begin(now, w, choice)
			if len(waiting[i]) >= p.queue {
				host.End(now, flight, EndedFull)
				result.full++
				continue
			}
			waiting[i] = append(waiting[i], &plainRequest{host: host, flight: flight, arrived: now})
		}
	}
	return result
}

func plainByAssigner(_ *rand.Rand, a *Assigner, now unit.Moment, w *Request, _ []registry.Endpoint) Choice {
	choice, _ := a.Choose(now, w, nil)
	return choice
}

func plainAtRandom(r *rand.Rand, _ *Assigner, _ unit.Moment, _ *Request, known []registry.Endpoint) Choice {
	return Choice{Endpoint: known[r.IntN(len(known))].ID}
}

// plainLeastLoaded chooses the endpoint with the lowest known load.
func plainLeastLoaded(_ *rand.Rand, a *Assigner, _ unit.Moment, _ *Request, known []registry.Endpoint) Choice {
	least := known[0].ID
	for _, e := range known {
		r, other := a.replicas[e.ID], a.replicas[least]
		if r.own.Requests+r.others.Requests < other.own.Requests+other.others.Requests {
			least = e.ID
		}
	}
	return Choice{Endpoint: least}
}

// Simulates short requests of 7, 84 and 295 hosts to a few endpoints whose loads are known with a delay of 0.1 s to 0.35 s.
// Guards against herding: with 295 hosts that all sent to the endpoint that was least loaded a moment ago, 40% of the requests
// were rejected by full endpoints while a third of the slots were free. The limit is the target for urgent requests, 95% in time.
func TestShortRequestsSpreadOverEndpoints(t *testing.T) {
	cases := []struct {
		name       string
		simulation plainSimulation
	}{
		{name: "7 hosts", simulation: plainSimulation{hosts: 7, endpoints: 3, slots: 6, rate: 200}},
		{name: "84 hosts", simulation: plainSimulation{hosts: 84, endpoints: 3, slots: 6, rate: 248}},
		{name: "295 hosts", simulation: plainSimulation{hosts: 295, endpoints: 5, slots: 6, rate: 541}},
		{name: "295 hosts, a slow endpoint", simulation: plainSimulation{hosts: 295, endpoints: 5, slots: 6, rate: 400, slow: map[int]float64{2: 3}}},
	}
	strategies := []struct {
		name   string
		choose func(*rand.Rand, *Assigner, unit.Moment, *Request, []registry.Endpoint) Choice
	}{{"assigner", plainByAssigner}, {"at random", plainAtRandom}, {"least loaded", plainLeastLoaded}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := c.simulation
			p.queue, p.work, p.objective, p.loadInterval, p.loadAge = 24, 30*time.Millisecond, 150*time.Millisecond, 250*time.Millisecond, 0
			if p.hosts > 7 {
				p.loadAge = 250 * time.Millisecond
			}
			for i, strategy := range strategies {
				p.choose = strategy.choose
				r := p.run(8 * time.Second)
				share := float64(r.inTime) / float64(r.sent)
				t.Logf("%-30s %-14s in time %.3f, rejected %d of %d, to slow ones %d", c.name, strategy.name, share, r.full, r.sent, r.toSlow)
				if i > 0 {
					continue
				}
				assert.Assert(t, share >= 0.95, "%.3f in time", share)
				assert.Assert(t, r.full*100 <= r.sent, "%d of %d rejected", r.full, r.sent)
			}
		})
	}
}
