package assign

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/admission/retryafter"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
)

// The model of a deployment with two classes of requests. An engine runs up to overloadSlots requests in one batch; a step reads up to
// pieceTokens prompt tokens, the most urgent first, and gives one token to each request whose prompt is read. An event of a stream has
// eventTokens tokens.
const (
	overloadHosts, overloadEngines = 75, 90
	overloadSlots                  = 24
	overloadMemory                 = unit.Tokens(63_370)
	pieceTokens                    = unit.Tokens(1024)
	stepTime, pieceTime            = 6 * time.Millisecond, 32 * time.Millisecond
	eventTokens                    = unit.Tokens(5)
	overloadTick                   = 2 * time.Millisecond
	snapshotInterval               = 50 * time.Millisecond
	reportInterval                 = 500 * time.Millisecond
	overloadWarmUp                 = 4 * time.Second
	// connectTime is how long a host takes to find that an engine is gone.
	connectTime = 30 * time.Millisecond
)

var overloadService = &table.Service{Name: "llm", Engine: &table.Engine{Slots: overloadSlots, CacheTokens: overloadMemory}}

// modelClass is a class of requests: index 0 is the more urgent one.
type modelClass struct {
	shared, own, output unit.Tokens
	subjects            int // number of different shared parts
	objective, deadline time.Duration
	maxLatency, pause   time.Duration
	rate, worth         float64
}

var modelClasses = [2]modelClass{
	{shared: 198, own: 628, output: 58, subjects: 40, objective: 500 * time.Millisecond, deadline: 3 * time.Second, maxLatency: 1920 * time.Millisecond, pause: 300 * time.Millisecond, rate: 230, worth: 3},
	{shared: 6300, own: 2890, output: 10, subjects: 6_000, objective: 1500 * time.Millisecond, deadline: 6 * time.Second, maxLatency: 4800 * time.Millisecond, pause: 300 * time.Millisecond, rate: 86, worth: 1.1},
}

type overloadSnapshot struct {
	at  unit.Moment
	own []map[unit.EndpointID]Load
	sum map[unit.EndpointID]Load
}

// overloadCounts are the results of one class.
type overloadCounts struct{ asked, inTime, late, refused, lost, refusedOnce, refusedTwice int }

func (c overloadCounts) share(n int) float64 { return float64(n) / float64(max(c.asked, 1)) }

// overload is a simulation of overloadHosts hosts and overloadEngines engines in virtual time.
type overload struct {
	random    *rand.Rand
	now       unit.Moment
	engines   []*overloadEngine
	byID      map[unit.EndpointID]*overloadEngine
	hosts     []*Assigner
	snapshots []overloadSnapshot
	changes   [][]cachedparts.Change // by interval, one interval old when they arrive
	later     map[unit.Moment][]*overloadCall
	counts    [2]overloadCounts
	mode      overloadMode
	// atOnce makes refused callers return after 50 ms whatever they are told.
	atOnce bool
}

// overloadMode says what is compared.
type overloadMode int

const (
	modeAssigner  overloadMode = iota
	modeInOrder                // first come first served at the engines, nothing refused
	modeKnowsAll               // places and refuses by the state of all engines at that moment
	overloadModes = 3
)

var overloadModeNames = [overloadModes]string{"assigner", "in order, nothing refused", "knows all engines"}

func newOverload(mode overloadMode) *overload {
	o := &overload{random: rand.New(rand.NewPCG(11, 5)), mode: mode, byID: map[unit.EndpointID]*overloadEngine{}, later: map[unit.Moment][]*overloadCall{}}
	for i := range overloadEngines {
		e := &overloadEngine{modelEngine: newModelEngine(i)}
		o.engines = append(o.engines, e)
		o.byID[e.id] = e
	}
	for range overloadHosts {
		a := New(Settings{DataCentre: "a", ReportSilence: 3 * time.Second, WeightsGrace: time.Hour, WeightsLimit: time.Hour})
		a.SetHosts(overloadHosts)
		o.hosts = append(o.hosts, a)
	}
	return o
}

// exchange records the loads of all hosts, and gives some hosts a sum that is 0.1 to 1 s old.
func (o *overload) exchange() {
	s := overloadSnapshot{at: o.now, sum: map[unit.EndpointID]Load{}}
	for _, a := range o.hosts {
		own := a.OwnLoads(o.now)
		s.own = append(s.own, own)
		for id, load := range own {
			s.sum[id] = s.sum[id].Add(load)
		}
	}
	o.snapshots = append(o.snapshots, s)
	o.snapshots = o.snapshots[max(0, len(o.snapshots)-21):]
	var changes []cachedparts.Change
	for _, e := range o.engines {
		changes = append(changes, e.changes...)
		e.changes = nil
	}
	o.changes = append(o.changes, changes)
	arriving := o.changes[max(0, len(o.changes)-3)]
	for h, a := range o.hosts {
		a.SetHoldings(o.now, cachedparts.Update{Changes: arriving})
		if o.random.IntN(4) > 0 {
			continue
		}
		age := 2 + o.random.IntN(18)
		if age >= len(o.snapshots) {
			continue
		}
		from := o.snapshots[len(o.snapshots)-1-age]
		others := map[unit.EndpointID]Load{}
		for id, load := range from.sum {
			others[id] = load.Sub(from.own[h][id])
		}
		a.SetLoads(min(from.at.Add(loadLag), o.now), others)
	}
}

// report gives all hosts the reports of the engines.
func (o *overload) report() {
	var known []registry.Endpoint
	for _, e := range o.engines {
		k := endpoint(string(e.id), 1, o.now)
		k.Slots = overloadSlots
		known = append(known, k)
	}
	for _, a := range o.hosts {
		if len(a.replicas) == 0 {
			a.SetEndpoints(known, func(table.ServiceName) (*table.Service, bool) { return overloadService, true }, nil, nil)
		}
		a.UpdateReports(known)
	}
}

func (o *overload) newCall(class int) *overloadCall {
	c := modelClasses[class]
	w := &Request{
		Service: "llm", HasPrompt: true, Model: "m", Prompt: c.shared + c.own, Output: c.output, Objective: c.objective, ShortestObjective: modelClasses[0].objective, Class: Class(class), Classes: len(modelClasses),
		Objectives: []time.Duration{modelClasses[0].objective, modelClasses[1].objective},
		Parts:      []Part{{ID: fmt.Sprint(class, "-", o.random.IntN(c.subjects)), Tokens: c.shared}, {ID: fmt.Sprint(o.random.Uint64()), Tokens: c.own}},
	}
	return &overloadCall{class: class, work: w, host: o.random.IntN(overloadHosts), first: o.now}
}

func (o *overload) counting(c *overloadCall) bool {
	return c.first >= unit.Moment(time.Second).Add(overloadWarmUp)
}

func (o *overload) count(c *overloadCall, add func(*overloadCounts)) {
	if o.counting(c) {
		add(&o.counts[c.class])
	}
}

func (o *overload) place(c *overloadCall) {
	class := modelClasses[c.class]
	left := class.deadline - o.now.Sub(c.first)
	c.work.MaxLatency, c.work.PreviouslyRefused = min(class.maxLatency, time.Duration(0.8*float64(left))), c.refused > 0
	if len(c.tried) == 4 || left <= 0 {
		o.count(c, func(n *overloadCounts) { n.lost++ })
		return
	}
	a := o.hosts[c.host]
	choice, ok := a.Choose(o.now, c.work, c.tried)
	if !ok {
		o.refuse(c, 0)
		return
	}
	switch o.mode {
	case modeInOrder:
	case modeKnowsAll:
		var wait time.Duration
		if choice.Endpoint, wait = o.bestEngine(c); wait > class.objective-o.now.Sub(c.first) && o.now.Sub(c.first) < class.objective || wait > c.work.MaxLatency {
			o.refuse(c, wait/2)
			return
		}
	default:
		if choice.Expected > c.work.MaxLatency {
			o.refuse(c, choice.Expected-c.work.MaxLatency)
			return
		}
		if len(c.tried) == 0 && !choice.Admits(c.work) {
			o.refuse(c, choice.ExcessWait(c.work))
			return
		}
	}
	c.flight = a.Begin(o.now, c.work, choice)
	e := o.byID[choice.Endpoint]
	if e.gone {
		c.tried = append(c.tried, e.id)
		a.End(o.now, c.flight, EndedUnreachable)
		o.at(connectTime, c)
		return
	}
	c.unread, c.made, c.queuedAt = -1, 0, o.now
	e.waiting = append(e.waiting, c)
}

// bestEngine returns the engine at which the first event of the call comes first, by the true state of all engines.
func (o *overload) bestEngine(c *overloadCall) (unit.EndpointID, time.Duration) {
	var best unit.EndpointID
	shortest := time.Hour
	first := o.random.IntN(len(o.engines)) // among equal engines a random one
	for i := range o.engines {
		e := o.engines[(first+i)%len(o.engines)]
		if e.gone {
			continue
		}
		tokens, memory := c.work.tokensAfter(e.heldParts(c.work)), c.work.memoryTokens()
		for _, other := range slices.Concat(e.batch, e.waiting) {
			if other.class > c.class {
				continue
			}
			memory += other.work.memoryTokens()
			if other.unread >= 0 {
				tokens += other.unread
			} else {
				tokens += other.work.tokensAfter(e.heldParts(other.work))
			}
		}
		wait := time.Duration(float64(tokens)/float64(pieceTokens)*float64(stepTime+pieceTime)) + 3*stepTime
		if memory > overloadMemory {
			wait += 300 * time.Millisecond
		}
		if wait < shortest {
			best, shortest = e.id, wait
		}
	}
	return best, shortest
}

// refuse tells the caller when to return. It returns if it has time left for that.
func (o *overload) refuse(c *overloadCall, room time.Duration) {
	left := modelClasses[c.class].deadline - o.now.Sub(c.first)
	after := retryafter.Refusal{UntilCapacity: room, Remaining: left, Draw: o.random.Float64()}.After()
	if o.atOnce {
		after = 50 * time.Millisecond
	}
	c.refused++
	o.count(c, func(n *overloadCounts) {
		switch c.refused {
		case 1:
			n.refusedOnce++
		case 2:
			n.refusedTwice++
		}
	})
	if left < after+modelClasses[c.class].objective/2 {
		o.count(c, func(n *overloadCounts) { n.refused++ })
		return
	}
	c.tried, c.host = nil, o.random.IntN(overloadHosts)
	o.at(after, c)
}

func (o *overload) at(after time.Duration, c *overloadCall) {
	when := o.now.Add(max(after/overloadTick, 1) * overloadTick)
	o.later[when] = append(o.later[when], c)
}

// event sends the caller an event. A preempted request repeats tokens, which the caller doesn't get again.
func (o *overload) event(c *overloadCall) {
	class := modelClasses[c.class]
	if c.lastEvent == 0 {
		o.hosts[c.host].Began(o.now, c.flight)
		c.late = o.now.Sub(c.first) > class.objective
	} else if o.now.Sub(c.lastEvent) > class.pause {
		c.late = true
	}
	c.lastEvent = o.now
}

// lose takes an engine away, or brings it back with an empty cache.
func (o *overload) lose(e *overloadEngine, gone bool) {
	if e.gone == gone {
		return
	}
	calls := slices.Concat(e.batch, e.waiting)
	changes := append(e.changes, cachedparts.Change{Place: cachedparts.Place(e.id), Cleared: true}) //nolint:gocritic // e is replaced
	*e = overloadEngine{modelEngine: newModelEngine(slices.Index(o.engines, e)), gone: gone}
	e.changes = changes
	for _, c := range calls {
		o.hosts[c.host].End(o.now, c.flight, EndedBroken)
		if c.lastEvent > 0 {
			o.count(c, func(n *overloadCounts) { n.lost++ })
			continue
		}
		c.tried = append(c.tried, e.id)
		o.at(overloadTick, c)
	}
}

// overloadReplay is a load over time after the warm-up.
type overloadReplay struct {
	name   string
	factor func(class int, at time.Duration) float64
	gone   func(at time.Duration) bool // a quarter of the engines is away
	atOnce bool
	length time.Duration
}

// compareModes has the overload replays run in all modes.
var compareModes = flag.Bool("compare-overload", false, "also replay first come first served, and placement by the state of all engines")

func within(at, from, length time.Duration) bool { return at >= from && at < from+length }

func (o *overload) run(p overloadReplay) {
	o.atOnce = p.atOnce
	next := [2]float64{}
	end := overloadWarmUp + p.length
	for at := time.Duration(0); at < end+7*time.Second; at += overloadTick {
		o.now = unit.Moment(time.Second).Add(at)
		if at%reportInterval == 0 {
			o.report()
		}
		if at%snapshotInterval == 0 {
			o.exchange()
		}
		for _, e := range o.engines[:overloadEngines/4] {
			o.lose(e, p.gone != nil && p.gone(at-overloadWarmUp))
		}
		for _, c := range o.later[o.now] {
			o.place(c)
		}
		delete(o.later, o.now)
		for class := range modelClasses {
			if at >= end {
				break
			}
			factor := 1.0
			if p.factor != nil {
				factor = p.factor(class, at-overloadWarmUp)
			}
			for next[class] += factor * modelClasses[class].rate * overloadTick.Seconds(); next[class] >= 1; next[class]-- {
				c := o.newCall(class)
				o.count(c, func(n *overloadCounts) { n.asked++ })
				o.place(c)
			}
		}
		for _, e := range o.engines {
			e.step(o)
		}
	}
}

// worth is the worth of the requests in time, as a share of that of all.
func (o *overload) worth() float64 {
	got, all := 0.0, 0.0
	for class, n := range o.counts {
		got += modelClasses[class].worth * float64(n.inTime)
		all += modelClasses[class].worth * float64(n.asked)
	}
	return got / all
}

func overloadReplays() []overloadReplay {
	burst := 5400 * time.Millisecond
	patientBurst := func(class int, at time.Duration) float64 {
		if class == 1 && within(at, time.Second, burst) {
			return 2.4
		}
		return 1
	}
	return []overloadReplay{
		{name: "patient x 2.4", factor: patientBurst, length: 8 * time.Second},
		{name: "urgent x 1.6 after it", length: 12 * time.Second, factor: func(class int, at time.Duration) float64 {
			if class == 0 && within(at, time.Second+burst, 4*time.Second) {
				return 1.6
			}
			return patientBurst(class, at)
		}},
		// The customer usually sends a tenth of the requests.
		{name: "a customer x 5.5", length: 8 * time.Second, factor: func(_ int, at time.Duration) float64 {
			if within(at, time.Second, 5*time.Second) {
				return 0.9 + 0.1*5.5
			}
			return 1
		}},
		{name: "a quarter of the engines gone", length: 10 * time.Second, gone: func(at time.Duration) bool { return within(at, time.Second, 6*time.Second) }},
		{name: "patient x 2.4, a quarter of the engines gone", factor: patientBurst, length: 8 * time.Second, gone: func(at time.Duration) bool { return within(at, time.Second, burst) }},
		{name: "patient x 2.4, returning at once", factor: patientBurst, atOnce: true, length: 8 * time.Second},
	}
}

// urgentInTime is the project's target for the share of urgent requests in time, see TestSimulatedLoads. There is capacity for all of them.
const urgentInTime = 0.95

// Guards against urgent requests that are served worse than patient ones when there isn't capacity for all of them.
func TestUrgentRequestsUnderOverload(t *testing.T) {
	for _, p := range overloadReplays() {
		t.Run(p.name, func(t *testing.T) {
			for mode := range overloadMode(overloadModes) {
				if mode != modeAssigner && !*compareModes {
					continue
				}
				o := newOverload(mode)
				o.run(p)
				u, l := o.counts[0], o.counts[1]
				t.Logf("%-26s worth %.3f; urgent %d: in time %.3f, late %.3f, refused %.3f, lost %d, refused once %d, twice %d; patient %d: in time %.3f, late %.3f, refused %.3f, lost %d, refused once %d, twice %d",
					overloadModeNames[mode], o.worth(), u.asked, u.share(u.inTime), u.share(u.late), u.share(u.refused), u.lost, u.refusedOnce, u.refusedTwice,
					l.asked, l.share(l.inTime), l.share(l.late), l.share(l.refused), l.lost, l.refusedOnce, l.refusedTwice)
				if mode == modeAssigner {
					assert.Assert(t, u.share(u.inTime) >= urgentInTime, "%.3f of the urgent requests in time", u.share(u.inTime))
					assert.Assert(t, u.share(u.refusedOnce) <= l.share(l.refusedOnce), "urgent requests are refused before patient ones")
				}
			}
		})
	}
}
