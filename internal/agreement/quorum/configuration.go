package quorum

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// indexedConfiguration is a configuration together with the log index from which it is in force.
type indexedConfiguration struct {
	index Index
	Configuration
}

func decodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	if err := codec.Unmarshal(data, &c); err != nil {
		return c, err
	}
	return c, c.check()
}

func (c Configuration) check() error {
	if len(c.Voters)+len(c.Learners) > maxMembers {
		return fault.BadPeer.New("configuration has %d members", len(c.Voters)+len(c.Learners))
	}
	if !strictlySorted(c.Voters) || !strictlySorted(c.Learners) {
		return fault.BadPeer.New("configuration isn't sorted")
	}
	return nil
}

func strictlySorted(ids []NodeID) bool {
	for i := 1; i < len(ids); i++ {
		if ids[i-1] >= ids[i] {
			return false
		}
	}
	return true
}

// quorum returns the number of voters that form a majority.
func (c Configuration) quorum() int {
	return len(c.Voters)/2 + 1
}

func (c Configuration) isVoter(id NodeID) bool {
	return slices.Contains(c.Voters, id)
}

// members returns the voters followed by the learners.
func (c Configuration) members() []NodeID {
	return slices.Concat(c.Voters, c.Learners)
}

// hosts returns the hosts of the members. A host whose disk was lost may be listed twice.
func (c Configuration) hosts() []string {
	var hosts []string
	for _, id := range c.members() {
		hosts = append(hosts, id.Host())
	}
	return hosts
}

// voterOnHost returns the voter that runs on host, if there is one.
func (c Configuration) voterOnHost(host string) (NodeID, bool) {
	at := slices.IndexFunc(c.Voters, func(id NodeID) bool { return id.Host() == host })
	if at < 0 {
		return "", false
	}
	return c.Voters[at], true
}

func (c Configuration) clone() Configuration {
	return Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

// withLearner returns a copy with id as a learner. Any other learner on the same host is removed.
func (c Configuration) withLearner(id NodeID) Configuration {
	next := c.withoutLearnersOnHost(id.Host())
	next.Learners = append(next.Learners, id)
	slices.Sort(next.Learners)
	return next
}

func (c Configuration) withoutLearnersOnHost(host string) Configuration {
	next := c.clone()
	next.Learners = slices.DeleteFunc(next.Learners, func(id NodeID) bool { return id.Host() == host })
	return next
}

func (c Configuration) withoutVoter(id NodeID) Configuration {
	next := c.clone()
	next.Voters = slices.DeleteFunc(next.Voters, func(voter NodeID) bool { return voter == id })
	return next
}

// withPromotedLearner returns a copy in which the learner id is a voter.
func (c Configuration) withPromotedLearner(id NodeID) Configuration {
	next := c.withoutLearnersOnHost(id.Host())
	next.Voters = append(next.Voters, id)
	slices.Sort(next.Voters)
	return next
}

// groupName derives a group's name from the node IDs of its first voters, so that messages of two separately formed groups
// are never confused.
func groupName(c Configuration) string {
	hash := sha256.New()
	for _, id := range c.Voters {
		hash.Write([]byte(id))
		hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
