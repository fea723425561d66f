package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// pauseCounts counts the requests that reach engines that asked for a pause.
type pauseCounts struct {
	honoured     bool // hosts honour the pauses
	refused      int  // requests refused because of a pause
	sentInPause  map[engineHost]int
	firstRefused map[engineHost]unit.Moment
	returned     map[unit.EndpointID]int // requests that an engine got within returnWindow after its pause
	pauseEnds    map[unit.EndpointID]unit.Moment
}

// engineHost is an engine and a host whose request it refused.
type engineHost struct {
	engine unit.EndpointID
	host   *modelHost
}

const (
	// After its first refusal, a host may send to the engine for another pauseSlack; in the rest of the pause at most
	// maxSentInPause of its requests may reach the engine. Both limits come from the users.
	pauseSlack     = 500 * time.Millisecond
	maxSentInPause = 2
	// maxSends is the number of times a request is sent, refusals included.
	maxSends = 4
	// returnWindow is the time after a pause in which returning requests are counted.
	returnWindow = 200 * time.Millisecond
)

// choose sends a request to one engine after another until one accepts it.
func (p *pauseCounts) choose(r *simulation, h *modelHost, w *Request) (*modelEngine, Choice, bool) {
	var tried []unit.EndpointID
	for range maxSends {
		choice, ok := h.assigner.Choose(r.now, w, tried)
		if !ok || choice.Expected > w.MaxLatency || len(tried) == 0 && !choice.Admits(w) {
			return nil, choice, false
		}
		e := r.engine(choice.Endpoint)
		if e.pausedUntil <= r.now {
			if ended, ok := p.pauseEnds[e.id]; ok && r.now.Sub(ended) < returnWindow {
				p.returned[e.id]++
			}
			return e, choice, true
		}
		p.refused++
		from := engineHost{e.id, h}
		if first, ok := p.firstRefused[from]; !ok {
			p.firstRefused[from] = r.now
		} else if r.now.Sub(first) > pauseSlack {
			p.sentInPause[from]++
		}
		h.assigner.End(r.now, h.assigner.Begin(r.now, w, choice), EndedFull)
		if p.honoured {
			h.assigner.Pause(r.now, registry.Lifetime{Endpoint: e.id, Born: choice.Born}, e.pausedUntil.Sub(r.now), r.random.Float64())
		}
		tried = append(tried, choice.Endpoint)
	}
	return nil, Choice{}, false
}

// Simulates that a quarter of the engines refuse requests and ask for a pause, at light, full and excessive load. Guards against
// hosts that go on sending to them, and against fewer requests in time than if the pauses were ignored.
func TestPausesOfAQuarterOfTheEngines(t *testing.T) {
	// pair is the time that an engine takes for the prefill of the unshared parts of one urgent and one other request.
	const pair = float64(2890+628) / modelRate * float64(time.Millisecond)
	const engines, quarter, begin = 18, 4, 5 * time.Second
	for _, load := range []float64{0.8, 1, 1.5} {
		for _, length := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
			inTime := map[bool]float64{}
			for _, honoured := range []bool{false, true} {
				p := &pauseCounts{
					honoured: honoured, sentInPause: map[engineHost]int{}, firstRefused: map[engineHost]unit.Moment{}, returned: map[unit.EndpointID]int{},
					pauseEnds: map[unit.EndpointID]unit.Moment{},
				}
				r := newSimulation(engines, modelHosts, p.choose)
				r.run(loadPattern{
					engines: engines, rate: constantRate(load * engines * float64(time.Second) / pair), length: begin + length + 2*time.Second,
					onTick: func(r *simulation, at time.Duration) {
						for _, e := range r.engines[:quarter] {
							if at == begin {
								e.pausedUntil = r.now.Add(length)
							}
							if at == begin+length {
								p.pauseEnds[e.id] = r.now
							}
						}
					},
				})
				mostInPause, mostReturned := 0, 0
				for _, count := range p.sentInPause {
					mostInPause = max(mostInPause, count)
				}
				for _, count := range p.returned {
					mostReturned = max(mostReturned, count)
				}
				inTime[honoured] = float64(r.inTime) / float64(r.urgent)
				t.Logf("load %.1f, pause %s, honoured %t: %.3f in time, %d of %d refused, %d refused by paused engines, at most %d from one host to one engine after pauseSlack, at most %d to one engine within %s of the end",
					load, length, honoured, inTime[honoured], r.refusedCounted, r.urgent, p.refused, mostInPause, mostReturned, returnWindow)
				assert.Assert(t, !honoured || mostInPause <= maxSentInPause)
			}
			assert.Assert(t, inTime[true] >= inTime[false]-0.02)
		}
	}
}
