// Package assign decides which endpoint gets a request. For every endpoint of the service it estimates the time to the first
// byte, the probability of failure, and whether the model weights are the newest, and it chooses the endpoint with the highest
// expected value. Rendezvous hashing of the prompt breaks ties, so that requests with the same prompt go to the same endpoints.
package assign

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/admission/room"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/control/versionage"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
	"github.com/citronglade/citronglade/internal/routing/enginespeed"
	"github.com/citronglade/citronglade/internal/routing/sharing"
)

const (
	// lateAnswerValue is the value of an answer that comes after the objective, where 1 is the value of an answer in time. The
	// costs below are in the same unit.
	lateAnswerValue = 0.3
	// An answer is in time with a probability that follows a logistic curve over expected time / objective: onTimeMidpoint is the
	// ratio at which it is 1/2, onTimeWidth the width of the curve. The midpoint is below 1 because the estimate leaves out the
	// network and the hosts.
	onTimeMidpoint, onTimeWidth = 0.75, 0.12
	// defaultObjective stands for the objective of a request whose route names none. It is far longer than short answers take, so that
	// differences of a few milliseconds between their estimates don't decide.
	defaultObjective = 500 * time.Millisecond
	// prefillCost is the cost of a prefill that takes as long as the objective.
	prefillCost = 0.08
	// recomputeCost is the cost of 1,000 shared tokens that are computed again. To compute a long shared prompt twice costs the
	// site more than one late answer.
	recomputeCost = 0.1
	// fetchCost is the cost of 1,000 shared tokens that are fetched. They evict other parts from the engine's memory.
	fetchCost = 0.025
	// waitCost is the cost of an expected time as long as the objective, counted up to maxWaitObjectives objectives. It prefers
	// the shorter wait among endpoints that are all in time.
	waitCost, maxWaitObjectives = 0.05, 4.0
	// homeRankCost gives otherwise equal endpoints the order of the prompt's homes.
	homeRankCost = 0.02
	// otherDataCentreCost is the cost of an endpoint in another data centre.
	otherDataCentreCost = 0.01
	// missingReportsFactor is the probability that an endpoint whose reports have stopped still serves requests.
	missingReportsFactor = 0.25
	// oldWeightsFactor reduces the value of an answer on weights that were replaced by newer ones more than Settings.WeightsGrace
	// ago.
	oldWeightsFactor = 0.8
	// A request that has got no byte for silenceTimeout, or silenceFactor times the expected time if that is longer, makes its
	// endpoint count as failed. If other hosts hear from the endpoint, it is busy rather than failed, and the limit is busyFactor
	// times as long.
	silenceTimeout = 700 * time.Millisecond
	silenceFactor  = 2
	busyFactor     = 3
	// longOutputTokens is the output limit from which an answer takes seconds. Such an answer would delay an update of the
	// weights: on an endpoint whose update is next, its value is multiplied by upcomingUpdateFactor.
	longOutputTokens     = unit.Tokens(24)
	upcomingUpdateFactor = 0.4
)

// Settings configures an Assigner.
type Settings struct {
	DataCentre unit.DataCentre
	// ReportSilence is how long reports of an endpoint may be missing before the endpoint counts as unreachable.
	ReportSilence time.Duration
	// WeightsGrace is how long answers on older weights keep their full value after newer weights were announced.
	WeightsGrace time.Duration
	// WeightsLimit is how long after the announcement of newer weights a request may still begin on older ones.
	WeightsLimit time.Duration
	// LongestPause limits the pause that an endpoint may ask for; 0 means one hour.
	LongestPause time.Duration
}

// Assigner holds the state of all endpoints as one host knows it. It is deterministic and not safe for concurrent use.
type Assigner struct {
	settings       Settings
	replicas       map[unit.EndpointID]*replica
	services       map[table.ServiceName][]*replica // in the order given to SetEndpoints, by id
	weightsHistory *versionage.History
	heardNewest    bool // a control host has said which weights are the newest
	loadsAt        unit.Moment
	serviceStats   map[serviceClass]serviceStat
	hosts          int // number of entry hosts that share the endpoints
	hostPeak       int // largest number of entry hosts within hostPeakTime
	hostPeakAt     unit.Moment
	permitsAt      unit.Moment      // when a leader that issues permits was last known
	store          *table.Store     // nil if there is no cache store
	holdings       *cachedparts.Map // cached parts, as reported by cache events
	evictions      evictionRates
	sendRates      map[table.ServiceName]*sendRate
	// storeFetches is the rate at which this host's requests fetch from the cache store, in bytes per second.
	storeFetches decayingRate
	sharedParts  sharedNames
	contacts     map[table.ServiceName]*contact
	brittle      map[table.ServiceName]brittleness
	demands      map[table.ServiceName]*decayingRate // requests for brittle services, also those that aren't sent
	groups       map[table.ServiceName]*serviceGroup
	speedSamples map[unit.EndpointID]*enginespeed.Average // not yet sent to a control host
	meanPauses   map[paceKey]float64                      // mean logarithm of the pauses between events, over all engines
	speedsAt     unit.Moment                              // when a control host last told the relative times of engines, 0 if they aren't used
	arrivals     map[arrivalKey]*arrivalRate              // requests of services with several classes, also those that aren't sent
	closedUntil  map[serviceClass]unit.Moment             // until when new requests are refused, because one that had returned was
	returning    map[serviceClass]*decayingRate           // tokens to prefill of requests that were refused and haven't returned
}

// New returns an assigner without endpoints.
func New(settings Settings) *Assigner {
	return &Assigner{
		settings: settings, replicas: map[unit.EndpointID]*replica{}, services: map[table.ServiceName][]*replica{},
		weightsHistory: versionage.New(), serviceStats: map[serviceClass]serviceStat{}, hosts: 1, holdings: cachedparts.New(),
		evictions: evictionRates{}, sendRates: map[table.ServiceName]*sendRate{}, sharedParts: sharedNames{publishedAt: map[sharing.PartID]unit.Moment{}},
		contacts: map[table.ServiceName]*contact{}, brittle: map[table.ServiceName]brittleness{}, demands: map[table.ServiceName]*decayingRate{}, arrivals: map[arrivalKey]*arrivalRate{}, closedUntil: map[serviceClass]unit.Moment{}, returning: map[serviceClass]*decayingRate{},
		groups: map[table.ServiceName]*serviceGroup{}, speedSamples: map[unit.EndpointID]*enginespeed.Average{}, meanPauses: map[paceKey]float64{},
	}
}

// SetEndpoints replaces the set of endpoints. The function service looks up a service by name. The endpoints in updating are
// loading new weights, those in upcoming are the next to do so.
func (a *Assigner) SetEndpoints(
	endpoints []registry.Endpoint, service func(table.ServiceName) (*table.Service, bool), updating, upcoming []unit.EndpointID,
) {
	kept := make(map[unit.EndpointID]*replica, len(endpoints))
	services := map[table.ServiceName][]*replica{}
	for _, e := range endpoints {
		var engine *table.Engine
		if s, ok := service(e.Service); ok {
			engine = s.Engine
		}
		r, known := a.replicas[e.ID]
		if !known || r.Born != e.Born {
			r = newReplica(e, engine)
		}
		r.refresh(e, engine)
		r.weightsUpdating, r.weightsUpdateNext = slices.Contains(updating, e.ID), slices.Contains(upcoming, e.ID)
		kept[e.ID] = r
		services[e.Service] = append(services[e.Service], r)
	}
	a.replicas, a.services = kept, services
	maps.DeleteFunc(a.contacts, func(service table.ServiceName, _ *contact) bool { return len(services[service]) == 0 })
}

func (r *replica) refresh(e registry.Endpoint, engine *table.Engine) {
	for model, number := range e.Weights {
		if known := r.Weights[model]; known != 0 && number > known {
			r.cached.clear()
		}
	}
	learned := r.Weights
	if e.HeardAt > r.heardAt && r.failuresInRow > 0 && r.pausedUntil > e.HeardAt.Add(firstPause) {
		// A report that is newer than the failures shows that the endpoint is available again.
		r.pausedUntil = e.HeardAt.Add(firstPause)
	}
	r.Report, r.heardAt, r.engine = e.Report, e.HeardAt, engine
	if len(learned) > 0 {
		// An answer may have named newer weights before the endpoint's report did.
		merged := map[unit.ModelName]decisions.WeightsNumber{}
		for model, number := range e.Weights {
			merged[model] = max(number, learned[model])
		}
		r.Weights = merged
	}
}

// UpdateReports updates the reports of known endpoints. The set of endpoints stays the same.
func (a *Assigner) UpdateReports(endpoints []registry.Endpoint) {
	for _, e := range endpoints {
		if r, ok := a.replicas[e.ID]; ok && r.Born == e.Born {
			r.refresh(e, r.engine)
		}
	}
}

// SetLoads sets the load that other hosts have at each endpoint, as known at the given moment.
func (a *Assigner) SetLoads(at unit.Moment, others map[unit.EndpointID]Load) {
	a.loadsAt = at
	a.forgetOldSpeeds(at)
	for id, r := range a.replicas {
		r.others = others[id]
	}
}

// SetStore sets the cache store, nil for none.
func (a *Assigner) SetStore(store *table.Store) {
	a.store = store
}

// SetHoldings applies changes of the parts that are cached at each place.
func (a *Assigner) SetHoldings(now unit.Moment, update cachedparts.Update) {
	a.evictions.record(now, a.holdings.Merge(update))
}

// SetHosts sets the number of entry hosts that share the endpoints.
func (a *Assigner) SetHosts(hosts int) {
	a.hosts = max(hosts, 1)
}

// OwnLoads returns this host's load at each endpoint, and whether this host has lately heard from the endpoint or couldn't reach it.
// Endpoints without any of these are left out.
func (a *Assigner) OwnLoads(now unit.Moment) map[unit.EndpointID]Load {
	own := map[unit.EndpointID]Load{}
	cutOff := map[table.ServiceName]bool{}
	for service := range a.contacts {
		cutOff[service] = a.CutOff(service)
	}
	for id, r := range a.replicas {
		load := r.own
		load.ReachableBy, load.UnreachableBy = r.reachability(now)
		if r.others.ReachableBy > 0 && cutOff[r.Service] {
			load.UnreachableBy = 0 // the endpoint isn't at fault
		}
		if load != (Load{}) {
			own[id] = load
		}
	}
	return own
}

// HasEndpoints reports whether there is an endpoint that is neither draining nor leaving.
func (a *Assigner) HasEndpoints() bool {
	for _, r := range a.replicas {
		if !r.Draining && !r.leaving {
			return true
		}
	}
	return false
}

// Choose returns the endpoint with the highest expected value for the request, or false if the service has no endpoint that may
// take it. Endpoints in tried are left out.
func (a *Assigner) Choose(now unit.Moment, w *Request, tried []unit.EndpointID) (Choice, bool) {
	w.prepare()
	candidates := a.services[w.Service]
	est, group := a.estimate(now, w, candidates), a.streamGroup(now, w, candidates)
	choice := Choice{LoadAge: now.Sub(a.loadsAt)}
	if len(tried) == 0 && !w.WaitsForPermit && !a.mayPass(now, w) {
		choice.Withheld = true
		return choice, false
	}
	considered := make([]candidate, 0, len(candidates))
	question := a.roomQuestion(now, w, candidates)
	for i, r := range candidates {
		if !r.acceptsRequests(now) || slices.Contains(tried, r.ID) || !r.mayWrite(w) {
			continue
		}
		if a.noRoom(now, r, w) {
			choice.Brittle++
			continue
		}
		stall := r.stallTime(now)
		waiting := r.queueTime(w, w.memoryTokens(), est.stat, est.loads[i]) + stall
		// A large prompt waits longer for memory, but that doesn't mean that the endpoint is overloaded.
		waitForOthers := r.queueTime(w, 0, est.stat, est.loads[i]) + stall
		plan := a.planCache(now, r, w, est, i, waiting)
		expected := waiting + r.unqueuedTime(w, est.stat, plan.missing) + plan.fetchTime
		if !a.mayBegin(now, r, w, expected) {
			continue
		}
		choice.Considered++
		decision := question.decide(r, w, est.loads[i], stall)
		c := candidate{replica: r, tier: a.tier(now, r, w, waitForOthers, decision)}
		c.value = a.value(now, r, w, expected, plan) - homeRankCost*math.Log2(1+float64(est.homes.rank(i))) - groupCost(group, r, w, plan.missing, est.loads[i])
		if c.tier == tierLastResort {
			choice.Paused++
		}
		if len(est.headroom) > 0 {
			c.headroom = est.headroom[i]
		}
		c.choice = Choice{
			Endpoint: r.ID, Born: r.Born, Address: r.Address, Weights: r.weights(w.Model), Software: r.Software, Expected: expected, QueueTime: waitForOthers, Missing: plan.missing, Value: c.value,
			Source: plan.source, Save: plan.save, Recomputed: plan.recomputed, Fetched: plan.fetched, Limit: r.limit, Room: decision, InGroup: group != nil && group.Contains(r.ID), TimeFactor: r.knownFactor(),
		}
		considered = append(considered, c)
	}
	picked, ok := a.pickAllowed(now, w, considered, &choice.Limited)
	if !ok {
		return choice, false
	}
	if len(tried) == 0 && !w.WaitsForPermit {
		a.recordArrival(now, w, picked.choice.Missing, picked.choice.Room)
	}
	picked.choice.LoadAge, picked.choice.Considered, picked.choice.Paused = choice.LoadAge, choice.Considered, choice.Paused
	picked.choice.Limited, picked.choice.Brittle = choice.Limited, choice.Brittle
	return picked.choice, true
}

// mayWrite reports whether the endpoint may write the answer as far as its software version is concerned. An endpoint that has crashed may
// be back with another version until it reports.
func (r *replica) mayWrite(w *Request) bool {
	if w.Resumable && r.crashedAt > 0 && r.crashedAt >= r.heardAt {
		return false
	}
	return w.Software == nil || r.Software == *w.Software
}

// MarkCrashed records that the process of a lifetime was found to have ended. It may be back before the endpoint reports a new one.
func (a *Assigner) MarkCrashed(now unit.Moment, l registry.Lifetime) {
	if r, ok := a.replicas[l.Endpoint]; ok && r.Born == l.Born {
		r.crashedAt = now
	}
}

// Serves reports whether a service has an endpoint of the given software version that isn't leaving.
func (a *Assigner) Serves(service table.ServiceName, software unit.SoftwareVersion) bool {
	return slices.ContainsFunc(a.services[service], func(r *replica) bool { return r.Software == software && !r.Draining && !r.leaving })
}

// highestValue returns the candidate with the highest value in the best tier.
func highestValue(_ float64, considered []candidate) (candidate, bool) {
	var best candidate
	for i, c := range considered {
		if i == 0 || c.tier < best.tier || c.tier == best.tier && c.value > best.value {
			best = c
		}
	}
	return best, len(considered) > 0
}

// tier ranks candidates before their value does; lower tiers are preferred.
type tier uint8

const (
	tierAvailable  tier = iota
	tierOverloaded      // the wait is too long for the request to be admitted
	tierLastResort      // used only if no endpoint of another tier is left
)

func (a *Assigner) tier(now unit.Moment, r *replica, w *Request, waiting time.Duration, decision *room.Decision) tier {
	switch {
	case r.pausedUntil > now || r.weightsUpdating || a.suspected(now, r):
		return tierLastResort
	case decision != nil && !decision.Admitted, decision == nil && !w.admits(waiting):
		return tierOverloaded
	default:
		return tierAvailable
	}
}

// value is the expected value of the request at the endpoint, where 1 is an answer that is certainly in time, less the costs of
// using that endpoint.
func (a *Assigner) value(now unit.Moment, r *replica, w *Request, expected time.Duration, plan cachePlan) float64 {
	objective := float64(max(cmp.Or(w.Objective, defaultObjective), time.Millisecond))
	ratio := float64(expected) / objective
	inTime := 1 / (1 + math.Exp((ratio-onTimeMidpoint)/onTimeWidth))
	value := lateAnswerValue + (1-lateAnswerValue)*inTime
	if w.MaxLatency > 0 && expected > w.MaxLatency {
		value = 0
	}
	value *= r.reliability(now)
	if now.Sub(r.heardAt) > a.settings.ReportSilence {
		value *= missingReportsFactor
	}
	if w.HasPrompt {
		if age, replaced := a.weightsHistory.SinceReplaced(now, w.Model, r.weights(w.Model)); replaced && age > a.settings.WeightsGrace {
			value *= oldWeightsFactor
		}
	}
	if r.weightsUpdateNext && w.longAnswer() {
		value *= upcomingUpdateFactor
	}
	prefill := float64(plan.missing) / prefillRate * float64(time.Millisecond)
	value -= prefillCost*prefill/objective + waitCost*math.Min(ratio, maxWaitObjectives) + recomputeCost*float64(plan.recomputed)/1000 + fetchCost*float64(plan.fetched)/1000
	if r.DataCentre != a.settings.DataCentre {
		value -= otherDataCentreCost
	}
	return value
}
