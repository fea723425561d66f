// Package fault defines the types of all errors that cross a package boundary. The name of an error's type is part of the
// answer to callers and of messages between hosts.
package fault

import (
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("citronglade")

// NotRun is the trait of errors after which the request certainly did not run.
var NotRun = errorx.RegisterTrait("not-run")

// Retryable is the trait of errors after which the same call may succeed later.
var Retryable = errorx.RegisterTrait("retryable")

// Ran is the trait of errors after which the request certainly did run.
var Ran = errorx.RegisterTrait("ran")

var (
	// BadInput is invalid input from outside the system.
	BadInput = namespace.NewType("bad-input", NotRun)
	// BadSetting is a setting with a value that isn't allowed.
	BadSetting = namespace.NewType("bad-setting", NotRun)
	// TooLarge is input over its size limit.
	TooLarge = namespace.NewType("too-large", NotRun)
	// BodyTimeout is a request whose body didn't arrive in time.
	BodyTimeout = namespace.NewType("body-timeout", NotRun, Retryable)
	// Unauthenticated is a missing or unknown credential.
	Unauthenticated = namespace.NewType("unauthenticated", NotRun)
	// Forbidden is an authenticated caller that isn't allowed to do what it asks for.
	Forbidden = namespace.NewType("forbidden", NotRun)
	// NotFound is a name or path that doesn't exist.
	NotFound = namespace.NewType("not-found", NotRun)
	// Conflict is an idempotency key that was used with another body, or an order that conflicts with another one.
	Conflict = namespace.NewType("conflict", NotRun)
	// OverLimit is a request that exceeds its customer's limit.
	OverLimit = namespace.NewType("over-limit", NotRun, Retryable)
	// Overloaded is a request that can't be served within its deadline.
	Overloaded = namespace.NewType("overloaded", NotRun, Retryable)
	// Quarantined is a request whose content has crashed engines.
	Quarantined = namespace.NewType("quarantined", NotRun)
	// Unresumable is a stream that can't go on after its last event, because no endpoint of the software version that began it serves it
	// any more or because that version isn't known. A new stream may be begun.
	Unresumable = namespace.NewType("unresumable", NotRun)
	// NoEndpoint is a request for which no usable endpoint is known.
	NoEndpoint = namespace.NewType("no-endpoint", NotRun, Retryable)
	// StaleConfiguration is a host that can't confirm that its configuration is up to date.
	StaleConfiguration = namespace.NewType("stale-configuration", NotRun, Retryable)
	// Stopping is a host that is shutting down and accepts no new work.
	Stopping = namespace.NewType("stopping", NotRun, Retryable)
	// NotLeader is a call to a host that isn't the leader of the consensus group; see Leader.
	NotLeader = namespace.NewType("not-leader", Retryable)
	// NoQuorum is a call that no quorum of its consensus group confirmed in time. A proposed command may still be applied
	// later.
	NoQuorum = namespace.NewType("no-quorum", Retryable)
	// Unreachable is a connection that was refused or never opened, so that no byte of the request was sent.
	Unreachable = namespace.NewType("unreachable", NotRun, Retryable)
	// BrokenAnswer is an endpoint or peer that failed after a byte of the request was sent.
	BrokenAnswer = namespace.NewType("broken-answer")
	// UnknownOutcome is a non-idempotent request that may or may not have run.
	UnknownOutcome = namespace.NewType("outcome-unknown")
	// ClaimFailed is a non-idempotent request that wasn't run because its claim wasn't stored durably.
	ClaimFailed = namespace.NewType("claim-failed", NotRun, Retryable)
	// AnswerLost is a non-idempotent request that ran but whose answer wasn't stored.
	AnswerLost = namespace.NewType("answer-lost", Ran)
	// CallerLeft is a caller that disconnected before its answer was complete.
	CallerLeft = namespace.NewType("caller-left")
	// Corrupt is stored data with a wrong checksum or an invalid structure.
	Corrupt = namespace.NewType("corrupt")
	// DiskFailed is a disk operation that failed. After a failed write or sync the contents of the file are unknown.
	DiskFailed = namespace.NewType("disk-failed")
	// DiskFull is a write that failed because the disk has no free space.
	DiskFull = namespace.NewType("disk-full", Retryable)
	// BadPeer is data from a peer that this version can't decode.
	BadPeer = namespace.NewType("bad-peer")
	// Internal is a broken invariant of this program.
	Internal = namespace.NewType("internal")
)

// Leader is the property of a NotLeader error that holds the host name of the group's leader, if it is known.
var Leader = errorx.RegisterPrintableProperty("leader")

var byName = map[string]*errorx.Type{}

func init() {
	for _, registered := range []*errorx.Type{
		BadInput, BadSetting, TooLarge, BodyTimeout, Unauthenticated, Forbidden, NotFound, Conflict, OverLimit, Overloaded, Quarantined,
		Unresumable, NoEndpoint, StaleConfiguration, Stopping, NotLeader, NoQuorum, Unreachable, BrokenAnswer, UnknownOutcome, Corrupt, DiskFailed, DiskFull,
		BadPeer, Internal, ClaimFailed, AnswerLost, CallerLeft,
	} {
		byName[typeName(registered)] = registered
	}
}

// ByName returns the type with the given kebab-case name, Internal if there is none. It is used to restore errors that were
// received from another host.
func ByName(name string) *errorx.Type {
	if registered, ok := byName[name]; ok {
		return registered
	}
	return Internal
}

// Name returns the kebab-case name of the error's type, "internal" for errors without one of the types of this package.
func Name(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return typeName(Internal)
	}
	return typeName(typed.Type())
}

// typeName returns the name of the type without its namespace.
func typeName(registered *errorx.Type) string {
	name := registered.FullName()
	return name[strings.LastIndexByte(name, '.')+1:]
}

// LeaderOf returns the leader's host name in a NotLeader error, and false if the error has none.
func LeaderOf(err error) (string, bool) {
	value, ok := errorx.ExtractProperty(err, Leader)
	if !ok {
		return "", false
	}
	name, ok := value.(string)
	return name, ok
}

// RetryAfter is the property of an error that holds the time.Duration after which a retry may succeed.
var RetryAfter = errorx.RegisterPrintableProperty("retry-after")

// RetryAfterOf returns the time after which a retry may succeed, and false if the error doesn't say so.
func RetryAfterOf(err error) (time.Duration, bool) {
	value, ok := errorx.ExtractProperty(err, RetryAfter)
	if !ok {
		return 0, false
	}
	after, ok := value.(time.Duration)
	return after, ok
}
