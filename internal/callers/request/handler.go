package request

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/admission/gate"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/dispatch"
	"github.com/citronglade/citronglade/internal/callers/meter"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/record/chain"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/router"
)

// Dependencies are what New needs.
type Dependencies struct {
	Host         unit.HostName
	Incarnation  unit.Incarnation
	Now          func() unit.Moment
	WallClock    func() time.Time
	Router       *router.Router
	Record       *chain.Writer
	Dispatcher   *dispatch.Dispatcher
	Meter        *meter.Meter
	LedgerGroups int

	PieceTokens   unit.Tokens
	BytesPerToken int

	// View returns the current configuration, or fails with fault.StaleConfiguration.
	View func(now unit.Moment) (follower.View, error)
	// Take counts a request against a customer's limit, which is in requests/s over all entry hosts.
	Take func(customer unit.CustomerID, limit float64) (ok bool, retryAfter time.Duration)
	// GiveBack undoes Take for a request that wasn't admitted afterwards.
	GiveBack func(customer unit.CustomerID)
	// Gate returns the admission gate of a model or service.
	Gate func(kind endpoint.Kind, name string) *gate.Gate
	// Ledger sends an encoded ledger.Command to the leader of a ledger group; LedgerLookup sends an encoded ledger.Key.
	Ledger       func(ctx context.Context, group uint32, payload []byte) ([]byte, error)
	LedgerLookup func(ctx context.Context, group uint32, payload []byte) ([]byte, error)
	// SpreadQuarantines notifies the neighbouring entry hosts of crashes at once. It returns when all have answered, or after
	// a timeout.
	SpreadQuarantines func(ctx context.Context)
}

// Handler processes calls. It is safe for concurrent use.
type Handler struct {
	Dependencies
	// background counts running once-only calls, which go on when their callers disconnect, and outcomes being recorded.
	background sync.WaitGroup
}

// New returns a handler.
func New(d Dependencies) *Handler {
	return &Handler{Dependencies: d}
}

// Serve processes a call and writes its answer to w. If it fails before the answer has begun, the caller of Serve must
// answer with the returned error; a stream that fails later ends with an error event. Every call gets a final entry in the
// record.
func (h *Handler) Serve(ctx context.Context, call Call, w http.ResponseWriter) error {
	e := newExecution(h, call)
	err := e.admit(ctx)
	if err == nil {
		h.Router.CountRequest()
		err = e.runAdmitted(ctx, w)
		e.slot.Release()
	} else if e.isOnceOnly() {
		err = e.checkEarlierRequest(ctx, err)
	}
	e.recordResult(err)
	return err
}

// Wait returns when all background work or ctx has ended. It is called during a planned stop.
func (h *Handler) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		h.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (e *execution) runAdmitted(ctx context.Context, w http.ResponseWriter) error {
	switch {
	case e.isOnceOnly():
		return e.serveOnceOnly(ctx, w)
	case e.Stream:
		return e.serveStream(ctx, w)
	default:
		return e.serveBuffered(ctx, w)
	}
}

func (e *execution) serveBuffered(ctx context.Context, w http.ResponseWriter) error {
	answer, err := e.runAttempts(ctx)
	if err != nil {
		return err
	}
	return answer.write(w)
}

// recordResult appends the call's final entry to the record and updates the metrics.
func (e *execution) recordResult(err error) {
	outcome, code := unit.OutcomeDone, ""
	if err != nil {
		outcome, code = unit.Outcome(fault.Outcome(err)), fault.Name(err)
	}
	reason := code
	if e.replayed {
		reason = "stored-answer"
	}
	e.recordFinal(outcome, e.status, reason)
	sample := meter.Sample{
		Customer: e.Customer.ID, Class: e.Class.Name, Target: e.Target, Outcome: outcome, Code: code,
		Total: e.handler.Now().Sub(e.Arrived), Attempts: e.attempt, PromptTokens: e.promptTokens, CachedTokens: e.cachedTokens,
	}
	if e.firstToken > 0 {
		sample.FirstToken = e.firstToken.Sub(e.Arrived)
	}
	if e.slot != nil {
		sample.Queue = e.slot.Waited()
	}
	e.handler.Meter.Observe(sample)
}

func (e *execution) isCallerLeft(err error) bool {
	return errorx.IsOfType(err, fault.CallerLeft)
}
