// Package gossip spreads the state of endpoints between hosts: it selects the peers of each round, composes the messages for
// them and merges those that arrive. Every round goes to a bounded number of peers. A message has a vector with 4 bytes for
// each endpoint, because with 330 hosts and 600 endpoints nearly every entry has changed for every peer, and the endpoint ids
// alone would exceed the traffic budget of a host. Full announcements are sent only when a peer asks for them.
package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

const (
	// Interval is the time between two rounds.
	Interval = 250 * time.Millisecond
	// Up to reducedFanoutAbove peers, a round goes to defaultFanout of them. With more peers it goes to reducedFanout,
	// because larger deployments have more endpoints and so larger messages.
	reducedFanoutAbove = 100
	defaultFanout      = 2
	reducedFanout      = 1
	// maxNeighbours bounds the peers that a host sends gossip to, because every open connection costs packets. Each host
	// receives gossip from about as many others, and a random graph of this degree stays connected when a rack or a data
	// centre is lost.
	maxNeighbours = 8
	// ringNeighbours is the number of neighbours that are successors in the ring of all hosts.
	ringNeighbours = 2
	// quarantineRounds is how often quarantine notices are sent: once in so many rounds. They are valid for minutes, so that
	// they needn't be in every round.
	quarantineRounds = 4
)

// Message is what a host sends to one peer in one round, or in reply to an Answer.
type Message struct {
	Announcements []endpoint.Announcement `cbor:"1,keyasint,omitempty"`
	// RosterHash is the hash of the sorted ids of the endpoints in Vector.
	RosterHash uint32 `cbor:"2,keyasint,omitempty"`
	// Vector holds the state of the sender's endpoints, sorted by id, in entryBytes each.
	Vector []byte `cbor:"3,keyasint,omitempty"`
	// EndpointHashes are the hashes of the ids of Vector's endpoints, in the same order. They are sent only to a peer whose
	// roster has other endpoints.
	EndpointHashes []uint32                  `cbor:"4,keyasint,omitempty"`
	Quarantines    []quarantine.Notice       `cbor:"5,keyasint,omitempty"`
	Version        unit.ConfigurationVersion `cbor:"6,keyasint,omitempty"`
	// CrashCauses are notices of crashed and answered parts of prompts.
	CrashCauses []crashcause.Notice `cbor:"7,keyasint,omitempty"`
}

// Answer says what the receiver of a message needs in addition.
type Answer struct {
	// NeedsHashes is set when the message had no endpoint hashes and the receiver's roster has other endpoints.
	NeedsHashes bool `cbor:"1,keyasint,omitempty"`
	// Wanted are the hashes of the ids of endpoints whose announcements the receiver needs.
	Wanted []uint32 `cbor:"2,keyasint,omitempty"`
}

// Exchange selects the peers of each round and composes the messages for them. It is a deterministic state machine and not
// safe for concurrent use.
type Exchange struct {
	neighbours []unit.HostName // shuffled whenever nextTarget is 0
	manyPeers  bool            // rounds go to reducedFanout peers
	nextTarget int             // index in neighbours
	rounds     int
	random     *rand.Rand
}

// New returns the exchange of the host self with the given peers, at most 8 of which become its neighbours. Hosts use
// different seeds, so that they don't all send to the same peer at the same time.
func New(self unit.HostName, peers []unit.HostName, seed uint64) *Exchange {
	return &Exchange{
		neighbours: selectNeighbours(self, peers), manyPeers: len(peers) > reducedFanoutAbove,
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// selectNeighbours returns the two hosts that follow self in a ring of all hosts, so that every host is a neighbour of some
// other, and then the peers with the highest hash of both names (rendezvous hashing), so that every host selects different
// ones. The ring is ordered by the hash of the host names, because hosts with similar names are often in the same rack.
func selectNeighbours(self unit.HostName, peers []unit.HostName) []unit.HostName {
	position := func(host unit.HostName) uint64 { return xxhash.Sum64String(string(host)) }
	distance := func(peer unit.HostName) uint64 { return position(peer) - position(self) } // wraps around
	ring := slices.SortedFunc(slices.Values(peers), func(a, b unit.HostName) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a, b))
	})
	successors := min(len(ring), ringNeighbours)
	weight := func(peer unit.HostName) uint64 { return xxhash.Sum64String(string(self) + "/" + string(peer)) }
	slices.SortFunc(ring[successors:], func(a, b unit.HostName) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ring[:min(len(ring), maxNeighbours)]
}

// Targets starts the next round and returns its peers. Every neighbour is selected once before any is selected again.
func (x *Exchange) Targets() []unit.HostName {
	x.rounds++
	count := defaultFanout
	if x.manyPeers {
		count = reducedFanout
	}
	var targets []unit.HostName
	for range min(count, len(x.neighbours)) {
		if x.nextTarget == 0 {
			x.random.Shuffle(len(x.neighbours), func(i, j int) {
				x.neighbours[i], x.neighbours[j] = x.neighbours[j], x.neighbours[i]
			})
		}
		targets = append(targets, x.neighbours[x.nextTarget])
		x.nextTarget = (x.nextTarget + 1) % len(x.neighbours)
	}
	return targets
}

// Neighbours returns all peers that this host sends gossip to.
func (x *Exchange) Neighbours() []unit.HostName {
	return slices.Clone(x.neighbours)
}

// Compose returns the message of this round, which is the same for all of its peers.
func (x *Exchange) Compose(now unit.Moment, roster *endpoint.Roster, notices []quarantine.Notice, version unit.ConfigurationVersion) Message {
	entries := sortedEntries(roster)
	message := Message{RosterHash: rosterHash(entries), Vector: encodeVector(now, entries), Version: version}
	if x.rounds%quarantineRounds == 0 {
		message.Quarantines = notices
	}
	return message
}

// FollowUp returns the message with what the peer asked for in its answer to the message before, and false if there is
// nothing to send.
func FollowUp(now unit.Moment, roster *endpoint.Roster, message Message, answer Answer) (Message, bool) {
	entries := sortedEntries(roster)
	if answer.NeedsHashes && message.EndpointHashes == nil {
		return Message{
			RosterHash: rosterHash(entries), Vector: encodeVector(now, entries), EndpointHashes: endpointHashes(entries),
			Version: message.Version,
		}, true
	}
	next := Message{Version: message.Version}
	byHash := entriesByHash(entries)
	for _, hash := range answer.Wanted {
		if e, ok := byHash[hash]; ok {
			announcement := e.Announcement
			announcement.Age = max(now.Sub(e.AnnouncedAt), 0)
			next.Announcements = append(next.Announcements, announcement)
		}
	}
	return next, len(next.Announcements) > 0
}

// Receive merges a peer's message into the roster and the register, and returns the answer to it.
func Receive(now unit.Moment, roster *endpoint.Roster, register *quarantine.Register, message Message) Answer {
	for _, announcement := range message.Announcements {
		roster.Apply(now, announcement)
	}
	register.Merge(now, message.Quarantines)
	if len(message.Vector) == 0 {
		return Answer{}
	}
	entries := sortedEntries(roster)
	if message.EndpointHashes == nil {
		if message.RosterHash != rosterHash(entries) || len(message.Vector) != len(entries)*entryBytes {
			return Answer{NeedsHashes: true}
		}
		return receiveVector(now, roster, message.Vector, endpointHashes(entries), entries)
	}
	if len(message.Vector) != len(message.EndpointHashes)*entryBytes {
		return Answer{}
	}
	byHash := entriesByHash(entries)
	matched := make([]*endpoint.Entry, len(message.EndpointHashes))
	for i, hash := range message.EndpointHashes {
		matched[i] = byHash[hash]
	}
	return receiveVector(now, roster, message.Vector, message.EndpointHashes, matched)
}

// receiveVector merges the vector entries that are newer than the roster's. It asks for the announcements of endpoints that
// the roster doesn't have (nil in known) or has with other metadata. Element i of hashes and of known belongs to entry i of
// the vector.
func receiveVector(now unit.Moment, roster *endpoint.Roster, v vector, hashes []uint32, known []*endpoint.Entry) Answer {
	var answer Answer
	for i, e := range known {
		received := v.entry(i)
		switch {
		case received.stale:
		case e == nil:
			answer.Wanted = append(answer.Wanted, hashes[i])
		case received.metadataHash != metadataHash(e.Announcement):
			// This includes announcements that are older than the roster's. Sequence numbers start again with each
			// incarnation, so only the announcement itself shows which one is newer. Hear ignores an older one.
			answer.Wanted = append(answer.Wanted, hashes[i])
		case received.newer(e.Sequence):
			roster.Apply(now, received.announcement(e.Announcement))
		}
	}
	return answer
}
