package chain

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Kinds of an Entry.
const (
	// KindDecision is the choice of an endpoint for a request.
	KindDecision = "decision"
	// KindAttempt is the end of one dispatch to an endpoint.
	KindAttempt = "attempt"
	// KindFinal is the answer to the caller.
	KindFinal = "final"
	// KindRefused is the answer to a caller whose request was never dispatched.
	KindRefused = "refused"
)

// Candidate is one endpoint that was considered for a decision, with the estimates that it was compared by.
type Candidate struct {
	Endpoint     unit.EndpointID `cbor:"endpoint" json:"endpoint"`
	CachedPieces int             `cbor:"cached-pieces,omitempty" json:"cached-pieces,omitempty"`
	QueueWait    time.Duration   `cbor:"queue-wait-ns,omitempty" json:"queue-wait-ns,omitempty"`
	Prefill      time.Duration   `cbor:"prefill-ns,omitempty" json:"prefill-ns,omitempty"`
	Transfer     time.Duration   `cbor:"transfer-ns,omitempty" json:"transfer-ns,omitempty"`
	Expected     time.Duration   `cbor:"expected-ns,omitempty" json:"expected-ns,omitempty"`
	Home         bool            `cbor:"home,omitempty" json:"home,omitempty"`
}

// Entry is one entry of the record. Fields that are added later must be omitted from the encoding when they are empty, so
// that the hashes of older entries stay the same. Programs of an older version can't verify entries with newer fields.
type Entry struct {
	Sequence    uint64           `cbor:"sequence" json:"sequence"` // from 1 in each incarnation
	Host        unit.HostName    `cbor:"host" json:"host"`
	Incarnation unit.Incarnation `cbor:"incarnation" json:"incarnation"`
	Request     unit.RequestID   `cbor:"request,omitempty" json:"request,omitempty"`
	Kind        string           `cbor:"kind" json:"kind"`
	AtUnixMilli int64            `cbor:"at-unix-milli" json:"at-unix-milli"`

	// The sheet in force, and its rule and limit for the request.
	ConfigurationVersion unit.ConfigurationVersion `cbor:"configuration-version,omitempty" json:"configuration-version,omitempty"`
	SheetDigest          string                    `cbor:"sheet-digest,omitempty" json:"sheet-digest,omitempty"`
	Row                  int                       `cbor:"row,omitempty" json:"row,omitempty"`
	Customer             unit.CustomerID           `cbor:"customer,omitempty" json:"customer,omitempty"`
	Target               string                    `cbor:"target,omitempty" json:"target,omitempty"`       // model or service
	Operation            string                    `cbor:"operation,omitempty" json:"operation,omitempty"` // path
	Class                unit.ClassName            `cbor:"class,omitempty" json:"class,omitempty"`
	Urgency              int                       `cbor:"urgency,omitempty" json:"urgency,omitempty"`
	Limit                float64                   `cbor:"limit,omitempty" json:"limit,omitempty"`   // requests/s
	Repeat               string                    `cbor:"repeat,omitempty" json:"repeat,omitempty"` // idempotent or once-only
	KeyDigest            string                    `cbor:"key-digest,omitempty" json:"key-digest,omitempty"`

	// The endpoints that were considered, and the chosen one.
	Candidates []Candidate     `cbor:"candidates,omitempty" json:"candidates,omitempty"`
	Chosen     unit.EndpointID `cbor:"chosen,omitempty" json:"chosen,omitempty"`

	// The result of an attempt or of the request. Wrote is true for an attempt that sent at least one byte of the request.
	EndpointIncarnation unit.Incarnation `cbor:"endpoint-incarnation,omitempty" json:"endpoint-incarnation,omitempty"`
	Attempt             int              `cbor:"attempt,omitempty" json:"attempt,omitempty"` // from 1
	Wrote               bool             `cbor:"wrote,omitempty" json:"wrote,omitempty"`
	Status              int              `cbor:"status,omitempty" json:"status,omitempty"`
	Outcome             unit.Outcome     `cbor:"outcome,omitempty" json:"outcome,omitempty"`
	Reason              string           `cbor:"reason,omitempty" json:"reason,omitempty"`

	Previous string `cbor:"previous,omitempty" json:"previous,omitempty"` // Hash of the entry before, empty for the first entry
	Hash     string `cbor:"hash,omitempty" json:"hash,omitempty"`         // hex SHA-256 of the encoding without Hash
}

// ComputeHash returns the hash of the entry's content, without its Hash field.
func (e Entry) ComputeHash() (string, error) {
	e.Hash = ""
	data, err := codec.Marshal(e)
	if err != nil {
		return "", err
	}
	return hashOf(data), nil
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
