package dispatch

import (
	"time"
)

// AdmissionDecision is the decision on a request before it is sent.
type AdmissionDecision struct {
	Admitted   bool
	RetryAfter time.Duration // when capacity is expected, if refused
}

// LatencyLimits bounds what a caller waits for the first byte.
type LatencyLimits struct {
	Target    time.Duration // time from the request's arrival within which the answer has its full worth
	Remaining time.Duration // until the caller's deadline, or until it gives up
}

const (
	// lateShare is the multiple of the target up to which the first byte may be
	// expected. Beyond it the engine's time serves others that are still on time:
	// it is the same work, and worth less when it is late.
	lateShare = 1.0
	// leftShare is the share of the caller's remaining time within which the first
	// byte must be expected, so that the rest of the answer fits.
	leftShare = 0.8
	// retryFloor is the shortest time after which a refused caller is asked back:
	// some steps of a batch.
	retryFloor = 100 * time.Millisecond
)

// Admit decides whether a request that is expected to be answered after expected
// is sent. It answers bursts: work that would be finished after its caller has
// given up keeps others from being on time.
func Admit(expected time.Duration, p LatencyLimits) AdmissionDecision {
	limit := min(time.Duration(lateShare*float64(p.Target)), time.Duration(leftShare*float64(p.Remaining)))
	if expected <= limit {
		return AdmissionDecision{Admitted: true}
	}
	return AdmissionDecision{RetryAfter: max(expected-p.Target, retryFloor)}
}
