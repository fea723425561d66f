// Package eventlog writes structured events to one output, a JSON object a line. Writing never blocks a request: events
// beyond the buffer are dropped and counted, and the count is written with the next event that fits.
package eventlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// bufferBytes bounds what waits for the output; about 2,000 lines.
	bufferBytes = 512 << 10
	// flushInterval is how long a line may wait, so that lines share a write.
	flushInterval = 200 * time.Millisecond
)

var droppedLines = metrics.NewCounter("citronglade_log_lines_dropped_total")

// Log writes events. It is safe for concurrent use.
type Log struct {
	*slog.Logger
	out *buffer
}

// buffer collects lines until the writer takes them.
type buffer struct {
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Uint64
}

// New returns a log whose lines all carry the attributes of who, as key and value in turn. Run writes them to its output.
func New(who ...any) *Log {
	b := &buffer{}
	handler := slog.NewJSONHandler(b, &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}})
	return &Log{Logger: slog.New(handler).With(who...), out: b}
}

// Discard returns a log that writes nothing, for tests.
func Discard() *Log {
	return &Log{Logger: slog.New(slog.DiscardHandler), out: &buffer{}}
}

// Write takes one line. It never fails: a line that doesn't fit is dropped and counted.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(line) > bufferBytes {
		b.mu.Unlock()
		b.dropped.Add(1)
		droppedLines.Inc()
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	b.mu.Unlock()
	return len(line), nil
}

// take returns what waits. The slice is valid until the next call.
func (b *buffer) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := b.pending
	b.pending, b.spare = b.spare[:0], lines
	return lines
}

// Run writes to out until ctx ends, then writes what is left.
func (l *Log) Run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.flush(out)
			return nil
		case <-ticker.C:
			l.flush(out)
		}
	}
}

// flush writes what waits, then how many lines were dropped: the report needs room in the buffer.
func (l *Log) flush(out io.Writer) {
	l.write(out)
	if n := l.out.dropped.Swap(0); n > 0 {
		l.Warn("log-lines-dropped", "lines", n)
		l.write(out)
	}
}

func (l *Log) write(out io.Writer) {
	if lines := l.out.take(); len(lines) > 0 {
		// There is nowhere to report that the log's own output failed.
		_, _ = out.Write(lines)
	}
}
