package chain

import (
	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Broken is the error for a batch that doesn't continue the chain or contains an edited entry.
var Broken = fault.Corrupt.NewSubtype("broken-chain")

// BrokenAt is the property of a Broken error with the sequence number of the first entry that is wrong.
var BrokenAt = errorx.RegisterPrintableProperty("sequence")

// Batch is a run of consecutive entries of one host's incarnation. AcknowledgedThrough is the last sequence number that
// a majority of the archives has acknowledged. An archive that misses entries up to that number may store later ones.
type Batch struct {
	Host                unit.HostName    `cbor:"host"`
	Incarnation         unit.Incarnation `cbor:"incarnation"`
	AcknowledgedThrough uint64           `cbor:"acknowledged-through"`
	Entries             []Entry          `cbor:"entries"`
}

// Link is the sequence number and hash of an entry, to which the next entry of the chain is linked. The zero Link stands
// before the first entry of every chain.
type Link struct {
	Sequence uint64
	Hash     string
}

// VerifyLink checks that the batch continues the chain after the given link and that no entry was edited. It returns the
// link of the batch's last entry. It fails with Broken, which has the property BrokenAt.
func VerifyLink(after Link, b Batch) (Link, error) {
	for _, entry := range b.Entries {
		if entry.Host != b.Host || entry.Incarnation != b.Incarnation {
			return after, brokenError(entry, "belongs to %s, incarnation %d", entry.Host, entry.Incarnation)
		}
		if entry.Sequence != after.Sequence+1 {
			return after, brokenError(entry, "follows entry %d", after.Sequence)
		}
		if entry.Previous != after.Hash {
			return after, brokenError(entry, "has another previous hash than the hash of the entry before")
		}
		if err := VerifyEntry(entry); err != nil {
			return after, err
		}
		after = Link{Sequence: entry.Sequence, Hash: entry.Hash}
	}
	return after, nil
}

// VerifyEntry checks that an entry's hash matches its content. It fails with Broken.
func VerifyEntry(entry Entry) error {
	hash, err := entry.ComputeHash()
	if err != nil {
		return err
	}
	if hash != entry.Hash {
		return brokenError(entry, "has a hash that doesn't match its content")
	}
	return nil
}

func brokenError(entry Entry, format string, arguments ...any) error {
	return Broken.New("entry %d of %s: "+format, append([]any{entry.Sequence, entry.Host}, arguments...)...).
		WithProperty(BrokenAt, entry.Sequence)
}
