package bodymemory

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/citronglade/citronglade/internal/base/timer"
)

// BenchmarkReadAll measures the processor time of reading a body of 16 KiB, without the connection, and of io.ReadAll for comparison.
func BenchmarkReadAll(b *testing.B) {
	content := bytes.Repeat([]byte("x"), 16<<10)
	budget := New(Options{Bytes: 64 << 20, Now: timer.New().Now, IdleTimeout: func() time.Duration { return time.Minute }})
	cases := []struct {
		name    string
		handler http.Handler
	}{
		{"counted", budget.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = ReadAll(r, 4<<20) }))},
		{"uncounted", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(http.MaxBytesReader(nil, r.Body, 4<<20))
		})},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			w := httptest.NewRecorder()
			for b.Loop() {
				r := &http.Request{Method: http.MethodPost, ContentLength: int64(len(content)), Body: io.NopCloser(bytes.NewReader(content))}
				c.handler.ServeHTTP(w, r)
			}
		})
	}
}
