package archive

import (
	"cmp"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/chain"
)

// EntryID identifies one entry of a host's incarnation.
type EntryID struct {
	Host        unit.HostName    `json:"host"`
	Incarnation unit.Incarnation `json:"incarnation"`
	Sequence    uint64           `json:"sequence"`
}

// Merged is the result of merging the copies of several archives. Forks lists the entries that have several intact
// versions, and Damaged the entries of which a copy doesn't match its hash.
type Merged struct {
	Entries []chain.Entry
	Forks   []EntryID
	Damaged []EntryID
}

// candidate is one version of an entry. linkedBefore and linkedAfter count the entries that it is linked with by hashes.
type candidate struct {
	entry                     chain.Entry
	linkedBefore, linkedAfter int
}

// Merge merges copies of the record of any hosts. Where the copies differ, the version on the longest run of linked
// entries wins. Between runs of equal length the smaller hash wins, so that the result doesn't depend on the order of the
// copies.
func Merge(copies ...[]chain.Entry) Merged {
	var merged Merged
	versions := map[EntryID][]*candidate{}
	for _, entries := range copies {
		for _, entry := range entries {
			merged.addCandidate(versions, entry)
		}
	}
	order := make([]EntryID, 0, len(versions))
	for id := range versions {
		order = append(order, id)
	}
	slices.SortFunc(order, compareEntryIDs)
	for _, id := range order {
		countLinked(versions, id, -1)
	}
	for _, id := range slices.Backward(order) {
		countLinked(versions, id, 1)
	}
	for _, id := range order {
		if len(versions[id]) > 1 {
			merged.Forks = append(merged.Forks, id)
		}
		merged.Entries = append(merged.Entries, slices.MinFunc(versions[id], comparePreference).entry)
	}
	slices.SortFunc(merged.Damaged, compareEntryIDs)
	merged.Damaged = slices.Compact(merged.Damaged)
	return merged
}

func (m *Merged) addCandidate(versions map[EntryID][]*candidate, entry chain.Entry) {
	id := EntryID{entry.Host, entry.Incarnation, entry.Sequence}
	for _, known := range versions[id] {
		if known.entry.Hash == entry.Hash {
			if chain.VerifyEntry(entry) != nil {
				m.Damaged = append(m.Damaged, id)
			}
			return
		}
	}
	if chain.VerifyEntry(entry) != nil {
		m.Damaged = append(m.Damaged, id)
		return
	}
	versions[id] = append(versions[id], &candidate{entry: entry})
}

// countLinked counts, for each version of an entry, the linked entries before it (direction -1) or after it (direction 1).
// The neighbouring entry must have been counted already.
func countLinked(versions map[EntryID][]*candidate, id EntryID, direction int) {
	neighbour := id
	neighbour.Sequence += uint64(direction)
	for _, c := range versions[id] {
		for _, other := range versions[neighbour] {
			if direction < 0 && c.entry.Previous == other.entry.Hash {
				c.linkedBefore = max(c.linkedBefore, other.linkedBefore+1)
			}
			if direction > 0 && other.entry.Previous == c.entry.Hash {
				c.linkedAfter = max(c.linkedAfter, other.linkedAfter+1)
			}
		}
	}
}

func comparePreference(a, b *candidate) int {
	return cmp.Or(cmp.Compare(b.linkedBefore+b.linkedAfter, a.linkedBefore+a.linkedAfter), cmp.Compare(a.entry.Hash, b.entry.Hash))
}

func compareEntryIDs(a, b EntryID) int {
	return cmp.Or(
		cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence),
	)
}
