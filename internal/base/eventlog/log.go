// Package eventlog writes structured events to one output as JSON, one object per line. Logging an event never waits for the
// output: events that don't fit into the buffer are dropped, and their number is logged after the next flush.
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
	// bufferBytes bounds the buffered lines that haven't been written yet; it is room for about 2,000 lines.
	bufferBytes = 512 << 10
	// flushInterval is the time between two flushes of the buffer. Lines are buffered so that many are written at once.
	flushInterval = 200 * time.Millisecond
)

var droppedLines = metrics.NewCounter("citronglade_log_lines_dropped_total")

// Log is a structured logger with a buffer that Run writes to the output. It is safe for concurrent use.
type Log struct {
	*slog.Logger
	buffer *buffer
}

// buffer collects lines until they are flushed. It is double-buffered: spare is the slice that take returned last, which is
// used again after the next call of take.
type buffer struct {
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Uint64 // lines dropped since the last flush
}

// New returns a log that adds the given attributes, alternating keys and values, to each line. Nothing is written before Run.
func New(attributes ...any) *Log {
	b := &buffer{}
	handler := slog.NewJSONHandler(b, &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}})
	return &Log{Logger: slog.New(handler).With(attributes...), buffer: b}
}

// Discard returns a log that writes nothing, for tests.
func Discard() *Log {
	return &Log{Logger: slog.New(slog.DiscardHandler), buffer: &buffer{}}
}

// Write appends one line to the buffer. It never fails: a line that doesn't fit is dropped and counted.
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

// take empties the buffer and returns its lines. The slice is valid until the next call.
func (b *buffer) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := b.pending
	b.pending, b.spare = b.spare[:0], lines
	return lines
}

// Run flushes the buffer to out every flushInterval until ctx ends, and a last time then.
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

// flush writes the buffered lines and then, if lines were dropped, an event with their number. The buffer is emptied first
// because that event needs room in it.
func (l *Log) flush(out io.Writer) {
	l.write(out)
	if n := l.buffer.dropped.Swap(0); n > 0 {
		l.Warn("log-lines-dropped", "lines", n)
		l.write(out)
	}
}

func (l *Log) write(out io.Writer) {
	if lines := l.buffer.take(); len(lines) > 0 {
		// A failure of the log's own output can't be reported anywhere.
		_, _ = out.Write(lines)
	}
}
