package assign

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Attempt is an attempt of a request at an endpoint.
type Attempt struct {
	replica   *replica
	work      *Request
	sentAt    unit.Moment
	load      Load
	expected  time.Duration
	answering bool
	ended     bool
	pace      eventPace
}

// Begin records that the request is sent to the endpoint. It returns nil if the endpoint is no longer known.
func (a *Assigner) Begin(now unit.Moment, w *Request, choice Choice) *Attempt {
	r, ok := a.replicas[choice.Endpoint]
	if !ok {
		return nil
	}
	f := &Attempt{replica: r, work: w, sentAt: now, expected: choice.Expected, load: Load{Requests: 1}}
	if w.HasPrompt {
		a.sharedParts.record(now, w)
		f.load.Tokens, f.load.PendingPrefill = w.memoryTokens(), choice.Missing
		if w.longAnswer() {
			f.load.Long = 1
		}
		f.load.setUrgent(w)
		if r.engine != nil {
			// Other hosts fill the same memory, so the parts that this host sent are kept only as far as they fit into its share.
			r.cached.add(now, w, r.engine.CacheTokens/unit.Tokens(a.hosts))
		}
	}
	if a.store != nil && choice.Source == a.store.Address && r.engine != nil {
		a.storeFetches.add(now, float64(choice.Fetched)*r.engine.TokenBytes)
	}
	r.own = r.own.Add(f.load)
	r.addRecent(now, f.load)
	a.spendPermit(now, r, w)
	if a.sendRates[w.Service] == nil {
		a.sendRates[w.Service] = &sendRate{}
	}
	a.sendRates[w.Service].add(now, f.load)
	r.flights[f] = struct{}{}
	return f
}

// Began records the first byte of the answer.
func (a *Assigner) Began(now unit.Moment, f *Attempt) {
	if f == nil || f.answering || f.ended {
		return
	}
	f.answering = true
	a.heard(now, f.replica)
	if f.work.HasPrompt {
		a.learnFirstByte(f, now.Sub(f.sentAt))
	}
	read := Load{PendingPrefill: f.load.PendingPrefill}
	f.load.PendingPrefill = 0
	for i := range f.load.Urgent {
		read.Urgent[i].PendingPrefill, f.load.Urgent[i].PendingPrefill = f.load.Urgent[i].PendingPrefill, 0
	}
	f.replica.own = f.replica.own.Sub(read)
}

// serviceStat holds what was learned about all engines of a service together, for one class of requests. With many hosts and many engines, one host sends
// too few requests to each engine to learn from them alone.
type serviceStat struct {
	latencyFactor float64       // observed / expected time to the first byte
	meanDuration  time.Duration // mean time for which a request takes a slot and memory
	samples       int           // number of requests in meanDuration, counted up to 1/serviceLearningRate
}

func (a *Assigner) serviceStat(key serviceClass) serviceStat {
	if known, ok := a.serviceStats[key]; ok {
		return known
	}
	return serviceStat{latencyFactor: 1, meanDuration: defaultDuration}
}

func (a *Assigner) learnFirstByte(f *Attempt, observed time.Duration) {
	if f.expected <= 0 {
		return
	}
	ratio := min(max(float64(observed)/float64(f.expected), 1/maxSampleRatio), maxSampleRatio)
	f.replica.latencyFactor = min(max(f.replica.latencyFactor*math.Pow(ratio, replicaLearningRate), minLatencyFactor), maxLatencyFactor)
	key := f.work.statKey()
	stat := a.serviceStat(key)
	stat.latencyFactor = min(max(stat.latencyFactor*math.Pow(ratio, serviceLearningRate), minLatencyFactor), maxLatencyFactor)
	a.serviceStats[key] = stat
}

// learnDuration updates the mean durations with the total time of a request.
func (a *Assigner) learnDuration(f *Attempt, took time.Duration) {
	f.replica.meanDuration += time.Duration(replicaLearningRate * float64(took-f.replica.meanDuration))
	f.replica.unlearned *= 1 - replicaLearningRate
	if !f.work.HasPrompt && f.replica.engine != nil {
		return
	}
	stat := a.serviceStat(f.work.statKey())
	share := serviceLearningRate
	if stat.samples < 1/serviceLearningRate {
		stat.samples++
		share = 1 / float64(stat.samples)
	}
	stat.meanDuration += time.Duration(share * float64(took-stat.meanDuration))
	a.serviceStats[f.work.statKey()] = stat
}

// RecordActivity records that the endpoint of the attempt sent something.
func (a *Assigner) RecordActivity(now unit.Moment, f *Attempt) {
	if f != nil {
		a.heard(now, f.replica)
		a.samplePace(now, f)
	}
}

// heard records that the endpoint sent something.
func (a *Assigner) heard(now unit.Moment, r *replica) {
	r.lastByteAt = now
	a.contactOf(r.Service).heardAt = now
}

// End records the end of the attempt.
func (a *Assigner) End(now unit.Moment, f *Attempt, ending Ending) {
	if f == nil || f.ended {
		return
	}
	f.ended = true
	r := f.replica
	delete(r.flights, f)
	r.own = r.own.Sub(f.load)
	r.recordEnding(now, ending)
	switch ending {
	case EndedComplete:
		a.heard(now, r)
		a.learnDuration(f, now.Sub(f.sentAt))
	case EndedUnreachable:
		a.notConnected(now, r)
	case EndedFull:
		a.rejected(now, r)
	case EndedBroken, EndedFailed, EndedMismatch, EndedSilent, EndedByCaller:
	}
	if ending == EndedUnreachable || ending == EndedBroken && !f.answering {
		// The address may now belong to a new process with an empty cache.
		r.cached.clear()
	}
}

// ProbablyFailed reports whether the attempt's endpoint has probably failed: the answer hasn't begun, and either the endpoint has sent
// nothing at all for longer than the limit, or connection checks have failed since the request was sent.
func (a *Assigner) ProbablyFailed(now unit.Moment, f *Attempt) bool {
	if f == nil || f.answering || f.ended {
		return false
	}
	limit := max(silenceTimeout, silenceFactor*f.expected)
	if f.work.HasPrompt && f.replica.others.ReachableBy > 0 {
		limit *= busyFactor
	}
	return f.silence(now) > limit || f.replica.failedChecks(f.sentAt)
}
