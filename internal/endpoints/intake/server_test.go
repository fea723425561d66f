package intake

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

const goodAnnouncement = `{"endpoint-id":"e1","kind":"engine","address":"127.0.0.1:8000","incarnation":7,` +
	`"model":"taalmodel","weights-version":"w1","software-version":"s1","slots":8,"sequence":3,"load":{"running":2}}`

// Guards against announcements that are accepted without the key or with values that routing can't use, and against fields of
// valid announcements that get lost on the way to the OnAnnouncement callback.
func TestAnnounce(t *testing.T) {
	tests := []struct {
		name, path, key, body string
		status                int
	}{
		{"good", "/endpoint/v1/announce", "secret", goodAnnouncement, http.StatusOK},
		{"no key", "/endpoint/v1/announce", "", goodAnnouncement, http.StatusUnauthorized},
		{"forged key", "/endpoint/v1/announce", "guess", goodAnnouncement, http.StatusUnauthorized},
		{"not JSON", "/endpoint/v1/announce", "secret", "hello", http.StatusBadRequest},
		{"host name", "/endpoint/v1/announce", "secret", strings.Replace(goodAnnouncement, "127.0.0.1", "engine", 1), http.StatusBadRequest},
		{"no incarnation", "/endpoint/v1/announce", "secret", strings.Replace(goodAnnouncement, `"incarnation":7`, `"incarnation":0`, 1), http.StatusBadRequest},
		{"unknown kind", "/endpoint/v1/announce", "secret", strings.Replace(goodAnnouncement, `"engine"`, `"router"`, 1), http.StatusBadRequest},
		{"long software version", "/endpoint/v1/announce", "secret", strings.Replace(goodAnnouncement, `"s1"`, `"`+strings.Repeat("s", 200)+`"`, 1), http.StatusBadRequest},
		{"unknown event", "/endpoint/v1/cache-events", "secret", `{"endpoint-id":"e1","events":[{"kind":"moved"}]}`, http.StatusBadRequest},
		{"oversize", "/endpoint/v1/cache-events", "secret", `{"endpoint-id":"` + strings.Repeat("x", 3<<20) + `"}`, http.StatusRequestEntityTooLarge},
		{"good events", "/endpoint/v1/cache-events", "secret", `{"endpoint-id":"e1","incarnation":7,"first-sequence":1,"events":[{"kind":"cleared","digest":"00000000000000000000000000000000"}]}`, http.StatusNoContent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var heard []endpoint.Announcement
			var batches []cache.Batch
			s := New(Options{
				Key: "secret", Sample: 4,
				OnAnnouncement: func(a endpoint.Announcement) { heard = append(heard, a) },
				OnCacheEvents:  func(b cache.Batch) { batches = append(batches, b) },
			})
			request := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("Authorization", "Bearer "+test.key)
			recorder := httptest.NewRecorder()
			s.ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, test.status, recorder.Body.String())
			accepted := len(heard) + len(batches)
			assert.Equal(t, accepted == 1, test.status < 300)
			if test.status == http.StatusOK {
				assert.Equal(t, heard[0].Weights, endpoint.Announcement{Weights: "w1"}.Weights)
				assert.Equal(t, heard[0].Software, endpoint.Announcement{Software: "s1"}.Software)
				assert.Equal(t, heard[0].Load.Running, 2)
				assert.Assert(t, strings.Contains(recorder.Body.String(), `"cache-event-sample":4`))
			}
		})
	}
}

// Guards against request bodies of endpoints that crash the host.
func FuzzAnnounce(f *testing.F) {
	f.Add(goodAnnouncement)
	f.Add(`{"endpoint-id":"e1","load":{"running":-1}}`)
	f.Fuzz(func(t *testing.T, body string) {
		s := New(Options{Key: "k", OnAnnouncement: func(endpoint.Announcement) {}, OnCacheEvents: func(cache.Batch) {}})
		request := httptest.NewRequest(http.MethodPost, "/endpoint/v1/announce", strings.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Authorization", "Bearer k")
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, request)
		assert.Assert(t, recorder.Code != http.StatusInternalServerError, recorder.Body.String())
	})
}
