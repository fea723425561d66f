package ledger

import (
	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Shard returns the quorum group, from 1 to groups, that holds the claims of a customer; group 0 holds the configuration.
// The result must never change within a deployment, because another group would grant a key that is already granted. The
// number of groups is therefore fixed when a deployment is set up.
func Shard(customer unit.CustomerID, groups uint32) uint32 {
	return 1 + uint32(xxhash.Sum64String(string(customer))%uint64(max(groups, 1)))
}
