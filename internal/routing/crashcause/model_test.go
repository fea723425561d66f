package crashcause_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/parttrial"
)

// The users' bounds, and the times of the model.
const (
	contactTime    = 3 * time.Second // after which connected hosts know what others know
	countedCrashes = 5
	maxLateSends   = 3

	tick         = 10 * time.Millisecond
	syncInterval = 50 * time.Millisecond  // of a host with the control host
	answerTime   = 150 * time.Millisecond // until an engine begins to write an answer
	restartTime  = 3 * time.Second
	warmUpTime   = 4 * time.Second // before the first deadly request
	playTime     = 30 * time.Second
	lastTime     = 10 * time.Second // at the end, in which nearly no sound request may be refused any more
	classFirsts  = 4                // first parts of the class
)

// modelCase is one load on a fleet. Each deadly part always follows the same first part and subject, which other requests share.
type modelCase struct {
	name           string
	hosts, engines int
	perSecond      float64 // requests
	subjects       int
	share          float64 // of the requests that hold a deadly part
	deadlyParts    int
	soundBefore    bool            // the parts crash engines only from warmUpTime on
	cold           bool            // they are sent from the first second on
	sharedSubject  bool            // all of them follow the same first part and subject
	restartTime    time.Duration   // of an engine, restartTime if 0
	otherCrashes   []time.Duration // times at which a fifth of the engines crash for another reason
	restarts       []time.Duration // times at which every second host loses what it knew
}

// modelRequest is a request at an engine.
type modelRequest struct {
	host     int
	ids      []crashcause.PartID
	deadly   bool // its third part is deadly
	attempt  int
	answerAt unit.Moment
}

type modelEngine struct {
	born    int
	downTo  unit.Moment
	running []modelRequest
}

// model replays the load on hosts that exchange notices through one control host.
type model struct {
	modelCase
	random  *rand.Rand
	now     unit.Moment
	hosts   []*crashcause.Register
	sent    []uint64 // number of the last change that the control host has, by host
	read    []uint64 // number of the last change that each host has read
	control *crashcause.Register
	trials  *parttrial.Schedule
	engines []modelEngine
	born    int

	crashTimes             []unit.Moment                       // of crashes under deadly parts
	crashTimesOf           map[crashcause.PartID][]unit.Moment // by deadly part
	deadlySends            map[crashcause.PartID][]unit.Moment // likewise
	sound, soundRefused    map[crashcause.PartID]int           // by first part, in the time in which the bounds hold
	refusedInAll           int
	lastSound, lastRefused int // in lastTime
}

func newModel(c modelCase, seed uint64) *model {
	m := &model{
		modelCase: c, random: rand.New(rand.NewPCG(seed, 7)), control: crashcause.New(0), sent: make([]uint64, c.hosts), read: make([]uint64, c.hosts),
		engines: make([]modelEngine, c.engines), sound: map[crashcause.PartID]int{}, soundRefused: map[crashcause.PartID]int{},
		trials: parttrial.New(0), crashTimesOf: map[crashcause.PartID][]unit.Moment{}, deadlySends: map[crashcause.PartID][]unit.Moment{},
	}
	for range c.hosts {
		m.hosts = append(m.hosts, crashcause.New(m.random.Float64()))
	}
	for i := range m.engines {
		m.engines[i].born = i
	}
	m.born = c.engines
	return m
}

func (m *model) lifetimeOf(i int) registry.Lifetime {
	return registry.Lifetime{Endpoint: unit.EndpointID(fmt.Sprint(i)), Born: int64(m.engines[i].born)}
}

// draw returns a new request.
func (m *model) draw() modelRequest {
	r := modelRequest{host: m.random.IntN(len(m.hosts))}
	if m.random.Float64() < m.share && (m.now >= at(warmUpTime) || m.soundBefore || m.cold) {
		k := crashcause.PartID(m.random.IntN(m.deadlyParts))
		before := k
		if m.sharedSubject {
			before = 0
		}
		r.ids, r.deadly = []crashcause.PartID{before, 100 + before, 1_000_000 + k}, m.now >= at(warmUpTime) || m.cold
		return r
	}
	popularity := math.Pow(m.random.Float64(), 1.5)
	s := crashcause.PartID(popularity * float64(m.subjects))
	r.ids = []crashcause.PartID{s % classFirsts, 100 + s}
	return r
}

func (m *model) send(r modelRequest) {
	h := m.hosts[r.host]
	cause, blocked := h.Check(m.now, r.ids)
	if blocked && cause.Doubtful && r.attempt == 0 {
		blocked = !m.trials.Grant(m.now, parttrial.Query{Part: cause.Part, Rivals: uint(cause.Rivals), Engines: uint(len(m.engines))}, m.control)
	}
	if !r.deadly && r.attempt == 0 {
		m.countSound(r, blocked)
	}
	if blocked {
		return
	}
	up := m.random.Perm(len(m.engines))
	for _, i := range up {
		e := &m.engines[i]
		if e.downTo > m.now {
			continue
		}
		r.answerAt = m.now.Add(answerTime/2 + time.Duration(m.random.Float64()*float64(answerTime)))
		e.running = append(e.running, r)
		if r.deadly {
			m.deadlySends[r.ids[2]] = append(m.deadlySends[r.ids[2]], m.now)
		}
		return
	}
}

func (m *model) countSound(r modelRequest, refused bool) {
	if refused {
		m.refusedInAll++
	}
	if m.now >= at(playTime-lastTime) {
		m.lastSound++
		if refused {
			m.lastRefused++
		}
	}
	if len(m.crashTimes) == 0 || m.now < m.crashTimes[min(len(m.crashTimes), countedCrashes)-1].Add(2*contactTime) {
		return
	}
	m.sound[r.ids[0]]++
	if refused {
		m.soundRefused[r.ids[0]]++
	}
}

func at(t time.Duration) unit.Moment { return unit.Moment(t) }

// partsOf returns the parts of a prompt in order.
func partsOf(ids []crashcause.PartID) []crashcause.Part {
	var parts []crashcause.Part
	for i, id := range ids {
		parts = append(parts, crashcause.Part{ID: id, Position: uint8(i)})
	}
	return parts
}

// crash ends an engine. Each host knows of its own requests that break off.
func (m *model) crash(i int) {
	e := &m.engines[i]
	broken, l := e.running, m.lifetimeOf(i)
	m.born++
	*e = modelEngine{born: m.born, downTo: m.now.Add(cmp.Or(m.restartTime, restartTime))}
	for _, r := range broken {
		m.hosts[r.host].RecordCrash(m.now, l, partsOf(r.ids))
	}
	for _, r := range broken {
		if r.attempt == 0 && !m.hosts[r.host].Suspects(r.ids) {
			r.attempt++
			m.send(r)
		}
	}
}

func (m *model) exchange() {
	for i, h := range m.hosts {
		update := h.Since(m.now, m.sent[i])
		m.control.Merge(m.now, update.Notices)
		m.sent[i] = update.Number
		answer := m.control.Since(m.now, m.read[i])
		h.Merge(m.now, answer.Notices)
		m.read[i] = answer.Number
	}
}

func (m *model) step() {
	for range m.count(m.perSecond * tick.Seconds()) {
		m.send(m.draw())
	}
	for _, moment := range m.otherCrashes {
		if m.now == at(moment) {
			for i := range (len(m.engines) + 4) / 5 {
				m.crash(i)
			}
		}
	}
	for _, moment := range m.restarts {
		if m.now == at(moment) {
			for i := 0; i < len(m.hosts); i += 2 {
				m.hosts[i], m.sent[i], m.read[i] = crashcause.New(m.random.Float64()), 0, 0
			}
		}
	}
	for i := range m.engines {
		var running []modelRequest
		crashes := map[crashcause.PartID]bool{}
		for _, r := range m.engines[i].running {
			switch {
			case r.answerAt > m.now:
				running = append(running, r)
			case r.deadly:
				crashes[r.ids[2]] = true
				running = append(running, r)
			default:
				m.hosts[r.host].RecordServed(m.now, partsOf(r.ids))
			}
		}
		m.engines[i].running = running
		for id := range crashes {
			m.crashTimesOf[id] = append(m.crashTimesOf[id], m.now)
		}
		if len(crashes) > 0 {
			m.crashTimes = append(m.crashTimes, m.now)
			m.crash(i)
		}
	}
	if m.now%unit.Moment(syncInterval) == 0 {
		m.exchange()
	}
}

// count draws a number of events with the given mean.
func (m *model) count(mean float64) int {
	whole, rest := math.Modf(mean)
	if m.random.Float64() < rest {
		whole++
	}
	return int(whole)
}

// lateSends returns the most requests with one deadly part that reach engines later than contactTime after its fifth crash.
func (m *model) lateSends() int {
	most := 0
	for id, times := range m.crashTimesOf {
		late := 0
		for _, sent := range m.deadlySends[id] {
			if len(times) >= countedCrashes && sent > times[countedCrashes-1].Add(contactTime) {
				late++
			}
		}
		most = max(most, late)
	}
	return most
}

// Guards against requests with deadly parts that go on to reach engines, and against sound requests with the same first part that are
// refused, over sizes of fleets, shares of these requests, several deadly parts and crashes for other reasons. When all is known, at least
// nine in ten of all sound requests are sent.
func TestDeadlyPartsAreFoundInAMixOfRequests(t *testing.T) {
	cases := []modelCase{
		{name: "one host", hosts: 1, engines: 4, perSecond: 30, subjects: 50, share: 0.05, deadlyParts: 1},
		{name: "small site", hosts: 6, engines: 9, perSecond: 60, subjects: 100, share: 0.05, deadlyParts: 1},
		{name: "rarely", hosts: 6, engines: 9, perSecond: 60, subjects: 100, share: 0.01, deadlyParts: 1},
		{name: "three in ten", hosts: 6, engines: 9, perSecond: 60, subjects: 100, share: 0.3, deadlyParts: 1},
		{name: "two parts", hosts: 6, engines: 9, perSecond: 60, subjects: 100, share: 0.1, deadlyParts: 2},
		{name: "other crashes meanwhile", hosts: 6, engines: 9, perSecond: 60, subjects: 100, share: 0.05, deadlyParts: 1, otherCrashes: []time.Duration{4500 * time.Millisecond, 5 * time.Second, 7 * time.Second, 12 * time.Second}},
		{name: "only other crashes", hosts: 6, engines: 9, perSecond: 60, subjects: 100, otherCrashes: []time.Duration{time.Second, 5 * time.Second, 9 * time.Second, 13 * time.Second}},
		{name: "sound until now", hosts: 6, engines: 9, perSecond: 60, subjects: 100, share: 0.05, deadlyParts: 1, soundBefore: true},
		{name: "hosts restart", hosts: 6, engines: 9, perSecond: 60, subjects: 100, share: 0.05, deadlyParts: 1, restarts: []time.Duration{5 * time.Second, 8 * time.Second}},
		{name: "two parts, few engines, hosts restart", hosts: 3, engines: 3, perSecond: 100, subjects: 20, share: 0.1, deadlyParts: 2, restarts: []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second}},
		{name: "four parts from the first second on, few engines", hosts: 3, engines: 3, perSecond: 60, subjects: 20, share: 0.4, deadlyParts: 4, cold: true, restartTime: 500 * time.Millisecond},
		{name: "two parts from the first second on, few engines", hosts: 3, engines: 3, perSecond: 45, subjects: 20, share: 0.3, deadlyParts: 2, cold: true, restartTime: 500 * time.Millisecond},
		{name: "four parts after one subject, few engines, other crashes meanwhile", hosts: 3, engines: 3, perSecond: 80, subjects: 20, share: 0.32, deadlyParts: 4, cold: true, sharedSubject: true, restartTime: 500 * time.Millisecond, otherCrashes: []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second}},
		{name: "many subjects", hosts: 7, engines: 18, perSecond: 120, subjects: 2000, share: 0.05, deadlyParts: 1},
		{name: "75 hosts", hosts: 75, engines: 60, perSecond: 600, subjects: 1000, share: 0.05, deadlyParts: 1},
		{name: "300 hosts", hosts: 300, engines: 240, perSecond: 2000, subjects: 5000, share: 0.02, deadlyParts: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				m := newModel(c, seed)
				for ; m.now < at(playTime); m.now = m.now.Add(tick) {
					m.step()
				}
				t.Logf("seed %d: %d crashes, %d late sends; %d sound requests refused, %d of the last %d", seed, len(m.crashTimes), m.lateSends(), m.refusedInAll, m.lastRefused, m.lastSound)
				assert.Assert(t, 10*m.lastRefused <= m.lastSound, "seed %d: %d of the last %d sound requests are refused", seed, m.lastRefused, m.lastSound)
				assert.Assert(t, m.lateSends() <= maxLateSends, "seed %d: %d deadly requests reach engines late", seed, m.lateSends())
				for id, all := range m.sound {
					assert.Assert(t, 2*m.soundRefused[id] < all, "seed %d: %d of %d sound requests with part %d are refused", seed, m.soundRefused[id], all, id)
				}
			}
		})
	}
}
