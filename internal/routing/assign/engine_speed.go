package assign

import (
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/enginespeed"
)

// speedLifetime is how long the relative times of engines are used after a control host told them last.
const speedLifetime = 10 * time.Second

const (
	// gapsPerSample is the number of gaps between events of one stream that give a sample.
	gapsPerSample = 6
	// fullBatchDelay is how much longer a token takes on an engine whose slots are all taken than on an idle one, as a share.
	fullBatchDelay = 1.6
	// maxPauseSample limits the logarithm of one sample.
	maxPauseSample = 1.5
)

// relativeTime is how long an engine takes compared with the others, as all hosts together have learned.
type relativeTime struct {
	factor float64
	known  bool
}

// learnsSpeeds reports whether hosts learn the speeds of the service's engines. Admission by class doesn't use them: there, shorter estimates of the wait
// admit more patient requests than the engines can serve in an overload.
func (w *Request) learnsSpeeds() bool {
	return w.Gathering != table.GatherNone && !w.hasRoomLimits()
}

// timeFactor returns the ratio of the time that the engine takes to the time that an engine of the service takes on average: what all hosts have
// learned, times what this host has seen beyond that.
func (r *replica) timeFactor() float64 {
	return r.latencyFactor * r.knownFactor()
}

// knownFactor returns the ratio as all hosts have learned it, 1 if they haven't.
func (r *replica) knownFactor() float64 {
	if r.relativeTime.known {
		return r.relativeTime.factor
	}
	return 1
}

// eventPace measures how fast the events of a stream follow one another.
type eventPace struct {
	lastAt unit.Moment
	gaps   []time.Duration // sorted, since the last sample
}

// paceKey identifies streams whose events carry about the same number of tokens.
type paceKey struct {
	service   table.ServiceName
	gathering table.Gathering
}

// samplePace records that an event of a stream came. Of each few gaps between events, the second shortest is compared with those of all engines: the
// engine probably read no prompt in that time, so that it shows the engine's speed and not its load.
func (a *Assigner) samplePace(now unit.Moment, f *Attempt) {
	if !f.work.learnsSpeeds() || !f.answering || f.ended || f.replica.engine == nil {
		return
	}
	pace := &f.pace
	if pace.lastAt > 0 {
		at, _ := slices.BinarySearch(pace.gaps, now.Sub(pace.lastAt))
		pace.gaps = slices.Insert(pace.gaps, at, now.Sub(pace.lastAt))
	}
	pace.lastAt = now
	if len(pace.gaps) < gapsPerSample {
		return
	}
	gap := pace.gaps[1]
	pace.gaps = pace.gaps[:0]
	if gap <= 0 {
		return
	}
	running := float64(f.replica.own.Requests+f.replica.others.Requests) / float64(max(f.replica.engine.Slots, 1))
	pause := math.Log(float64(gap) / (1 + fullBatchDelay*running))
	key := paceKey{f.work.Service, f.work.Gathering}
	mean, known := a.meanPauses[key]
	if !known {
		mean = pause
	}
	a.meanPauses[key] = mean + serviceLearningRate*(pause-mean)
	if a.speedSamples[f.replica.ID] == nil {
		a.speedSamples[f.replica.ID] = &enginespeed.Average{}
	}
	a.speedSamples[f.replica.ID].Add(now, min(max(pause-mean, -maxPauseSample), maxPauseSample), 1)
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
