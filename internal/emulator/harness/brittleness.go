package harness

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Brittleness says in the answers of an emulated endpoint that it falls over if it has to reject more than a number of requests in a second,
// and counts the rejections. It is safe for concurrent use. The zero value is ready.
type Brittleness struct {
	mu         sync.Mutex
	rejections []time.Time // within the last second
}

// Apply sets the header that names the number. 0 names none.
func (*Brittleness) Apply(header http.Header, perSecond float64) {
	if perSecond > 0 {
		header.Set("Citronglade-Brittle", strconv.FormatFloat(perSecond, 'g', -1, 64))
	}
}

// Reject counts a rejection at the given time, and reports whether the endpoint falls over. The count starts anew then.
func (b *Brittleness) Reject(now time.Time, perSecond float64) (falls bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejections = append(b.rejections, now)
	for now.Sub(b.rejections[0]) >= time.Second {
		b.rejections = b.rejections[1:]
	}
	if float64(len(b.rejections)) <= perSecond {
		return false
	}
	b.rejections = nil
	return true
}
