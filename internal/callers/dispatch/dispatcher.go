// Package dispatch makes one attempt to run a request at one endpoint over HTTP. It never sends a request twice, and the
// type of each error says whether it is certain that the request didn't run.
package dispatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Refused is the error of an endpoint that refused the request before running it, for instance because the endpoint is
// draining or because another engine now listens on the address. It is a subtype of fault.Unreachable.
var Refused = fault.Unreachable.NewSubtype("refused")

const (
	defaultMaxIdleConns      = 32
	defaultIdleTimeout       = 90 * time.Second
	defaultDialTimeout       = time.Second
	defaultAnswerTimeout     = 60 * time.Second
	defaultChunkIdle         = 30 * time.Second
	defaultMaxAnswerHeader   = 64 << 10
	defaultMaxOnceOnlyAnswer = 1 << 20
	keepAliveProbeInterval   = 5 * time.Second
	maxFailedKeepAliveProbes = 3
)

// Options are the timeouts and size limits of attempts. Zero values mean the defaults above.
type Options struct {
	MaxIdleConns      int           // largest number of idle connections per endpoint address
	IdleTimeout       time.Duration // an idle connection is closed after this time
	DialTimeout       time.Duration
	AnswerTimeout     time.Duration // longest time until the answer's header, which engines send with the first token
	BodyIdleTimeout   time.Duration // longest time without data from the endpoint while its answer is read
	MaxAnswerHeader   int64         // largest header of an answer, in bytes
	MaxOnceOnlyAnswer int64         // largest body of an answer to a once-only request, in bytes
}

// Dispatcher sends attempts. It is safe for concurrent use.
type Dispatcher struct {
	options  Options
	pooled   *http.Transport
	unpooled *http.Transport // opens a new connection for each request
}

// Attempt is one attempt of a request at one endpoint.
type Attempt struct {
	Request     unit.RequestID
	Endpoint    unit.EndpointID // for messages only
	Address     string          // ip:port
	Engine      bool            // the endpoint is an engine, not a plain service
	Incarnation unit.Incarnation
	Weights     unit.WeightsVersion // expected weights; empty accepts any

	Method   string
	Path     string      // escaped path with query, as the endpoint gets it
	Header   http.Header // the caller's header; connection and Citronglade headers and credentials are left out
	Body     []byte
	OnceOnly bool
	// AnswerTimeout overrides Options.AnswerTimeout unless it is 0. It is for answers that aren't streamed, whose header comes
	// with the last token.
	AnswerTimeout time.Duration

	Priority     int
	Pieces       []unit.Digest
	PromptTokens unit.Tokens
	ResumeFrom   int    // index of the first token wanted
	Delivered    []byte // text of the tokens before ResumeFrom
	ImportFrom   string // address of the cache store from which the engine imports pieces; empty for none
}

// Answer is the result of an attempt. Send returns one also with an error, then without a Body.
type Answer struct {
	Status int
	Header http.Header // without connection headers
	// Body fails with fault.BrokenAnswer when the connection breaks. Closing it before its end cancels the request at the
	// endpoint.
	Body *Body
	// TooLarge is set when the answer to a once-only request exceeds MaxOnceOnlyAnswer: the request ran, but Body is empty.
	TooLarge bool

	Wrote              bool             // a byte of the request may have been sent
	Reused             bool             // the attempt used a connection opened by an earlier attempt
	Refusal            string           // the endpoint's reason, set with the error Refused
	Incarnation        unit.Incarnation // 0 when the endpoint didn't report it
	IncarnationChanged bool             // Incarnation differs from the expected one, so what is known of its cache is obsolete
	Weights            unit.WeightsVersion
	CachedTokens       unit.Tokens
	ImportedTokens     unit.Tokens
	Queue              time.Duration // time that the request waited in the endpoint's queue
	Elapsed            time.Duration // time until the answer's header or the failure
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	setDefault(&options.MaxIdleConns, defaultMaxIdleConns)
	setDefault(&options.IdleTimeout, defaultIdleTimeout)
	setDefault(&options.DialTimeout, defaultDialTimeout)
	setDefault(&options.AnswerTimeout, defaultAnswerTimeout)
	setDefault(&options.BodyIdleTimeout, defaultChunkIdle)
	setDefault(&options.MaxAnswerHeader, defaultMaxAnswerHeader)
	setDefault(&options.MaxOnceOnlyAnswer, defaultMaxOnceOnlyAnswer)
	d := &Dispatcher{options: options, pooled: newTransport(options), unpooled: newTransport(options)}
	d.unpooled.DisableKeepAlives = true
	return d
}

// Close closes the idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.unpooled.CloseIdleConnections()
}

// Send makes one attempt. It fails with
//
//   - fault.BadInput or fault.TooLarge for an attempt that can't be sent as it is,
//   - fault.Unreachable when no byte of the request was sent,
//   - Refused when the endpoint refused before running the request,
//   - fault.BrokenAnswer for any later failure, after which the request may have run.
//
// Any other answer of the endpoint counts as success, also one with an error status. The caller of Send must close Body.
func (d *Dispatcher) Send(ctx context.Context, a Attempt) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	tracker := &connectionTracker{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, tracker.trace()), a)
	if err != nil {
		cancel(nil)
		return &Answer{}, err
	}
	start := time.Now()
	response, err := d.roundTrip(request, a, cancel) //nolint:bodyclose // Body closes it
	if err != nil {
		cancel(nil)
		return d.failedAnswer(ctx, a, tracker, time.Since(start), err)
	}
	answer := newAnswer(response, a)
	answer.Wrote, answer.Reused, answer.Elapsed = true, tracker.reused(), time.Since(start)
	answer.Body = newBody(response.Body, d.options.BodyIdleTimeout, cancel)
	if err := checkAnswer(response, a, answer); err != nil {
		answer.Body.release()
		answer.Body = nil
		return answer, err
	}
	if a.OnceOnly {
		return answer, d.bufferAnswer(answer)
	}
	return answer, nil
}

// roundTrip sends the request without http.Client, because http.Client follows redirects.
func (d *Dispatcher) roundTrip(request *http.Request, a Attempt, cancel context.CancelCauseFunc) (*http.Response, error) {
	limit := a.AnswerTimeout
	setDefault(&limit, d.options.AnswerTimeout)
	timeout := time.AfterFunc(limit, func() {
		cancel(fault.BrokenAnswer.New("no answer within %v", limit))
	})
	defer timeout.Stop()
	if a.OnceOnly {
		return d.unpooled.RoundTrip(request)
	}
	return d.pooled.RoundTrip(request)
}

func (d *Dispatcher) failedAnswer(ctx context.Context, a Attempt, tracker *connectionTracker, elapsed time.Duration, err error) (*Answer, error) {
	answer := &Answer{Wrote: tracker.stopWrites(), Reused: tracker.reused(), Elapsed: elapsed}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) && errorx.Cast(cause) != nil {
		err = cause
	}
	if answer.Wrote {
		return answer, fault.BrokenAnswer.Wrap(err, "endpoint %s at %s failed after a byte of the request was sent", a.Endpoint, a.Address)
	}
	return answer, fault.Unreachable.Wrap(err, "endpoint %s at %s could not be reached", a.Endpoint, a.Address)
}

// newTransport returns a transport for HTTP/1.1 without proxies, transparent decompression or a limit on open connections.
func newTransport(options Options) *http.Transport {
	dialer := &net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbeInterval, Interval: keepAliveProbeInterval, Count: maxFailedKeepAliveProbes,
		},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    options.MaxIdleConns,
		IdleConnTimeout:        options.IdleTimeout,
		MaxResponseHeaderBytes: options.MaxAnswerHeader,
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
