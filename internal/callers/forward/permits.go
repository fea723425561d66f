package forward

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

const (
	// maxPermitWait is how long a request that no endpoint may get without a permit waits for one, or for a place at a brittle endpoint. A
	// permit that a host asks for takes up to four messages between hosts, which are sent every 50 ms.
	maxPermitWait = 250 * time.Millisecond
	// permitScarcity is how long after a wait in vain requests are refused without a wait.
	permitScarcity = time.Second
)

// permitWait is what the requests that wait for a permit share. Handler.mu guards it.
type permitWait struct {
	arrived  chan struct{} // closed when permits arrive
	waiting  int
	failedAt unit.Moment // when a request last waited in vain
}

func newPermitWait() permitWait {
	return permitWait{arrived: make(chan struct{})}
}

// PermitsArrived wakes the requests that wait for a permit.
func (h *Handler) PermitsArrived() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeWaiting()
}

func (h *Handler) wakeWaiting() {
	close(h.permits.arrived)
	h.permits.arrived = make(chan struct{})
}

// placeFreed wakes the requests that wait for a place at a brittle endpoint. h.mu must be held.
func (r *request) placeFreed(now unit.Moment) {
	if r.h.permits.waiting > 0 && r.h.assigner.Brittle(now, r.service.Name) {
		r.h.wakeWaiting()
	}
}

// noEndpoint returns why no endpoint may get the request, with the time until one may if that is known. Handler.mu must be held.
func (r *request) noEndpoint(now unit.Moment, choice assign.Choice) error {
	if s := r.work.Software; s != nil && !r.h.assigner.Serves(r.service.Name, *s) {
		return r.unresumable("software version %s, which began the stream, has left service %s", *s, r.service.Name)
	}
	if until, limited := r.h.assigner.UntilPermit(r.service.Name); limited && choice.Limited > 0 {
		return fault.Overloaded.New("%d endpoints of service %s are at the limits that they named", choice.Limited, r.service.Name).WithProperty(fault.RetryAfter, until)
	}
	if choice.Withheld || choice.Brittle > 0 {
		return fault.Overloaded.New("the endpoints of service %s are brittle and might reject the request", r.service.Name).WithProperty(fault.RetryAfter, maxPermitWait)
	}
	if resumes, paused := r.h.assigner.PauseRemaining(now, r.service.Name); paused {
		return fault.Overloaded.New("all endpoints of service %s asked for a pause", r.service.Name).WithProperty(fault.RetryAfter, resumes)
	}
	err := fault.NoEndpoint.New("service %s has no endpoint that may take the request", r.service.Name)
	if r.work.Software != nil {
		err = err.WithProperty(fault.RetryAfter, restartTime)
	}
	return err
}

// waitForPermit waits until a permit may have arrived, if the last choice failed for lack of one and it is likely that one arrives soon.
// It returns false if the request should be refused.
func (r *request) waitForPermit(ctx context.Context) bool {
	h := r.h
	now := h.Now()
	if !r.atLimit {
		return false
	}
	h.mu.Lock()
	switch {
	case r.permitDeadline != 0 && now >= r.permitDeadline:
		h.permits.failedAt = now
		h.mu.Unlock()
		return false
	case r.permitDeadline == 0:
		until, _ := h.assigner.UntilPermit(r.service.Name)
		scarce := h.permits.failedAt != 0 && now.Sub(h.permits.failedAt) < permitScarcity
		if scarce || until*time.Duration(h.permits.waiting+1) > maxPermitWait {
			h.mu.Unlock()
			return false
		}
		r.permitDeadline, r.work.WaitsForPermit = now.Add(maxPermitWait), true
	}
	arrived := h.permits.arrived
	h.permits.waiting++
	h.mu.Unlock()
	timeout := time.NewTimer(r.permitDeadline.Sub(now))
	defer timeout.Stop()
	woken := false
	select {
	case <-arrived:
		woken = true
	case <-timeout.C:
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.permits.waiting--
	if !woken && ctx.Err() == nil {
		h.permits.failedAt = h.Now()
	}
	return woken
}
