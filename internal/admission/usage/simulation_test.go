package usage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

// The bound of a deployment: in any window, all hosts together may admit (rate * window + burst) * (1 + boundOverage) + boundSlack tokens.
const (
	boundWindow  = 8 * time.Second
	boundOverage = 0.1
	boundSlack   = 72_000.0
	modelTick    = 10 * time.Millisecond
	syncInterval = 50 * time.Millisecond
	// syncTimeout is how long an entry host waits for an answer before it asks another control host.
	syncTimeout  = 350 * time.Millisecond
	modelControl = 5
	modelCost    = 9_200.0 // tokens of a large request
	// minModelRequests is the number of requests that fit from which one seed is enough to measure the share that is served.
	minModelRequests = 1_000
)

// model is a deployment whose hosts exchange messages with delays.
type model struct {
	random  *rand.Rand
	now     unit.Moment
	meters  []*modelHost
	ledgers []*modelLedger
	limit   usagelimit.Limit
	delay   func(from, to int) time.Duration // of a message between a host and a control host; negative if it is lost
	queue   []delivery
	// admitted and offered are what was admitted and offered in each tick.
	admitted, offered []float64
	refusedBelow      float64 // refused although a bucket that knows all requests at once has room
	reference         float64 // level of that bucket
	referenceAdmitted float64
	// refusesWithoutContact makes hosts without answers refuse instead of admitting their own share.
	refusesWithoutContact bool
}

type modelHost struct {
	index   int
	name    unit.HostName
	meter   *Meter
	control int         // the control host that is asked
	waiting bool        // for an answer
	sentAt  unit.Moment // of the last report
	down    bool
	stalled bool // cut off from all control hosts
	before  bool // runs the build before short messages
}

type modelLedger struct {
	ledger *Ledger
	epoch  unit.Incarnation
	read   []uint64           // of the counters of each other control host
	acked  []uint64           // of this one's counters, by each other control host
	epochs []unit.Incarnation // of the reader that acked
	down   bool
	before bool // runs the build before short messages
}

type delivery struct {
	at  unit.Moment
	run func()
}

// Both customers have the same short key.
const modelCustomer, modelTwin = unit.CustomerID("customer-21702"), unit.CustomerID("customer-59013")

func newModel(seed uint64, hosts int, limit usagelimit.Limit) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, reference: limit.Capacity()}
	m.delay = func(_, _ int) time.Duration { return 2 * time.Millisecond }
	for i := range hosts {
		m.meters = append(m.meters, m.newHost(i, unit.HostName(fmt.Sprint("h", i))))
	}
	for range modelControl {
		m.ledgers = append(m.ledgers, m.newLedger())
	}
	return m
}

func (m *model) newHost(index int, name unit.HostName) *modelHost {
	return &modelHost{index: index, name: name, control: index % modelControl, meter: NewMeter(m.random.Uint64(), m.random.Float64)}
}

// setLimit changes the limit. The control hosts apply it one after the other, as a new table reaches them, the last one within a second.
func (m *model) setLimit(limit usagelimit.Limit) {
	m.limit = limit
	for i, l := range m.ledgers {
		m.send(time.Duration(i)*200*time.Millisecond, func() {
			l.ledger.SetLimits(m.now, map[unit.CustomerID]usagelimit.Limit{modelCustomer: limit})
		})
	}
}

func (m *model) newLedger() *modelLedger {
	l := &modelLedger{
		ledger: NewLedger(), epoch: unit.Incarnation(m.now + 1), read: make([]uint64, modelControl), acked: make([]uint64, modelControl),
		epochs: make([]unit.Incarnation, modelControl),
	}
	l.ledger.SetLimits(m.now, map[unit.CustomerID]usagelimit.Limit{modelCustomer: m.limit})
	return l
}

func (m *model) send(delay time.Duration, run func()) {
	if delay >= 0 {
		m.queue = append(m.queue, delivery{m.now.Add(delay), run})
	}
}

// step advances the model by one tick in which the hosts get requests of the given total rate in tokens per second.
func (m *model) step(rate, cost float64, weights []float64) {
	m.now = m.now.Add(modelTick)
	var later []delivery
	for due := m.queue; len(due) > 0; {
		m.queue = nil
		for _, d := range due {
			if d.at <= m.now {
				d.run()
			} else {
				later = append(later, d)
			}
		}
		due = m.queue
	}
	m.queue = later
	for _, h := range m.meters {
		m.sync(h)
	}
	for i, l := range m.ledgers {
		if !l.down && (int(m.now/unit.Moment(modelTick))+i)%5 == 0 {
			m.exchange(i)
		}
	}
	m.request(rate, cost, weights)
}

func (m *model) request(rate, cost float64, weights []float64) {
	m.reference = min(m.reference+m.limit.PerSecond*modelTick.Seconds(), m.limit.Capacity())
	offered, admitted := 0.0, 0.0
	total := 0.0
	for _, w := range weights {
		total += w
	}
	for range poisson(m.random, rate*modelTick.Seconds()/cost) {
		at := m.random.Float64() * total
		h := m.meters[0]
		for i, w := range weights {
			if at < w {
				h = m.meters[i]
				break
			}
			at -= w
		}
		if h.down {
			continue
		}
		offered += cost
		fits := m.reference >= cost
		if fits {
			m.reference -= cost
			m.referenceAdmitted += cost
		}
		if d := h.meter.Take(m.now, modelCustomer, m.limit, cost); d.Admitted && (!d.OwnShare || !m.refusesWithoutContact) {
			admitted += cost
		} else if fits {
			m.refusedBelow += cost
		}
	}
	m.offered, m.admitted = append(m.offered, offered), append(m.admitted, admitted)
}

func poisson(random *rand.Rand, mean float64) int {
	n, p := 0, random.Float64()
	for limit := math.Exp(-mean); p > limit; p *= random.Float64() {
		n++
	}
	return n
}

// sync sends a host's report when it is due.
func (m *model) sync(h *modelHost) {
	if h.down {
		return
	}
	if h.waiting && m.now.Sub(h.sentAt) > syncTimeout {
		h.waiting, h.control = false, (h.control+1)%modelControl
	}
	if h.waiting || m.now.Sub(h.sentAt) < syncInterval {
		return
	}
	report, sentAt, control, meter := h.meter.Report(m.now), m.now, h.control, h.meter
	h.sentAt, h.waiting = m.now, true
	if h.stalled {
		return
	}
	if h.before {
		report = forBuildBefore(report)
	}
	name := h.name
	m.send(m.delay(h.index, control), func() {
		l := m.ledgers[control]
		if l.down {
			return
		}
		if l.before {
			report = forBuildBefore(report)
		}
		l.ledger.Receive(m.now, name, report)
		levels := l.ledger.Levels(m.now, name)
		m.send(m.delay(h.index, control), func() {
			if h.sentAt != sentAt || !h.waiting || h.meter != meter || m.now.Sub(sentAt) > syncTimeout {
				return // timed out, or the host has restarted
			}
			h.waiting = false
			h.meter.Accept(sentAt, report, levels)
		})
	})
}

// exchange sends a control host's counters to the others.
func (m *model) exchange(i int) {
	l := m.ledgers[i]
	if int(m.now/unit.Moment(modelTick))/5%4 == i%4 { // every 200 ms
		l.ledger.Step(m.now)
	}
	for j, other := range m.ledgers {
		if j == i {
			continue
		}
		acked := l.acked[j]
		if l.epochs[j] != other.epoch {
			acked = 0
		}
		update, epoch := l.ledger.Since(m.now, unit.HostName(fmt.Sprint("c", j)), acked), l.epoch
		m.send(m.delay(-1-i, j), func() {
			reader := m.ledgers[j]
			if reader.down {
				return
			}
			read := reader.ledger.Merge(m.now, unit.HostName(fmt.Sprint("c", i)), epoch, update)
			readerEpoch := reader.epoch
			m.send(m.delay(-1-j, i), func() {
				if m.ledgers[i].epoch == epoch {
					m.ledgers[i].acked[j], m.ledgers[i].epochs[j] = read, readerEpoch
				}
			})
		})
	}
}

// worstWindow returns the largest share of what a limit allows that was admitted in any window between the two times.
func (m *model) worstWindow(limit usagelimit.Limit, from, to time.Duration) float64 {
	ticks := int(boundWindow / modelTick)
	sum, most := 0.0, 0.0
	first, last := int(from/modelTick), min(int(to/modelTick), len(m.admitted))
	for i := first; i < last; i++ {
		sum += m.admitted[i]
		if i >= first+ticks {
			sum -= m.admitted[i-ticks]
		}
		most = max(most, sum)
	}
	return most / ((limit.PerSecond*boundWindow.Seconds()+limit.Burst)*(1+boundOverage) + boundSlack)
}

func total(amounts []float64) float64 {
	sum := 0.0
	for _, a := range amounts {
		sum += a
	}
	return sum
}

func evenWeights(hosts int) []float64 {
	weights := make([]float64, hosts)
	for i := range weights {
		weights[i] = 1
	}
	return weights
}

// Guards against customers that get more than their limit over all hosts together, or are refused within it, when messages are late or lost, hosts
// are cut off or restart, or the load is on few hosts. The bounds are those of the deployments.
func TestLimitsHoldOverAllHosts(t *testing.T) {
	const usual = 1 / 1.8 // of the rate
	lateMessages := func(m *model) {
		m.delay = func(_, _ int) time.Duration {
			if m.random.Float64() < 0.1 {
				return 50*time.Millisecond + time.Duration(m.random.Float64()*float64(4*time.Second))
			}
			return 2 * time.Millisecond
		}
	}
	cases := []struct {
		name string
		// rate is the offered rate as a multiple of the limit's rate.
		rate     func(at time.Duration) float64
		prepare  func(m *model)
		onTick   func(m *model, at time.Duration)
		oneSided bool
		weights  func(at time.Duration, hosts int) []float64 // nil for even load
		// limitShare is the factor on the limit between loweredAt and raisedAt, 0 for an unchanged limit.
		limitShare float64
		// minServed is the share of what the limit allows and the customer offered that has to be admitted, as a bucket that knows all requests at
		// once admits it. Requests within the limit aren't to be refused; what is cut off or restarts may lose some.
		minServed float64
	}{
		{name: "within the limit", rate: func(time.Duration) float64 { return usual }, minServed: 0.995},
		{name: "within the limit on one host", rate: func(time.Duration) float64 { return usual }, oneSided: true, minServed: 0.995},
		{name: "7.5 times the usual", rate: func(at time.Duration) float64 {
			if at > 8*time.Second && at < 15*time.Second {
				return 7.5 * usual
			}
			return usual
		}, minServed: 0.9},
		{name: "10 times the usual on one host", rate: func(time.Duration) float64 { return 10 * usual }, oneSided: true, minServed: 0.9},
		{name: "10 times the usual", rate: func(time.Duration) float64 { return 10 * usual }, minServed: 0.9},
		{name: "late and lost messages", rate: func(time.Duration) float64 { return 5 * usual }, prepare: lateMessages, minServed: 0.8},
		{name: "late and lost messages within the limit", rate: func(time.Duration) float64 { return usual }, prepare: lateMessages, minServed: 0.9},
		{name: "a third of the hosts is cut off", rate: func(time.Duration) float64 { return 5 * usual }, onTick: func(m *model, at time.Duration) {
			for _, h := range m.meters[:len(m.meters)/3] {
				h.stalled = at > 10*time.Second && at < 20*time.Second
			}
		}, minServed: 0.75},
		{name: "control hosts are split", rate: func(time.Duration) float64 { return 5 * usual }, onTick: func(m *model, at time.Duration) {
			split := at > 10*time.Second && at < 16*time.Second
			m.delay = func(from, to int) time.Duration {
				if split && from < 0 && (-1-from < 2) != (to < 2) {
					return -1
				}
				return 2 * time.Millisecond
			}
		}, minServed: 0.75},
		{name: "all hosts restart", rate: func(time.Duration) float64 { return 5 * usual }, onTick: func(m *model, at time.Duration) {
			down := at >= 12*time.Second && at < 13*time.Second
			for i, h := range m.meters {
				if h.down && !down {
					m.meters[i] = m.newHost(i, h.name)
				}
				m.meters[i].down = down
			}
			for i, l := range m.ledgers {
				if l.down && !down {
					m.ledgers[i] = m.newLedger()
				}
				m.ledgers[i].down = down
			}
		}, minServed: 0.75},
		{name: "all control hosts are down", rate: func(time.Duration) float64 { return 5 * usual }, onTick: func(m *model, at time.Duration) {
			down := at >= 12*time.Second && at < 17*time.Second
			for i, l := range m.ledgers {
				if l.down && !down {
					m.ledgers[i] = m.newLedger()
				}
				m.ledgers[i].down = down
			}
		}, minServed: 0.7},
		{name: "hosts restart one by one", rate: func(time.Duration) float64 { return usual }, onTick: func(m *model, at time.Duration) {
			if i := int(at / (200 * time.Millisecond)); at%(200*time.Millisecond) == 0 && i < len(m.meters) {
				m.meters[i] = m.newHost(i, m.meters[i].name)
			}
		}, minServed: 0.99},
		{name: "a third of the hosts is replaced", rate: func(time.Duration) float64 { return usual }, onTick: func(m *model, at time.Duration) {
			for i := range len(m.meters) / 3 {
				if at == 10*time.Second+time.Duration(i)*10*time.Second/time.Duration(len(m.meters)) {
					m.meters[i] = m.newHost(i, unit.HostName(fmt.Sprint("new", i)))
				}
			}
		}, minServed: 0.99},
		{name: "load moves between hosts", rate: func(time.Duration) float64 { return 5 * usual }, weights: func(at time.Duration, hosts int) []float64 {
			weights := make([]float64, hosts)
			weights[int(at/(3*time.Second))%hosts] = 1
			return weights
		}, minServed: 0.9},
		{name: "load within the limit moves between hosts", rate: func(time.Duration) float64 { return usual }, weights: func(at time.Duration, hosts int) []float64 {
			weights := make([]float64, hosts)
			weights[int(at/(3*time.Second))%hosts] = 1
			return weights
		}, minServed: 0.995},
		{name: "hosts of two builds", rate: func(time.Duration) float64 { return 5 * usual }, prepare: func(m *model) {
			for i, h := range m.meters {
				h.before = i%3 == 0
			}
			for i, l := range m.ledgers {
				l.before = i%2 == 0
			}
		}, onTick: func(m *model, at time.Duration) {
			if at%(5*time.Second) == 0 { // some hosts change to a control host of the other build
				for i, h := range m.meters {
					if i%2 == 0 {
						h.control, h.waiting = (h.control+1)%modelControl, false
					}
				}
			}
		}, minServed: 0.9},
		{name: "the limit is lowered and raised", rate: func(time.Duration) float64 { return 5 * usual }, limitShare: 0.2, minServed: 0.75},
	}
	const length, loweredAt, raisedAt, tablesApplied = 30 * time.Second, 8 * time.Second, 26 * time.Second, time.Second
	for number, c := range cases {
		for _, size := range []struct{ hosts, seeds int }{{7, 3}, {75, 1}, {300, 1}} {
			for n, limit := range []usagelimit.Limit{{PerSecond: 900_000, Burst: 900_000}, {PerSecond: 18_000, Burst: 18_000}, {PerSecond: 100_000}, {PerSecond: 900_000}} {
				limit.Unit = usagelimit.Tokens
				seeds := size.seeds
				if limit.PerSecond*length.Seconds() < minModelRequests*modelCost {
					seeds = max(seeds, 2) // few requests, so that one seed says little about the share that is served
				}
				if size.hosts == 300 && n != number%2 || size.hosts == 75 && n == 2+number%2 {
					continue // keeps the test short: large deployments take turns with the limits
				}
				t.Run(fmt.Sprintf("%s/%d hosts/rate %.0f burst %.0f", c.name, size.hosts, limit.PerSecond, limit.Burst), func(t *testing.T) {
					t.Parallel()
					admitted, reference, refused := 0.0, 0.0, 0.0
					for seed := range seeds {
						m := newModel(7+uint64(seed), size.hosts, limit)
						if c.prepare != nil {
							c.prepare(m)
						}
						weights := evenWeights(size.hosts)
						if c.oneSided {
							weights = weights[:1]
						}
						lowered := limit
						lowered.PerSecond, lowered.Burst = limit.PerSecond*c.limitShare, limit.Burst*c.limitShare
						for at := time.Duration(0); at < length; at += modelTick {
							if c.onTick != nil {
								c.onTick(m, at)
							}
							if c.weights != nil {
								weights = c.weights(at, size.hosts)
							}
							switch {
							case c.limitShare > 0 && at == loweredAt:
								m.setLimit(lowered)
							case c.limitShare > 0 && at == raisedAt:
								m.setLimit(limit)
							}
							rate := 0.0
							if at > time.Second { // the hosts have found each other before the load begins
								rate = c.rate(at) * limit.PerSecond
							}
							m.step(rate, modelCost, weights)
						}
						most := m.worstWindow(limit, 0, length)
						assert.Assert(t, most <= 1, "seed %d: %.3f of what is allowed was admitted in a window", seed, most)
						if c.limitShare > 0 {
							most = m.worstWindow(lowered, loweredAt+tablesApplied+boundWindow, raisedAt)
							assert.Assert(t, most <= 1, "seed %d: %.3f of what the lowered limit allows was admitted in a window", seed, most)
						}
						t.Logf("%.3f of the allowed amount in the worst window", most)
						admitted, reference, refused = admitted+total(m.admitted), reference+m.referenceAdmitted, refused+m.refusedBelow
					}
					served := admitted / reference
					t.Logf("served %.3f of what fits, %.4f refused below the limit", served, refused/reference)
					assert.Assert(t, served >= c.minServed, "served %.3f of what fits", served)
				})
			}
		}
	}
}
