package engine

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Crash closes the socket and all connections and discards the cache. The engine restarts after RestartDelay with a larger
// incarnation and the weights of Options. It then knows no fencing numbers from before the crash.
func (e *Emulator) Crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.counts.Crashes++
	old := e.state
	e.mu.Unlock()
	klog.Infof("engine: %s crashed in incarnation %d", e.options.Endpoint, old.incarnation)
	e.listener.Close()
	old.end()
	go e.restart(old)
}

func (e *Emulator) restart(old *incarnationState) {
	e.mu.Lock()
	ctx := e.runContext
	e.mu.Unlock()
	if sleepUntil(ctx, time.Now().Add(e.scale(e.options.RestartDelay))) != nil {
		return
	}
	next := e.newIncarnationState(max(old.incarnation+1, unit.Incarnation(time.Now().UnixMilli())))
	e.mu.Lock()
	e.state = next
	e.down = false
	e.draining = false
	e.reports = nil
	e.weights = weightsState{model: e.options.Model, current: e.options.Weights, loading: true}
	e.mu.Unlock()
	if err := e.listener.Reopen(ctx); err != nil {
		klog.Errorf("engine: %s cannot listen again after a crash: %v", e.options.Endpoint, err)
		return
	}
	if ctx.Err() != nil {
		e.listener.Close()
		return
	}
	e.loadInitialWeights(ctx)
}

// handleCrash hijacks the connection to send the response before the crash closes all connections.
func (e *Emulator) handleCrash(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "the connection can't be taken over", http.StatusInternalServerError)
		return
	}
	_, _ = connection.Write([]byte("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	_ = connection.Close()
	e.Crash()
}
