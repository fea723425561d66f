// Package load is an open-loop load generator: it sends a workload to entry hosts without waiting for answers between
// requests, checks every answer, and reports latencies, cached tokens and refusals.
package load

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/measure/shape"
)

const (
	// answerTimeout bounds a request with its whole answer. It is longer than the deadline of every class.
	answerTimeout = 130 * time.Second
	// idleConnections is the number of idle connections kept for each target, so that few connections are opened during a
	// measurement.
	idleConnections = 512
)

// Options configure a generator.
type Options struct {
	Workload *shape.Workload
	Targets  []string // addresses on which entry hosts listen for callers; each request goes to a random one
	Seed     uint64   // seed of the random choice of targets
	// Token returns a customer's bearer token.
	Token func(unit.CustomerID) string
	// Expect returns the texts that may answer a model request. If it is nil, the text of answers isn't checked, only that they are
	// complete and that their tokens are in order.
	Expect func(shape.Request) []string
	// Duration is how long requests are sent. The report leaves out those that were due in the first WarmUp of it. Requests
	// that are still running Grace after the last one was sent are cancelled; with 0, Run waits for all answers.
	Duration, WarmUp, Grace time.Duration
}

// Generator sends one workload. Each request is sent when it is due, whether earlier ones have been answered or not, and its
// latency counts from the time it was due. A system that stalls therefore shows its full latency in the report.
type Generator struct {
	Options
	client *http.Client
}

// Sample is the result of one request.
type Sample struct {
	At   time.Duration // when the request was due, since the start of the run
	Call shape.Call
	// Code is empty for a complete and correct answer; otherwise it is the code of the refusal or failure.
	Code    string
	Refused bool // the outcome is "not run"
	// FirstToken is the time to the first token, or for a service call the time to the whole answer; 0 if there was none.
	// Total is the time to the end of the answer or to the failure. Both count from the time the request was due.
	FirstToken, Total                     time.Duration
	PromptTokens, CachedTokens, NewTokens unit.Tokens
	Customer                              unit.CustomerID
	Poisoned                              bool // as in shape.Request
}

// New returns a generator.
func New(o Options) *Generator {
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	return &Generator{Options: o, client: &http.Client{Timeout: answerTimeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
	}}}
}

// Run sends the workload, waits for the answers as Options.Grace says, and returns the report. It fails with fault.Internal
// if the workload can't encode a request, and with fault.Stopping if ctx ends before all requests are sent.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	defer g.client.CloseIdleConnections()
	targets := rand.New(rand.NewPCG(g.Seed, 1))
	var samples []Sample
	var mu sync.Mutex
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	for {
		request, err := g.Workload.Next()
		if err != nil {
			return nil, err
		}
		if request.At >= g.Duration {
			break
		}
		target := g.Targets[targets.IntN(len(g.Targets))]
		if err := sleepUntil(ctx, start.Add(request.At)); err != nil {
			return nil, err
		}
		running.Go(func() {
			sample := g.send(ctx, target, request, start.Add(request.At))
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, sample)
		})
	}
	if g.Grace > 0 {
		defer time.AfterFunc(g.Grace, cancel).Stop()
	}
	running.Wait()
	return newReport(samples, g.WarmUp, g.Duration), nil
}

func (g *Generator) send(ctx context.Context, target string, r shape.Request, due time.Time) Sample {
	sample := Sample{At: r.At, Call: r.Call, Customer: r.Customer, PromptTokens: r.PromptTokens, NewTokens: r.NewTokens, Poisoned: r.Poisoned}
	response, err := g.post(ctx, target, r)
	if err != nil {
		sample.Code = codeUnreachable
		if ctx.Err() != nil {
			sample.Code = codeUnfinished
		}
		sample.Total = time.Since(due)
		return sample
	}
	defer func() { _ = response.Body.Close() }()
	answer := readAnswer(response, r.Call.Model, due)
	sample.Total = time.Since(due)
	sample.FirstToken = answer.firstToken
	sample.Code, sample.Refused = answer.code, answer.outcome == unit.OutcomeNotRun
	if sample.Code == codeIncomplete && ctx.Err() != nil {
		sample.Code = codeUnfinished
	}
	if sample.Code != "" {
		return sample
	}
	sample.CachedTokens = answer.cached
	if answer.prompt > 0 {
		sample.PromptTokens = answer.prompt
	}
	if r.Call.Model && g.Expect != nil && !slices.Contains(g.Expect(r), answer.text) {
		sample.Code = codeWrong
	}
	return sample
}

func (g *Generator) post(ctx context.Context, target string, r shape.Request) (*http.Response, error) {
	// The transport can resend a request by itself if its body is a bytes.Reader, because it can then rewind the body. The
	// wrapper prevents that, so that each request is sent once.
	body := io.NopCloser(bytes.NewReader(r.Body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+r.Call.Path, body)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot create a request")
	}
	request.ContentLength = int64(len(r.Body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+g.Token(r.Customer))
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	return g.client.Do(request)
}

func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fault.Stopping.Wrap(ctx.Err(), "the measurement was stopped")
	case <-timer.C:
		return nil
	}
}
