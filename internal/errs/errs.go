// Package errs provides errors that record the step that failed and the peer involved, with a
// stack trace from package eris.
package errs

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Step is the operation that failed, for example "claim order" or "read bundle pointer".
type Step string

// Peer is the other party to the operation, usually an instance, an upstream or the store.
type Peer string

// Self is the peer of an error in which no other process is involved.
const Self Peer = "self"

// Error is an error with the step that failed and the peer involved.
type Error struct {
	Step Step
	Peer Peer

	cause  error
	traced error // cause with its stack trace
}

// Wrap returns err with step, peer and a stack trace, or nil if err is nil.
func Wrap(err error, step Step, peer Peer) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, cause: err, traced: eris.Wrap(err, string(step))}
}

// New returns an error with the given step, peer and message, and a stack trace.
func New(step Step, peer Peer, message string) error {
	err := eris.New(message)
	return &Error{Step: step, Peer: peer, cause: err, traced: err}
}

// Error returns the step, the peer and the message of the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.cause)
}

// Unwrap returns the cause, so that errors.Is and errors.As find it.
func (e *Error) Unwrap() error { return e.traced }

// Trace returns the error and its stack trace as text for debug logs.
func (e *Error) Trace() string { return eris.ToString(e.traced, true) }

// Origin returns the step and peer of the innermost Error in the chain of err, or empty
// values if the chain contains no Error.
func Origin(err error) (Step, Peer) {
	var step Step
	var peer Peer
	for err != nil {
		var wrapped *Error
		if !errors.As(err, &wrapped) {
			break
		}
		step, peer = wrapped.Step, wrapped.Peer
		err = wrapped.traced
	}
	return step, peer
}
