// Package metricspage serves the metrics of a process. Requests that come while others are answered share a text that is written once a second at
// the most, so that clients which ask for it at once, or don't read it, take little memory.
package metricspage

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// maxAge is the largest age of a text that requests share. Metrics are usually fetched every few seconds.
	maxAge = time.Second
	// writeTimeout is the time to read the metrics, which bounds how many versions of them are kept for clients that don't.
	writeTimeout = 10 * time.Second
)

// Page is an HTTP handler for the metrics. It is safe for concurrent use.
type Page struct {
	now   func() unit.Moment
	write func(io.Writer)

	mu        sync.Mutex
	answering int // requests
	text      []byte
	writtenAt unit.Moment
}

// New returns a page whose text is written by the function.
func New(now func() unit.Moment, write func(io.Writer)) *Page {
	return &Page{now: now, write: write}
}

// ServeHTTP implements http.Handler.
func (p *Page) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only without a connection
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := p.begin()
	defer p.end()
	_, _ = w.Write(text) // fails if the client has left
}

// begin returns the text for one more request, which must not be changed.
func (p *Page) begin() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.now(); p.answering == 0 || now.Sub(p.writtenAt) >= maxAge {
		var text bytes.Buffer
		p.write(&text)
		p.text, p.writtenAt = text.Bytes(), now
	}
	p.answering++
	return p.text
}

func (p *Page) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answering--; p.answering == 0 {
		p.text = nil
	}
}
