package harness

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// limitWindow is the window over which RequestLimit counts requests.
const limitWindow = 4 * time.Second

// RequestLimit names a limit in the answers of an emulated endpoint and counts the requests that arrive meanwhile. It is safe for
// concurrent use. The zero value is ready.
type RequestLimit struct {
	mu       sync.Mutex
	limit    float64
	arrivals []time.Time // within the last limitWindow
	most     int
}

// Apply sets the header that names the limit, in requests per second for all hosts together, and counts the request. A limit of 0 names
// none. The count starts anew when the limit changes.
func (l *RequestLimit) Apply(header http.Header, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if perSecond != l.limit {
		l.limit, l.arrivals, l.most = perSecond, nil, 0
	}
	if perSecond <= 0 {
		return
	}
	header.Set("Citronglade-Request-Limit", strconv.FormatFloat(perSecond, 'g', -1, 64))
	now := time.Now()
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	l.most = max(l.most, len(l.arrivals))
}

// Most returns the largest number of requests that arrived in 4 s under the current limit.
func (l *RequestLimit) Most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most
}
