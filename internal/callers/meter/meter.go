// Package meter counts requests and measures their durations by customer and class. The number of customers with metrics of
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
	customers map[unit.CustomerID]bool // with histograms of their own
	limited   map[unit.CustomerID]bool // with counters of their limits of their own
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

// New returns a meter that gives the first maxCustomers customers histograms of their own, and the first maxCustomers with an event of their limits
// counters of their own.
func New(set *metrics.Set, maxCustomers int) *Meter {
	return &Meter{set: set, maxCustomers: maxCustomers, customers: map[unit.CustomerID]bool{}, limited: map[unit.CustomerID]bool{}}
}

// Observe adds a finished request to the metrics.
func (m *Meter) Observe(s Sample) {
	customer := m.label(m.customers, s.Customer)
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

// CountRefusal counts a request that was refused by its customer's limit, ownShare if without contact to a control host.
func (m *Meter) CountRefusal(customer unit.CustomerID, ownShare bool) {
	m.countLimited("citronglade_usage_refusals_total", customer)
	if ownShare {
		m.countLimited("citronglade_usage_refusals_by_own_share_total", customer)
	}
}

// CountReturn counts a request whose cost was returned to its customer.
func (m *Meter) CountReturn(customer unit.CustomerID) {
	m.countLimited("citronglade_usage_returned_requests_total", customer)
}

func (m *Meter) countLimited(name string, customer unit.CustomerID) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{tenant=%q}`, name, m.label(m.limited, customer))).Inc()
}

// label returns the customer if it is or can be one of those with metrics of their own.
func (m *Meter) label(own map[unit.CustomerID]bool, customer unit.CustomerID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !own[customer] {
		if len(own) >= m.maxCustomers {
			return otherCustomers
		}
		own[customer] = true
	}
	return string(customer)
}
