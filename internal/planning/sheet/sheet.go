// Package sheet parses, checks, digests and compares the planners' sheet of customers, traffic classes and rules, and
// looks up the rule for a request.
package sheet

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Any stands for all customers or all operations in a rule.
const Any = "*"

// The two values of Rule.Repeat.
const (
	Idempotent = "idempotent"
	OnceOnly   = "once-only"
)

// Customer is one row of kind customer.
type Customer struct {
	ID          unit.CustomerID `json:"name"`
	Limit       float64         `json:"limit-per-second"` // requests/s over all entry hosts together
	Burst       float64         `json:"burst"`            // requests
	Weight      int             `json:"weight"`           // share of a class's capacity relative to other customers
	TokenDigest string          `json:"token-digest"`     // lower-case hex SHA-256 of the bearer token
}

// Class is one row of kind class.
type Class struct {
	Name     unit.ClassName `json:"name"`
	Urgency  int            `json:"urgency"`     // 0 is the most urgent
	Deadline time.Duration  `json:"deadline-ns"` // to first token
	MaxWait  time.Duration  `json:"max-wait-ns"` // longest time in the queue
}

// Rule is one row of kind rule.
type Rule struct {
	Row       int             `json:"row"`       // row number as the spreadsheet program shows it, from 1
	Customer  unit.CustomerID `json:"customer"`  // or Any
	Target    string          `json:"target"`    // model or service
	Operation string          `json:"operation"` // path, or Any
	Class     unit.ClassName  `json:"class"`
	Repeat    string          `json:"repeat"` // Idempotent or OnceOnly
}

// Sheet is a checked sheet. Customers are sorted by id, classes by name and rules by row. The first lookup builds an index
// of the fields, so they must not be changed after it. Sheet is safe for concurrent use.
type Sheet struct {
	Customers []Customer `json:"customers"`
	Classes   []Class    `json:"classes"`
	Rules     []Rule     `json:"rules"`

	lookupOnce sync.Once
	lookup     lookup
	digestOnce sync.Once
	digest     string
}

type matchKey struct {
	customer          unit.CustomerID
	target, operation string
}

// lookup is the index of a sheet: it maps keys to positions in the sheet's slices.
type lookup struct {
	customers map[unit.CustomerID]int
	tokens    map[string]int
	classes   map[unit.ClassName]int
	rules     map[matchKey]int
}

// Digest returns the lower-case hex SHA-256 of the canonical rows, see Encode.
func (s *Sheet) Digest() string {
	s.digestOnce.Do(func() {
		sum := sha256.Sum256(s.Encode())
		s.digest = hex.EncodeToString(sum[:])
	})
	return s.digest
}

// Match returns the most specific rule for a request, and the rule's class. A rule for the customer takes precedence over a
// rule for Any customer. Among these, a rule for the operation takes precedence over a rule for Any operation. The operation
// is a decoded URL path. It is cleaned first, so that "/confirm/" or "//confirm" can't match a less strict rule than
// "/confirm".
func (s *Sheet) Match(c unit.CustomerID, target, operation string) (Rule, Class, bool) {
	tables := s.lookupTables()
	operation = path.Clean(operation)
	for _, key := range [...]matchKey{
		{c, target, operation},
		{c, target, Any},
		{Any, target, operation},
		{Any, target, Any},
	} {
		index, ok := tables.rules[key]
		if !ok {
			continue
		}
		rule := s.Rules[index]
		class, ok := s.Class(rule.Class)
		return rule, class, ok
	}
	return Rule{}, Class{}, false
}

// Customer returns the customer with this id.
func (s *Sheet) Customer(id unit.CustomerID) (Customer, bool) {
	index, ok := s.lookupTables().customers[id]
	if !ok {
		return Customer{}, false
	}
	return s.Customers[index], true
}

// Authenticate returns the customer that a bearer token belongs to.
func (s *Sheet) Authenticate(token string) (Customer, bool) {
	sum := sha256.Sum256([]byte(token))
	index, ok := s.lookupTables().tokens[hex.EncodeToString(sum[:])]
	if !ok {
		return Customer{}, false
	}
	return s.Customers[index], true
}

// Class returns the class with this name.
func (s *Sheet) Class(name unit.ClassName) (Class, bool) {
	index, ok := s.lookupTables().classes[name]
	if !ok {
		return Class{}, false
	}
	return s.Classes[index], true
}

func (s *Sheet) lookupTables() *lookup {
	s.lookupOnce.Do(func() {
		s.lookup = lookup{
			customers: make(map[unit.CustomerID]int, len(s.Customers)),
			tokens:    make(map[string]int, len(s.Customers)),
			classes:   make(map[unit.ClassName]int, len(s.Classes)),
			rules:     make(map[matchKey]int, len(s.Rules)),
		}
		for i, c := range s.Customers {
			s.lookup.customers[c.ID] = i
			s.lookup.tokens[c.TokenDigest] = i
		}
		for i, c := range s.Classes {
			s.lookup.classes[c.Name] = i
		}
		for i, r := range s.Rules {
			s.lookup.rules[matchKey{r.Customer, r.Target, r.Operation}] = i
		}
	})
	return &s.lookup
}
