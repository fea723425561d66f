// Package share divides each customer's rate limit between the entry hosts: every host has a reserved rate, and the leader
// of group 0 leases the rest to the hosts on demand, for a short time.
package share

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// LeaseTime is how long a grant is valid.
	LeaseTime = 3 * time.Second
	// ReservedPart is the fraction of each limit that is never leased. Every configured host has an equal share of it, so that
	// a host that is cut off from the leader goes on serving.
	ReservedPart = 0.2
	// burstPart is the burst of all hosts together in seconds of the limit, for customers without a burst of their own. 0.5 s
	// is 5% of a window of 10 s.
	burstPart = 0.5
)

// Demand is a host's message to the grantor. It contains only the changes since the last grant that the host has accepted;
// an empty one renews all leases.
type Demand struct {
	Host      unit.HostName               `cbor:"1,keyasint"`
	Customers map[unit.CustomerID]float64 `cbor:"2,keyasint"` // requests/s wanted; 0 returns the lease
	Sequence  uint64                      `cbor:"3,keyasint"` // increases with every demand of the host
	Base      uint64                      `cbor:"4,keyasint"` // sequence of the last accepted grant; 0 if Customers is complete
}

// Grant is the answer to a demand. Leases that it doesn't mention are renewed, or ended if Full is set.
type Grant struct {
	Customers map[unit.CustomerID]float64 `cbor:"1,keyasint"` // requests/s in addition to the reserved rate
	For       time.Duration               `cbor:"2,keyasint"` // counted from the time when the demand was sent; 0 grants nothing
	Sequence  uint64                      `cbor:"3,keyasint"` // sequence of the demand
	Full      bool                        `cbor:"4,keyasint"`
	Resync    bool                        `cbor:"5,keyasint"` // the grantor needs a complete demand
}

// reservedRate returns the rate that each host has of a limit without a lease.
func reservedRate(limit float64, hosts int) float64 {
	return limit * ReservedPart / float64(hosts)
}

// leasableRate returns the largest sum of all leases of a limit.
func leasableRate(limit float64) float64 {
	return limit * (1 - ReservedPart)
}
