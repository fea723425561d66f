package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const maxControlBody = 64 << 10

// weightsState is what the engine serves and what it was ordered to serve.
type weightsState struct {
	model   unit.ModelName
	current unit.WeightsVersion
	loading bool
	target  *Order // set while an order is carried out
	fencing unit.FencingNumber
}

// Order is the body of POST /engine/v1/orders.
type Order struct {
	Order   string              `json:"order"`
	Model   unit.ModelName      `json:"model"`
	Weights unit.WeightsVersion `json:"weights-version"`
	Fencing unit.FencingNumber  `json:"fencing-number"`
}

func (e *Emulator) order(w http.ResponseWriter, r *http.Request) {
	var order Order
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody)).Decode(&order)
	if err != nil || order.Order != "load" || order.Model == "" || order.Weights == "" {
		refuse(w, http.StatusBadRequest, "", "an order needs order \"load\", model and weights-version")
		return
	}
	status := e.accept(order)
	if status == http.StatusConflict {
		refuse(w, status, "fencing", "the fencing number is older than one seen before")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(order)
	if status == http.StatusAccepted {
		e.announcer.AnnounceNow()
	}
}

// accept registers the order as the new target and returns the status of the answer.
func (e *Emulator) accept(order Order) int {
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
	e.weights.target = &order
	if !e.weights.loading {
		e.weights.loading = true
		go e.carryOut(e.running, e.life)
	}
	return http.StatusAccepted
}

// startWeights loads the weights of Options after a start; the engine is in the loading state already.
func (e *Emulator) startWeights(ctx context.Context) {
	l := e.current()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)() // a crashed engine takes no share of the weights store any more
	if e.options.WeightStore.Load(ctx, e.scale(e.options.LoadTime)) != nil {
		return
	}
	e.carryOut(ctx, l)
}

// carryOut loads ordered weights until no newer order is left. New requests are refused meanwhile, and those that run
// finish on the old weights first.
func (e *Emulator) carryOut(ctx context.Context, l *life) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	for {
		order := e.nextOrder(l)
		if order == nil {
			e.announcer.AnnounceNow()
			return
		}
		if e.waitIdle(ctx, l) != nil || e.options.WeightStore.Load(ctx, e.scale(e.options.LoadTime)) != nil {
			return
		}
		l.cache.clear()
		e.mu.Lock()
		if e.life == l {
			e.weights.model, e.weights.current = order.Model, order.Weights
		}
		e.mu.Unlock()
		klog.Infof("engine: %s loaded weights %s of %s", e.options.Endpoint, order.Weights, order.Model)
	}
}

// nextOrder takes the target, or ends the loading state when there is none.
func (e *Emulator) nextOrder(l *life) *Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l {
		return nil
	}
	order := e.weights.target
	e.weights.target = nil
	if order == nil {
		e.weights.loading = false
	}
	return order
}

func (e *Emulator) waitIdle(ctx context.Context, l *life) error {
	for !l.isIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.idle:
		}
	}
	return nil
}

func (l *life) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running == 0 && l.queued == 0
}
