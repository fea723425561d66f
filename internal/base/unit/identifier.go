package unit

import (
	"crypto/rand"
	"encoding/hex"
)

type (
	// CustomerID is the id of a customer in the sheet.
	CustomerID string
	// ClassName names a traffic class of the sheet.
	ClassName string
	// ModelName names a model that engines serve.
	ModelName string
	// WeightsVersion names one version of a model's weights.
	WeightsVersion string
	// SoftwareVersion names the version of an endpoint's software. Versions have no order.
	SoftwareVersion string
	// HostName names an entry or control host.
	HostName string
	// DataCentre names a data centre.
	DataCentre string
	// EndpointID identifies an engine, a service replica or a cache store.
	EndpointID string
	// RequestID identifies one request of a caller. It is unique across all entry hosts.
	RequestID string
	// OrderID identifies an operator's order. The operator's tool chooses it and uses it again when it resends the order.
	OrderID string
)

// Incarnation identifies one run of a process, from start to exit. A restarted process has a larger number.
type Incarnation uint64

// ConfigurationVersion numbers accepted configurations, starting at 1; 0 is the empty configuration.
type ConfigurationVersion uint64

// FencingNumber grows with every change of leader and every order, so that an engine can refuse an outdated order.
type FencingNumber uint64

// Outcome says whether a request was run.
type Outcome string

// The outcomes that are reported to callers.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// NewRequestID returns a random request id of 32 hex digits.
func NewRequestID() RequestID {
	return RequestID(randomHex(16))
}

// NewOrderID returns a random order id of 32 hex digits.
func NewOrderID() OrderID {
	return OrderID(randomHex(16))
}

func randomHex(bytes int) string {
	buffer := make([]byte, bytes)
	// Since Go 1.24, crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = rand.Read(buffer)
	return hex.EncodeToString(buffer)
}
