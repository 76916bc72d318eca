// Package errs provides errors that carry the step at which they arose and the
// peer involved, with a stack trace recorded by eris.
package errs

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Step names the operation that failed, for example "claim order" or "read bundle pointer".
type Step string

// Peer names the other side of the operation, usually an instance, an upstream or the store.
type Peer string

// Self is the peer of an error that involves no other process.
const Self Peer = "self"

// Error is a failure with its step and peer.
type Error struct {
	Step Step
	Peer Peer

	cause error
	err   error // cause with its stack trace
}

// Wrap attaches step and peer to err. It returns nil when err is nil.
func Wrap(err error, step Step, peer Peer) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, cause: err, err: eris.Wrap(err, string(step))}
}

// New returns an error with the given step, peer and message.
func New(step Step, peer Peer, message string) error {
	err := eris.New(message)
	return &Error{Step: step, Peer: peer, cause: err, err: err}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.cause)
}

// Unwrap returns the wrapped error, so that errors.Is and errors.As see the cause.
func (e *Error) Unwrap() error { return e.err }

// Trace returns the error with its stack trace, for debug logs.
func (e *Error) Trace() string { return eris.ToString(e.err, true) }

// Origin returns the step and peer of the innermost Error in the chain.
// The result is empty when the chain holds none.
func Origin(err error) (Step, Peer) {
	var step Step
	var peer Peer
	for err != nil {
		var e *Error
		if !errors.As(err, &e) {
			break
		}
		step, peer = e.Step, e.Peer
		err = e.err
	}
	return step, peer
}
