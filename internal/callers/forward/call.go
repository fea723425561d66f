package forward

import (
	"net/http"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// Call is one request of a caller, decoded.
type Call struct {
	ID      unit.RequestID
	Arrived unit.Moment
	Method  string
	Host    string // without a port
	Path    string // escaped, without the query; selects the route
	Target  string // path and query as the caller sent them
	// Header is passed on. It holds nothing that concerns one connection, no credentials and nothing that Wire sets.
	Header http.Header
	// Body reads the whole body, at most so many bytes. It fails with fault.TooLarge, fault.BadInput or fault.CallerLeft.
	Body func(most int64) ([]byte, error)
	// Key is the caller's credential, empty without one.
	Key string
	// Patience is how long the caller waits for the final answer, 0 if it didn't say.
	Patience time.Duration
	// Prompt describes a request for a language model, nil for others.
	Prompt *Prompt
	// ResumeAfter is the id of the last event that the caller has of this stream, empty for a new one.
	ResumeAfter string
}

// Prompt is what a caller says about a request for a language model.
type Prompt struct {
	Model  unit.ModelName
	Parts  []assign.Part
	Tokens unit.Tokens // of the whole prompt
	Output unit.Tokens // most tokens of the answer
}

// Order is what this system tells an endpoint beside the caller's request.
type Order struct {
	Request  unit.RequestID
	Endpoint unit.EndpointID // any other endpoint must refuse the request
	Left     time.Duration   // until the caller gives up
	Customer unit.CustomerID // empty on public routes
	Prompted bool
	Priority int                // 0 is the most urgent
	CacheKey string             // requests with another one share no cached parts with this one
	Weights  book.WeightsNumber // a replica with other weights must refuse the request, 0 accepts any
	Source   string             // address from which the endpoint fetches parts of the prompt, empty for none
	Save     string             // address of the store to which it sends parts that it read, empty for none
	// ResumeAfter is the id of the last event that the caller has, empty for a new stream.
	ResumeAfter string
}

// Wire is the endpoints' protocol: names of headers and their meaning.
type Wire struct {
	// Encode adds an order to the header of a request.
	Encode func(header http.Header, order Order)
	// NotRun says whether an answer states that the endpoint did not run the request.
	NotRun func(status int, header http.Header) bool
	// Elsewhere says whether it wasn't run because the endpoint isn't the expected one or has other weights.
	Elsewhere func(status int) bool
	// Answers says whether an answer belongs to the request.
	Answers func(header http.Header, id unit.RequestID) bool
	// Genuine says whether a success carries the endpoint's mark and its body as the endpoint made it.
	Genuine func(header http.Header) bool
	// Leaves says whether an answer tells that the endpoint leaves.
	Leaves func(header http.Header) bool
	// Pause returns how long an answer asks this host to send nothing more, 0 if it doesn't.
	Pause func(status int, header http.Header) time.Duration
	// Weights returns the version of the weights that made the answer.
	Weights func(header http.Header) (book.WeightsNumber, bool)
}
