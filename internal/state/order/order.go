// Package order defines the orders of callers, which are requests that must run at most
// once, and the answers to a claim of an order.
package order

import (
	"time"

	"savoryweir/internal/state/bundle"
)

// Key is the caller's idempotency key. It is unique within a service.
type Key string

// Fingerprint is the SHA-256 hash of an order's method, path and body.
type Fingerprint [32]byte

// Outcome states whether an order ran.
type Outcome string

// The outcomes of an order.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Claim is a request for the right to run an order once.
type Claim struct {
	Service     bundle.ServiceName
	Key         Key
	Fingerprint Fingerprint
	Request     string    // ID of the request at the entry that claims
	Deadline    time.Time // time until which the caller waits
}

// Result is the recorded result of an order.
type Result struct {
	Outcome     Outcome
	Status      int // HTTP status of the upstream's response, zero if there was none
	ContentType string
	Body        []byte
	BodyOmitted bool   // true if the body was too long to be recorded
	BodyHash    []byte // SHA-256 hash of an omitted body
}

// ClaimState is the state that a claim finds its order in.
type ClaimState string

// The states that a claim can find.
const (
	// ClaimGranted means that the claimant may send the order once.
	ClaimGranted ClaimState = "granted"
	// ClaimFinished means that the answer contains the result of an earlier run.
	ClaimFinished ClaimState = "finished"
	// ClaimRunning means that another claimant, which is alive, holds the order.
	ClaimRunning ClaimState = "running"
	// ClaimMismatch means that the key was used for a different order.
	ClaimMismatch ClaimState = "mismatch"
)

// Answer is the response to a claim.
type Answer struct {
	State  ClaimState
	Token  string // identifies a granted claim in the report of its end
	Result Result // set when State is ClaimFinished
}

// UnavailableError reports that no claim was recorded, so the order did not run.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements the error interface.
func (e *UnavailableError) Error() string { return "order claims unavailable: " + e.Cause.Error() }

// Unwrap returns the error that prevented the claim.
func (e *UnavailableError) Unwrap() error { return e.Cause }
