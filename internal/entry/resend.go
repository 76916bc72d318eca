package entry

import (
	"errors"
	"net/http"
	"strings"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/order"
)

// firstAttempt is the attempt header of an order that was never sent before.
const firstAttempt = "1"

// mayBeResend reports whether an earlier send of the same order may exist. Only a
// caller that counts its sends can rule that out.
func mayBeResend(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, servicesPath) &&
		r.Header.Get(httpapi.HeaderIdempotencyKey) != "" &&
		r.Header.Get(httpapi.HeaderAttempt) != firstAttempt
}

// forResend returns the failure as a possible resend must be told of it: that
// this send did not run says nothing of earlier ones, unless the record of the
// order was read.
func (f *Failure) forResend() *Failure {
	if f.Outcome != order.OutcomeNotRun || f.OutcomeIsFinal {
		return f
	}
	adjusted := *f
	adjusted.Outcome = order.OutcomeUnknown
	return &adjusted
}

// badHeaderFailure refuses a call with a wrong header. No send under a key that is not
// allowed can have run.
func badHeaderFailure(err error) *Failure {
	failure := badRequestFailure(err)
	var headerErr *httpapi.HeaderError
	failure.OutcomeIsFinal = errors.As(err, &headerErr) && headerErr.Header == httpapi.HeaderIdempotencyKey
	return failure
}
