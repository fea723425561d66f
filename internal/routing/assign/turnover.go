package assign

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/holding"
)

// rateMemory is the time constant with which rates forget.
const rateMemory = 2 * time.Second

// leastWindow is the least time over which a flow that has just begun is averaged.
const leastWindow = 250 * time.Millisecond

// flow measures how much comes in a second.
type flow struct {
	sum   float64 // decayed
	at    unit.Moment
	began unit.Moment
}

func (f *flow) add(now unit.Moment, amount float64) {
	if f.at == 0 {
		f.began = now
	}
	f.sum, f.at = f.sum*f.kept(now)+amount, now
}

// rate returns the amount a second.
func (f *flow) rate(now unit.Moment) float64 {
	return f.sum * f.kept(now) / rateMemory.Seconds()
}

// youngRate returns the amount a second of a flow that may have begun lately, as on a host that has just started.
func (f *flow) youngRate(now unit.Moment) float64 {
	measured := max(now.Sub(f.began), leastWindow)
	return f.rate(now) / (1 - math.Exp(-float64(measured)/float64(rateMemory)))
}

func (f *flow) kept(now unit.Moment) float64 {
	return math.Exp(-float64(now.Sub(f.at)) / float64(rateMemory))
}

// turnover measures how fast places drop cached parts to make room for others.
type turnover map[holding.Place]*flow

func (t turnover) note(now unit.Moment, changes []holding.Change) {
	for _, change := range changes {
		if change.Gone || change.Cleared {
			delete(t, change.Place)
			continue
		}
		if len(change.Removed) == 0 {
			continue
		}
		if t[change.Place] == nil {
			t[change.Place] = &flow{at: now}
		}
		t[change.Place].add(now, float64(len(change.Removed)))
	}
}

// rate returns the part of its held parts that a place drops in a second.
func (t turnover) rate(now unit.Moment, place holding.Place, held int) float64 {
	dropped, ok := t[place]
	if !ok {
		return 0
	}
	return dropped.rate(now) / float64(max(held, 1))
}
