package assign

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
)

// rateDecayTime is the time constant of the exponential decay of rates.
const rateDecayTime = 2 * time.Second

// minRateWindow is the minimum time over which a rate that has just started is averaged.
const minRateWindow = 250 * time.Millisecond

// decayingRate measures an amount per second with exponential decay.
type decayingRate struct {
	sum       float64 // decayed up to updatedAt
	updatedAt unit.Moment
	startedAt unit.Moment
}

func (r *decayingRate) add(now unit.Moment, amount float64) {
	if r.updatedAt == 0 {
		r.startedAt = now
	}
	r.sum, r.updatedAt = r.sum*r.decayFactor(now)+amount, now
}

// rate returns the amount per second.
func (r *decayingRate) rate(now unit.Moment) float64 {
	return r.sum * r.decayFactor(now) / rateDecayTime.Seconds()
}

// rateSinceStart returns the amount per second, corrected for a measurement that has started only lately, as on a host that was
// just started.
func (r *decayingRate) rateSinceStart(now unit.Moment) float64 {
	measured := max(now.Sub(r.startedAt), minRateWindow)
	return r.rate(now) / (1 - math.Exp(-float64(measured)/float64(rateDecayTime)))
}

func (r *decayingRate) decayFactor(now unit.Moment) float64 {
	return math.Exp(-float64(now.Sub(r.updatedAt)) / float64(rateDecayTime))
}

// evictionRates measures how many cached parts each place evicts per second.
type evictionRates map[cachedparts.Place]*decayingRate

func (e evictionRates) record(now unit.Moment, changes []cachedparts.Change) {
	for _, change := range changes {
		if change.Gone || change.Cleared {
			delete(e, change.Place)
			continue
		}
		if len(change.Removed) == 0 {
			continue
		}
		if e[change.Place] == nil {
			e[change.Place] = &decayingRate{updatedAt: now}
		}
		e[change.Place].add(now, float64(len(change.Removed)))
	}
}

// rate returns the share of its held parts that a place evicts per second.
func (e evictionRates) rate(now unit.Moment, place cachedparts.Place, held int) float64 {
	evicted, ok := e[place]
	if !ok {
		return 0
	}
	return evicted.rate(now) / float64(max(held, 1))
}
