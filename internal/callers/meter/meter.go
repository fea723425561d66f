// Package meter counts requests and measures their durations by customer and class. The number of customers with histograms of
// their own is limited, because a deployment may have 30,000 customers.
package meter

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// otherCustomers is the label that all customers beyond the limit share.
const otherCustomers = "other"

// Meter records requests in a set of metrics. It is safe for concurrent use.
type Meter struct {
	set          *metrics.Set
	maxCustomers int

	mu        sync.Mutex
	customers map[unit.CustomerID]bool
}

// Sample is one finished request. Times that don't apply are 0.
type Sample struct {
	Customer     unit.CustomerID
	Class        unit.ClassName
	Target       string
	Outcome      unit.Outcome
	Code         string // name of the failure type, empty on success
	FirstToken   time.Duration
	Queue        time.Duration
	Total        time.Duration
	PromptTokens unit.Tokens
	CachedTokens unit.Tokens
	Attempts     int
}

// New returns a meter that gives the first maxCustomers customers histograms of their own.
func New(set *metrics.Set, maxCustomers int) *Meter {
	return &Meter{set: set, maxCustomers: maxCustomers, customers: map[unit.CustomerID]bool{}}
}

// Observe adds a finished request to the metrics.
func (m *Meter) Observe(s Sample) {
	customer := m.customerLabel(s.Customer)
	m.set.GetOrCreateCounter(fmt.Sprintf(`citronglade_requests_total{class=%q,target=%q,outcome=%q,code=%q}`,
		s.Class, s.Target, s.Outcome, s.Code)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`citronglade_request_seconds{tenant=%q,class=%q}`, customer, s.Class)).
		Update(s.Total.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf(`citronglade_queue_seconds{class=%q}`, s.Class)).Update(s.Queue.Seconds())
	if s.FirstToken > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`citronglade_first_token_seconds{tenant=%q,class=%q}`, customer, s.Class)).
			Update(s.FirstToken.Seconds())
	}
	if s.PromptTokens > 0 {
		m.set.GetOrCreateCounter(`citronglade_prompt_tokens_total`).AddInt64(int64(s.PromptTokens))
		m.set.GetOrCreateCounter(`citronglade_cached_tokens_total`).AddInt64(int64(s.CachedTokens))
	}
	if s.Attempts > 1 {
		m.set.GetOrCreateCounter(`citronglade_retries_total`).Add(s.Attempts - 1)
	}
}

func (m *Meter) customerLabel(customer unit.CustomerID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.customers[customer] {
		if len(m.customers) >= m.maxCustomers {
			return otherCustomers
		}
		m.customers[customer] = true
	}
	return string(customer)
}
