package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"savoryweir/internal/state/order"
)

// Code identifies an error to callers. Codes are stable and are never renamed.
type Code string

// The error codes.
const (
	CodeBadRequest        Code = "bad_request"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeUnknownRoute      Code = "unknown_route"
	CodeUnknownService    Code = "unknown_service"
	CodeUnknownModel      Code = "unknown_model"
	CodeNotReady          Code = "not_ready"
	CodeStopping          Code = "instance_stopping"
	CodeNoCapacity        Code = "no_capacity"
	CodeDeadlineExceeded  Code = "deadline_exceeded"
	CodeUpstreamFailed    Code = "upstream_failed"
	CodeUpstreamRefused   Code = "upstream_refused"
	CodeRequestSuspect    Code = "request_crashes_upstreams"
	CodeClaimsUnavailable Code = "order_claims_unavailable"
	CodeOrderRunning      Code = "order_running"
	CodeOrderUnknown      Code = "order_outcome_unknown"
	CodeAnswerNotKept     Code = "order_answer_not_kept"
	CodeKeyReused         Code = "idempotency_key_reused"
	CodeMethodNotAllowed  Code = "method_not_allowed"
)

// ErrorDetail describes a failed call.
type ErrorDetail struct {
	Code      Code          `json:"code"`
	Message   string        `json:"message"`
	RequestID string        `json:"request_id"`
	Outcome   order.Outcome `json:"outcome"`
	// RetryAfterSeconds is zero if a retry cannot succeed.
	RetryAfterSeconds int `json:"retry_after_s,omitempty"`
}

// ErrorBody is the JSON body of a failed call.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// WriteError writes a complete error response.
func WriteError(w http.ResponseWriter, status int, detail ErrorDetail) {
	body, err := json.Marshal(ErrorBody{Error: detail})
	if err != nil {
		status = http.StatusInternalServerError
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRequestID, detail.RequestID)
	h.Set(HeaderOutcome, string(detail.Outcome))
	if detail.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(detail.RetryAfterSeconds))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// RetryAfterSeconds rounds d up to whole seconds. The result is at least 1 unless d is zero.
func RetryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
