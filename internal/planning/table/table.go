// Package table defines the routing table, which operators submit as one document: routes by host and path, the services
// that the routes lead to, and the customers with their keys. A table is checked as a whole and never changes afterwards.
package table

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/cachescope"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

// Version numbers tables. The accepted table with the highest version is in force.
type Version uint64

// ServiceName is the name of a Service.
type ServiceName string

// Kind says whether the requests of a route may be repeated, and how they are answered.
type Kind string

const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = "safe"
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
	// KindStream requests are answered by a stream of events. They run at most once unless the route is resumable.
	KindStream Kind = "stream"
)

// DefaultMaxBody is the largest request body, in bytes, for a table that sets no limit.
const DefaultMaxBody = 4 << 20

// DefaultPriority is the priority of a route or customer that sets none.
const DefaultPriority = 5

// Target is one service of a route. Weight is its share of the route's requests, relative to the other targets.
type Target struct {
	Service ServiceName `cbor:"1,keyasint"`
	Weight  int         `cbor:"2,keyasint"`
}

// Route defines how requests with one host and path prefix are served.
type Route struct {
	Name    string        `cbor:"1,keyasint"`
	Host    string        `cbor:"2,keyasint"`
	Prefix  string        `cbor:"3,keyasint"`
	Kind    Kind          `cbor:"4,keyasint"`
	Timeout time.Duration `cbor:"5,keyasint"` // limit for the time until the final answer
	// Objective is the target for the time to the first byte of the answer. An answer within it is worth most.
	Objective time.Duration `cbor:"6,keyasint"`
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int      `cbor:"7,keyasint"`
	Targets  []Target `cbor:"8,keyasint"`
	// MaxEndpoints bounds the number of endpoints that one request may run on.
	MaxEndpoints int  `cbor:"9,keyasint"`
	Public       bool `cbor:"10,keyasint"` // requests need no customer's key
	// HasPrompt is true for routes whose requests have a prompt, parts of which the endpoints cache.
	HasPrompt bool `cbor:"11,keyasint"`
	Resumable bool `cbor:"12,keyasint"` // a broken stream may be resumed at another endpoint
	// MaxEventGap is the longest time between two events of a stream that callers accept.
	MaxEventGap time.Duration `cbor:"13,keyasint"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Engine describes each replica of a service that runs language models.
type Engine struct {
	Slots       int              `cbor:"1,keyasint"` // requests that run at the same time, in one batch
	CacheTokens unit.Tokens      `cbor:"2,keyasint"` // for running requests and cached parts of prompts together
	Models      []unit.ModelName `cbor:"3,keyasint"`
	// TokenBytes is the size of a cached token, and LinkBytesPerSecond the rate, in bytes/s, at which replicas send each other cached
	// parts.
	TokenBytes         float64 `cbor:"4,keyasint"`
	LinkBytesPerSecond float64 `cbor:"5,keyasint"`
}

// Store is a cache store: it keeps parts of prompts that engines have computed.
type Store struct {
	Address            string  `cbor:"1,keyasint"` // IP:port
	LinkBytesPerSecond float64 `cbor:"2,keyasint"` // bytes/s
}

// Service is a group of equal endpoints.
type Service struct {
	Name           ServiceName `cbor:"1,keyasint"`
	MaxConnections int         `cbor:"2,keyasint"` // of one endpoint, from all callers together
	Engine         *Engine     `cbor:"3,keyasint"`
	Store          *Store      `cbor:"4,keyasint"` // set for a cache store, which no route may name as a target
}

// Customer is the party that requests with one of its keys are charged to.
type Customer struct {
	Name     unit.CustomerID `cbor:"1,keyasint"`
	Keys     []string        `cbor:"2,keyasint"`
	Priority *int            `cbor:"3,keyasint"` // overrides the route's priority
	Isolated bool            `cbor:"4,keyasint"` // its cached parts aren't shared with other customers
	// Limit bounds what the customer uses over all hosts together; nil is no limit.
	Limit *usagelimit.Limit `cbor:"5,keyasint,omitempty"`
}

// Table is one version of the routing table. It must not change after Compile.
type Table struct {
	Version   Version    `cbor:"1,keyasint"`
	Routes    []Route    `cbor:"2,keyasint"`
	Services  []Service  `cbor:"3,keyasint"`
	Customers []Customer `cbor:"4,keyasint"`
	// MaxBody is the largest request body, in bytes; 0 means DefaultMaxBody.
	MaxBody int64 `cbor:"5,keyasint,omitempty"`
	// IdleTimeout is the longest pause of a caller within a request; 0 means that the table states none.
	IdleTimeout time.Duration `cbor:"6,keyasint,omitempty"`
	// MaxHeader is the largest header of a request, in bytes, and HeaderTimeout the longest time to send one; 0 means that the table states none.
	MaxHeader     int64         `cbor:"7,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"8,keyasint,omitempty"`

	byHost             map[string][]*Route // longest prefix first
	byService          map[ServiceName]*Service
	customerByKey      map[string]*Customer
	isolated           map[unit.CustomerID]bool
	limits             map[unit.CustomerID]usagelimit.Limit
	sharedScope        cachescope.Scope
	shortestObjectives map[ServiceName]time.Duration
	gathering          map[ServiceName]gathering
	streamPriorities   map[ServiceName][]int
	streamObjectives   map[ServiceName][]time.Duration // by position in streamPriorities
}

// Compile checks the table and builds the maps for lookups. It fails with fault.BadInput.
func (t *Table) Compile() error {
	if t.Version == 0 {
		return fault.BadInput.New("the table has no version")
	}
	if err := t.compileServices(); err != nil {
		return err
	}
	if err := t.compileRoutes(); err != nil {
		return err
	}
	return t.compileCustomers()
}

func (t *Table) compileServices() error {
	t.byService = make(map[ServiceName]*Service, len(t.Services))
	for i := range t.Services {
		s := &t.Services[i]
		if s.Name == "" {
			return fault.BadInput.New("service %d has no name", i+1)
		}
		if _, ok := t.byService[s.Name]; ok {
			return fault.BadInput.New("service %q is defined twice", s.Name)
		}
		t.byService[s.Name] = s
	}
	return nil
}

func (t *Table) compileRoutes() error {
	t.byHost, t.shortestObjectives, t.streamPriorities = map[string][]*Route{}, map[ServiceName]time.Duration{}, map[ServiceName][]int{}
	t.streamObjectives = map[ServiceName][]time.Duration{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.checkRoute(r); err != nil {
			return err
		}
		for _, other := range t.byHost[r.Host] {
			if other.Prefix == r.Prefix {
				return fault.BadInput.New("routes %q and %q share host %s and prefix %s", other.Name, r.Name, r.Host, r.Prefix)
			}
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		t.updateShortestObjective(r)
		t.updatePriorities(r)
	}
	t.compileGathering()
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

func (t *Table) updateShortestObjective(r *Route) {
	if r.Kind != KindStream || r.Objective <= 0 {
		return
	}
	for _, target := range r.Targets {
		if known, ok := t.shortestObjectives[target.Service]; !ok || r.Objective < known {
			t.shortestObjectives[target.Service] = r.Objective
		}
	}
}

func (t *Table) updatePriorities(r *Route) {
	if r.Kind != KindStream {
		return
	}
	for _, target := range r.Targets {
		known, objectives := t.streamPriorities[target.Service], t.streamObjectives[target.Service]
		at, ok := slices.BinarySearch(known, r.Priority)
		switch {
		case !ok:
			t.streamPriorities[target.Service] = slices.Insert(known, at, r.Priority)
			t.streamObjectives[target.Service] = slices.Insert(objectives, at, r.Objective)
		case r.Objective > 0 && (objectives[at] <= 0 || r.Objective < objectives[at]):
			objectives[at] = r.Objective
		}
	}
}

func (t *Table) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return fault.BadInput.New("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fault.BadInput.New("route %q has prefix %q, which must begin and end with a slash", r.Name, r.Prefix)
	case r.Kind != KindSafe && r.Kind != KindOnce && r.Kind != KindStream:
		return fault.BadInput.New("route %q is of the unknown kind %q", r.Name, r.Kind)
	case r.Timeout <= 0:
		return fault.BadInput.New("route %q has a timeout of %s", r.Name, r.Timeout)
	}
	total := 0
	for _, target := range r.Targets {
		service, ok := t.byService[target.Service]
		if !ok || service.Store != nil {
			return fault.BadInput.New("route %q names service %q, which is not defined", r.Name, target.Service)
		}
		if target.Weight < 0 {
			return fault.BadInput.New("route %q gives service %q weight %d", r.Name, target.Service, target.Weight)
		}
		total += target.Weight
	}
	if total == 0 {
		return fault.BadInput.New("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func (t *Table) compileCustomers() error {
	t.customerByKey = map[string]*Customer{}
	for i := range t.Customers {
		c := &t.Customers[i]
		if c.Limit != nil {
			if err := c.Limit.Check(); err != nil {
				return fault.BadInput.Wrap(err, "customer %d, %q", i+1, c.Name)
			}
		}
		for _, key := range c.Keys {
			if other, ok := t.customerByKey[key]; ok && other != c {
				return fault.BadInput.New("customers %q and %q share a key", other.Name, c.Name)
			}
			t.customerByKey[key] = c
		}
	}
	t.isolated, t.limits = map[unit.CustomerID]bool{}, map[unit.CustomerID]usagelimit.Limit{}
	for _, c := range t.Customers {
		if c.Limit != nil && c.Limit.InForce() {
			t.limits[c.Name] = *c.Limit
		}
		if c.Isolated {
			t.isolated[c.Name] = true
		}
	}
	t.sharedScope = cachescope.Shared(slices.Collect(maps.Keys(t.isolated)))
	return nil
}

// Route returns the route of the host with the longest prefix of the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (t *Table) Service(name ServiceName) (*Service, bool) {
	s, ok := t.byService[name]
	return s, ok
}

// ShortestObjective returns the shortest objective of the stream routes that lead to a service, 0 if there is none.
func (t *Table) ShortestObjective(name ServiceName) time.Duration {
	return t.shortestObjectives[name]
}

// StreamPriorities returns the different priorities of the stream routes that lead to a service, in ascending order. The slice must not be
// changed.
func (t *Table) StreamPriorities(name ServiceName) []int {
	return t.streamPriorities[name]
}

// StreamObjectives returns the shortest objectives of the stream routes with each of the priorities in StreamPriorities, 0 for none. The
// slice must not be changed.
func (t *Table) StreamObjectives(name ServiceName) []time.Duration {
	return t.streamObjectives[name]
}

// Store returns the cache store, nil if the table has none.
func (t *Table) Store() *Store {
	for i := range t.Services {
		if t.Services[i].Store != nil {
			return t.Services[i].Store
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry a customer's key.
func (t *Table) NeedsKey(r *Route) bool {
	return len(t.Customers) > 0 && !r.Public
}

// CustomerOf returns the customer with the key.
func (t *Table) CustomerOf(key string) (*Customer, bool) {
	c, ok := t.customerByKey[key]
	return c, ok
}

// Limits returns the limits of all customers that have one. The map must not be changed.
func (t *Table) Limits() map[unit.CustomerID]usagelimit.Limit {
	return t.limits
}

// CacheScope returns the scope of the cached parts that a customer's requests may use; c may be nil or a customer of an older table. A customer
// that an older table isolates keeps its scope there.
func (t *Table) CacheScope(c *Customer) cachescope.Scope {
	if c != nil && (c.Isolated || t.isolated[c.Name]) {
		return cachescope.Isolated(c.Name)
	}
	return t.sharedScope
}

// Pick returns a service at random, in proportion to the weights. draw is a random number from 0 to 1.
func (r *Route) Pick(draw float64) ServiceName {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	at := int(draw * float64(total))
	for _, target := range r.Targets {
		if at < target.Weight {
			return target.Service
		}
		at -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
