package harness

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an entry host that does not respond and thereby blocks announcements to the others.
func TestSilentEntryDelaysNoOther(t *testing.T) {
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer silent.Close()
	defer close(release)
	received := make(chan string, 100)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"cache-event-sample": 4}`))
		received <- r.URL.Path + " " + r.Header.Get("Authorization")
	}))
	defer entry.Close()
	samples := make(chan int, 100)
	a := NewAnnouncer(Options{
		Entries:  []string{silent.URL, entry.URL},
		Key:      "secret",
		Interval: time.Millisecond,
		Build:    func() (Announcement, bool) { return Announcement{Endpoint: "e"}, true },
		OnAnswer: func(_ string, answer Answer) { samples <- answer.CacheEventSample },
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Run(ctx)
	}()
	for range 3 {
		assert.Equal(t, <-received, "/endpoint/v1/announce Bearer secret")
	}
	assert.Equal(t, <-samples, 4)
	stop()
	<-ended
}

// Guards against a closed listener that still accepts connections, and one that reopens on another address.
func TestListenerComesBackOnTheSameAddress(t *testing.T) {
	l := NewListener("127.0.0.1:0", http.NotFoundHandler())
	assert.NilError(t, l.Open(t.Context()))
	address := l.Address()
	l.Close()
	_, err := http.Get("http://" + address)
	assert.Assert(t, err != nil)
	assert.NilError(t, l.Reopen(t.Context()))
	defer l.Close()
	assert.Equal(t, l.Address(), address)
	response, err := http.Get("http://" + address)
	assert.NilError(t, err)
	response.Body.Close()
}
