package forward

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
)

const (
	// restartTime is how long an endpoint that has crashed takes to return.
	restartTime = time.Second
	// correctionTimeout is how long the first event of a stream waits until a control host knows that another software version than the
	// one recorded first has begun it.
	correctionTimeout = 300 * time.Millisecond
	// stepTimeout is how long a request that takes up a stream waits until this host is in contact with the control hosts, and stepPause the
	// time between two checks.
	stepTimeout, stepPause = 300 * time.Millisecond, 20 * time.Millisecond
)

var (
	streamsTakenUp     = metrics.NewCounter("citronglade_streams_taken_up_total")
	streamsUnresumable = metrics.NewCounter("citronglade_streams_unresumable_total")
)

// storedStreams is what requests know of the control host's records of streams. Handler.mu guards it.
type storedStreams struct {
	number  uint64        // number of the last record that the control host has
	changed chan struct{} // closed when number grows
}

// resumable reports whether another request or endpoint may go on with the request's stream.
func (r *request) resumable() bool {
	return r.route.Kind == table.KindStream && r.route.Resumable
}

func (r *request) streamID(request unit.RequestID) streamorigin.ID {
	customer := unit.CustomerID("")
	if r.customer != nil {
		customer = r.customer.Name
	}
	return streamorigin.NewID(customer, request)
}

// takeUp prepares a request that goes on with a stream which an earlier request began: only endpoints of the software version that began
// it may get the request. It fails with fault.Unresumable if that version isn't known or the route doesn't lead to its service any more.
func (r *request) takeUp(ctx context.Context) error {
	if r.call.ResumeAfter == "" || !r.resumable() {
		return nil
	}
	origin, ok := r.findOrigin(ctx)
	if !ok {
		return r.unresumable("it isn't known which software version began the stream")
	}
	if !slices.ContainsFunc(r.route.Targets, func(t table.Target) bool { return t.Service == origin.Service }) {
		return r.unresumable("the route no longer leads to service %s, which began the stream", origin.Service)
	}
	if r.service, ok = r.table.Service(origin.Service); !ok {
		return r.unresumable("service %s, which began the stream, doesn't exist any more", origin.Service)
	}
	r.h.awaitStep(ctx)
	streamsTakenUp.Inc()
	r.work = r.newWork()
	r.work.Software, r.takesUp = &origin.Software, true
	// In case the caller names this request, too, when it takes the stream up again.
	r.h.RecordStream(r.streamID(r.call.ID), origin)
	return nil
}

// awaitStep waits for a moment until this host is in contact with the control hosts, as after it has been suspended.
func (h *Handler) awaitStep(ctx context.Context) {
	for end := h.Now().Add(stepTimeout); !h.InStep() && h.Now() < end && timer.Sleep(ctx, stepPause); {
	}
}

// findOrigin returns where the stream began that the caller takes up, or false if that isn't known.
func (r *request) findOrigin(ctx context.Context) (streamorigin.Origin, bool) {
	query := streamorigin.Query{Service: r.service.Name}
	if r.call.Resumes != "" {
		query.ID = r.streamID(r.call.Resumes)
		r.h.mu.Lock()
		origin, ok := r.h.streams.Find(query.ID)
		r.h.mu.Unlock()
		if ok {
			return origin, true
		}
	}
	return r.h.FindStream(ctx, query)
}

// unresumable returns the reason why a stream can't go on. The caller needn't try again.
func (r *request) unresumable(format string, arguments ...any) error {
	streamsUnresumable.Inc()
	return fault.Unresumable.New(format, arguments...).WithProperty(fault.RetryAfter, r.timeLeft())
}

// recordOrigin records where the request's stream begins when the request is sent, so that the record reaches the control host while the
// endpoint processes the prompt. Handler.mu must be held.
func (r *request) recordOrigin(now unit.Moment, choice assign.Choice) {
	if !r.resumable() || r.work.Software != nil {
		return
	}
	origin := streamorigin.Origin{Service: r.service.Name, Software: choice.Software}
	number := uint64(0)
	if r.origin == nil || *r.origin != origin {
		number = r.h.streams.Record(now, r.streamID(r.call.ID), origin)
	}
	if r.origin != nil {
		r.correction = max(r.correction, number)
	}
	r.origin = &origin
}

// awaitCorrection waits until the control host has the corrected record of the stream, if there is one. It fails with
// fault.BrokenAnswer if that takes too long or the request's deadline passes, and with fault.CallerLeft if the caller disconnects.
func (r *request) awaitCorrection(ctx context.Context) error {
	h := r.h
	if r.correction == 0 {
		return nil
	}
	timeout := time.NewTimer(correctionTimeout)
	defer timeout.Stop()
	for {
		h.mu.Lock()
		stored, changed := h.storedStreams.number >= r.correction, h.storedStreams.changed
		h.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return r.endCause(ctx)
		case <-timeout.C:
			return fault.BrokenAnswer.New("no control host knows the software version that began the stream")
		}
	}
}

// RecordStream records where a stream began.
func (h *Handler) RecordStream(id streamorigin.ID, origin streamorigin.Origin) {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams.Record(now, id, origin)
}

// StreamsSince returns the records of streams after the given number.
func (h *Handler) StreamsSince(number uint64) streamorigin.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.streams.Since(number)
}

// StreamsStored says up to which number the control host has the records of streams, or doesn't need them.
func (h *Handler) StreamsStored(number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number == h.storedStreams.number {
		return
	}
	h.storedStreams.number = number
	close(h.storedStreams.changed)
	h.storedStreams.changed = make(chan struct{})
}

// LastStream returns the number of the last record of a stream.
func (h *Handler) LastStream() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.streams.Number()
}

// PruneStreams removes outdated records of streams.
func (h *Handler) PruneStreams() {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams.Prune(now)
}
