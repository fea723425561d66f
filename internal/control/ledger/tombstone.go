package ledger

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const dayMilli = 24 * 60 * 60 * 1000

// tombstones holds the digests of expired claims in one set per day, so that no expiry time is stored with each digest. A
// look-up costs at most 31 map reads.
type tombstones struct {
	days  []tombstoneDay // ascending
	count int
}

type tombstoneDay struct {
	day  int64 // days since 1970 in command time
	keys map[unit.Digest]struct{}
}

// tombstoneRow is the stored form of one day: its sorted 16-byte digests, concatenated. The encoding is compact and
// deterministic.
type tombstoneRow struct {
	Day  int64  `cbor:"day"`
	Keys []byte `cbor:"keys"`
}

func claimDigest(id claimID) unit.Digest {
	sum := sha256.Sum256([]byte(string(id.Customer) + "\x00" + id.Key))
	return unit.Digest(sum[:16])
}

func (t *tombstones) add(at int64, id claimID) {
	day := at / dayMilli
	if len(t.days) == 0 || t.days[len(t.days)-1].day < day {
		t.days = append(t.days, tombstoneDay{day: day, keys: map[unit.Digest]struct{}{}})
	}
	keys := t.days[len(t.days)-1].keys
	before := len(keys)
	keys[claimDigest(id)] = struct{}{}
	t.count += len(keys) - before
}

func (t *tombstones) has(id claimID) bool {
	digest := claimDigest(id)
	for _, day := range t.days {
		if _, ok := day.keys[digest]; ok {
			return true
		}
	}
	return false
}

// dropExpired removes the days that ended at least tombstoneRetention before now.
func (t *tombstones) dropExpired(now int64) {
	for len(t.days) > 0 && (t.days[0].day+1)*dayMilli+tombstoneRetention.Milliseconds() <= now {
		t.count -= len(t.days[0].keys)
		t.days = t.days[1:]
	}
}

func (t *tombstones) rows() []tombstoneRow {
	rows := make([]tombstoneRow, 0, len(t.days))
	for _, day := range t.days {
		digests := make([]unit.Digest, 0, len(day.keys))
		for digest := range day.keys {
			digests = append(digests, digest)
		}
		slices.SortFunc(digests, func(a, b unit.Digest) int { return bytes.Compare(a[:], b[:]) })
		keys := make([]byte, 0, len(digests)*len(unit.Digest{}))
		for _, digest := range digests {
			keys = append(keys, digest[:]...)
		}
		rows = append(rows, tombstoneRow{Day: day.day, Keys: keys})
	}
	return rows
}

func restoreTombstones(rows []tombstoneRow) tombstones {
	var t tombstones
	for _, row := range rows {
		day := tombstoneDay{day: row.Day, keys: make(map[unit.Digest]struct{}, len(row.Keys)/16)}
		for chunk := range slices.Chunk(row.Keys, len(unit.Digest{})) {
			if len(chunk) == len(unit.Digest{}) {
				day.keys[unit.Digest(chunk)] = struct{}{}
			}
		}
		t.count += len(day.keys)
		t.days = append(t.days, day)
	}
	return t
}
