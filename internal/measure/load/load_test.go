package load_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/emulator/engine"
	"github.com/citronglade/citronglade/internal/measure/load"
	"github.com/citronglade/citronglade/internal/measure/shape"
)

const (
	events = `data: {"choices":[{"text":"a"}],"token-index":0}` + "\n\n" + `data: {"choices":[{"delta":{"content":"b"}}],"token-index":1}` + "\n\n" +
		`data: {"choices":[],"usage":{"prompt_tokens":1000,"prompt_tokens_details":{"cached_tokens":800}}}` + "\n\n"
	done = "data: [DONE]\n\n"
)

func run(t *testing.T, rate float64, handler http.HandlerFunc) *load.Report {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	report, err := load.New(load.Options{
		Workload: shape.New(shape.Shapes[0], 1, rate, shape.Text{BytesPerToken: 1, PieceTokens: 2000}),
		Targets:  []string{strings.TrimPrefix(server.URL, "http://")}, Duration: 300 * time.Millisecond,
		Token:  func(id unit.CustomerID) string { return string(id) },
		Expect: func(shape.Request) []string { return []string{"no", "ab"} },
	}).Run(context.Background())
	assert.NilError(t, err)
	return report
}

// Guards against a generator that counts an incomplete, wrong or failed answer as a complete one.
func TestAnswersAreChecked(t *testing.T) {
	for _, test := range []struct {
		name, body, code string
		status           int
		wrong            bool
	}{
		{"whole", events + done, "", 200, false},
		{"cut off", events, "incomplete", 200, true},
		{"another text", strings.Replace(events, `"a"`, `"x"`, 1) + done, "wrong-answer", 200, true},
		{"a token twice", strings.Replace(events, `"token-index":1`, `"token-index":0`, 1) + done, "out-of-order", 200, true},
		{"error event", events + `data: {"error":{"code":"broken-answer","outcome":"unknown"}}` + "\n\n", "broken-answer", 200, false},
		{"refusal", `{"error":{"code":"overloaded","outcome":"not-run"}}`, "overloaded", 503, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := run(t, 200, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = fmt.Fprint(w, test.body)
			})
			g := report.Group("match")
			assert.Assert(t, g.Sent > 10)
			if test.code == "" {
				assert.Equal(t, g.Complete, g.Sent)
				assert.Equal(t, report.HitRate, 0.8)
			} else {
				assert.Equal(t, g.Codes[test.code], g.Sent)
			}
			assert.Equal(t, report.Wrong > 0, test.wrong)
			assert.Equal(t, report.Refused > 0, test.status == 503)
		})
	}
}

// Guards against a closed loop: each request must be sent when it is due, even if all earlier ones still wait for answers.
func TestArrivalsDontWaitForAnswers(t *testing.T) {
	var waiting, maxWaiting atomic.Int64
	release := make(chan struct{})
	time.AfterFunc(400*time.Millisecond, func() { close(release) }) // after the last request was sent, so that all wait at once
	report := run(t, 200, func(w http.ResponseWriter, _ *http.Request) {
		maxWaiting.Store(max(maxWaiting.Load(), waiting.Add(1)))
		defer waiting.Add(-1)
		<-release
		_, _ = fmt.Fprint(w, events+done)
	})
	assert.Assert(t, maxWaiting.Load() >= int64(report.Sent)*9/10, "%d of %d at a time", maxWaiting.Load(), report.Sent)
	assert.Assert(t, report.Group("match").FirstToken.P50 >= 100)
}

// Guards against a report from which the plots can't be drawn.
func TestPlotsAreWritten(t *testing.T) {
	report := run(t, 200, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, events+done) })
	series := []load.Series{{Name: "one", Report: report}}
	folder := t.TempDir()
	assert.NilError(t, load.PlotHitRate(filepath.Join(folder, "hit.svg"), "hit", 50*time.Millisecond, series))
	assert.NilError(t, load.PlotFirstToken(filepath.Join(folder, "first.svg"), "first", "match", series))
}

// Guards against a limit that an emulated engine doesn't name, or against requests under it that aren't counted.
func TestAnEmulatedEngineNamesItsLimitAndCounts(t *testing.T) {
	server := httptest.NewServer(engine.New(engine.Options{Endpoint: "e", TimeScale: 0.001}).Handler())
	defer server.Close()
	engines := []string{strings.TrimPrefix(server.URL, "http://")}
	named := func() string {
		response, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"a","max_tokens":1}`))
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.Header.Get("Citronglade-Request-Limit")
	}
	assert.Equal(t, named(), "")
	assert.NilError(t, load.SetRequestLimit(t.Context(), engines, 2.5))
	for range 3 {
		assert.Equal(t, named(), "2.5")
	}
	limited, err := load.RequestsUnderLimit(t.Context(), engines)
	assert.NilError(t, err)
	assert.DeepEqual(t, limited, []load.LimitedEngine{{Address: engines[0], MostIn4s: 3}})
	assert.NilError(t, load.SetRequestLimit(t.Context(), engines, 0))
	assert.Equal(t, named(), "")
	assert.Assert(t, errorx.IsOfType(load.SetRequestLimit(t.Context(), []string{"127.0.0.1:1"}, 1), fault.Unreachable))
}

// Guards against crashes of emulated engines that aren't counted, and against a poisoned prompt that leaves its engine up.
func TestCrashesUnderAPoisonedPromptAreCounted(t *testing.T) {
	e := engine.New(engine.Options{Listen: "127.0.0.1:0", Endpoint: "e", PoisonMarker: "poisoned", TimeScale: 0.001, RestartDelay: time.Millisecond})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	defer func() {
		stop()
		assert.NilError(t, <-ended)
	}()
	engines := []string{e.Address()}
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the engine loads its weights first
		response, err := http.Post("http://"+e.Address()+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"a poisoned b","max_tokens":1}`))
		if err != nil {
			return poll.Success()
		}
		_ = response.Body.Close()
		return poll.Continue("status %d", response.StatusCode)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the engine restarts
		crashes, err := load.Crashes(t.Context(), engines)
		if err == nil && crashes == 1 {
			return poll.Success()
		}
		return poll.Continue("%d crashes, %v", crashes, err)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}
