// Package forward serves callers' requests: it finds the route, the customer and an endpoint, sends the request, repeats it at
// other endpoints where that is allowed, and forwards the answer. What it tells a caller about a failed request is always true: a
// status that says that the request did not run is only sent when no endpoint can have run it.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/admission/usage"
	"github.com/citronglade/citronglade/internal/base/buffermemory"
	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/callers/meter"
	"github.com/citronglade/citronglade/internal/callers/relay"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/crash"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
)

const (
	// defaultTimeout applies to requests whose caller doesn't say how long it waits.
	defaultTimeout = 30 * time.Second
	// startupTime is how long a host needs to find the control hosts and receive its table after all hosts have restarted
	// together.
	startupTime = time.Second
	// firstByteShare is the share of a caller's time within which an answer must be expected to begin; the rest covers the error
	// of the estimate.
	firstByteShare = 0.8
	// minFirstEventTimeout, firstEventObjectives and firstEventPauses determine how long a caller waits for the first event of a
	// stream: the largest of minFirstEventTimeout, firstEventObjectives times the route's objective and firstEventPauses times
	// the route's longest pause.
	minFirstEventTimeout = 2 * time.Second
	firstEventObjectives = 4
	firstEventPauses     = 8
	// firstAttemptShare is the share of the longest timeout on a route below which a caller is taken to have been refused before.
	// Each refusal takes at least 250 ms of the caller's time, the shortest time after which it may retry.
	firstAttemptShare = 0.97
	// longestTimeoutDecay determines how fast the longest timeout of a route decays: by one part in longestTimeoutDecay with each
	// caller that states a shorter one.
	longestTimeoutDecay = 10_000
	// maxSends limits how often one request is sent, including the attempts that endpoints refuse.
	maxSends = 4
)

// Dependencies are the dependencies and settings that New needs.
type Dependencies struct {
	Now   func() unit.Moment
	Log   *eventlog.Log
	Meter *meter.Meter
	Wire  EndpointProtocol
	Pool  *exchange.Pool
	Table func() *table.Table // returns nil until the first table has arrived
	// Connections returns how many connections this host may open to one endpoint of a service.
	Connections func(service *table.Service) int
	Allowance   retrybudget.Settings
	Assign      assign.Settings
	// FindStream asks the control hosts where a stream began. It returns false if they don't know.
	FindStream func(ctx context.Context, q streamorigin.Query) (streamorigin.Origin, bool)
	// InStep reports whether this host has lately been in contact with the control hosts, so that it knows the endpoints' lifetimes.
	InStep func() bool
	// TryPart asks the leader of the control hosts whether one request in which only the part of this cause is blocked may be sent, to find
	// out whether the part is harmless. The engines are those that may run the request.
	TryPart func(ctx context.Context, cause crashcause.Cause, engines int) bool
	// MaxAnswerMemory limits the memory for buffered answers of all requests together, in bytes. 0 means 24 MiB.
	MaxAnswerMemory int64
	// Relay hands a request to another entry host and waits for the head of its answer. It fails with fault.Unreachable if no host took
	// the request, and with fault.BrokenAnswer if an endpoint may have run it. It returns the host that was asked last.
	Relay func(ctx context.Context, request *relay.Request) (answer *relay.Answer, host unit.HostName, err error)
}

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	Dependencies

	mu             sync.Mutex
	assigner       *assign.Assigner
	ledger         *retrybudget.Budget
	crashes        *crash.Tracker
	quarantines    *quarantine.Register
	crashCauses    *crashcause.Register
	blockedParts   map[crashcause.PartID]struct{} // as logged last
	cancellable    map[*assign.Attempt]cancellableAttempt
	streams        *streamorigin.Register // of this host's requests
	storedStreams  storedStreams
	longestTimeout map[string]time.Duration // by route name; see probablyRefusedBefore
	permits        permitWait
	relayRefusedAt map[table.ServiceName]unit.Moment // when no other host took a request for the service, see relayPause
	cutOff         map[table.ServiceName]bool        // as logged last
	running        map[*request]context.CancelCauseFunc
	closed         bool // no further requests are served
	memory         *buffermemory.Budget

	usageMu sync.Mutex
	usage   *usage.Meter
}

// cancellableAttempt is an attempt that may be cancelled and repeated at another endpoint.
type cancellableAttempt struct {
	service table.ServiceName
	cancel  context.CancelCauseFunc
}

// New returns a handler that knows no endpoints.
func New(d Dependencies) *Handler {
	if d.MaxAnswerMemory <= 0 {
		d.MaxAnswerMemory = defaultAnswerBytes
	}
	return &Handler{
		Dependencies: d, assigner: assign.New(d.Assign), ledger: retrybudget.New(d.Allowance),
		crashes: crash.New(), quarantines: quarantine.New(), crashCauses: crashcause.New(rand.Float64()), permits: newPermitWait(), memory: buffermemory.New(d.MaxAnswerMemory, fault.BrokenAnswer),
		streams: streamorigin.New(), storedStreams: storedStreams{changed: make(chan struct{})},
		cancellable: map[*assign.Attempt]cancellableAttempt{}, longestTimeout: map[string]time.Duration{},
		relayRefusedAt: map[table.ServiceName]unit.Moment{}, cutOff: map[table.ServiceName]bool{},
		running: map[*request]context.CancelCauseFunc{}, usage: usage.NewMeter(uint64(rand.Uint32()), rand.Float64),
	}
}

// WithRoutingState calls use with the routing state, while it holds the handler's lock.
func (h *Handler) WithRoutingState(use func(*assign.Assigner, *retrybudget.Budget)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	use(h.assigner, h.ledger)
}

// Running returns the number of requests that are being served.
func (h *Handler) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.running)
}

// StopAccepting has further requests refused at once, because they might not end before the host stops.
func (h *Handler) StopAccepting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

// EndRequests ends all running requests. Those whose answer hasn't begun are answered.
func (h *Handler) EndRequests() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, cancel := range h.running {
		cancel(errStopping)
	}
}

// Sweep cancels attempts whose endpoint doesn't respond, so that they are repeated at other endpoints, and starts checks of
// endpoints that may be unreachable.
func (h *Handler) Sweep(ctx context.Context) {
	h.cancelSilentAttempts()
	h.logCutOff()
	var checks []assign.Check
	h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) { checks = a.Checks(h.Now()) })
	for _, c := range checks {
		go h.check(ctx, c)
	}
}

// check tries to connect to an endpoint and records a failure.
func (h *Handler) check(ctx context.Context, c assign.Check) {
	most := 0
	if service, ok := h.Table().Service(c.Service); ok {
		most = h.Connections(service)
	}
	opened, err := h.Pool.Check(ctx, c.Endpoint, c.Address, most)
	if err == nil {
		if opened {
			h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) { a.Reached(h.Now(), c.Endpoint) })
		}
		return
	}
	known := false
	h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) {
		known = a.CutOff(c.Service)
		a.CheckFailed(h.Now(), c.Endpoint)
	})
	h.Pool.CloseIdle(c.Endpoint)
	if known {
		return // service-unreachable was logged
	}
	h.Log.Warn("endpoint-unreachable", "endpoint", string(c.Endpoint), "service", string(c.Service), "cause", err.Error())
}

func (h *Handler) cancelSilentAttempts() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	for flight, attempt := range h.cancellable {
		// If no retry is allowed, the only chance for an answer is to go on waiting.
		if h.assigner.ProbablyFailed(now, flight) && h.ledger.Allows(now, attempt.service) {
			delete(h.cancellable, flight)
			attempt.cancel(errSilent)
		}
	}
}

// request is the state of one call while it is served.
type request struct {
	h        *Handler
	w        http.ResponseWriter
	call     *Call
	table    *table.Table
	route    *table.Route
	service  *table.Service
	customer *table.Customer // nil on public routes
	work     assign.Request
	body     []byte
	digest   unit.Digest         // see contentDigest; zero until it is computed
	parts    []crashcause.PartID // of the prompt, without its last part
	// triedPart is the blocked part of the prompt that the request is to try, nil if there is none.
	triedPart *crashcause.PartID
	// probes counts the running probes of endpoints at which earlier attempts broke off.
	probes   sync.WaitGroup
	deadline unit.Moment

	retryAfter      time.Duration  // sent with a refusal, 0 if there is none
	lastChoice      *assign.Choice // the last choice of an endpoint, even if the request wasn't admitted there
	tried           []unit.EndpointID
	unreachable     int           // attempts whose endpoint couldn't be reached
	relayedBy       unit.HostName // the host that the request was handed to, empty if none
	sends           int
	reachedEndpoint bool // an attempt has reached an endpoint, so that further ones count as retries
	possibleRuns    int  // attempts whose endpoint may have run the request
	lastEventID     string
	usageCost       float64               // what was counted for the request with its customer's limit, 0 if nothing
	usageRefusal    *usageRefusal         // nil unless the request was refused by the limit
	memory          []*buffermemory.Share // for answers of this request
	atLimit         bool                  // the last choice found that all endpoints are at the limits that they named, or brittle and full
	permitDeadline  unit.Moment           // end of the wait for a permit, 0 before it
	answered        bool                  // the head of an answer was written, or the request was declined
	headSent        bool                  // of a stream
	takesUp         bool                  // goes on with a stream that an earlier request began
	origin          *streamorigin.Origin  // as recorded last, nil if the request's stream isn't recorded
	correction      uint64                // number of the record that corrected an earlier one, 0 if there is none
	firstByte       unit.Moment
	// fallback is an endpoint's error answer that is forwarded if no later attempt does better.
	fallback *wholeAnswer
}

// wholeAnswer is an answer whose body was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Serve answers one call. It panics with http.ErrAbortHandler if it ends without an answer or in the middle of one, because a server would
// otherwise send an empty success or complete the answer.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	r := &request{h: h, w: w, call: call, lastEventID: call.ResumeAfter}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h.mu.Lock()
	closed := h.closed
	h.running[r] = cancel
	h.mu.Unlock()
	defer func() {
		for _, share := range r.memory {
			share.Close()
		}
		h.mu.Lock()
		delete(h.running, r)
		h.mu.Unlock()
	}()
	if closed {
		r.refuseStopping()
	} else {
		r.serve(ctx)
	}
	if !r.answered {
		panic(http.ErrAbortHandler)
	}
}

func (r *request) serve(ctx context.Context) {
	r.table = r.h.Table()
	if err := r.checkTableVersion(); err != nil {
		r.decline(err)
		return
	}
	if err := r.prepare(); err != nil {
		r.refuse(err)
		return
	}
	if err := r.acceptRelayed(); err != nil {
		r.decline(err)
		return
	}
	ctx, cancel := context.WithTimeoutCause(ctx, r.deadline.Sub(r.h.Now()), errDeadline)
	defer cancel()
	if err := r.takeUp(ctx); err != nil {
		r.refuse(err)
		return
	}
	r.sendUntilAnswered(ctx)
}

// prepare finds the route, the customer and the service, and reads the body.
func (r *request) prepare() error {
	if r.table == nil {
		return fault.StaleConfiguration.New("this host has no routing table yet").WithProperty(fault.RetryAfter, startupTime)
	}
	route, ok := r.table.Route(r.call.Host, r.call.Path)
	if !ok {
		return fault.NotFound.New("no route for host %q and this path", r.call.Host)
	}
	r.route = route
	if r.table.NeedsKey(route) {
		r.customer, ok = r.table.CustomerOf(r.call.Key)
		if !ok {
			return fault.Unauthenticated.New("unknown key")
		}
	}
	name := route.Pick(rand.Float64())
	if r.service, ok = r.table.Service(name); !ok {
		return fault.Internal.New("route %q refers to the unknown service %q", route.Name, name)
	}
	if err := r.takeUsage(); err != nil {
		return err
	}
	timeout := r.call.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.deadline = r.call.Arrived.Add(min(timeout, route.Timeout))
	var err error
	most := r.table.MaxBody
	if most <= 0 {
		most = table.DefaultMaxBody
	}
	if r.body, err = r.call.Body(most); err != nil {
		return err
	}
	r.work = r.newWork()
	r.parts = r.sharedParts()
	return nil
}

// newWork describes the request for the assigner.
func (r *request) newWork() assign.Request {
	w := assign.Request{Service: r.service.Name, Objective: r.route.Objective, ShortestObjective: r.table.ShortestObjective(r.service.Name), Gathering: r.table.Gathering(r.service.Name, r.route)}
	if p := r.call.Prompt; p != nil && r.service.Engine != nil {
		w.HasPrompt, w.Model, w.Parts, w.Prompt, w.Output = true, p.Model, p.Parts, p.Tokens, p.Output
		r.setClass(&w)
		w.SetScope(r.table.CacheScope(r.customer))
	}
	return w
}

// firstByteTimeout returns how long from now an answer may take to begin and still be useful to the caller.
func (r *request) firstByteTimeout(now unit.Moment) time.Duration {
	left := time.Duration(float64(r.deadline.Sub(now)) * firstByteShare)
	if r.route.Kind != table.KindStream {
		return left
	}
	firstEventTimeout := max(minFirstEventTimeout, firstEventObjectives*r.route.Objective, firstEventPauses*r.route.MaxEventGap)
	return min(left, time.Duration(float64(firstEventTimeout)*firstByteShare)-now.Sub(r.call.Arrived))
}

// sendUntilAnswered sends the request until an endpoint has answered it or no further attempt is allowed.
func (r *request) sendUntilAnswered(ctx context.Context) {
	for {
		if r.needsRelay() {
			if result := r.relay(ctx); result.done || r.headSent || !result.notRun && !r.mayRetry(ctx, result) {
				r.endRelayed(ctx, result)
				return
			}
		}
		if err := r.checkQuarantine(ctx); err != nil {
			r.fail(ctx, err)
			return
		}
		choice, flight, err := r.choose()
		if err != nil && r.waitForPermit(ctx) {
			continue
		}
		if err != nil && r.declineUnreached(err) {
			return
		}
		if err != nil {
			r.fail(ctx, err)
			return
		}
		result := r.attempt(ctx, choice, flight)
		if result.done {
			return
		}
		if !r.mayRetry(ctx, result) {
			r.fail(ctx, result.err)
			return
		}
	}
}

// choose chooses an endpoint, or returns the reason why the request can't be served.
func (r *request) choose() (assign.Choice, *assign.Attempt, error) {
	h := r.h
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	r.work.SetScope(h.Table().CacheScope(r.customer)) // customers may have become isolated since the request arrived
	r.work.MaxLatency, r.work.Random, r.work.PreviouslyRefused = r.firstByteTimeout(now), rand.Float64(), r.probablyRefusedBefore()
	r.work.Resumable = r.resumable()
	choice, ok := h.assigner.Choose(now, &r.work, r.tried)
	r.atLimit = !ok && (choice.Limited > 0 || choice.Brittle > 0)
	if !ok {
		return choice, nil, r.noEndpoint(now, choice)
	}
	if r.work.Software != nil && !h.InStep() {
		return choice, nil, fault.StaleConfiguration.New("the software version of endpoint %s may have changed since this host last heard of it", choice.Endpoint)
	}
	r.lastChoice = &choice
	if choice.Expected > r.work.MaxLatency {
		return choice, nil, fault.Overloaded.New("the answer would begin after %s, but the caller waits only %s", choice.Expected, r.work.MaxLatency).
			WithProperty(fault.RetryAfter, choice.Expected-r.work.MaxLatency)
	}
	if r.sends == 0 && !r.takesUp && !choice.Admits(&r.work) {
		return choice, nil, r.noRoom(&choice).WithProperty(fault.RetryAfter, choice.ExcessWait(&r.work))
	}
	if r.sends == 0 {
		h.ledger.CountRequest(now, r.service.Name)
	} else if r.reachedEndpoint && !h.ledger.Take(now, r.service.Name) {
		return choice, nil, fault.Overloaded.New("service %s has used up its allowance for retries", r.service.Name)
	}
	if r.work.Gathering == table.GatherStream {
		countGathered(choice.InGroup)
	}
	r.sends++
	r.recordOrigin(now, choice)
	return choice, h.assigner.Begin(now, &r.work, choice), nil
}

// probablyRefusedBefore reports whether the caller has probably been refused before and is now retrying: the timeout that it
// states is clearly shorter than that of first attempts on its route. h.mu must be held.
func (r *request) probablyRefusedBefore() bool {
	longest := r.h.longestTimeout[r.route.Name]
	if r.call.Timeout <= 0 {
		return false
	}
	if r.call.Timeout >= longest {
		r.h.longestTimeout[r.route.Name] = r.call.Timeout
		return false
	}
	// The longest timeout decays slowly, in case callers change to shorter timeouts.
	r.h.longestTimeout[r.route.Name] = longest - longest/longestTimeoutDecay
	return float64(r.call.Timeout) < firstAttemptShare*float64(longest)
}

// mayRetry reports whether the request may be sent once more.
func (r *request) mayRetry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil || r.sends >= maxSends {
		return false
	}
	if result.notRun {
		return true
	}
	if r.suspectsParts() {
		return false
	}
	return r.route.Repeatable() && r.possibleRuns < r.route.MaxEndpoints
}

// priority returns the priority of the request, 0 for the most urgent. The customer's priority, if set, overrides the route's.
func (r *request) priority() int {
	if r.customer != nil && r.customer.Priority != nil {
		return *r.customer.Priority
	}
	return r.route.Priority
}
