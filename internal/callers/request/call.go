// Package request processes a caller's request from admission to the final answer. Handler.Serve runs the steps in order;
// the decisions in each step are made by other packages, such as gate, router and ledger.
package request

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/planning/sheet"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// Call is a parsed request with the rule and class that the sheet gives it.
type Call struct {
	ID       unit.RequestID
	Customer sheet.Customer
	View     follower.View
	Rule     sheet.Rule
	Class    sheet.Class
	Arrived  unit.Moment

	Kind      endpoint.Kind
	Target    string // model or service
	Operation string // path that is matched with the sheet's rules
	Path      string // path and query that are sent to the endpoint
	Method    string

	Messages    []string // texts from which the prefix chain is computed
	Body        []byte   // sent to the endpoint unchanged
	Canonical   []byte   // normalised body of a once-only call; another one under the same Key is a conflict
	ContentType string
	Accept      string
	Stream      bool
	MaxTokens   unit.Tokens
	Key         string // value of the Idempotency-Key header
}

// isOnceOnly reports whether the sheet forbids running the call more than once.
func (c Call) isOnceOnly() bool {
	return c.Rule.Repeat == sheet.OnceOnly
}

// deadline returns the time by which the first token is due.
func (c Call) deadline() unit.Moment {
	return c.Arrived.Add(c.Class.Deadline)
}

// bodyDigest returns a digest of method, target, path and canonical body, by which the ledger detects that an idempotency
// key is reused for another request.
func (c Call) bodyDigest() unit.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.Method), []byte(c.Target), []byte(c.Path), c.Canonical} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return unit.Digest(h.Sum(nil)[:len(unit.Digest{})])
}

// keyDigest returns the digest that stands for the idempotency key in the record, because customers may not want the key
// itself to be stored there.
func (c Call) keyDigest() string {
	if c.Key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(c.Key))
	return hex.EncodeToString(sum[:])
}
