package ctl

import (
	"errors"
	"fmt"

	"savoryweir/internal/coordination/signoff"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/bundlestore"
)

// Code is the exit status of savoryweirctl.
type Code int

// The exit codes.
const (
	CodeOK           Code = 0
	CodeFailed       Code = 1 // any other failure
	CodeUsage        Code = 2 // wrong command line or settings
	CodeRefused      Code = 3 // the bundle has faults
	CodeUnsigned     Code = 4 // valid signatures are missing
	CodeRaceLost     Code = 5 // another operator's approval came first
	CodeStoreDown    Code = 6 // the store did not answer and nothing was changed
	CodeUnknown      Code = 7 // the approval may or may not have taken effect
	CodeNotUniform   Code = 8 // an instance is not ready, or not at the latest generation seen
	exitCodesSummary      = `Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 bundle refused,
4 signatures missing, 5 another approval came first, 6 store unavailable and nothing changed,
7 outcome unknown, 8 instances are not ready or not at one generation.`
)

// notUniformError reports instances that differ.
type notUniformError struct{ Count int }

// Error implements the error interface.
func (e *notUniformError) Error() string {
	return fmt.Sprintf("%d processes do not answer, are not ready or are behind", e.Count)
}

// classify returns the exit code of an error and a plain sentence on what to do.
func classify(err error) (Code, string) {
	var faults *bundle.FaultsError
	var refused *signoff.InsufficientSignaturesError
	var race *bundlestore.ConflictError
	var unknown *bundlestore.OutcomeUnknownError
	var uneven *notUniformError
	switch {
	case errors.As(err, &race):
		return CodeRaceLost, "Nothing was changed by this command. Look at the winner with 'bundle show' and decide again."
	case errors.As(err, &unknown):
		return CodeUnknown, "The store may still take the approval. Look with 'bundle history' before you repeat the command."
	case errors.As(err, &faults):
		return CodeRefused, "The bundle was refused and nothing was changed."
	case errors.As(err, &refused):
		return CodeUnsigned, "Nothing was changed. Let more operators sign with 'bundle sign'."
	case errors.As(err, &uneven):
		return CodeNotUniform, ""
	case errors.Is(err, object.ErrUnavailable), errors.Is(err, object.ErrThrottled):
		return CodeStoreDown, "The store did not answer and no bundle was approved. Try again later."
	default:
		return CodeFailed, ""
	}
}
