package entry

import (
	"errors"
	"net/http"
	"strings"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/order"
)

// firstAttempt is the value of the attempt header of an order that was never sent before.
const firstAttempt = "1"

// mayBeResend reports whether an earlier send of the same order may exist. Only a caller that
// numbers its attempts can rule that out.
func mayBeResend(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, servicesPath) &&
		r.Header.Get(httpapi.HeaderIdempotencyKey) != "" &&
		r.Header.Get(httpapi.HeaderAttempt) != firstAttempt
}

// forResend returns the failure as it is reported for a possible resend. OutcomeNotRun of this send
// says nothing about earlier ones, so it becomes OutcomeUnknown unless the order's record was read.
func (f *Failure) forResend() *Failure {
	if f.Outcome != order.OutcomeNotRun || f.OutcomeIsFinal {
		return f
	}
	adjusted := *f
	adjusted.Outcome = order.OutcomeUnknown
	return &adjusted
}

// badHeaderFailure rejects a call with an invalid header. The outcome is final for an invalid
// idempotency key, since no send with such a key can have run.
func badHeaderFailure(err error) *Failure {
	failure := badRequestFailure(err)
	var headerErr *httpapi.HeaderError
	failure.OutcomeIsFinal = errors.As(err, &headerErr) && headerErr.Header == httpapi.HeaderIdempotencyKey
	return failure
}
