package assign

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/holding"
)

// Part is a named part of a prompt. Requests that begin with the same parts share what an engine has cached of them.
type Part struct {
	ID     string
	Tokens unit.Tokens
}

// Prefix identifies the parts of a prompt up to one of them, for one model and within one customer's wall.
type Prefix uint64

// Work is what the assigner needs to know about a request.
type Work struct {
	Service   table.ServiceName
	Prompted  bool
	Model     unit.ModelName
	Wall      unit.CustomerID // the customer that shares no cached part with others, empty otherwise
	Parts     []Part
	Prompt    unit.Tokens // whole prompt
	Output    unit.Tokens // most tokens of the answer
	Objective time.Duration
	Patience  time.Duration // an answer that begins later is lost
	Draw      float64       // random, from 0 up to 1: decides between endpoints of a plain service
	Returned  bool          // the caller was refused before
	Shortest  time.Duration // the shortest objective of the requests that share the service's endpoints

	prefixes []Prefix                              // by part, filled by prepare
	held     map[book.WeightsNumber][]holding.Part // identities of the parts, by the weights that made them
}

// prepare computes the prefixes of the prompt's parts.
func (w *Work) prepare() {
	if w.prefixes != nil || len(w.Parts) == 0 {
		return
	}
	w.prefixes = make([]Prefix, 0, len(w.Parts))
	hash := xxhash.New()
	_, _ = hash.WriteString(string(w.Model) + "\x00" + string(w.Wall))
	var length [8]byte
	for _, part := range w.Parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part.ID)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(part.ID)
		w.prefixes = append(w.prefixes, Prefix(hash.Sum64()))
	}
	if w.Prompt == 0 {
		for _, part := range w.Parts {
			w.Prompt += part.Tokens
		}
	}
}

// partsAt returns the identities of the parts as made by those weights.
func (w *Work) partsAt(weights book.WeightsNumber) []holding.Part {
	if parts, ok := w.held[weights]; ok {
		return parts
	}
	key := CacheKey(weights, w.Wall)
	parts := make([]holding.Part, 0, len(w.Parts))
	for _, part := range w.Parts {
		parts = append(parts, holding.NewPart(key, part.ID))
	}
	if w.held == nil {
		w.held = map[book.WeightsNumber][]holding.Part{}
	}
	w.held[weights] = parts
	return parts
}

// CacheKey separates cached parts of other weights, and of a customer that shares none, from all others.
func CacheKey(weights book.WeightsNumber, wall unit.CustomerID) string {
	return "w" + strconv.FormatUint(uint64(weights), 10) + "." + string(wall)
}

// home is the prefix by which requests are kept together: the longest one that other requests share. The last part of a
// prompt belongs to the request itself or to its session.
func (w *Work) home() (Prefix, bool) {
	switch len(w.prefixes) {
	case 0:
		return 0, false
	case 1:
		return w.prefixes[0], true
	default:
		return w.prefixes[len(w.prefixes)-2], true
	}
}

// long reports whether the answer takes so long that it would hold up a change of weights.
func (w *Work) long() bool {
	return w.Output >= longOutput
}

// tokens is the memory that the request takes at an engine.
func (w *Work) tokens() unit.Tokens {
	return w.Prompt + w.Output
}

// Load is what one host, or several together, have in hand at an endpoint.
type Load struct {
	Requests int         `cbor:"1,keyasint,omitempty"`
	Tokens   unit.Tokens `cbor:"2,keyasint,omitempty"` // memory of the requests
	Unread   unit.Tokens `cbor:"3,keyasint,omitempty"` // prompt tokens that are still to be read
	Long     int         `cbor:"4,keyasint,omitempty"` // requests among them whose answers take long
	Heard    int         `cbor:"5,keyasint,omitempty"` // hosts to which the endpoint has sent something lately
	Unheard  int         `cbor:"6,keyasint,omitempty"` // hosts that can't reach the endpoint
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		Requests: l.Requests + other.Requests, Tokens: l.Tokens + other.Tokens, Unread: l.Unread + other.Unread, Long: l.Long + other.Long,
		Heard: l.Heard + other.Heard, Unheard: l.Unheard + other.Unheard,
	}
}

// Sub returns the load without other, never below zero.
func (l Load) Sub(other Load) Load {
	return Load{
		Requests: max(0, l.Requests-other.Requests), Tokens: max(0, l.Tokens-other.Tokens), Unread: max(0, l.Unread-other.Unread),
		Long: max(0, l.Long-other.Long), Heard: max(0, l.Heard-other.Heard), Unheard: max(0, l.Unheard-other.Unheard),
	}
}

// Choice is an assigned endpoint and what the decision rested on.
type Choice struct {
	Endpoint unit.EndpointID
	Born     int64 // start of the endpoint's lifetime, see registry.Report
	Address  string
	Weights  book.WeightsNumber // of the request's model, 0 if unknown
	Expected time.Duration      // until the first byte of the answer
	Waiting  time.Duration      // the part of Expected that other requests cause, whatever the size of this one
	Missing  unit.Tokens        // prompt tokens that the endpoint is expected to read
	Value    float64            // expected part of the request's worth
	Again    unit.Tokens        // shared ones among the missing, expected to be read a second time
	Copied   unit.Tokens        // shared ones that are expected to be fetched
	// Source is the address of a replica or store from which the endpoint fetches parts that it lacks, empty for none.
	Source string
	// Save is the address of the store to which the endpoint sends the parts that it reads, empty for none.
	Save    string
	Others  int           // endpoints that were weighed
	Paused  int           // of these, how many should get nothing at the moment
	LoadAge time.Duration // age of what other hosts told of their load
}

// Ending says how an attempt at an endpoint ended.
type Ending uint8

const (
	// EndedWell is an answer of the endpoint, whatever its status, that came whole.
	EndedWell Ending = iota
	// EndedFull is an endpoint that had no room or is changing its weights; the request didn't run.
	EndedFull
	// EndedElsewhere is an endpoint that isn't the expected one or has other weights; the request didn't run.
	EndedElsewhere
	// EndedFailed is an answer that says that the endpoint failed.
	EndedFailed
	// EndedBroken is an endpoint that broke off or gave bytes that are no answer.
	EndedBroken
	// EndedSilent is an endpoint that didn't answer in time.
	EndedSilent
	// EndedUnreachable is an endpoint to which no connection could be made.
	EndedUnreachable
	// EndedByCaller is a caller that left.
	EndedByCaller
)

var endingNames = [...]string{"well", "full", "elsewhere", "failed", "broken", "silent", "unreachable", "by-caller"}

// Unanswered reports whether the endpoint got the request and gave no whole answer, as when it crashes.
func (e Ending) Unanswered() bool {
	return e == EndedBroken || e == EndedSilent
}

// String returns the name that logs use.
func (e Ending) String() string {
	return endingNames[e]
}
