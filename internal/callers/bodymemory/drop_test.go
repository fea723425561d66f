package bodymemory

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

var errDeadline = errors.New("deadline")

// stalled is a body that stops after some bytes, and the connection that it comes from. Its Read fails after the deadline has passed.
type stalled struct {
	http.ResponseWriter
	sent    io.Reader
	stopped chan struct{} // closed when everything was sent
	given   chan struct{} // closed by SetReadDeadline
	onGiven func()        // called in the goroutine that reads
}

func (s *stalled) Read(p []byte) (int, error) {
	n, err := s.sent.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	close(s.stopped)
	<-s.given
	s.onGiven()
	return 0, errDeadline
}

func (s *stalled) Close() error { return nil }

func (s *stalled) SetReadDeadline(at time.Time) error {
	if at.Equal(time.Unix(1, 0)) {
		close(s.given)
	}
	return nil
}

// Guards against bodies that take the memory of one that is given up while its buffer is still in use, so that both take it.
func TestMemoryIsFreeWhenTheBufferIsDropped(t *testing.T) {
	const bytes, length = 1 << 20, 600 << 10
	budget := New(Options{Bytes: bytes, Now: func() unit.Moment { return 0 }, IdleTimeout: func() time.Duration { return time.Minute }})
	var errs [2]error
	handler := budget.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, err := ReadAll(r, length)
		if r.URL.Path == "/stalled" {
			errs[0] = err
			return
		}
		errs[1] = err
		assert.Check(t, string(data) == strings.Repeat("y", length))
	}))
	held := int64(0)
	first := &stalled{
		ResponseWriter: httptest.NewRecorder(), sent: strings.NewReader(strings.Repeat("x", length-1)),
		stopped: make(chan struct{}), given: make(chan struct{}),
	}
	request := httptest.NewRequest(http.MethodPost, "/stalled", first)
	request.ContentLength = length
	first.onGiven = func() {
		budget.mu.Lock() // until the other body waits, or has taken the memory
		defer budget.mu.Unlock()
		held = request.Body.(*body).share.Bytes() //nolint:forcetypeassert // set by Handler
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		handler.ServeHTTP(first, request)
	}()
	<-first.stopped
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/whole", strings.NewReader(strings.Repeat("y", length))))
	<-ended
	assert.Assert(t, errs[0] != nil)
	assert.NilError(t, errs[1])
	assert.Equal(t, held, int64(length+1))
	budget.mu.Lock()
	defer budget.mu.Unlock()
	assert.Equal(t, budget.memory.Used(), int64(0))
	assert.Equal(t, budget.dropping, 0)
	assert.Assert(t, budget.spare.bytes <= bytes)
}

// Guards against kept buffers that take memory from bodies, are lost, or reach a body with the bytes of another one.
func TestSpareBuffersStayWithinTheirMemory(t *testing.T) {
	var s spare
	const size = 128 << 10
	old := append(make([]byte, 0, size), "old"...)
	s.put(old, size)
	s.put(make([]byte, size), size)      // no room
	s.put(make([]byte, 1<<10), 10*size)  // too small to keep
	s.put(make([]byte, 2*size), 10*size) // another size
	assert.Equal(t, s.bytes, int64(3*size))
	taken := s.take(size)
	assert.Assert(t, &taken[:1][0] == &old[0])
	assert.Equal(t, len(taken), 0)
	assert.Equal(t, cap(s.take(size)), size) // a new one
	assert.Equal(t, s.bytes, int64(2*size))
	s.limit(2*size - 1)
	assert.Equal(t, s.bytes, int64(0))
	assert.Equal(t, len(s.bySize), 0)
}
