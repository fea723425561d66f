// Package forward takes a request on its way: route, customer, endpoint, attempts, answer. What it tells a caller about a
// request that failed is always true: a status that promises that the request did not run is only sent when no endpoint can
// have run it.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/admission/comeback"
	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/exchange"
	"github.com/citronglade/citronglade/internal/callers/meter"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/allowance"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/crash"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

const (
	// defaultPatience bounds a request whose caller doesn't say how long it waits.
	defaultPatience = 30 * time.Second
	// startTime is how long a host needs to find the control hosts and its table after all hosts have restarted together.
	startTime = time.Second
	// patienceShare is the part of a caller's time within which an answer must be expected to begin; the rest covers the
	// error of the estimate.
	patienceShare = 0.8
	// leastSilence and silenceObjectives bound how long a caller waits for a first event: the larger of leastSilence, so
	// many objectives and silencePauses of the longest pause of its route.
	leastSilence      = 2 * time.Second
	silenceObjectives = 4
	silencePauses     = 8
	// freshShare is the part of the time of a first attempt below which a caller has been refused before. A refusal costs at least
	// the 250 ms until it comes back.
	freshShare = 0.97
	// freshDecay is the part of that time by which it falls with each caller that has less.
	freshDecay = 10_000
	// maxSends bounds how often one request is sent, refusals of endpoints included.
	maxSends = 4
)

// Dependencies are what New needs.
type Dependencies struct {
	Now   func() unit.Moment
	Log   *eventlog.Log
	Meter *meter.Meter
	Wire  Wire
	Pool  *exchange.Pool
	Table func() *table.Table // nil until the first one has arrived
	// Connections is the number of connections to an endpoint that this host may open.
	Connections func(service *table.Service) int
	Allowance   allowance.Settings
	Assign      assign.Settings
	// AnswerBytes bounds the memory of answers that are read before they are passed on, of all requests together. 0 is 24 MB.
	AnswerBytes int64
}

// Handler serves calls. It is safe for concurrent use.
type Handler struct {
	Dependencies

	mu       sync.Mutex
	assigner *assign.Assigner
	ledger   *allowance.Ledger
	crashes  *crash.Watch
	register *quarantine.Register
	watched  map[*assign.Flight]watchedAttempt
	fresh    map[string]time.Duration // by route, the time that callers have who weren't refused before
	running  int
	held     atomic.Int64 // bytes of answers, see AnswerBytes
}

// watchedAttempt is an attempt that may be given up and made elsewhere.
type watchedAttempt struct {
	service table.ServiceName
	cancel  context.CancelCauseFunc
}

// New returns a handler that knows no endpoints.
func New(d Dependencies) *Handler {
	return &Handler{
		Dependencies: d, assigner: assign.New(d.Assign), ledger: allowance.New(d.Allowance),
		crashes: crash.New(), register: quarantine.New(),
		watched: map[*assign.Flight]watchedAttempt{}, fresh: map[string]time.Duration{},
	}
}

// With runs use with the routing state, which nothing else uses meanwhile.
func (h *Handler) With(use func(*assign.Assigner, *allowance.Ledger)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	use(h.assigner, h.ledger)
}

// Running returns the number of requests in hand.
func (h *Handler) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// Sweep gives up attempts whose endpoint is silent, so that they are made elsewhere, and checks endpoints that may be
// unreachable.
func (h *Handler) Sweep(ctx context.Context) {
	h.giveUpSilent()
	var checks []assign.Check
	h.With(func(a *assign.Assigner, _ *allowance.Ledger) { checks = a.Checks(h.Now()) })
	for _, c := range checks {
		go h.check(ctx, c)
	}
}

// check finds out whether an endpoint accepts a connection.
func (h *Handler) check(ctx context.Context, c assign.Check) {
	most := 0
	if service, ok := h.Table().Service(c.Service); ok {
		most = h.Connections(service)
	}
	err := h.Pool.Check(ctx, c.Endpoint, c.Address, most)
	if err == nil {
		return
	}
	h.With(func(a *assign.Assigner, _ *allowance.Ledger) { a.CheckFailed(h.Now(), c.Endpoint) })
	h.Pool.Forget(c.Endpoint)
	h.Log.Warn("endpoint-unreachable", "endpoint", string(c.Endpoint), "service", string(c.Service), "cause", err.Error())
}

func (h *Handler) giveUpSilent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	for flight, watched := range h.watched {
		// Without a further attempt to make, waiting on is all that may help the caller.
		if h.assigner.Silent(now, flight) && h.ledger.Allows(now, watched.service) {
			delete(h.watched, flight)
			watched.cancel(errSilent)
		}
	}
}

// request is the state of one call on its way.
type request struct {
	h        *Handler
	w        http.ResponseWriter
	call     *Call
	table    *table.Table
	route    *table.Route
	service  *table.Service
	customer *table.Customer // nil on public routes
	work     assign.Work
	body     []byte
	digest   unit.Digest // see content, zero until it is asked for
	// inspecting are looks at endpoints of earlier attempts that haven't ended.
	inspecting sync.WaitGroup
	deadline   unit.Moment

	comeBack  time.Duration  // named in a refusal, 0 if there is none
	weighed   *assign.Choice // the last choice, also one that wasn't admitted
	tried     []unit.EndpointID
	sends     int
	arrived   bool // an attempt has reached an endpoint, so that a further one is counted
	ran       int  // attempts that may have run
	lastID    string
	held      int64 // bytes of answers that it takes memory for
	headSent  bool
	firstByte unit.Moment
	// kept is a failure of an endpoint that is passed on if no other attempt does better.
	kept *wholeAnswer
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Serve answers one call.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	h.mu.Lock()
	h.running++
	h.mu.Unlock()
	r := &request{h: h, w: w, call: call, lastID: call.ResumeAfter}
	defer func() {
		h.held.Add(-r.held)
		h.mu.Lock()
		h.running--
		h.mu.Unlock()
	}()
	if err := r.prepare(); err != nil {
		r.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.deadline.Sub(h.Now()))
	defer cancel()
	r.attempts(ctx)
}

// prepare finds the route and the customer and reads the body.
func (r *request) prepare() error {
	r.table = r.h.Table()
	if r.table == nil {
		return fault.Stale.New("this host has no routing table yet").WithProperty(fault.RetryAfter, startTime)
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
		return fault.Internal.New("route %q leads to the unknown service %q", route.Name, name)
	}
	patience := r.call.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	r.deadline = r.call.Arrived.Add(min(patience, route.Timeout))
	var err error
	most := r.table.MaxBody
	if most <= 0 {
		most = table.DefaultMaxBody
	}
	if r.body, err = r.call.Body(most); err != nil {
		return err
	}
	r.work = r.describe()
	return nil
}

// describe says what the assigner needs to know.
func (r *request) describe() assign.Work {
	w := assign.Work{Service: r.service.Name, Objective: r.route.Objective, Shortest: r.table.ShortestObjective(r.service.Name)}
	if p := r.call.Prompt; p != nil && r.service.Engine != nil {
		w.Prompted, w.Model, w.Parts, w.Prompt, w.Output = true, p.Model, p.Parts, p.Tokens, p.Output
		if r.customer != nil && r.customer.Isolated {
			w.Wall = r.customer.Name
		}
	}
	return w
}

// patience is how long from now an answer may take to begin and still be of use.
func (r *request) patience(now unit.Moment) time.Duration {
	left := time.Duration(float64(r.deadline.Sub(now)) * patienceShare)
	if r.route.Kind != table.KindStream {
		return left
	}
	silence := max(leastSilence, silenceObjectives*r.route.Objective, silencePauses*r.route.LongestPause)
	return min(left, time.Duration(float64(silence)*patienceShare)-now.Sub(r.call.Arrived))
}

// attempts sends the request until an endpoint has answered it or nothing more may be tried.
func (r *request) attempts(ctx context.Context) {
	for {
		if err := r.quarantined(); err != nil {
			r.fail(ctx, err)
			return
		}
		choice, flight, err := r.choose()
		if err != nil {
			r.fail(ctx, err)
			return
		}
		result := r.attempt(ctx, choice, flight)
		if result.done {
			return
		}
		if !r.again(ctx, result) {
			r.fail(ctx, result.err)
			return
		}
	}
}

// choose assigns an endpoint, or says why the request can't be served.
func (r *request) choose() (assign.Choice, *assign.Flight, error) {
	h := r.h
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	r.work.Patience, r.work.Draw, r.work.Returned = r.patience(now), rand.Float64(), r.returned()
	choice, ok := h.assigner.Choose(now, &r.work, r.tried)
	if !ok {
		err := fault.NoEndpoint.New("service %s has no endpoint that may take the request", r.service.Name)
		if resumes, paused := h.assigner.Resumes(now, r.service.Name); paused {
			err = fault.Overloaded.New("all endpoints of service %s asked for a pause", r.service.Name).WithProperty(fault.RetryAfter, resumes)
		}
		return choice, nil, err
	}
	r.weighed = &choice
	if choice.Expected > r.work.Patience {
		return choice, nil, fault.Overloaded.New("the answer would begin after %s, the caller waits %s", choice.Expected, r.work.Patience).
			WithProperty(fault.RetryAfter, choice.Expected-r.work.Patience)
	}
	if r.sends == 0 && !choice.Admits(&r.work) {
		return choice, nil, fault.Overloaded.New("the answer would begin after %s of waiting, the objective is %s", choice.Waiting, r.work.Objective).
			WithProperty(fault.RetryAfter, choice.Excess(&r.work))
	}
	if r.sends == 0 {
		h.ledger.Request(now, r.service.Name)
	} else if r.arrived && !h.ledger.Take(now, r.service.Name) {
		return choice, nil, fault.Overloaded.New("service %s has used up its further attempts", r.service.Name)
	}
	r.sends++
	return choice, h.assigner.Begin(now, &r.work, choice), nil
}

// returned reports whether the caller has probably been refused before: it has clearly less time than others of its route at their
// first attempt. The lock of the handler must be held.
func (r *request) returned() bool {
	longest := r.h.fresh[r.route.Name]
	if r.call.Patience <= 0 {
		return false
	}
	if r.call.Patience >= longest {
		r.h.fresh[r.route.Name] = r.call.Patience
		return false
	}
	// Times that callers state less and less are followed slowly.
	r.h.fresh[r.route.Name] = longest - longest/freshDecay
	return float64(r.call.Patience) < freshShare*float64(longest)
}

// again decides whether the request is sent once more.
func (r *request) again(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil || r.sends >= maxSends {
		return false
	}
	if result.notRun {
		return true
	}
	return r.route.Repeatable() && r.ran < r.route.MaxEndpoints
}

// fail answers a request that no endpoint has answered.
func (r *request) fail(ctx context.Context, err error) {
	switch {
	case r.headSent:
		r.log("broken", err)
		r.measure(unit.OutcomeUnknown, "broken")
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && errorx.IsOfType(err, fault.CallerLeft):
		r.log("caller-left", err)
		r.measure(unit.OutcomeUnknown, fault.Name(err))
	case r.kept != nil:
		r.writeWhole(r.kept)
		r.log("failed-by-endpoint", err)
		r.measure(unit.OutcomeDone, "failed-by-endpoint")
	case r.ran > 0:
		status := http.StatusBadGateway
		if r.h.Now() >= r.deadline {
			status = http.StatusGatewayTimeout
		}
		r.log("failed", err)
		r.measure(unit.OutcomeUnknown, fault.Name(err))
		r.writeText(status, err)
	default:
		r.refuse(err)
	}
}

// refuse answers a request that did not run.
func (r *request) refuse(err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errorx.IsOfType(err, fault.NotFound):
		status = http.StatusNotFound
	case errorx.IsOfType(err, fault.Unauthenticated):
		status = http.StatusUnauthorized
	case errorx.IsOfType(err, fault.BadInput):
		status = http.StatusBadRequest
	case errorx.IsOfType(err, fault.TooLarge):
		status = http.StatusRequestEntityTooLarge
	case errorx.IsOfType(err, fault.CallerLeft):
		r.log("caller-left", err)
		return
	}
	if status == http.StatusServiceUnavailable {
		room, _ := fault.RetryAfterOf(err) // 0 if it isn't known
		r.comeBack = room
		if !errorx.IsOfType(err, fault.Quarantined) {
			r.comeBack = comeback.Refusal{Room: room, Left: r.left(), Draw: rand.Float64()}.After()
		}
		r.w.Header().Set("Retry-After", strconv.FormatFloat(r.comeBack.Seconds(), 'f', 2, 64))
	}
	r.log("refused", err)
	r.measure(unit.OutcomeNotRun, fault.Name(err))
	r.writeText(status, err)
}

// left is how long the caller still waits.
func (r *request) left() time.Duration {
	patience := r.call.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	return max(0, patience-r.h.Now().Sub(r.call.Arrived))
}

func (r *request) writeText(status int, err error) {
	text := fault.Name(err) + "\n"
	header := r.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	r.w.WriteHeader(status)
	_, _ = r.w.Write([]byte(text)) // a caller that has left can't be told anything
}

// log writes the outcome of a request with what decided it.
func (r *request) log(outcome string, err error) {
	attributes := []any{
		"request", string(r.call.ID), "outcome", outcome, "ms", r.h.Now().Sub(r.call.Arrived).Milliseconds(), "sends", r.sends, "may-have-run", r.ran,
	}
	if r.table != nil {
		attributes = append(attributes, "table-version", uint64(r.table.Version))
	}
	if r.route != nil {
		attributes = append(attributes, "route", r.route.Name)
	}
	if r.customer != nil {
		attributes = append(attributes, "customer", string(r.customer.Name))
	}
	if len(r.tried) > 0 {
		attributes = append(attributes, "endpoints", r.tried)
	}
	if r.headSent {
		attributes = append(attributes, "first-byte-ms", r.firstByte.Sub(r.call.Arrived).Milliseconds())
	}
	if c := r.weighed; c != nil && (r.work.Prompted || outcome == "refused") {
		attributes = append(attributes, "endpoint", string(c.Endpoint), "expected-ms", c.Expected.Milliseconds(), "waiting-ms", c.Waiting.Milliseconds(),
			"weights", uint64(c.Weights), "missing-tokens", int64(c.Missing), "again-tokens", int64(c.Again), "source", c.Source, "save", c.Save != "",
			"weighed", c.Others, "paused", c.Paused, "load-age-ms", c.LoadAge.Milliseconds())
	}
	if r.comeBack > 0 {
		attributes = append(attributes, "retry-after-ms", r.comeBack.Milliseconds(), "came-back", r.work.Returned)
	}
	if err != nil {
		attributes = append(attributes, "cause", err.Error())
	}
	r.h.Log.Info("request-ended", attributes...)
}

// measure adds the request to the counters and latency histograms.
func (r *request) measure(outcome unit.Outcome, code string) {
	sample := meter.Sample{
		Class: "none", Target: "none", Outcome: outcome, Code: code, Total: r.h.Now().Sub(r.call.Arrived), Attempts: r.sends,
		PromptTokens: r.work.Prompt,
	}
	if r.route != nil {
		sample.Class = unit.ClassName("priority-" + strconv.Itoa(r.priority()))
	}
	if r.service != nil {
		sample.Target = string(r.service.Name)
	}
	if r.customer != nil {
		sample.Customer = r.customer.Name
	}
	if r.headSent {
		sample.FirstToken = r.firstByte.Sub(r.call.Arrived)
	}
	r.h.Meter.Observe(sample)
}

// priority is the urgency of the request; a customer's own goes before the route's.
func (r *request) priority() int {
	if r.customer != nil && r.customer.Priority != nil {
		return *r.customer.Priority
	}
	return r.route.Priority
}
