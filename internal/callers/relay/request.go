// Package relay defines how one entry host hands a caller's request to another one, and how the answer comes back while it is written.
package relay

import (
	"net/http"
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// Request is a caller's request with what the host that received it knows. The host that it is handed to decides on it as if the caller
// had sent it there.
type Request struct {
	ID           unit.RequestID `cbor:"1,keyasint"`
	Method       string         `cbor:"2,keyasint"`
	Host         string         `cbor:"3,keyasint"`
	Path         string         `cbor:"4,keyasint"`
	Target       string         `cbor:"5,keyasint"`
	Header       http.Header    `cbor:"6,keyasint,omitempty"`
	Body         []byte         `cbor:"7,keyasint,omitempty"`
	Key          string         `cbor:"8,keyasint,omitempty"`
	Timeout      time.Duration  `cbor:"9,keyasint,omitempty"`  // stated by the caller, 0 if it didn't state any
	Elapsed      time.Duration  `cbor:"10,keyasint,omitempty"` // since the request arrived
	Prompt       *Prompt        `cbor:"11,keyasint,omitempty"`
	ResumeAfter  string         `cbor:"12,keyasint,omitempty"`
	Resumes      unit.RequestID `cbor:"13,keyasint,omitempty"`
	TableVersion table.Version  `cbor:"14,keyasint"` // the request must not be decided on by an older table
	// PossibleRuns is the number of endpoints that may already have run the request.
	PossibleRuns int `cbor:"15,keyasint,omitempty"`
}

// Prompt is what the caller states about its prompt.
type Prompt struct {
	Model  unit.ModelName `cbor:"1,keyasint"`
	Parts  []Part         `cbor:"2,keyasint,omitempty"`
	Tokens unit.Tokens    `cbor:"3,keyasint"`
	Output unit.Tokens    `cbor:"4,keyasint"`
}

// Part is one part of a prompt.
type Part struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Tokens unit.Tokens
}

// Decode reads an encoded request. It fails with fault.BadPeer.
func Decode(payload []byte) (*Request, error) {
	r := new(Request)
	if err := codec.Unmarshal(payload, r); err != nil {
		return nil, fault.BadPeer.Wrap(err, "cannot read the relayed request")
	}
	if r.Elapsed < 0 || r.Timeout < 0 || r.PossibleRuns < 0 {
		return nil, fault.BadPeer.New("the relayed request has a negative time or count")
	}
	return r, nil
}
