// Package bodymemory limits the memory and the time that the bodies of requests take, over all connections of a host. A body takes memory in
// steps as it arrives. When the memory is used up, the body that has made no progress for the longest time is given up, so that clients that
// stop short of the end of large bodies don't keep others from being served.
package bodymemory

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/buffermemory"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// DefaultIdleTimeout is the time without progress after which a body is given up, unless the routing table allows more. Clients within
	// the limits pause at most as long.
	DefaultIdleTimeout = 15 * time.Second
	// minProgress is the number of bytes that count as progress within the idle timeout: 68 bytes/s. A body that has fewer bytes ends before
	// that or is given up.
	minProgress = 1 << 10
	// SweepInterval is the time between two calls of Sweep. Bodies are given up at most this much later than the idle timeout.
	SweepInterval = time.Second
	// drainTimeout is how long the server waits for the rest of a body that its handler hasn't read, so that it can use the connection again.
	drainTimeout = time.Second
	// retryAfter is sent with a refusal for lack of memory. Bodies of ordinary size arrive within that time.
	retryAfter = time.Second
	// defaultBytes replaces Options.Bytes and DecodingBytes of 0. It has room for 12 of the largest bodies that routing tables allow by default.
	defaultBytes = 64 << 20
)

var (
	givenUpForMemory = metrics.NewCounter(`citronglade_bodies_given_up_total{cause="memory"}`)
	givenUpForTime   = metrics.NewCounter(`citronglade_bodies_given_up_total{cause="time"}`)
)

// Options are the parameters of New.
type Options struct {
	Bytes         int64 // memory of all bodies together; 0 means 64 MiB
	DecodingBytes int64 // memory of all documents that are being decoded; 0 means 64 MiB
	Now           func() unit.Moment
	// IdleTimeout returns the time without progress after which a body is given up.
	IdleTimeout func() time.Duration
	// Report receives the bodies that were given up since the last call of Sweep, if there are any.
	Report func(Report)
}

// Report says how many bodies were given up, and why.
type Report struct {
	ForMemory, ForTime int
	UsedBytes          int64 // memory of all bodies at the time of the report
}

// Budget is the memory of all bodies. It is safe for concurrent use.
type Budget struct {
	options  Options
	memory   *buffermemory.Budget
	decoding *buffermemory.Budget

	mu       sync.Mutex
	reading  map[*body]struct{} // that haven't arrived completely
	dropping int                // bodies that were given up and whose buffers aren't dropped yet
	dropped  sync.Cond          // a buffer was dropped, or a body given up
	spare    spare              // within the memory that bodies don't take
	report   Report
}

// New returns a budget.
func New(o Options) *Budget {
	if o.Bytes <= 0 {
		o.Bytes = defaultBytes
	}
	if o.DecodingBytes <= 0 {
		o.DecodingBytes = defaultBytes
	}
	b := &Budget{
		options: o, memory: buffermemory.New(o.Bytes, fault.Overloaded), decoding: buffermemory.New(o.DecodingBytes, fault.Overloaded),
		reading: map[*body]struct{}{},
	}
	b.dropped.L = &b.mu
	return b
}

// keep keeps a buffer for other bodies, if there is memory for it.
func (b *Budget) keep(buffer []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spare.put(buffer, b.options.Bytes-b.memory.Used())
}

// Handler returns a handler that counts the bodies of the requests to next. Their memory is returned when next has returned.
func (b *Budget) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		read := b.open(w, r)
		defer read.end()
		r.Body = read
		next.ServeHTTP(w, r)
	})
}

// Sweep gives up the bodies that have made no progress within the idle timeout, and reports all that were given up since the last call.
func (b *Budget) Sweep() {
	b.mu.Lock()
	now, timeout := b.options.Now(), b.options.IdleTimeout()
	for read := range b.reading {
		read.updateProgress(now)
		if now.Sub(read.progressAt) >= timeout {
			givenUpForTime.Inc()
			b.report.ForTime++
			read.giveUp(fault.BodyTimeout.New("%d bytes of the body arrived, and fewer than %d of them in the last %s", read.received.Load(), minProgress, timeout))
		}
	}
	report := b.report
	b.report = Report{}
	b.spare.limit(0) // what isn't used again within a second is garbage
	b.mu.Unlock()
	if report.ForMemory+report.ForTime > 0 {
		report.UsedBytes = b.memory.Used()
		b.options.Report(report)
	}
}

// GiveUpOne gives up the body that has made no progress for the longest time, and returns false if there is none.
func (b *Budget) GiveUpOne() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.giveUpSlowest(0)
}

// giveUpSlowest gives up the body that has made no progress for the longest time, of several the largest one, of those that hold at least
// the given number of bytes. Bodies that hold little memory are given up last. It returns false if there is none. The lock must be held.
func (b *Budget) giveUpSlowest(least int64) bool {
	now := b.options.Now()
	var slowest *body
	for read := range b.reading {
		read.updateProgress(now)
		if read.share.Bytes() >= least && (slowest == nil || read.before(slowest)) {
			slowest = read
		}
	}
	if slowest == nil {
		return false
	}
	givenUpForMemory.Inc()
	b.report.ForMemory++
	slowest.giveUp(full(nil))
	return true
}

// full returns the error of a request whose body finds no memory.
func full(cause error) error {
	const text = "the bodies of all requests together take too much memory"
	err := fault.Overloaded.New(text)
	if cause != nil {
		err = errorx.Decorate(cause, text)
	}
	return err.WithProperty(fault.RetryAfter, retryAfter)
}
