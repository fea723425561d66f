package assign

import (
	"math"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// minHeadroom, in requests, keeps endpoints that seem fuller than the others in the random choice.
	minHeadroom = 0.05
	// valueScale is the difference in value at which an endpoint of a plain service is chosen 1/e times as often as another one
	// with the same headroom.
	valueScale = 0.05
)

// estimateHeadroom estimates for each candidate of a plain service how many of the next requests of all hosts it should get.
// Requests are short, and the loads reported by other hosts are older than most requests last. The endpoint that was reported as
// least loaded isn't the best choice any more, because all hosts have sent requests there in the meantime. So the requests that
// all hosts send in that time are distributed over the loads until all slots are equally full (water-filling), and each host then
// chooses at random with these amounts as weights. Together the hosts fill the endpoints evenly. With few hosts or recent loads
// the amount is small, and the least loaded endpoint is chosen most often.
func (a *Assigner) estimateHeadroom(now unit.Moment, w *Request, candidates []*replica, loads []Load) []float64 {
	amount := 1.0 // this request
	if rate, ok := a.sendRates[w.Service]; ok {
		lag := min(loadLag+now.Sub(a.loadsAt), maxLoadLag)
		amount += float64(a.hosts-1) * rate.requests.rateSinceStart(now) * lag.Seconds()
	}
	var occupancies []float64 // running requests per slot
	totalSlots := 0.0
	for i, r := range candidates {
		if !a.reachable(now, r) || a.suspected(now, r) || r.limit.InForce() {
			continue
		}
		slots := float64(max(r.Slots, 1))
		occupancies = append(occupancies, float64(loads[i].Requests)/slots)
		totalSlots += slots
	}
	headroom := make([]float64, len(candidates))
	if len(occupancies) == 0 {
		return headroom
	}
	// The number of slots differs little within a service, so each endpoint is taken to have the mean number.
	level := waterLevel(occupancies, amount*float64(len(occupancies))/totalSlots)
	for i, r := range candidates {
		slots := float64(max(r.Slots, 1))
		headroom[i] = slots * max(0, level-float64(loads[i].Requests)/slots)
	}
	return headroom
}

// weightedRandom picks one of the candidates of the best tier with their headroom and value as weights. The random number in
// [0, 1) is given, so that the choice is reproducible.
func weightedRandom(random float64, considered []candidate) (candidate, bool) {
	best, tier := math.Inf(-1), tierLastResort
	for _, c := range considered {
		tier = min(tier, c.tier)
	}
	for _, c := range considered {
		if c.tier == tier {
			best = max(best, c.value)
		}
	}
	total := 0.0
	shares := make([]float64, len(considered))
	for i, c := range considered {
		if c.tier == tier {
			shares[i] = (c.headroom + minHeadroom) * math.Exp((c.value-best)/valueScale)
			total += shares[i]
		}
	}
	remaining := random * total
	last := -1
	for i, share := range shares {
		if share == 0 {
			continue
		}
		last = i
		if remaining -= share; remaining < 0 {
			break
		}
	}
	if last < 0 {
		return candidate{}, false
	}
	return considered[last], true
}

// candidate is an endpoint that may be chosen.
type candidate struct {
	tier     tier
	value    float64
	headroom float64
	replica  *replica
	choice   Choice
}
