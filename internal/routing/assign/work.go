package assign

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/admission/room"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/planning/cachescope"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
)

// Part is an identified part of a prompt. Requests that begin with the same parts share what an engine has cached of them.
type Part struct {
	ID     string
	Tokens unit.Tokens
}

// Prefix identifies a prompt's leading parts up to one of them, for one model and within one Request.Scope.
type Prefix uint64

// Request describes a request as far as the choice of its endpoint depends on it.
type Request struct {
	Service           table.ServiceName
	HasPrompt         bool
	Model             unit.ModelName
	Scope             cachescope.Scope // of the cached parts that the request may use; see SetScope
	Parts             []Part
	Prompt            unit.Tokens // tokens of the whole prompt
	Output            unit.Tokens // maximum number of tokens of the answer
	Objective         time.Duration
	MaxLatency        time.Duration // longest useful time to the first byte; a later answer is lost
	Random            float64       // random number in [0, 1) that chooses between endpoints of a plain service
	PreviouslyRefused bool          // the caller was refused before and has come back
	WaitsForPermit    bool          // an earlier choice found all endpoints at the limits that they named
	// Software is the only software version of endpoints that may get the request, nil for any. It is set for a stream that an
	// endpoint of that version has begun.
	Software *unit.SoftwareVersion
	// Resumable says that the answer is a stream with which another request or endpoint may go on.
	Resumable         bool
	ShortestObjective time.Duration // shortest objective of all requests that share the service's endpoints
	Gathering         table.Gathering
	// Class is the urgency among the Classes of the service; see ClassOf. Classes below 2 mean that the service has one class.
	Class   Class
	Classes int
	// Objectives are the shortest objectives of the classes, 0 for none. Without them, one limit of waiting holds for all classes.
	Objectives []time.Duration

	prefixes []Prefix                                       // by part, computed by prepare
	partIDs  map[decisions.WeightsNumber][]cachedparts.Part // identifiers of the parts by version of the weights, computed by partsAt
}

// prepare computes the prefixes of the prompt's parts, and the size of the prompt if it isn't set.
func (w *Request) prepare() {
	if w.prefixes != nil || len(w.Parts) == 0 {
		return
	}
	w.prefixes = make([]Prefix, 0, len(w.Parts))
	hash := xxhash.New()
	_, _ = hash.WriteString(string(w.Model) + "\x00" + strings.TrimPrefix(w.Scope.String(), ".")) // like earlier builds
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

// partsAt returns the identifiers of the parts as computed with the given version of the weights.
func (w *Request) partsAt(weights decisions.WeightsNumber) []cachedparts.Part {
	if parts, ok := w.partIDs[weights]; ok {
		return parts
	}
	key := CacheKey(weights, w.Scope)
	parts := make([]cachedparts.Part, 0, len(w.Parts))
	for _, part := range w.Parts {
		parts = append(parts, cachedparts.NewPart(key, part.ID))
	}
	if w.partIDs == nil {
		w.partIDs = map[decisions.WeightsNumber][]cachedparts.Part{}
	}
	w.partIDs[weights] = parts
	return parts
}

// SetScope changes the scope of the cached parts that the request may use.
func (w *Request) SetScope(scope cachescope.Scope) {
	if scope != w.Scope {
		w.Scope, w.prefixes, w.partIDs = scope, nil, nil
	}
}

// CacheKey returns a key that separates the cached parts of different weights and scopes.
func CacheKey(weights decisions.WeightsNumber, scope cachescope.Scope) string {
	return "w" + strconv.FormatUint(uint64(weights), 10) + scope.String()
}

// SharedParts returns the ids of the parts that other requests may share, at most the given number of them. The last part of a prompt
// belongs to the request itself or to its session.
func (w *Request) SharedParts(most int) []string {
	shared := make([]string, 0, min(len(w.Parts), most))
	for _, part := range w.Parts[:max(len(w.Parts)-1, 0)] {
		if len(shared) == most {
			break
		}
		shared = append(shared, part.ID)
	}
	return shared
}

// affinityPrefix returns the prefix by which requests are routed to the same endpoints: the longest one that other requests may
// share. The last part of a prompt belongs to the request itself or to its session.
func (w *Request) affinityPrefix() (Prefix, bool) {
	switch len(w.prefixes) {
	case 0:
		return 0, false
	case 1:
		return w.prefixes[0], true
	default:
		return w.prefixes[len(w.prefixes)-2], true
	}
}

// longAnswer reports whether the answer may be so long that it would delay an update of the weights.
func (w *Request) longAnswer() bool {
	return w.Output >= longOutputTokens
}

// memoryTokens returns the memory in tokens that the request takes at an engine.
func (w *Request) memoryTokens() unit.Tokens {
	return w.Prompt + w.Output
}

// Load is the load of one host, or of several together, at an endpoint.
type Load struct {
	Requests       int         `cbor:"1,keyasint,omitempty"`
	Tokens         unit.Tokens `cbor:"2,keyasint,omitempty"` // memory that the requests take
	PendingPrefill unit.Tokens `cbor:"3,keyasint,omitempty"` // prompt tokens still to be prefilled
	Long           int         `cbor:"4,keyasint,omitempty"` // requests with long answers
	ReachableBy    int         `cbor:"5,keyasint,omitempty"` // number of hosts that have lately received something from the endpoint
	UnreachableBy  int         `cbor:"6,keyasint,omitempty"` // number of hosts that can't reach the endpoint
	// Urgent are the parts of the load at least as urgent as each class, for services with several classes.
	Urgent UrgentLoads `cbor:"-"`
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		Requests: l.Requests + other.Requests, Tokens: l.Tokens + other.Tokens, PendingPrefill: l.PendingPrefill + other.PendingPrefill, Long: l.Long + other.Long,
		ReachableBy: l.ReachableBy + other.ReachableBy, UnreachableBy: l.UnreachableBy + other.UnreachableBy, Urgent: l.Urgent.add(other.Urgent),
	}
}

// Sub returns the load without other. No field falls below zero.
func (l Load) Sub(other Load) Load {
	return Load{
		Requests: max(0, l.Requests-other.Requests), Tokens: max(0, l.Tokens-other.Tokens), PendingPrefill: max(0, l.PendingPrefill-other.PendingPrefill),
		Long: max(0, l.Long-other.Long), ReachableBy: max(0, l.ReachableBy-other.ReachableBy), UnreachableBy: max(0, l.UnreachableBy-other.UnreachableBy), Urgent: l.Urgent.sub(other.Urgent),
	}
}

// Choice is a chosen endpoint, with the estimates that the choice is based on.
type Choice struct {
	Endpoint   unit.EndpointID
	Born       int64 // start of the endpoint's lifetime, see registry.Report
	Address    string
	Weights    decisions.WeightsNumber // version for the request's model, 0 if unknown
	Software   unit.SoftwareVersion
	Expected   time.Duration // time to the first byte of the answer
	QueueTime  time.Duration // part of Expected that other requests cause, whatever the size of this request
	Missing    unit.Tokens   // prompt tokens that the endpoint is expected to prefill
	Value      float64       // expected value of the request, see Assigner.value
	Recomputed unit.Tokens   // shared tokens among Missing, which are computed once more
	Fetched    unit.Tokens   // shared tokens that are expected to be fetched
	// Source is the address of the replica or cache store from which the endpoint fetches parts that it lacks, empty for none.
	Source string
	// Save is the address of the cache store to which the endpoint sends the parts that it prefills, empty for none.
	Save       string
	Considered int           // number of endpoints that were considered
	Paused     int           // number of considered endpoints that are paused, updating or suspected
	Limited    int           // number of endpoints that would have been chosen but are at the limit that they named
	Withheld   bool          // the request isn't sent because the service's endpoints are brittle
	Brittle    int           // number of brittle endpoints that were passed over because they would probably reject the request
	LoadAge    time.Duration // age of the loads that other hosts reported
	InGroup    bool          // the endpoint belongs to the group on which the service's urgent streams are gathered
	TimeFactor float64       // time that the endpoint takes for a token, relative to the others, as all hosts have learned it; 1 if unknown
	// Room is the decision whether the request is admitted at the endpoint; nil for a service with one class.
	Room *room.Decision
	// Limit is the limit that the endpoint named; the zero value if it never named one.
	Limit requestlimit.Limit
}

// Ending says how an attempt at an endpoint ended.
type Ending uint8

const (
	// EndedComplete means that the endpoint's answer, whatever its status, was complete.
	EndedComplete Ending = iota
	// EndedFull means that the endpoint had no room or is updating its weights; the request didn't run.
	EndedFull
	// EndedMismatch means that the endpoint at the address isn't the expected one or has other weights; the request didn't run.
	EndedMismatch
	// EndedFailed means that the endpoint answered that it failed.
	EndedFailed
	// EndedBroken means that the endpoint broke off the answer or sent bytes that aren't a valid answer.
	EndedBroken
	// EndedSilent means that the endpoint didn't answer in time.
	EndedSilent
	// EndedUnreachable means that no connection to the endpoint could be made.
	EndedUnreachable
	// EndedByCaller means that the caller left.
	EndedByCaller
)

var endingNames = [...]string{"well", "full", "elsewhere", "failed", "broken", "silent", "unreachable", "by-caller"}

// Unanswered reports whether the endpoint received the request but gave no complete answer, as when it crashes.
func (e Ending) Unanswered() bool {
	return e == EndedBroken || e == EndedSilent
}

// String returns the name that is used in logs.
func (e Ending) String() string {
	return endingNames[e]
}
