package gossip

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

const (
	// entryBytes is the size of one endpoint's entry in a vector: 2 bytes of the metadata hash, the low byte of the sequence
	// number, and 4 bits each for age and load level.
	entryBytes = 4
	// ageUnit is the resolution of ages in a vector. Ages are rounded up, so that forwarding never makes an announcement
	// look younger than it is.
	ageUnit = 250 * time.Millisecond
	// maxAge is the largest age in a vector, in units of ageUnit. It stands for all ages from there on.
	maxAge = 15
	// maxLoadLevel is the largest load level in a vector. It is also the bit mask of the load level.
	maxLoadLevel = 15
	// fullLoadLevel is the load level of an endpoint whose slots are all occupied and that has no queue.
	fullLoadLevel = 8
)

// vector is the encoded state of all endpoints of a roster, sorted by id, in entryBytes each.
type vector []byte

// vectorEntry is one decoded entry of a vector.
type vectorEntry struct {
	metadataHash uint16
	sequence     uint8 // low byte of the sequence number
	age          time.Duration
	loadLevel    uint8
	stale        bool // the age is maxAge or above; the entry is ignored
}

func encodeVector(now unit.Moment, entries []*endpoint.Entry) vector {
	v := make(vector, 0, len(entries)*entryBytes)
	for _, e := range entries {
		age := min((now.Sub(e.AnnouncedAt)+ageUnit-1)/ageUnit, maxAge)
		v = binary.BigEndian.AppendUint16(v, metadataHash(e.Announcement))
		v = append(v, uint8(e.Sequence), uint8(age)<<4|loadLevel(e.Announcement))
	}
	return v
}

func (v vector) entry(i int) vectorEntry {
	raw := v[i*entryBytes : (i+1)*entryBytes]
	age := raw[3] >> 4
	return vectorEntry{
		metadataHash: binary.BigEndian.Uint16(raw), sequence: raw[2], age: time.Duration(age) * ageUnit,
		loadLevel: raw[3] & maxLoadLevel, stale: age == maxAge,
	}
}

// newer reports whether the entry's sequence number is above the given one, both of the same incarnation. Only the low bytes
// are compared. That is exact for differences up to half of a byte's range, which is 64 s at two announcements a second;
// older entries are stale anyway.
func (e vectorEntry) newer(than uint64) bool {
	return int8(e.sequence-uint8(than)) > 0
}

// announcement returns the known announcement with the sequence number, age and load of the entry.
func (e vectorEntry) announcement(known endpoint.Announcement) endpoint.Announcement {
	known.Sequence += uint64(e.sequence - uint8(known.Sequence))
	known.Age = e.age
	known.Load = loadFromLevel(e.loadLevel, known.Slots)
	return known
}

// loadLevel returns the number of running and queued requests in eighths of the slots, rounded up and at most maxLoadLevel.
func loadLevel(a endpoint.Announcement) uint8 {
	slots := max(a.Slots, 1)
	occupied := max(a.Load.Running+a.Load.Queued, 0)
	return uint8(min((occupied*fullLoadLevel+slots-1)/slots, maxLoadLevel))
}

// loadFromLevel returns the approximate load that loadLevel was computed from. Requests beyond the slots count as queued.
func loadFromLevel(level uint8, slots int) endpoint.Load {
	occupied := int(level) * max(slots, 1) / fullLoadLevel
	running := min(occupied, slots)
	return endpoint.Load{Running: running, Queued: occupied - running, FreeSlots: max(slots-running, 0)}
}

// metadataHash returns a hash of the fields of an announcement that rarely change. A peer that has another hash for the
// endpoint asks for the announcement.
func metadataHash(a endpoint.Announcement) uint16 {
	h := xxhash.New()
	for _, text := range []string{
		string(a.Endpoint), string(a.Kind), a.Address, string(a.DataCentre), string(a.Model), string(a.Weights), a.Service,
	} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	var numbers [25]byte
	binary.BigEndian.PutUint64(numbers[:], uint64(a.Incarnation))
	binary.BigEndian.PutUint64(numbers[8:], uint64(a.Slots))
	binary.BigEndian.PutUint64(numbers[16:], uint64(a.CachePieces))
	for bit, set := range []bool{a.HonoursFencing, a.Draining, a.Loading, a.DrainOrdered} {
		if set {
			numbers[24] |= 1 << bit
		}
	}
	_, _ = h.Write(numbers[:])
	return uint16(h.Sum64())
}

// endpointHash returns the hash that stands for an endpoint id in messages.
func endpointHash(id unit.EndpointID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// endpointHashes returns the endpoint hashes of the entries, in the same order.
func endpointHashes(entries []*endpoint.Entry) []uint32 {
	hashes := make([]uint32, len(entries))
	for i, e := range entries {
		hashes[i] = endpointHash(e.Endpoint)
	}
	return hashes
}

// rosterHash returns a hash of the endpoint ids of the entries, by which hosts detect that their rosters have different
// endpoints.
func rosterHash(entries []*endpoint.Entry) uint32 {
	h := xxhash.New()
	for _, e := range entries {
		_, _ = h.WriteString(string(e.Endpoint))
		_, _ = h.Write([]byte{0})
	}
	return uint32(h.Sum64())
}

func entriesByHash(entries []*endpoint.Entry) map[uint32]*endpoint.Entry {
	byHash := make(map[uint32]*endpoint.Entry, len(entries))
	for _, e := range entries {
		byHash[endpointHash(e.Endpoint)] = e
	}
	return byHash
}

// sortedEntries returns the roster's entries sorted by endpoint id.
func sortedEntries(roster *endpoint.Roster) []*endpoint.Entry {
	entries := roster.All()
	slices.SortFunc(entries, func(a, b *endpoint.Entry) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return entries
}
