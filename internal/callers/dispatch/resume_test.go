package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/stream"
	"github.com/citronglade/citronglade/internal/emulator/engine"
)

func startEngine(t *testing.T, id unit.EndpointID, timeScale float64) *engine.Emulator {
	t.Helper()
	e := engine.New(engine.Options{Listen: "127.0.0.1:0", Endpoint: id, LoadTime: -1, TimeScale: timeScale})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})
	return e
}

// Guards against lost or repeated text and split characters in a stream whose engine crashes midway, so that another engine
// continues it.
func TestStreamContinuesOnAnotherEngineAfterACrash(t *testing.T) {
	const tokens = 60
	d := newDispatcher(t, Options{})
	merger := stream.New(0)
	var text strings.Builder
	body, err := json.Marshal(map[string]any{"prompt": "hallo", "max_tokens": tokens, "stream": true})
	assert.NilError(t, err)
	for attempt := 1; !merger.Finished(); attempt++ {
		assert.Assert(t, attempt <= 3, "the stream must be complete after three attempts")
		timeScale := 1.0 // 20 ms per token, so that the crash comes long before the end
		if attempt == 3 {
			timeScale = 0.01
		}
		e := startEngine(t, unit.EndpointID(rune('a'+attempt)), timeScale)
		assert.NilError(t, merger.Begin(attempt))
		point, ok := merger.Resume()
		assert.Assert(t, ok)
		answer := sendWhenLoaded(t, d, Attempt{
			Address: e.Address(), Engine: true, Incarnation: e.Incarnation(), Weights: "w1",
			Method: "POST", Path: "/v1/completions", Body: body, ResumeFrom: point.Token, Delivered: point.Text,
		})
		crash := func() {
			if attempt < 3 && text.Len() > 60*attempt {
				e.Crash()
			}
		}
		err := copyTokens(merger, attempt, answer.Body, &text, crash)
		assert.NilError(t, answer.Body.Close())
		assert.Equal(t, errorx.IsOfType(err, fault.BrokenAnswer), attempt < 3, "%v", err)
		counts := e.Counters()
		assert.Equal(t, counts.Resumed, int64(min(attempt-1, 1)))
		assert.Equal(t, counts.ResumeMismatches, int64(0))
	}
	assert.Equal(t, text.String(), engine.Output("hallo", "w1", 0, tokens))
}

// sendWhenLoaded repeats the attempt while the engine refuses it because the engine is still loading its weights.
func sendWhenLoaded(t *testing.T, d *Dispatcher, a Attempt) *Answer {
	t.Helper()
	for {
		answer, err := d.Send(t.Context(), a)
		if err == nil {
			return answer
		}
		assert.Equal(t, answer.Refusal, "loading", "%v", err)
	}
}

func copyTokens(m *stream.Merger, attempt int, from io.Reader, to *strings.Builder, after func()) error {
	reader := stream.NewEventReader(from, 0)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) || err == nil && event.IsDone() {
			return m.End(attempt)
		}
		if err != nil {
			return err
		}
		chunk, err := stream.Parse(stream.Completions, attempt, event.Data)
		if err != nil {
			return err
		}
		forward, err := m.Add(chunk)
		if err != nil {
			return err
		}
		if forward {
			to.Write(chunk.Text)
		}
		after()
	}
}
