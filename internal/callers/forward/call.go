package forward

import (
	"net/http"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// Call is one decoded request of a caller.
type Call struct {
	ID      unit.RequestID
	Arrived unit.Moment
	Method  string
	Host    string // without a port
	Path    string // escaped, without the query; selects the route
	Target  string // path and query as the caller sent them
	// Header is forwarded to the endpoint. It contains no headers that apply to a single connection, no credentials and none of
	// the headers that EndpointProtocol.Encode sets.
	Header http.Header
	// Body reads the whole body, at most the given number of bytes. It fails with fault.TooLarge, fault.BadInput or
	// fault.CallerLeft.
	Body func(most int64) ([]byte, error)
	// Key is the caller's credential, empty if it sent none.
	Key string
	// Timeout is how long the caller waits for the complete answer, 0 if it didn't say.
	Timeout time.Duration
	// Prompt describes a request for a language model; it is nil for other requests.
	Prompt *Prompt
	// Stated are the token counts that the caller stated, also without a Prompt; nil if it stated none.
	Stated *TokenCounts
	// ResumeAfter is the id of the last event of the stream that the caller has received, empty for a new stream.
	ResumeAfter string
	// Resumes is the id of the request that brought the stream's first event, empty if the caller doesn't name exactly one.
	Resumes unit.RequestID
	// Relayed says that another entry host handed the request over; it is nil for requests that callers sent to this host.
	Relayed *Relayed
}

// Relayed is what the entry host that handed a request over says about it.
type Relayed struct {
	From         unit.HostName
	TableVersion table.Version // the request must not be decided on by an older table
	PossibleRuns int           // endpoints that may already have run the request
	// Decline tells the other host that this one doesn't take the request, which has not run here.
	Decline func(cause error)
}

// TokenCounts are the sizes that a caller states for its request.
type TokenCounts struct {
	Prompt unit.Tokens
	Output unit.Tokens // maximum number of tokens in the answer
}

// Prompt is what a caller states about its request for a language model.
type Prompt struct {
	Model  unit.ModelName
	Parts  []assign.Part
	Tokens unit.Tokens // of the whole prompt
	Output unit.Tokens // maximum number of tokens in the answer
}

// RequestInfo is what the router tells an endpoint in addition to the caller's request.
type RequestInfo struct {
	Request   unit.RequestID
	Endpoint  unit.EndpointID // the intended endpoint; any other must refuse the request
	TimeLeft  time.Duration   // time until the caller gives up
	Customer  unit.CustomerID // empty on public routes
	Prompted  bool
	Priority  int                     // 0 is the most urgent
	CacheKey  string                  // only requests with the same key share cached prompt parts
	Weights   decisions.WeightsNumber // version of the model's weights; a replica with others must refuse the request, 0 accepts any
	FetchFrom string                  // address from which the endpoint fetches cached prompt parts, empty for none
	SaveTo    string                  // address of the cache store to which it sends newly processed prompt parts, empty for none
	// ResumeAfter is the id of the last event that the caller has received, empty for a new stream.
	ResumeAfter string
}

// EndpointProtocol is the protocol between router and endpoints: the headers of requests and answers and their meaning.
type EndpointProtocol struct {
	// Encode adds the headers for an order to those of a request.
	Encode func(header http.Header, order RequestInfo)
	// NotRun reports whether an answer states that the endpoint did not run the request.
	NotRun func(status int, header http.Header) bool
	// Misdirected reports whether a status means that the request was not run because the endpoint isn't the intended one or has
	// other weights.
	Misdirected func(status int) bool
	// AnswersRequest reports whether an answer belongs to the request with this id.
	AnswersRequest func(header http.Header, id unit.RequestID) bool
	// FromEndpoint reports whether a success has the header that marks an endpoint's own answers, and its body arrived as the endpoint
	// sent it.
	FromEndpoint func(header http.Header) bool
	// AnnouncesLeaving reports whether an answer says that the endpoint is leaving the service.
	AnnouncesLeaving func(header http.Header) bool
	// RequestedPause returns how long an answer asks this host to send the endpoint no further requests, 0 if it doesn't ask.
	RequestedPause func(status int, header http.Header) time.Duration
	// RequestLimit returns how many requests per second an answer says that the endpoint takes from all hosts together,
	// requestlimit.None if it names no limit. It returns false if the answer names a limit that can't be read.
	RequestLimit func(header http.Header) (perSecond float64, ok bool)
	// Brittle reports whether an answer says that its endpoint falls over if it has to reject more than a number of requests a second, and
	// returns that number. It is 0 if it can't be read.
	Brittle func(header http.Header) (perSecond float64, brittle bool)
	// Weights returns the version of the model's weights that produced the answer, if the answer states it.
	Weights func(header http.Header) (decisions.WeightsNumber, bool)
}
