package assign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/enginespeed"
)

// The pause model: engines that produce one token of each running request per step, and read one piece of a prompt beside it. Streams send an event every
// pauseStride tokens. A stream is late if one of its pauses is longer than pauseGap, or its first event comes after its objective.
const (
	pauseEngines, pauseHosts = 60, 20
	pauseStride, pausePiece  = 6, unit.Tokens(4096)
	pauseStep                = 4.37 // ms for a step without a prompt
	pauseStepPerRequest      = 0.11 // ms
	pauseReadRate            = 93.6 // prompt tokens per ms
	pauseFirst               = 83 * time.Millisecond
	pauseGap                 = 400 * time.Millisecond
	pauseSync                = 150 * time.Millisecond
	pauseNoiseTime           = 600 * time.Millisecond
	pauseNoiseShare          = 0.15
	pauseNoiseFactor         = 2.5
)

type pauseRequest struct {
	work     *Request
	host     *Assigner
	flight   *Attempt
	sentAt   unit.Moment
	unread   unit.Tokens
	tokens   int // left to produce
	produced int
	eventAt  unit.Moment // of the last event
	late     bool
}

type pauseEngine struct {
	id       unit.EndpointID
	speed    float64
	slowTill unit.Moment
	nextAt   unit.Moment // end of the current step
	reading  []*pauseRequest
	running  []*pauseRequest
}

// step ends a step and begins the next one.
func (e *pauseEngine) step(now unit.Moment, end func(*pauseRequest)) {
	piece := unit.Tokens(0)
	if len(e.reading) > 0 {
		q := e.reading[0]
		piece = min(q.unread, pausePiece)
		if q.unread -= piece; q.unread == 0 {
			e.reading = e.reading[1:]
			e.running = append(e.running, q)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(q *pauseRequest) bool {
		q.produced++
		q.tokens--
		if q.produced%pauseStride == 1 || q.tokens == 0 {
			limit, since := pauseGap, q.eventAt
			if q.produced == 1 {
				now := now.Add(pauseFirst)
				limit, since, q.eventAt = q.work.Objective, q.sentAt, now
				q.host.Began(now, q.flight)
				q.late = now.Sub(since) > limit
				q.host.RecordActivity(now, q.flight)
			} else {
				q.late = q.late || now.Sub(since) > limit
				q.eventAt = max(now, q.eventAt)
				q.host.RecordActivity(q.eventAt, q.flight)
			}
		}
		if q.tokens > 0 {
			return false
		}
		end(q)
		return true
	})
	ms := pauseStep + pauseStepPerRequest*float64(len(e.running)) + float64(piece)/pauseReadRate
	if now < e.slowTill {
		ms *= pauseNoiseFactor
	}
	e.nextAt = now.Add(time.Duration(ms / e.speed * float64(time.Millisecond)))
}

// pauseResult is the share of late requests among small and large ones.
type pauseResult struct{ small, large float64 }

// runPauseModel serves 146 small and 283 large requests per second for 20 s, and counts those of the second half.
func runPauseModel(t *testing.T, gathers, learns bool) pauseResult {
	t.Helper()
	random := rand.New(rand.NewPCG(5, 5))
	speeds := enginespeed.New()
	var engines []*pauseEngine
	for i := range pauseEngines {
		engines = append(engines, &pauseEngine{id: unit.EndpointID(fmt.Sprintf("e%02d", i)), speed: []float64{0.7, 0.7, 1.7}[i%3]})
	}
	var hosts []*Assigner
	reported := make([]map[unit.EndpointID]Load, pauseHosts)
	for range pauseHosts {
		a := New(Settings{ReportSilence: time.Hour, WeightsGrace: time.Hour, WeightsLimit: time.Hour})
		a.SetHosts(pauseHosts)
		hosts = append(hosts, a)
	}
	service := &table.Service{Name: "s", Engine: &table.Engine{Slots: 64, CacheTokens: 114_380, TokenBytes: 35_136, LinkBytesPerSecond: 3e10}}
	counts, lates := map[bool]int{}, map[bool]int{}
	const length = 20 * time.Second
	for at := time.Duration(0); at < length; at += time.Millisecond {
		now := unit.Moment(time.Second).Add(at)
		if at%pauseSync == 0 {
			var known []registry.Endpoint
			for _, e := range engines {
				k := endpoint(string(e.id), 1, now)
				k.Service = "s"
				known = append(known, k)
			}
			total := map[unit.EndpointID]Load{}
			for _, loads := range reported {
				for id, load := range loads {
					total[id] = total[id].Add(load)
				}
			}
			factors := map[unit.EndpointID]float64{}
			for l, factor := range speeds.Factors(now) {
				factors[l.Endpoint] = factor
			}
			for i, a := range hosts {
				a.SetEndpoints(known, func(table.ServiceName) (*table.Service, bool) { return service, true }, nil, nil)
				others := map[unit.EndpointID]Load{}
				for id, load := range total {
					others[id] = load.Sub(reported[i][id])
				}
				a.SetLoads(now.Add(loadLag-pauseSync), others)
				for id, average := range a.TakeSpeedSamples() {
					mean, weight := average.Entry(1).Values()
					speeds.Add(now, registry.Lifetime{Endpoint: id}, mean, weight)
				}
				if learns {
					a.SetSpeeds(now, factors)
				}
			}
			for i, a := range hosts {
				reported[i] = a.OwnLoads(now)
			}
		}
		for _, class := range []struct {
			small     bool
			perSecond float64
		}{{true, 146}, {false, 283}} {
			if random.Float64() >= class.perSecond/1000 {
				continue
			}
			a := hosts[random.IntN(len(hosts))]
			q := pauseModelRequest(random, class.small, gathers)
			q.host, q.sentAt = a, now
			choice, ok := a.Choose(now, q.work, nil)
			assert.Assert(t, ok)
			q.unread = choice.Missing
			q.flight = a.Begin(now, q.work, choice)
			e := engines[slices.IndexFunc(engines, func(e *pauseEngine) bool { return e.id == choice.Endpoint })]
			e.reading = append(e.reading, q)
		}
		for _, e := range engines {
			if at%pauseNoiseTime == 0 && random.Float64() < pauseNoiseShare {
				e.slowTill = now.Add(pauseNoiseTime)
			}
			if now < e.nextAt {
				continue
			}
			e.step(now, func(q *pauseRequest) {
				q.host.End(now, q.flight, EndedComplete)
				if q.sentAt < unit.Moment(time.Second).Add(length/2) {
					return
				}
				small := q.work.Gathering == table.GatherStream || q.work.Prompt < 2000
				counts[small]++
				if q.late {
					lates[small]++
				}
			})
		}
	}
	return pauseResult{float64(lates[true]) / float64(counts[true]), float64(lates[false]) / float64(counts[false])}
}

// pauseModelRequest returns a request of the small class, with a long answer, or of the large one. Their prompts share parts with others of one of 800
// subjects.
func pauseModelRequest(random *rand.Rand, small, gathers bool) *pauseRequest {
	subject, shared, own, events, objective, gathering := random.IntN(800), unit.Tokens(6300), 2890.0, 9, 600*time.Millisecond, table.GatherApart
	if small {
		shared, own, events, objective, gathering = 198, 628, 49, 500*time.Millisecond, table.GatherStream
	}
	if !gathers {
		gathering = table.GatherNone
	}
	tokens := unit.Tokens(own * (0.5 + random.Float64()))
	w := &Request{
		Service: "s", HasPrompt: true, Model: "m", Objective: objective, ShortestObjective: 500 * time.Millisecond, Prompt: shared + tokens, Output: unit.Tokens(events * pauseStride),
		Random: random.Float64(), Gathering: gathering,
		Parts: []Part{{ID: fmt.Sprint("shared-", small, subject), Tokens: shared}, {ID: fmt.Sprint("own-", random.Uint64()), Tokens: tokens}},
	}
	return &pauseRequest{work: w, tokens: events * pauseStride}
}

// Guards against streams that pause for longer than their callers accept because large prompts are read beside them, on engines of unlike speed that
// some of the time are 2.5 times as slow. The large prompts must not pay for it.
func TestGatheredStreamsPauseLess(t *testing.T) {
	before := runPauseModel(t, false, false)
	gathered := runPauseModel(t, true, false)
	both := runPauseModel(t, true, true)
	t.Logf("late without gathering: small %.3f, large %.3f; gathered: %.3f, %.3f; with shared speeds: %.3f, %.3f",
		before.small, before.large, gathered.small, gathered.large, both.small, both.large)
	assert.Assert(t, both.small < 0.05, "%.3f of the urgent streams are late", both.small)
	assert.Assert(t, both.small < before.small/2, "%.3f of the urgent streams are late, %.3f without gathering", both.small, before.small)
	assert.Assert(t, both.large <= math.Max(before.large, 0.05), "%.3f of the large prompts are late, %.3f before", both.large, before.large)
}
