package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// failureMapping is the HTTP status and the OpenAI error type of a failure type.
type failureMapping struct {
	failure *errorx.Type
	status  int
	kind    string
}

// failureMappings holds the failure types with a status of their own. Failures of other types get status 500.
var failureMappings = []failureMapping{
	{fault.BadInput, http.StatusBadRequest, "invalid_request_error"},
	{fault.TooLarge, http.StatusRequestEntityTooLarge, "invalid_request_error"},
	{fault.BodyTimeout, http.StatusRequestTimeout, "invalid_request_error"},
	{fault.Unauthenticated, http.StatusUnauthorized, "authentication_error"},
	{fault.Forbidden, http.StatusForbidden, "permission_error"},
	{fault.NotFound, http.StatusNotFound, "not_found_error"},
	{fault.Conflict, http.StatusConflict, "conflict_error"},
	{fault.Quarantined, http.StatusUnprocessableEntity, "invalid_request_error"},
	{fault.OverLimit, http.StatusTooManyRequests, "rate_limit_error"},
	{fault.Overloaded, http.StatusServiceUnavailable, "server_error"},
	{fault.NoEndpoint, http.StatusServiceUnavailable, "server_error"},
	{fault.StaleConfiguration, http.StatusServiceUnavailable, "server_error"},
	{fault.Stopping, http.StatusServiceUnavailable, "server_error"},
	{fault.Unreachable, http.StatusServiceUnavailable, "server_error"},
	{fault.NoQuorum, http.StatusServiceUnavailable, "server_error"},
	{fault.BrokenAnswer, http.StatusBadGateway, "server_error"},
	{fault.ClaimFailed, http.StatusServiceUnavailable, "server_error"},
	{fault.AnswerLost, http.StatusGone, "conflict_error"},
	{fault.UnknownOutcome, http.StatusGatewayTimeout, "server_error"},
}

// Failure is the body of an error answer in the format of the OpenAI API.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail holds the error fields of the OpenAI API and, in addition, the outcome and the request id.
type FailureDetail struct {
	Message   string         `json:"message"`
	Type      string         `json:"type"`
	Code      string         `json:"code"`
	Outcome   unit.Outcome   `json:"outcome"`
	RequestID unit.RequestID `json:"request-id"`
}

// FailureResponse returns the HTTP status and body for err, and the value of the Retry-After header in whole seconds, which
// is empty if a retry wouldn't help.
func FailureResponse(err error, id unit.RequestID) (status int, body Failure, retryAfter string) {
	status, kind := http.StatusInternalServerError, "server_error"
	for _, p := range failureMappings {
		if errorx.IsOfType(err, p.failure) {
			status, kind = p.status, p.kind
			break
		}
	}
	if after, ok := fault.RetryAfterOf(err); ok {
		retryAfter = strconv.Itoa(max(int(math.Ceil(after.Seconds())), 1))
	} else if errorx.HasTrait(err, fault.Retryable) {
		retryAfter = "1"
	}
	return status, Failure{Error: FailureDetail{
		Message: publicMessage(err), Type: kind, Code: fault.Name(err), Outcome: unit.Outcome(fault.Outcome(err)), RequestID: id,
	}}, retryAfter
}

// WriteFailure answers a request that wasn't passed to a Server, which has no id.
func WriteFailure(w http.ResponseWriter, err error) {
	writeFailure(w, err, "")
}

func writeFailure(w http.ResponseWriter, err error, id unit.RequestID) {
	status, body, retryAfter := FailureResponse(err, id)
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has left
}

// publicMessage returns the message of err without its causes, which may contain internal addresses.
func publicMessage(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return "internal failure"
}
