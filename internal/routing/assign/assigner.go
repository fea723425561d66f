// Package assign decides at which endpoint a request runs. It weighs, for every endpoint of the service, the time until the
// answer begins, the chance that the endpoint fails, and whether its weights are the newest, and takes the one where the
// request is worth most. Requests with the same prompt meet at the same endpoints, because ties go to the homes of the
// prompt by rendezvous hashing.
package assign

import (
	"math"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/holding"
	"github.com/citronglade/citronglade/internal/routing/sharing"
)

const (
	// lateShare is the part of its worth that a late answer keeps.
	lateShare = 0.3
	// comfort is the part of the objective at which an answer is as likely late as in time, seen from an estimate that
	// leaves out the wire and the hosts; spread is the width of that estimate.
	comfort, spread = 0.75, 0.12
	// readCost weighs the prompt tokens that a choice makes an engine read, as part of the objective.
	readCost = 0.08
	// againCost is the cost of 1,000 shared tokens that are read again, as a part of a request's worth. Reading a long shared
	// prompt twice costs the site more than a late answer.
	againCost = 0.1
	// copyCost is the cost of 1,000 shared tokens that are fetched, as a part of a request's worth. They push other parts out
	// of the engine's memory.
	copyCost = 0.025
	// waitCost prefers the shorter wait among choices that are all in time, up to mostWait objectives.
	waitCost, mostWait = 0.05, 4.0
	// rankCost lets equal choices go to the prompt's first home.
	rankCost = 0.02
	// distanceCost is the cost of another data centre.
	distanceCost = 0.01
	// silentShare is the chance that an endpoint whose reports have stopped still serves.
	silentShare = 0.25
	// oldWeightsShare is the worth of an answer on weights that newer ones have replaced for longer than Settings.WeightsGrace.
	oldWeightsShare = 0.8
	// silenceTimeout is how long a request may get no byte before its endpoint is suspected, or silenceFactor times the
	// expected time if that is longer. An engine that other hosts hear is busy rather than silent, for busyFactor times as long.
	silenceTimeout = 700 * time.Millisecond
	silenceFactor  = 2
	busyFactor     = 3
	// longOutput is the number of tokens from which an answer takes seconds, and upcomingShare the worth of beginning one
	// where it would hold up the next change of weights.
	longOutput    = unit.Tokens(24)
	upcomingShare = 0.4
	// waitError is how many times the expected wait is allowed for where a request must not begin too late.
	waitError = 3
	// keptWeights is the number of versions of a model that are remembered with their time.
	keptWeights = 32
)

// Settings bound the decisions.
type Settings struct {
	DataCentre unit.DataCentre
	// ReportSilence is how long reports of an endpoint may be missing before it is suspected.
	ReportSilence time.Duration
	// WeightsGrace is how long answers on older weights keep their whole worth after newer weights were named.
	WeightsGrace time.Duration
	// WeightsLimit is how long after newer weights were named a request may still begin on older ones.
	WeightsLimit time.Duration
	// LongestPause bounds the time for which an endpoint may ask to be left alone, 0 for an hour.
	LongestPause time.Duration
}

// Assigner holds what one host believes of all endpoints. It is a deterministic state machine, not safe for concurrent use.
type Assigner struct {
	settings Settings
	replicas map[unit.EndpointID]*replica
	services map[table.ServiceName][]*replica  // by id
	named    map[unit.ModelName][]namedWeights // in the order of their numbers
	loadsAt  unit.Moment
	paces    map[table.ServiceName]pace
	hosts    int          // entry hosts that share the endpoints
	store    *table.Store // nil without one
	holdings *holding.Map // cached parts, as far as events tell
	turnover turnover
	sendings map[table.ServiceName]*sending
	// storeFetches is what this host's requests fetch from the store, in bytes.
	storeFetches flow
	shared       shared
}

// namedWeights is a version of a model's weights and when this host learned of it.
type namedWeights struct {
	number book.WeightsNumber
	at     unit.Moment
}

// Flight is a request on its way at an endpoint.
type Flight struct {
	replica  *replica
	work     *Work
	sentAt   unit.Moment
	load     Load
	expected time.Duration
	begun    bool
	ended    bool
}

// New returns an assigner that knows no endpoint.
func New(settings Settings) *Assigner {
	return &Assigner{
		settings: settings, replicas: map[unit.EndpointID]*replica{}, services: map[table.ServiceName][]*replica{},
		named: map[unit.ModelName][]namedWeights{}, paces: map[table.ServiceName]pace{}, hosts: 1, holdings: holding.New(),
		turnover: turnover{}, sendings: map[table.ServiceName]*sending{}, shared: shared{told: map[sharing.Name]unit.Moment{}},
	}
}

// SetEndpoints replaces the endpoints. The function service returns the service of a name. The weights of the endpoints in
// updating are being changed, those of upcoming are next.
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
		r.updating, r.upcoming = slices.Contains(updating, e.ID), slices.Contains(upcoming, e.ID)
		kept[e.ID] = r
		services[e.Service] = append(services[e.Service], r)
	}
	a.replicas, a.services = kept, services
}

func (r *replica) refresh(e registry.Endpoint, engine *table.Engine) {
	for model, number := range e.Weights {
		if known := r.Weights[model]; known != 0 && number > known {
			r.cached.clear()
		}
	}
	learned := r.Weights
	if e.HeardAt > r.heardAt && r.inRow > 0 && r.pausedUntil > e.HeardAt.Add(firstPause) {
		// A report after the failures shows that the endpoint is there again.
		r.pausedUntil = e.HeardAt.Add(firstPause)
	}
	r.Report, r.heardAt, r.engine = e.Report, e.HeardAt, engine
	if len(learned) > 0 {
		// An answer may have told of newer weights before the endpoint's report did.
		merged := map[unit.ModelName]book.WeightsNumber{}
		for model, number := range e.Weights {
			merged[model] = max(number, learned[model])
		}
		r.Weights = merged
	}
}

// SetHeard takes the last reports of endpoints that haven't changed otherwise.
func (a *Assigner) SetHeard(endpoints []registry.Endpoint) {
	for _, e := range endpoints {
		if r, ok := a.replicas[e.ID]; ok && r.Born == e.Born {
			r.refresh(e, r.engine)
		}
	}
}

// SetLoads takes what other hosts have in hand at each endpoint, as it was known at that moment.
func (a *Assigner) SetLoads(at unit.Moment, others map[unit.EndpointID]Load) {
	a.loadsAt = at
	for id, r := range a.replicas {
		r.others = others[id]
	}
}

// SetStore says which cache store there is, nil for none.
func (a *Assigner) SetStore(store *table.Store) {
	a.store = store
}

// SetHoldings takes changes of what is cached where.
func (a *Assigner) SetHoldings(now unit.Moment, update holding.Update) {
	a.turnover.note(now, a.holdings.Merge(update))
}

// SetHosts says how many entry hosts share the endpoints.
func (a *Assigner) SetHosts(hosts int) {
	a.hosts = max(hosts, 1)
}

// Own returns what this host has in hand at each endpoint, and whether it hears the endpoint.
func (a *Assigner) Own(now unit.Moment) map[unit.EndpointID]Load {
	own := map[unit.EndpointID]Load{}
	for id, r := range a.replicas {
		load := r.own
		load.Heard, load.Unheard = r.witness(now)
		if load != (Load{}) {
			own[id] = load
		}
	}
	return own
}

// SetNewest notes the newest weights of each model.
func (a *Assigner) SetNewest(now unit.Moment, newest map[unit.ModelName]book.WeightsNumber) {
	for model, number := range newest {
		named := a.named[model]
		if len(named) > 0 && named[len(named)-1].number >= number {
			continue
		}
		if len(named) >= keptWeights {
			named = named[1:]
		}
		a.named[model] = append(named, namedWeights{number, now})
	}
}

// replacedFor returns how long ago newer weights than those of that number were named, 0 if they are the newest. What counts
// is the first version that replaced them: a later one doesn't make them younger.
func (a *Assigner) replacedFor(now unit.Moment, model unit.ModelName, number book.WeightsNumber) time.Duration {
	for _, named := range a.named[model] {
		if named.number > number {
			return now.Sub(named.at)
		}
	}
	return 0
}

// Serves reports whether any endpoint is known that may take requests.
func (a *Assigner) Serves() bool {
	for _, r := range a.replicas {
		if !r.Draining && !r.leaving {
			return true
		}
	}
	return false
}

// Choose returns the endpoint at which the request is worth most, or false if the service has no endpoint that may take it.
// Endpoints in tried are left out.
func (a *Assigner) Choose(now unit.Moment, w *Work, tried []unit.EndpointID) (Choice, bool) {
	w.prepare()
	candidates := a.services[w.Service]
	p := a.prospect(now, w, candidates)
	choice := Choice{LoadAge: now.Sub(a.loadsAt)}
	weighed := make([]candidate, 0, len(candidates))
	for i, r := range candidates {
		if !r.takes(now) || slices.Contains(tried, r.ID) {
			continue
		}
		stalled := r.stalled(now)
		waiting := r.waiting(w, w.tokens(), p.pace, p.loads[i]) + stalled
		// A large prompt waits longer for memory, but that isn't what makes the endpoint late.
		behind := r.waiting(w, 0, p.pace, p.loads[i]) + stalled
		supply := a.supply(now, r, w, p, i, waiting)
		expected := waiting + r.alone(w, p.pace, supply.missing) + supply.fetching
		if !a.mayBegin(now, r, w, expected) {
			continue
		}
		choice.Others++
		c := candidate{tier: a.tier(now, r, w, behind)}
		c.value = a.value(now, r, w, expected, supply) - rankCost*math.Log2(1+float64(p.homes.rank(i)))
		if c.tier == tierPaused {
			choice.Paused++
		}
		if len(p.room) > 0 {
			c.room = p.room[i]
		}
		c.choice = Choice{
			Endpoint: r.ID, Born: r.Born, Address: r.Address, Weights: r.weights(w.Model), Expected: expected, Waiting: behind, Missing: supply.missing, Value: c.value,
			Source: supply.source, Save: supply.save, Again: supply.again, Copied: supply.copied,
		}
		weighed = append(weighed, c)
	}
	pick := best
	if !w.Prompted {
		pick = draw
	}
	picked, ok := pick(w, weighed)
	if !ok {
		return choice, false
	}
	picked.choice.LoadAge, picked.choice.Others, picked.choice.Paused = choice.LoadAge, choice.Others, choice.Paused
	return picked.choice, true
}

// best returns the candidate of the highest value in the best tier.
func best(_ *Work, weighed []candidate) (candidate, bool) {
	var found candidate
	for i, c := range weighed {
		if i == 0 || c.tier < found.tier || c.tier == found.tier && c.value > found.value {
			found = c
		}
	}
	return found, len(weighed) > 0
}

// tier orders endpoints before their value does.
type tier uint8

const (
	tierOpen   tier = iota
	tierBehind      // would make the request wait so long that it isn't admitted
	tierPaused      // gets a request only where no other endpoint can
)

func (a *Assigner) tier(now unit.Moment, r *replica, w *Work, waiting time.Duration) tier {
	switch {
	case r.pausedUntil > now || r.updating || a.suspects(now, r):
		return tierPaused
	case !w.admits(waiting):
		return tierBehind
	default:
		return tierOpen
	}
}

// mayBegin reports whether the endpoint's weights will be new enough when the request begins there. The wait at an endpoint
// may turn out to be longer than expected.
func (a *Assigner) mayBegin(now unit.Moment, r *replica, w *Work, expected time.Duration) bool {
	if !w.Prompted {
		return true
	}
	replaced := a.replacedFor(now, w.Model, r.weights(w.Model))
	return replaced == 0 || replaced+waitError*expected < a.settings.WeightsLimit
}

// value is the expected part of its worth that the request earns at the endpoint, less the costs of the choice.
func (a *Assigner) value(now unit.Moment, r *replica, w *Work, expected time.Duration, s supply) float64 {
	objective := float64(max(w.Objective, time.Millisecond))
	share := float64(expected) / objective
	inTime := 1 / (1 + math.Exp((share-comfort)/spread))
	worth := lateShare + (1-lateShare)*inTime
	if w.Patience > 0 && expected > w.Patience {
		worth = 0
	}
	worth *= r.reliability(now)
	if now.Sub(r.heardAt) > a.settings.ReportSilence {
		worth *= silentShare
	}
	if w.Prompted && a.replacedFor(now, w.Model, r.weights(w.Model)) > a.settings.WeightsGrace {
		worth *= oldWeightsShare
	}
	if r.upcoming && w.long() {
		worth *= upcomingShare
	}
	reading := float64(s.missing) / readRate * float64(time.Millisecond)
	worth -= readCost*reading/objective + waitCost*math.Min(share, mostWait) + againCost*float64(s.again)/1000 + copyCost*float64(s.copied)/1000
	if r.DataCentre != a.settings.DataCentre {
		worth -= distanceCost
	}
	return worth
}

// Begin notes that the request is sent to the endpoint. It returns nil if the endpoint is gone.
func (a *Assigner) Begin(now unit.Moment, w *Work, choice Choice) *Flight {
	r, ok := a.replicas[choice.Endpoint]
	if !ok {
		return nil
	}
	f := &Flight{replica: r, work: w, sentAt: now, expected: choice.Expected, load: Load{Requests: 1}}
	if w.Prompted {
		a.shared.note(now, w)
		f.load.Tokens, f.load.Unread = w.tokens(), choice.Missing
		if w.long() {
			f.load.Long = 1
		}
		if r.engine != nil {
			// Other hosts fill the same memory, so what this host sent there lasts for its share of it.
			r.cached.add(now, w, r.engine.Memory/unit.Tokens(a.hosts))
		}
	}
	if a.store != nil && choice.Source == a.store.Address && r.engine != nil {
		a.storeFetches.add(now, float64(choice.Copied)*r.engine.TokenBytes)
	}
	r.own = r.own.Add(f.load)
	r.sent(now, f.load)
	if a.sendings[w.Service] == nil {
		a.sendings[w.Service] = &sending{}
	}
	a.sendings[w.Service].add(now, f.load)
	r.flights[f] = struct{}{}
	return f
}

// Began notes the first byte of the answer.
func (a *Assigner) Began(now unit.Moment, f *Flight) {
	if f == nil || f.begun || f.ended {
		return
	}
	f.begun = true
	f.replica.answeredAt = now
	if f.work.Prompted {
		a.learnFirstByte(f, now.Sub(f.sentAt))
	}
	f.replica.own = f.replica.own.Sub(Load{Unread: f.load.Unread})
	f.load.Unread = 0
}

// pace is what all engines of a service are like. One of many hosts sends to each of many engines too rarely to learn it of
// each.
type pace struct {
	factor float64       // observed over expected time to the first byte
	mean   time.Duration // of a request, for which it takes a place and memory
	taken  int           // requests that mean rests on, up to the number at which new ones weigh paceShare
}

func (a *Assigner) pace(service table.ServiceName) pace {
	if known, ok := a.paces[service]; ok {
		return known
	}
	return pace{factor: 1, mean: defaultDuration}
}

func (a *Assigner) learnFirstByte(f *Flight, observed time.Duration) {
	if f.expected <= 0 {
		return
	}
	ratio := min(max(float64(observed)/float64(f.expected), 1/ratioBound), ratioBound)
	f.replica.factor = min(max(f.replica.factor*math.Pow(ratio, learnShare), fastest), slowest)
	service := f.replica.Service
	known := a.pace(service)
	known.factor = min(max(known.factor*math.Pow(ratio, paceShare), fastest), slowest)
	a.paces[service] = known
}

// learnDuration takes the whole time of a request into account.
func (a *Assigner) learnDuration(f *Flight, took time.Duration) {
	f.replica.mean += time.Duration(learnShare * float64(took-f.replica.mean))
	if !f.work.Prompted {
		return
	}
	known := a.pace(f.replica.Service)
	share := paceShare
	if known.taken < 1/paceShare {
		known.taken++
		share = 1 / float64(known.taken)
	}
	known.mean += time.Duration(share * float64(took-known.mean))
	a.paces[f.replica.Service] = known
}

// Heard notes that the endpoint of the attempt sent something.
func (a *Assigner) Heard(now unit.Moment, f *Flight) {
	if f != nil {
		f.replica.answeredAt = now
	}
}

// End notes the end of the attempt.
func (a *Assigner) End(now unit.Moment, f *Flight, ending Ending) {
	if f == nil || f.ended {
		return
	}
	f.ended = true
	r := f.replica
	delete(r.flights, f)
	r.own = r.own.Sub(f.load)
	r.note(now, ending)
	if ending == EndedWell {
		r.answeredAt = now
		a.learnDuration(f, now.Sub(f.sentAt))
	}
	if ending == EndedUnreachable || ending == EndedBroken && !f.begun {
		// The process behind the address may be a new one with an empty cache.
		r.cached.clear()
	}
}

// LearnWeights notes the weights that an answer named.
func (a *Assigner) LearnWeights(id unit.EndpointID, model unit.ModelName, number book.WeightsNumber) {
	r, ok := a.replicas[id]
	if !ok || number <= r.Weights[model] {
		return
	}
	learned := map[unit.ModelName]book.WeightsNumber{model: number}
	for other, known := range r.Weights {
		if other != model {
			learned[other] = known
		}
	}
	r.Weights = learned
	r.cached.clear()
}

// Silent reports whether the endpoint has sent nothing for so long that it has probably failed: longer than expected, while
// nothing else came from it either.
func (a *Assigner) Silent(now unit.Moment, f *Flight) bool {
	if f == nil || f.begun || f.ended {
		return false
	}
	limit := max(silenceTimeout, silenceFactor*f.expected)
	if f.work.Prompted && f.replica.others.Heard > 0 {
		limit *= busyFactor
	}
	return f.quiet(now) > limit || f.replica.failedChecks(f.sentAt)
}
