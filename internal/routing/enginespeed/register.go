// Package enginespeed learns how long each engine takes for a token, relative to the other engines of its service. Entry hosts compare the pace of the
// events of each stream with that of the other engines, control hosts average these ratios over all hosts. One host alone gets too few streams from an
// engine to learn from them: with 70 hosts and 60 engines, one in 10 s.
package enginespeed

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

const (
	// decayTime is the time constant with which samples are forgotten. An engine with five requests per second then has some 30 samples, whose
	// mean is right within a tenth, and a change shows within seconds.
	decayTime = 6 * time.Second
	// priorWeight is the number of samples that the mean of all engines counts for in the estimate of one engine. Samples don't depend much on the
	// load, so a few are enough.
	priorWeight = 2
	// maxLogFactor bounds the estimate: an engine is taken to be at most four times as slow or as fast as the others.
	maxLogFactor = 1.4
	// scale is the resolution of logarithms and weights in messages.
	scale = 100
	// minWeight is the weight below which an average is dropped.
	minWeight = 0.05
)

// Entry is the average of one engine in a message, by an index of the sender's or the reader's registry.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	Engine registry.Index
	Log    int32  // mean logarithm of observed / usual time, in hundredths
	Weight uint32 // number of samples, in hundredths
}

// Average is a decaying mean of the logarithms of observed / usual times.
type Average struct {
	sum, weight float64
	at          unit.Moment
}

func (a *Average) decay(now unit.Moment) {
	keep := math.Exp(-float64(now.Sub(a.at)) / float64(decayTime))
	a.sum, a.weight, a.at = a.sum*keep, a.weight*keep, now
}

// Add adds samples with the given mean.
func (a *Average) Add(now unit.Moment, mean, weight float64) {
	a.decay(now)
	a.sum += mean * weight
	a.weight += weight
}

// Entry returns the average as it is sent.
func (a *Average) Entry(engine registry.Index) Entry {
	e := Entry{Engine: engine, Weight: uint32(a.weight * scale)} //nolint:gosec // positive and small
	if a.weight > 0 {
		e.Log = int32(math.Round(a.sum / a.weight * scale)) //nolint:gosec // a logarithm
	}
	return e
}

// Values returns the mean and the weight of an entry.
func (e Entry) Values() (mean, weight float64) {
	return float64(e.Log) / scale, float64(e.Weight) / scale
}

// Register holds the averages of all engines at one control host: its own, from the entry hosts that sync with it, and those of the other
// control hosts. It is deterministic and not safe for concurrent use. An engine that restarts is a new lifetime and is learned anew.
type Register struct {
	own   map[registry.Lifetime]*Average
	peers map[unit.HostName]map[registry.Lifetime]*Average
}

// New returns a register that knows nothing.
func New() *Register {
	return &Register{own: map[registry.Lifetime]*Average{}, peers: map[unit.HostName]map[registry.Lifetime]*Average{}}
}

// Add adds samples that an entry host took.
func (r *Register) Add(now unit.Moment, engine registry.Lifetime, mean, weight float64) {
	if r.own[engine] == nil {
		r.own[engine] = &Average{at: now}
	}
	r.own[engine].Add(now, mean, weight)
}

// Own returns the averages of this control host. They must not be changed.
func (r *Register) Own(now unit.Moment) map[registry.Lifetime]*Average {
	for engine, a := range r.own {
		if a.decay(now); a.weight < minWeight {
			delete(r.own, engine)
		}
	}
	return r.own
}

// SetPeer replaces the averages that another control host told.
func (r *Register) SetPeer(now unit.Moment, from unit.HostName, engines map[registry.Lifetime]Entry) {
	averages := make(map[registry.Lifetime]*Average, len(engines))
	for engine, e := range engines {
		mean, weight := e.Values()
		averages[engine] = &Average{sum: mean * weight, weight: weight, at: now}
	}
	r.peers[from] = averages
}

// Factors returns the logarithm of each engine's time relative to the mean of all engines.
func (r *Register) Factors(now unit.Moment) map[registry.Lifetime]float64 {
	totals := map[registry.Lifetime]Average{}
	sum, weight := 0.0, 0.0
	add := func(averages map[registry.Lifetime]*Average) {
		for engine, a := range averages {
			a.decay(now)
			t := totals[engine]
			totals[engine] = Average{sum: t.sum + a.sum, weight: t.weight + a.weight}
			sum, weight = sum+a.sum, weight+a.weight
		}
	}
	add(r.own)
	for _, averages := range r.peers {
		add(averages)
	}
	factors := make(map[registry.Lifetime]float64, len(totals))
	if weight == 0 {
		return factors
	}
	mean := sum / weight
	for engine, t := range totals {
		factors[engine] = min(max((t.sum-mean*t.weight)/(t.weight+priorWeight), -maxLogFactor), maxLogFactor)
	}
	return factors
}

// FactorEntry returns a factor as it is sent.
func FactorEntry(engine registry.Index, factor float64) Entry {
	return Entry{Engine: engine, Log: int32(math.Round(factor * scale))} //nolint:gosec // bounded by maxLogFactor
}
