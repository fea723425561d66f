// Package cachescope separates the cached parts of prompts of customers that must not use each other's.
package cachescope

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// digestBytes is the length of the digest of the excluded customers.
const digestBytes = 8

// Scope identifies requests that may use each other's cached parts: those of one isolated customer, or those of all other customers. It
// follows from the set of isolated customers alone, so that hosts with the same table agree on it, also after a restart. The zero value is
// the scope of all customers while none is isolated. Scopes are comparable.
type Scope struct {
	owner unit.CustomerID // the isolated customer, empty for the shared scope
	// excluded is a digest of the names of the isolated customers, empty if there are none. The shared scope changes with it, because a
	// customer that becomes isolated has made parts in the scope that was shared until then.
	excluded string
}

// Isolated returns the scope of an isolated customer.
func Isolated(customer unit.CustomerID) Scope {
	return Scope{owner: customer}
}

// Shared returns the scope of all customers but the isolated ones, whose names may be in any order.
func Shared(isolated []unit.CustomerID) Scope {
	if len(isolated) == 0 {
		return Scope{}
	}
	names := slices.Clone(isolated)
	slices.Sort(names)
	hash := sha256.New()
	var length [8]byte
	for _, name := range slices.Compact(names) {
		binary.BigEndian.PutUint64(length[:], uint64(len(name)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write([]byte(name))
	}
	return Scope{excluded: hex.EncodeToString(hash.Sum(nil)[:digestBytes])}
}

// String returns a text that no other scope has.
func (s Scope) String() string {
	if s.excluded != "" {
		return "-" + s.excluded + "."
	}
	return "." + string(s.owner)
}
