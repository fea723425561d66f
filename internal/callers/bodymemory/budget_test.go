package bodymemory

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
)

// site is a server that reads bodies of at most 1 MiB within a budget of 2 MiB.
type site struct {
	budget *Budget
	clock  *timer.Service
	server *httptest.Server
	ended  chan result
	report Report
}

type result struct {
	data []byte
	err  error
}

func newSite(t *testing.T) *site {
	s := &site{clock: timer.NewManual(), ended: make(chan result, 10)}
	s.budget = New(Options{
		Bytes: 2 << 20, Now: s.clock.Now, IdleTimeout: func() time.Duration { return DefaultIdleTimeout },
		Report: func(r Report) { s.report = r },
	})
	s.server = httptest.NewServer(s.budget.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, err := ReadAll(r, 1<<20)
		s.ended <- result{data, err}
	})))
	t.Cleanup(s.server.Close)
	return s
}

// send begins a request whose body is what is written to the returned writer. A length of -1 means chunks.
func (s *site) send(t *testing.T, length int64) *io.PipeWriter {
	t.Helper()
	r, w := io.Pipe()
	t.Cleanup(func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) })
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.server.URL, r)
	assert.NilError(t, err)
	request.ContentLength = length
	go func() {
		response, err := http.DefaultTransport.RoundTrip(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	return w
}

// receive writes part of a body and waits until the server has read all that was sent.
func (s *site) receive(t *testing.T, w io.Writer, count int, total int64) {
	t.Helper()
	_, err := io.WriteString(w, strings.Repeat("x", count))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		received := int64(0)
		s.budget.mu.Lock()
		defer s.budget.mu.Unlock()
		for read := range s.budget.reading {
			received += read.received.Load()
		}
		if received < total {
			return poll.Continue("%d of %d bytes have arrived", received, total)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against bodies that are read wrongly, or whose memory isn't returned.
func TestBodiesAreReadWhole(t *testing.T) {
	s := newSite(t)
	cases := []struct {
		name   string
		length int64
		sent   int
		fails  *errorx.Type
	}{
		{name: "empty", length: 0},
		{name: "small", length: 10, sent: 10},
		{name: "the largest", length: 1 << 20, sent: 1 << 20},
		{name: "the largest in chunks", length: -1, sent: 1 << 20},
		{name: "too large", length: 1<<20 + 1, fails: fault.TooLarge},
		{name: "too large in chunks", length: -1, sent: 1<<20 + 1, fails: fault.TooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := s.send(t, c.length)
			go func() {
				_, _ = io.WriteString(w, strings.Repeat("x", c.sent)) // fails where the server refuses the body
				_ = w.Close()
			}()
			r := <-s.ended
			if c.fails != nil {
				assert.Assert(t, errorx.IsOfType(r.err, c.fails), "%v", r.err)
				return
			}
			assert.NilError(t, r.err)
			assert.Equal(t, len(r.data), c.sent)
		})
	}
	s.server.Close()
	assert.Equal(t, s.budget.memory.Used(), int64(0))
	assert.Equal(t, len(s.budget.reading), 0)
}

// Guards against a body that stopped short and keeps others from being read, and against giving up one that makes progress instead.
func TestTheBodyWithoutProgressIsGivenUp(t *testing.T) {
	s := newSite(t)
	const large = 600 << 10
	stalled := s.send(t, 1<<20)
	s.receive(t, stalled, large, large)
	s.clock.Advance(time.Second)
	moving := s.send(t, large)
	s.receive(t, moving, large/2, large+large/2)
	small := s.send(t, 100)
	s.receive(t, small, 99, large+large/2+99)
	s.clock.Advance(time.Second)
	_, err := io.WriteString(moving, strings.Repeat("x", large/2))
	assert.NilError(t, err)
	first, second := <-s.ended, <-s.ended
	if first.err == nil {
		first, second = second, first
	}
	assert.Assert(t, errorx.IsOfType(first.err, fault.Overloaded), "%v", first.err)
	assert.NilError(t, second.err)
	assert.Equal(t, len(second.data), large)
	_, err = io.WriteString(small, "x")
	assert.NilError(t, err)
	assert.NilError(t, (<-s.ended).err)
	s.budget.Sweep()
	assert.Equal(t, s.report.ForMemory, 1)
}

// Guards against bodies that stay open without progress, and against giving up slow ones that make some.
func TestBodiesThatStopAreGivenUpInTime(t *testing.T) {
	s := newSite(t)
	slow, trickling := s.send(t, 10<<10), s.send(t, -1)
	sent := int64(0)
	for range 3 {
		s.receive(t, slow, minProgress, sent+minProgress)
		s.receive(t, trickling, 1, sent+minProgress+1)
		sent += minProgress + 1
		s.clock.Advance(DefaultIdleTimeout / 3)
		s.budget.Sweep()
	}
	r := <-s.ended
	assert.Assert(t, errorx.IsOfType(r.err, fault.BodyTimeout), "%v", r.err)
	assert.Equal(t, s.report.ForTime, 1)
	_, err := io.WriteString(slow, strings.Repeat("x", 7<<10))
	assert.NilError(t, err)
	r = <-s.ended
	assert.NilError(t, r.err)
	assert.Equal(t, len(r.data), 10<<10)
}
