package unit

import (
	"encoding/hex"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Digest is the first 16 bytes of a SHA-256 sum.
type Digest [16]byte

// ParseDigest reads 32 hex digits. It fails with fault.BadInput.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	if len(text) != 2*len(digest) {
		return digest, fault.BadInput.New("digest %q has %d characters, want %d", text, len(text), 2*len(digest))
	}
	if _, err := hex.Decode(digest[:], []byte(text)); err != nil {
		return digest, fault.BadInput.Wrap(err, "digest %q is not hexadecimal", text)
	}
	return digest, nil
}

// String returns 32 hex digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// IsZero reports whether the digest was never set.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// MarshalText implements encoding.TextMarshaler with 32 hex digits.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}
