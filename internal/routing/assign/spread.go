package assign

import (
	"math"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// leastRoom keeps an endpoint in the draw that seems fuller than the others, in requests.
	leastRoom = 0.05
	// valueSpread is the difference in value at which an endpoint of a plain service is chosen 1/e times as often as another
	// one with as much room.
	valueSpread = 0.05
)

// room estimates for each candidate of a plain service how many of the next requests of all hosts it should get. Requests are short,
// and what other hosts told of theirs is older than most of them last, so that the endpoint that seemed to have least in hand isn't
// the best one any more: all hosts have sent there meanwhile. What the hosts send in that time is poured onto the loads until all
// places are equally full. Each host then draws by these amounts, so that together they fill the endpoints evenly. With few hosts or
// a fresh view little is poured, and the draw falls on the least loaded.
func (a *Assigner) room(now unit.Moment, w *Work, candidates []*replica, loads []Load) []float64 {
	amount := 1.0 // this request
	if sent, ok := a.sendings[w.Service]; ok {
		lag := min(loadLag+now.Sub(a.loadsAt), longestLag)
		amount += float64(a.hosts-1) * sent.requests.youngRate(now) * lag.Seconds()
	}
	var filled []float64 // requests in hand for each place
	places := 0.0
	for i, r := range candidates {
		if !a.reachable(now, r) || a.suspects(now, r) {
			continue
		}
		slots := float64(max(r.Slots, 1))
		filled = append(filled, float64(loads[i].Requests)/slots)
		places += slots
	}
	room := make([]float64, len(candidates))
	if len(filled) == 0 {
		return room
	}
	// Places differ little within a service, so that the mean stands for each of them.
	level := waterLevel(filled, amount*float64(len(filled))/places)
	for i, r := range candidates {
		slots := float64(max(r.Slots, 1))
		room[i] = slots * max(0, level-float64(loads[i].Requests)/slots)
	}
	return room
}

// draw picks one of the candidates of the best tier by their room and value. The work's draw decides, so that the choice repeats.
func draw(w *Work, weighed []candidate) (candidate, bool) {
	best, tier := math.Inf(-1), tierPaused
	for _, c := range weighed {
		tier = min(tier, c.tier)
	}
	for _, c := range weighed {
		if c.tier == tier {
			best = max(best, c.value)
		}
	}
	total := 0.0
	shares := make([]float64, len(weighed))
	for i, c := range weighed {
		if c.tier == tier {
			shares[i] = (c.room + leastRoom) * math.Exp((c.value-best)/valueSpread)
			total += shares[i]
		}
	}
	at := w.Draw * total
	last := -1
	for i, share := range shares {
		if share == 0 {
			continue
		}
		last = i
		if at -= share; at < 0 {
			break
		}
	}
	if last < 0 {
		return candidate{}, false
	}
	return weighed[last], true
}

// candidate is an endpoint that was weighed.
type candidate struct {
	tier   tier
	value  float64
	room   float64
	choice Choice
}
