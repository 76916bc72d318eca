package dispatch

import (
	"time"
)

// AdmissionDecision is the decision whether a request is sent to an upstream.
type AdmissionDecision struct {
	Admitted   bool
	RetryAfter time.Duration // time until capacity is expected, if not admitted
}

// LatencyLimits limits the time that a caller waits for the first byte.
type LatencyLimits struct {
	Target    time.Duration // time from the request's arrival within which the response has its full value
	Remaining time.Duration // time until the caller's deadline or until it gives up
	Deadline  time.Duration // time until the caller's deadline
}

const (
	// maxTargetShare is the multiple of the target within which the first byte must be
	// expected. A late response costs the engine the same work but is worth less, so its
	// time is left to requests that can still be on time.
	maxTargetShare = 1.0
	// maxRemainingShare is the share of the caller's remaining time within which the first
	// byte must be expected, so that the rest of the response arrives before the deadline.
	maxRemainingShare = 0.8
	// retryAfterShare is the share of the time until its deadline after which a refused
	// caller may retry. Bursts last for seconds: a caller that returns at once is refused
	// again, and one that returns later still has most of its time. With the jitter that is
	// added, the share stays below the third that callers wait at most.
	retryAfterShare = 0.26
	// minRetryAfter is the shortest time after which a refused caller may retry: the
	// duration of several batch steps.
	minRetryAfter = 100 * time.Millisecond
)

// refusal returns the decision not to admit a request.
func refusal(expected time.Duration, limits LatencyLimits) AdmissionDecision {
	return AdmissionDecision{RetryAfter: max(expected-limits.Target, RetryDelay(limits.Deadline))}
}

// RetryDelay returns the time after which a refused caller may retry, given the time until its
// deadline.
func RetryDelay(untilDeadline time.Duration) time.Duration {
	return max(time.Duration(retryAfterShare*float64(untilDeadline)), minRetryAfter)
}

// Admit decides whether a request is sent, given the expected time to the first byte. It
// protects against bursts: serving a request whose caller has given up by then would make
// other requests late.
func Admit(expected time.Duration, limits LatencyLimits) AdmissionDecision {
	limit := min(time.Duration(maxTargetShare*float64(limits.Target)), time.Duration(maxRemainingShare*float64(limits.Remaining)))
	if expected <= limit {
		return AdmissionDecision{Admitted: true}
	}
	return refusal(expected, limits)
}
