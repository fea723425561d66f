package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a log that blocks when its buffer is full, and against dropped lines that aren't reported.
func TestLinesBeyondTheBufferAreCounted(t *testing.T) {
	log := New("host", "a")
	const lines = 10_000
	for i := range lines {
		log.Info("something", "number", i, "text", strings.Repeat("x", 100))
	}
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, log.Run(ctx, &out))
	written, dropped := 0, 0
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var event struct {
			Event string
			Host  string
			Lines int
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &event))
		assert.Equal(t, event.Host, "a")
		if event.Event == "log-lines-dropped" {
			dropped += event.Lines
		} else {
			written++
		}
	}
	assert.Equal(t, written+dropped, lines)
	assert.Assert(t, dropped > 0)
}
