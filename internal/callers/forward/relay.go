package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/relay"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

const (
	// relayPause is how long no request for a service is handed to other hosts after none of those that were asked took one.
	relayPause = 300 * time.Millisecond
	// minUnreachable is the number of attempts of one request whose endpoints couldn't be reached, after which it is handed to another
	// host.
	minUnreachable = 2
	// relayBuffer is the size of the pieces in which the answer to a relayed stream is forwarded.
	relayBuffer = 16 << 10
)

var (
	relayedRequests = metrics.NewCounter("citronglade_relayed_requests_total")
	relaysDeclined  = metrics.NewCounter("citronglade_relays_declined_total")
	relaysBroken    = metrics.NewCounter("citronglade_relays_broken_total")
)

// logCutOff logs each service from which this host has been cut off since the last call, or that it reaches again.
func (h *Handler) logCutOff() {
	t := h.Table()
	if t == nil {
		return
	}
	for _, service := range t.Services {
		h.mu.Lock()
		now := h.assigner.CutOff(service.Name)
		changed := now != h.cutOff[service.Name]
		h.cutOff[service.Name] = now
		h.mu.Unlock()
		switch {
		case changed && now:
			h.Log.Warn("service-unreachable", "service", string(service.Name))
		case changed:
			h.Log.Info("service-reached", "service", string(service.Name))
		}
	}
}

// checkTableVersion checks that this host doesn't decide by an older table on a request that another entry host handed over.
func (r *request) checkTableVersion() error {
	relayed := r.call.Relayed
	if relayed != nil && (r.table == nil || r.table.Version < relayed.TableVersion) {
		return fault.StaleConfiguration.New("the other host has version %d of the table", relayed.TableVersion)
	}
	return nil
}

// acceptRelayed checks whether this host can serve a request that another entry host handed over, and continues with what that host says
// about it.
func (r *request) acceptRelayed() error {
	relayed := r.call.Relayed
	if relayed == nil {
		return nil
	}
	if r.isCutOff() {
		return fault.Unreachable.New("this host reaches no endpoint of service %s", r.service.Name)
	}
	r.possibleRuns, r.sends, r.reachedEndpoint = relayed.PossibleRuns, relayed.PossibleRuns, relayed.PossibleRuns > 0
	return nil
}

// decline tells the entry host that handed the request over that this one doesn't take it.
func (r *request) decline(err error) {
	r.answered = true
	r.call.Relayed.Decline(err)
	r.log("declined", err)
}

// declineUnreached declines a relayed request of which no attempt reached an endpoint, so that a further host may be asked. It returns false
// if the request must be answered here.
func (r *request) declineUnreached(err error) bool {
	if r.call.Relayed == nil || r.unreachable == 0 || r.reachedEndpoint {
		return false
	}
	r.decline(err)
	return true
}

func (r *request) isCutOff() bool {
	cutOff := false
	r.withAssigner(func(a *assign.Assigner) { cutOff = a.CutOff(r.service.Name) })
	return cutOff
}

// needsRelay reports whether the request is to be handed to another entry host, because this one reaches no endpoint of the service.
// Requests are handed over once, so that they can't go round in circles.
func (r *request) needsRelay() bool {
	if r.h.Relay == nil || r.call.Relayed != nil || r.headSent {
		return false
	}
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	if refused, ok := r.h.relayRefusedAt[r.service.Name]; ok && r.h.Now().Sub(refused) < relayPause {
		return false
	}
	return r.unreachable >= minUnreachable || r.h.assigner.CutOff(r.service.Name)
}

// relay hands the request to another entry host and forwards its answer.
func (r *request) relay(ctx context.Context) attemptResult {
	answer, host, err := r.h.Relay(ctx, r.relayRequest())
	r.relayedBy = host
	if err != nil {
		return r.relayFailed(ctx, err)
	}
	defer answer.Close()
	relayedRequests.Inc()
	if impliesNotRun(answer.Status) && r.possibleRuns > 0 {
		return attemptResult{err: fault.Overloaded.New("%s refused the request with status %d", host, answer.Status)}
	}
	if r.route.Kind == table.KindStream && answer.Status == http.StatusOK {
		return r.forwardRelayedStream(ctx, answer)
	}
	data, err := readWhole(answer, r.openMemory(string(host)))
	if err != nil {
		return r.relayFailed(ctx, err)
	}
	r.writeWhole(&wholeAnswer{answer.Status, answer.Header, data})
	return attemptResult{done: true, notRun: impliesNotRun(answer.Status)}
}

func (r *request) relayRequest() *relay.Request {
	request := &relay.Request{
		ID: r.call.ID, Method: r.call.Method, Host: r.call.Host, Path: r.call.Path, Target: r.call.Target, Header: r.call.Header, Body: r.body,
		Key: r.call.Key, Timeout: r.call.Timeout, Elapsed: max(0, r.h.Now().Sub(r.call.Arrived)), ResumeAfter: r.call.ResumeAfter,
		Resumes: r.call.Resumes, TableVersion: r.table.Version, PossibleRuns: r.possibleRuns,
	}
	if p := r.call.Prompt; p != nil {
		request.Prompt = &relay.Prompt{Model: p.Model, Tokens: p.Tokens, Output: p.Output}
		for _, part := range p.Parts {
			request.Prompt.Parts = append(request.Prompt.Parts, relay.Part{ID: part.ID, Tokens: part.Tokens})
		}
	}
	return request
}

// CallFrom returns the call that a relayed request stands for, as it arrives from another entry host at the moment now.
func CallFrom(request *relay.Request, now unit.Moment, relayed *Relayed) *Call {
	call := &Call{
		ID: request.ID, Arrived: now.Add(-request.Elapsed), Method: request.Method, Host: request.Host, Path: request.Path, Target: request.Target,
		Header: request.Header, Key: request.Key, Timeout: request.Timeout, ResumeAfter: request.ResumeAfter, Resumes: request.Resumes, Relayed: relayed,
		Body: func(most int64) ([]byte, error) {
			if int64(len(request.Body)) > most {
				return nil, fault.TooLarge.New("the body has more than %d bytes", most)
			}
			return request.Body, nil
		},
	}
	if call.Header == nil {
		call.Header = http.Header{}
	}
	if p := request.Prompt; p != nil {
		call.Prompt = &Prompt{Model: p.Model, Tokens: p.Tokens, Output: p.Output}
		for _, part := range p.Parts {
			call.Prompt.Parts = append(call.Prompt.Parts, assign.Part{ID: part.ID, Tokens: part.Tokens})
		}
	}
	return call
}

// relayFailed handles a relayed request without a complete answer.
func (r *request) relayFailed(ctx context.Context, err error) attemptResult {
	notRun := errorx.IsOfType(err, fault.Unreachable)
	if notRun {
		relaysDeclined.Inc()
		r.h.mu.Lock()
		r.h.relayRefusedAt[r.service.Name] = r.h.Now()
		r.h.mu.Unlock()
	} else {
		relaysBroken.Inc()
		r.possibleRuns++
		r.reachedEndpoint = true
	}
	r.h.Log.Info("relay-failed", "request", string(r.call.ID), "host", string(r.relayedBy), "may-have-run", r.possibleRuns, "cause", err.Error())
	if r.callerLeft(ctx) {
		err = r.endCause(ctx)
	}
	return attemptResult{notRun: notRun, err: err}
}

// forwardRelayedStream forwards the bytes of a stream as they arrive. The other host has resumed it where that was possible.
func (r *request) forwardRelayedStream(ctx context.Context, answer *relay.Answer) attemptResult {
	defer r.limitWrites(max(r.deadline.Sub(r.h.Now()), 0) + callerWriteTimeout)()
	r.copyHeader(answer.Header)
	r.writeHead(answer.Status)
	r.headSent, r.firstByte = true, r.h.Now()
	flusher := http.NewResponseController(r.w)
	piece := make([]byte, relayBuffer)
	for {
		n, err := answer.Read(piece)
		if errors.Is(err, io.EOF) {
			return attemptResult{done: true}
		}
		if err != nil {
			return r.relayFailed(ctx, err)
		}
		if _, err = r.w.Write(piece[:n]); err == nil {
			err = flusher.Flush()
		}
		if err != nil {
			return attemptResult{err: fault.CallerLeft.Wrap(err, "the caller disconnected")}
		}
	}
}

// endRelayed ends a request with the result of its relay.
func (r *request) endRelayed(ctx context.Context, result attemptResult) {
	if !result.done {
		r.fail(ctx, result.err)
		return
	}
	r.log("relayed", nil)
	outcome := unit.OutcomeDone
	if result.notRun {
		r.returnUsage()
		outcome = unit.OutcomeNotRun
	}
	r.measure(outcome, "")
}
