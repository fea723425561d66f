package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const maxControlBodyBytes = 64 << 10

// weightsState describes the weights that the engine serves and those that it has been ordered to load.
type weightsState struct {
	model        unit.ModelName
	current      unit.WeightsVersion
	loading      bool
	pendingOrder *Order // newest order that has not been started yet
	fencing      unit.FencingNumber
}

// Order is the body of POST /engine/v1/orders.
type Order struct {
	Order   string              `json:"order"`
	Model   unit.ModelName      `json:"model"`
	Weights unit.WeightsVersion `json:"weights-version"`
	Fencing unit.FencingNumber  `json:"fencing-number"`
}

func (e *Emulator) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes)).Decode(&order)
	if err != nil || order.Order != "load" || order.Model == "" || order.Weights == "" {
		writeError(w, http.StatusBadRequest, "", "an order needs order \"load\", model and weights-version")
		return
	}
	status := e.acceptOrder(order)
	if status == http.StatusConflict {
		writeError(w, status, "fencing", "the fencing number is older than one seen before")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(order)
	if status == http.StatusAccepted {
		e.announcer.AnnounceNow()
	}
}

// acceptOrder stores the order as the pending one, unless it is refused or already carried out, and returns the HTTP status.
func (e *Emulator) acceptOrder(order Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.HonoursFencing && order.Fencing < e.weights.fencing {
		return http.StatusConflict
	}
	e.weights.fencing = max(e.weights.fencing, order.Fencing)
	done := e.weights.model == order.Model && e.weights.current == order.Weights
	if done && !e.weights.loading {
		return http.StatusOK
	}
	e.weights.pendingOrder = &order
	if !e.weights.loading {
		e.weights.loading = true
		go e.loadOrderedWeights(e.runContext, e.state)
	}
	return http.StatusAccepted
}

// loadInitialWeights loads the weights of Options after a start, then those of a pending order. The caller has set the
// loading state.
func (e *Emulator) loadInitialWeights(ctx context.Context) {
	s := e.currentState()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)() // a crash frees the share of the weights store
	if e.options.WeightStore.Load(ctx, e.scale(e.options.LoadTime)) != nil {
		return
	}
	e.loadOrderedWeights(ctx, s)
}

// loadOrderedWeights carries out orders until none is pending. It waits for running and queued requests to finish on the
// old weights first. New requests are refused in the meantime.
func (e *Emulator) loadOrderedWeights(ctx context.Context, s *incarnationState) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	for {
		order := e.nextOrder(s)
		if order == nil {
			e.announcer.AnnounceNow()
			return
		}
		if e.waitIdle(ctx, s) != nil || e.options.WeightStore.Load(ctx, e.scale(e.options.LoadTime)) != nil {
			return
		}
		s.cache.clear()
		e.mu.Lock()
		if e.state == s {
			e.weights.model, e.weights.current = order.Model, order.Weights
		}
		e.mu.Unlock()
		klog.Infof("engine: %s loaded weights %s of %s", e.options.Endpoint, order.Weights, order.Model)
	}
}

// nextOrder removes and returns the pending order. If there is none, it ends the loading state and returns nil.
func (e *Emulator) nextOrder(s *incarnationState) *Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != s {
		return nil
	}
	order := e.weights.pendingOrder
	e.weights.pendingOrder = nil
	if order == nil {
		e.weights.loading = false
	}
	return order
}

func (e *Emulator) waitIdle(ctx context.Context, s *incarnationState) error {
	for !s.isIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.requestEnded:
		}
	}
	return nil
}

func (s *incarnationState) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0 && s.queued == 0
}
