// Package order defines the calls that must run at most once and the answers
// to a claim on them.
package order

import (
	"time"

	"savoryweir/internal/state/bundle"
)

// Key is the caller's idempotency key, unique within a service.
type Key string

// Fingerprint is the SHA-256 hash of an order's method, path and body.
type Fingerprint [32]byte

// Outcome tells whether an order ran.
type Outcome string

// The outcomes of an order.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Claim asks for the right to run an order once.
type Claim struct {
	Service     bundle.ServiceName
	Key         Key
	Fingerprint Fingerprint
	Request     string    // request id at the claiming entry
	Deadline    time.Time // end of the caller's wait
}

// Result is the recorded end of an order.
type Result struct {
	Outcome     Outcome
	Status      int // HTTP status of the upstream's answer, zero if there was none
	ContentType string
	Body        []byte
	BodyOmitted bool   // the body was too long to be recorded
	BodyHash    []byte // SHA-256 hash of an omitted body
}

// ClaimState is the standing of an order when it is claimed.
type ClaimState string

// The states that a claim can meet.
const (
	// ClaimGranted gives the claimant the right to send the order once.
	ClaimGranted ClaimState = "granted"
	// ClaimFinished carries the result of an earlier run.
	ClaimFinished ClaimState = "finished"
	// ClaimRunning tells that another claimant holds the order and is alive.
	ClaimRunning ClaimState = "running"
	// ClaimMismatch tells that the key was used for a different order.
	ClaimMismatch ClaimState = "mismatch"
)

// Answer is the reply to a claim.
type Answer struct {
	State  ClaimState
	Token  string // identifies a granted claim when it is finished
	Result Result // set when State is ClaimFinished
}

// UnavailableError reports that no claim was recorded, so the order did not run.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements the error interface.
func (e *UnavailableError) Error() string { return "order claims unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
