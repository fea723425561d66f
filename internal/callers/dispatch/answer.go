package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const refusalHeader = "Citronglade-Refused"

// maxStatus is the last status that HTTP defines a class for (RFC 9110, section 15).
const maxStatus = 599

// newAnswer builds an Answer without a body from the response's status and header. Numbers that can't be parsed count as
// absent.
func newAnswer(response *http.Response, a Attempt) *Answer {
	header := response.Header
	answer := &Answer{
		Status:         response.StatusCode,
		Header:         withoutConnectionHeaders(header),
		Incarnation:    unit.Incarnation(numericHeader(header, "Citronglade-Incarnation")),
		Weights:        unit.WeightsVersion(header.Get("Citronglade-Weights")),
		CachedTokens:   unit.Tokens(numericHeader(header, "Citronglade-Cached-Tokens")),
		ImportedTokens: unit.Tokens(numericHeader(header, "Citronglade-Imported-Tokens")),
		Queue:          time.Duration(numericHeader(header, "Citronglade-Queue-Ms")) * time.Millisecond,
	}
	answer.IncarnationChanged = a.Incarnation != 0 && answer.Incarnation != 0 && answer.Incarnation != a.Incarnation
	answer.Refusal = refusalReason(response, a, answer)
	return answer
}

// refusalReason returns why the endpoint refused the request before running it, or "" if it didn't refuse. A plain service
// must name the reason in a header, because it may also answer 409 or 503 after the request ran. An engine sends 503, and
// 409 with another incarnation, only before it runs a request.
func refusalReason(response *http.Response, a Attempt, answer *Answer) string {
	conflict := response.StatusCode == http.StatusConflict
	if !conflict && response.StatusCode != http.StatusServiceUnavailable {
		return ""
	}
	if reason := response.Header.Get(refusalHeader); reason != "" {
		return reason
	}
	switch {
	case !a.Engine:
		return ""
	case !conflict:
		return "unavailable"
	case answer.IncarnationChanged:
		return "incarnation"
	default:
		return ""
	}
}

// checkAnswer returns an error for an answer that can't be used although its header is complete.
func checkAnswer(response *http.Response, a Attempt, answer *Answer) error {
	if answer.Refusal != "" {
		return Refused.New("endpoint %s at %s refused the request: %s", a.Endpoint, a.Address, answer.Refusal)
	}
	resumed := a.Engine && a.ResumeFrom > 0 && answer.Status == http.StatusOK
	if resumed && a.Weights != "" && answer.Weights != a.Weights {
		return fault.BrokenAnswer.New("endpoint %s resumes with weights %q instead of %q", a.Endpoint, answer.Weights, a.Weights)
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return fault.BrokenAnswer.New("endpoint %s answers with status %d, which ends no request", a.Endpoint, answer.Status)
	}
	// Without Content-Length or chunked encoding, a broken connection looks like the end of the answer.
	if a.Method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return fault.BrokenAnswer.New("endpoint %s doesn't mark the end of its answer", a.Endpoint)
	}
	return nil
}

// bufferAnswer reads the answer to a once-only request into memory, because it is stored before the caller gets it.
func (d *Dispatcher) bufferAnswer(answer *Answer) error {
	data, err := io.ReadAll(io.LimitReader(answer.Body, d.options.MaxOnceOnlyAnswer+1))
	answer.Body.release()
	if err != nil {
		answer.Body = nil
		return err
	}
	if int64(len(data)) > d.options.MaxOnceOnlyAnswer {
		answer.TooLarge = true
		data = nil
	}
	answer.Body = newBody(io.NopCloser(bytes.NewReader(data)), d.options.BodyIdleTimeout, func(error) {})
	return nil
}

func numericHeader(header http.Header, name string) uint64 {
	value, err := strconv.ParseUint(header.Get(name), 10, 63)
	if err != nil {
		return 0
	}
	return value
}

// Body is the body of an answer, read with an idle timeout. It isn't safe for concurrent use.
type Body struct {
	source      io.ReadCloser
	idleTimeout time.Duration
	timer       *time.Timer // runs only during Read
	cancel      context.CancelCauseFunc
	idleExpired atomic.Bool // the endpoint sent nothing for idleTimeout
}

func newBody(from io.ReadCloser, idle time.Duration, cancel context.CancelCauseFunc) *Body {
	return &Body{source: from, idleTimeout: idle, cancel: cancel}
}

// Read implements io.Reader. It fails with fault.BrokenAnswer when the connection breaks or the endpoint sends nothing for
// the idle timeout. Time that passes between two calls of Read doesn't count.
func (b *Body) Read(data []byte) (int, error) {
	b.startIdleTimer()
	n, err := b.source.Read(data)
	b.timer.Stop()
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if b.idleExpired.Load() {
		return n, fault.BrokenAnswer.New("the endpoint was silent for %v", b.idleTimeout)
	}
	return n, fault.BrokenAnswer.Wrap(err, "the answer broke off")
}

func (b *Body) startIdleTimer() {
	if b.timer != nil {
		b.timer.Reset(b.idleTimeout)
		return
	}
	b.timer = time.AfterFunc(b.idleTimeout, func() {
		b.idleExpired.Store(true)
		b.cancel(nil)
	})
}

// Close implements io.Closer. If the body wasn't read to its end, the connection is closed, so that the endpoint cancels
// the request.
func (b *Body) Close() error {
	b.release()
	return nil
}

func (b *Body) release() {
	if b.timer != nil {
		b.timer.Stop()
	}
	b.cancel(nil)
	_ = b.source.Close()
}
