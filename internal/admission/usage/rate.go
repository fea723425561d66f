package usage

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// rateTime is the time constant of the decaying rates. It is some exchanges long, and short against the time in which a burst is used up.
const rateTime = 500 * time.Millisecond

// rate measures an amount per second with exponential decay.
type rate struct {
	sum       float64 // decayed up to at
	at        unit.Moment
	startedAt unit.Moment
}

// minRateWindow is the shortest time over which a rate that has just started is averaged: one exchange.
const minRateWindow = 50 * time.Millisecond

func (r *rate) add(now unit.Moment, amount float64) {
	if r.startedAt == 0 {
		r.startedAt = now
	}
	r.sum, r.at = r.decayed(now)+amount, now
}

func (r *rate) decayed(now unit.Moment) float64 {
	return r.sum * math.Exp(-float64(now.Sub(r.at))/float64(rateTime))
}

// perSecond returns the amount per second, corrected for a measurement that has just started.
func (r *rate) perSecond(now unit.Moment) float64 {
	measured := max(now.Sub(r.startedAt), minRateWindow)
	return max(0, r.decayed(now)/rateTime.Seconds()) / (1 - math.Exp(-float64(measured)/float64(rateTime)))
}
