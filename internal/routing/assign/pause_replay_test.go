package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// pauses counts what reaches engines that asked for a pause.
type pauses struct {
	heeded   bool // hosts keep to the pauses
	away     int  // requests turned away
	kept     map[pausedFrom]int
	told     map[pausedFrom]unit.Moment
	returned map[unit.EndpointID]int // requests that an engine got in the first returnTime after its pause
	ended    map[unit.EndpointID]unit.Moment
}

// pausedFrom is an engine and a host that it has turned away.
type pausedFrom struct {
	engine unit.EndpointID
	host   *modelHost
}

const (
	// pauseSlack is how long after it was told a host may still send to an engine, and mostInPause how many requests of a host may
	// reach the engine in the rest of its pause. Both are the users' bounds.
	pauseSlack  = 500 * time.Millisecond
	mostInPause = 2
	// mostSends is how often a request is sent, refusals included.
	mostSends = 4
	// returnTime is the time after a pause in which the return of hosts is counted.
	returnTime = 200 * time.Millisecond
)

// choose sends a request to one engine after the other until one takes it.
func (p *pauses) choose(r *replay, h *modelHost, w *Work) (*modelEngine, Choice, bool) {
	var tried []unit.EndpointID
	for range mostSends {
		choice, ok := h.assigner.Choose(r.now, w, tried)
		if !ok || choice.Expected > w.Patience || len(tried) == 0 && !choice.Admits(w) {
			return nil, choice, false
		}
		e := r.engine(choice.Endpoint)
		if e.paused <= r.now {
			if ended, ok := p.ended[e.id]; ok && r.now.Sub(ended) < returnTime {
				p.returned[e.id]++
			}
			return e, choice, true
		}
		p.away++
		from := pausedFrom{e.id, h}
		if told, ok := p.told[from]; !ok {
			p.told[from] = r.now
		} else if r.now.Sub(told) > pauseSlack {
			p.kept[from]++
		}
		h.assigner.End(r.now, h.assigner.Begin(r.now, w, choice), EndedFull)
		if p.heeded {
			h.assigner.Pause(r.now, registry.Lifetime{Endpoint: e.id, Born: choice.Born}, e.paused.Sub(r.now), r.random.Float64())
		}
		tried = append(tried, choice.Endpoint)
	}
	return nil, Choice{}, false
}

// Replays a quarter of the engines that turn requests away and ask for a pause, under light, full and too much load. Guards against hosts that
// go on asking them, and against fewer requests in time than without heeding the pauses.
func TestPausesOfAQuarterOfTheEngines(t *testing.T) {
	// An engine reads the unshared parts of one urgent and one other request in this time.
	const pair = float64(2890+628) / modelRate * float64(time.Millisecond)
	const engines, quarter, begin = 18, 4, 5 * time.Second
	for _, load := range []float64{0.8, 1, 1.5} {
		for _, length := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
			inTime := map[bool]float64{}
			for _, heeded := range []bool{false, true} {
				p := &pauses{
					heeded: heeded, kept: map[pausedFrom]int{}, told: map[pausedFrom]unit.Moment{}, returned: map[unit.EndpointID]int{},
					ended: map[unit.EndpointID]unit.Moment{},
				}
				r := newReplay(engines, modelHosts, p.choose)
				r.run(pattern{
					engines: engines, rate: steady(load * engines * float64(time.Second) / pair), length: begin + length + 2*time.Second,
					event: func(r *replay, at time.Duration) {
						for _, e := range r.engines[:quarter] {
							if at == begin {
								e.paused = r.now.Add(length)
							}
							if at == begin+length {
								p.ended[e.id] = r.now
							}
						}
					},
				})
				most, back := 0, 0
				for _, count := range p.kept {
					most = max(most, count)
				}
				for _, count := range p.returned {
					back = max(back, count)
				}
				inTime[heeded] = float64(r.inTime) / float64(r.urgent)
				t.Logf("load %.1f, pause %s, heeded %t: %.3f in time, %d of %d refused, %d turned away, at most %d from one host to one engine after the slack, at most %d to one engine within %s of the end",
					load, length, heeded, inTime[heeded], r.refusedCounted, r.urgent, p.away, most, back, returnTime)
				assert.Assert(t, !heeded || most <= mostInPause)
			}
			assert.Assert(t, inTime[true] >= inTime[false]-0.02)
		}
	}
}
