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
}

type modelHost struct {
	index   int
	meter   *Meter
	control int         // the control host that is asked
	waiting bool        // for an answer
	sentAt  unit.Moment // of the last report
	down    bool
	stalled bool // cut off from all control hosts
}

type modelLedger struct {
	ledger *Ledger
	epoch  unit.Incarnation
	read   []uint64           // of the counters of each other control host
	acked  []uint64           // of this one's counters, by each other control host
	epochs []unit.Incarnation // of the reader that acked
	down   bool
}

type delivery struct {
	at  unit.Moment
	run func()
}

const modelCustomer = unit.CustomerID("c")

func newModel(seed uint64, hosts int, limit usagelimit.Limit) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, reference: limit.Capacity()}
	m.delay = func(_, _ int) time.Duration { return 2 * time.Millisecond }
	for i := range hosts {
		m.meters = append(m.meters, &modelHost{index: i, control: i % modelControl, meter: NewMeter(m.random.Uint64(), m.random.Float64)})
	}
	for range modelControl {
		m.ledgers = append(m.ledgers, m.newLedger())
	}
	return m
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
		if h.meter.Take(m.now, modelCustomer, m.limit, cost).Admitted {
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
	name := unit.HostName(fmt.Sprint("h", h.index))
	m.send(m.delay(h.index, control), func() {
		l := m.ledgers[control]
		if l.down {
			return
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
	l.ledger.Step(m.now)
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

// worstWindow returns the most that was admitted in any window, and what is allowed.
func (m *model) worstWindow() (most, allowed float64) {
	ticks := int(boundWindow / modelTick)
	sum := 0.0
	for i, amount := range m.admitted {
		sum += amount
		if i >= ticks {
			sum -= m.admitted[i-ticks]
		}
		most = max(most, sum)
	}
	return most, (m.limit.PerSecond*boundWindow.Seconds()+m.limit.Burst)*(1+boundOverage) + boundSlack
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
					m.meters[i] = &modelHost{index: i, control: i % modelControl, meter: NewMeter(m.random.Uint64(), m.random.Float64)}
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
				m.meters[i] = &modelHost{index: i, control: i % modelControl, meter: NewMeter(m.random.Uint64(), m.random.Float64)}
			}
		}, minServed: 0.99},
	}
	for _, c := range cases {
		for _, hosts := range []int{7, 75, 300} {
			for _, limit := range []usagelimit.Limit{{PerSecond: 900_000, Burst: 900_000}, {PerSecond: 18_000, Burst: 18_000}, {PerSecond: 100_000}, {PerSecond: 900_000}} {
				limit.Unit = usagelimit.Tokens
				t.Run(fmt.Sprintf("%s/%d hosts/rate %.0f burst %.0f", c.name, hosts, limit.PerSecond, limit.Burst), func(t *testing.T) {
					t.Parallel()
					m := newModel(7, hosts, limit)
					if c.prepare != nil {
						c.prepare(m)
					}
					weights := evenWeights(hosts)
					if c.oneSided {
						weights = weights[:1]
					}
					const length = 30 * time.Second
					for at := time.Duration(0); at < length; at += modelTick {
						if c.onTick != nil {
							c.onTick(m, at)
						}
						rate := 0.0
						if at > time.Second { // the hosts have found each other before the load begins
							rate = c.rate(at) * limit.PerSecond
						}
						m.step(rate, 9_200, weights)
					}
					most, allowed := m.worstWindow()
					served := total(m.admitted) / m.referenceAdmitted
					t.Logf("%.3f of the allowed amount in the worst window, served %.3f of what fits, %.4f refused below the limit", most/allowed, served, m.refusedBelow/m.referenceAdmitted)
					assert.Assert(t, most <= allowed, "%.0f admitted in a window, %.0f are allowed", most, allowed)
					assert.Assert(t, served >= c.minServed, "served %.3f of what fits", served)
				})
			}
		}
	}
}
