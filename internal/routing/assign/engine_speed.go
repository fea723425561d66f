package assign

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/enginespeed"
)

// speedLifetime is how long the relative times of engines are used after a control host told them last.
const speedLifetime = 10 * time.Second

// relativeTime is how long an engine takes compared with the others, as all hosts together have learned.
type relativeTime struct {
	factor float64
	known  bool
}

// timeFactor returns the ratio of the time that the engine takes to the time that an engine of the service takes on average.
func (r *replica) timeFactor() float64 {
	if r.relativeTime.known {
		return r.relativeTime.factor
	}
	return r.latencyFactor
}

// sampleSpeed records the time to the first byte of a request of a service that learns the speeds of its engines from all hosts. Services with admission by
// class don't: in an overload their waits, which hosts know late, were taken for speeds and sent requests from one full engine to the next.
func (a *Assigner) sampleSpeed(now unit.Moment, f *Attempt, ratio float64) {
	if f.work.Gathering == table.GatherNone || f.work.hasRoomLimits() {
		return
	}
	if a.speedSamples[f.replica.ID] == nil {
		a.speedSamples[f.replica.ID] = &enginespeed.Average{}
	}
	// The expected time already contains the factor that is in use.
	a.speedSamples[f.replica.ID].Add(now, math.Log(f.replica.timeFactor()*ratio), 1)
}

// TakeSpeedSamples returns the samples since the last call, by endpoint.
func (a *Assigner) TakeSpeedSamples() map[unit.EndpointID]*enginespeed.Average {
	samples := a.speedSamples
	a.speedSamples = map[unit.EndpointID]*enginespeed.Average{}
	return samples
}

// SetSpeeds sets the logarithms of the relative times of engines.
func (a *Assigner) SetSpeeds(now unit.Moment, factors map[unit.EndpointID]float64) {
	a.speedsAt = now
	for id, r := range a.replicas {
		factor, known := factors[id]
		r.relativeTime = relativeTime{factor: math.Exp(factor), known: known}
	}
}

// forgetOldSpeeds drops relative times that no control host has confirmed lately.
func (a *Assigner) forgetOldSpeeds(now unit.Moment) {
	if a.speedsAt == 0 || now.Sub(a.speedsAt) < speedLifetime {
		return
	}
	a.speedsAt = 0
	for _, r := range a.replicas {
		r.relativeTime = relativeTime{}
	}
}
