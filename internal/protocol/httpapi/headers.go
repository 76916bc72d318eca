// Package httpapi defines the headers, bodies and errors of the HTTP APIs that callers use
// and that upstreams provide.
package httpapi

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/state/order"
)

// Request headers that callers send, that upstreams receive, or both.
const (
	// HeaderRequestID identifies a request. Responses repeat it.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is the time in milliseconds within which the caller needs the complete
	// response.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderAnswerTokens is the number of tokens that the caller expects in the response.
	HeaderAnswerTokens = "X-Answer-Tokens"
	// HeaderClass is the urgency class of a request.
	HeaderClass = "X-Request-Class"
	// HeaderIdempotencyKey identifies an order. It is the same for all its retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is the number of the caller's attempt to send an order, starting at 1.
	// Without it each attempt counts as a possible retry.
	HeaderAttempt = "X-Call-Attempt"
	// HeaderResumeOffset is the id of the last stream event that the receiver has received.
	HeaderResumeOffset = "Last-Event-ID"
	// HeaderPriority passes the class to engines. They run lower numbers first.
	HeaderPriority = "X-Priority"
)

// Response headers.
const (
	// HeaderOutcome states whether a call ran: not_run, ran or unknown.
	HeaderOutcome = "Call-Outcome"
	// HeaderReplayed marks a response that was recorded by an earlier run of the order.
	HeaderReplayed = "Idempotent-Replayed"
	// HeaderReplayedStatus is the status of a recorded response whose body was not stored.
	HeaderReplayedStatus = "Idempotent-Replayed-Status"
	// HeaderReplayedDigest is the digest of a body that was not stored, in the format of
	// RFC 9530.
	HeaderReplayedDigest = "Idempotent-Replayed-Digest"
	// HeaderGeneration is the bundle generation under which a request ran.
	HeaderGeneration = "X-Bundle-Generation"
	// HeaderLoadRunning is the number of requests that an upstream is running.
	HeaderLoadRunning = "X-Load-Running"
	// HeaderLoadWaiting is the number of requests in an upstream's queue.
	HeaderLoadWaiting = "X-Load-Waiting"
	// HeaderLeaving states that an upstream accepts no new requests.
	HeaderLeaving = "X-Upstream-Leaving"
)

// Limits of header values.
const (
	MaxRequestIDBytes      = 128
	MaxIdempotencyKeyBytes = 255
	MaxDeadline            = 24 * time.Hour
	MaxAttempt             = 1_000_000
	MaxAnswerTokens        = 1 << 20
	MaxResumeOffset        = 1 << 31
)

// RequestHeaders holds the parsed headers of a caller's request.
type RequestHeaders struct {
	RequestID      string        // empty if the header is absent
	Deadline       time.Duration // zero if the header is absent
	Class          routing.Class
	IdempotencyKey order.Key // empty if the header is absent
	Attempt        int       // 1 if the header is absent
	ResumeOffset   int       // zero if the header is absent
	AnswerTokens   int       // expected length of the response in tokens; zero if the header is absent
}

// HeaderError reports a header with an invalid value.
type HeaderError struct {
	Header  string
	Allowed string
}

// Error implements the error interface.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s must be %s", e.Header, e.Allowed)
}

// ParseHeaders parses the headers of a caller's request. It returns a *HeaderError if a
// header is invalid.
func ParseHeaders(h http.Header) (RequestHeaders, error) {
	parsed := RequestHeaders{Class: routing.ClassNow, Attempt: 1}
	if err := rejectRepeatedHeaders(h); err != nil {
		return parsed, err
	}
	parsed.RequestID = h.Get(HeaderRequestID)
	if !isValidToken(parsed.RequestID, MaxRequestIDBytes) {
		return parsed, &HeaderError{HeaderRequestID, "at most 128 letters, digits or -_.:"}
	}
	parsed.IdempotencyKey = order.Key(h.Get(HeaderIdempotencyKey))
	if !isValidToken(string(parsed.IdempotencyKey), MaxIdempotencyKeyBytes) {
		return parsed, &HeaderError{HeaderIdempotencyKey, "at most 255 letters, digits or -_.:"}
	}
	return parsed, parseNumbers(h, &parsed)
}

// parseNumbers parses the numeric headers and the class.
func parseNumbers(h http.Header, parsed *RequestHeaders) error {
	deadlineMillis, err := parseNumber(h, HeaderDeadline, 0, 1, int(MaxDeadline.Milliseconds()))
	if err != nil {
		return err
	}
	parsed.Deadline = time.Duration(deadlineMillis) * time.Millisecond
	if parsed.Attempt, err = parseNumber(h, HeaderAttempt, 1, 1, MaxAttempt); err != nil {
		return err
	}
	if parsed.ResumeOffset, err = parseNumber(h, HeaderResumeOffset, 0, 0, MaxResumeOffset); err != nil {
		return err
	}
	if parsed.AnswerTokens, err = parseNumber(h, HeaderAnswerTokens, 0, 1, MaxAnswerTokens); err != nil {
		return err
	}
	parsed.Class, err = parseClass(h.Get(HeaderClass))
	return err
}

// rejectRepeatedHeaders returns an error if a header that must be unique is repeated.
func rejectRepeatedHeaders(h http.Header) error {
	for _, name := range []string{
		HeaderRequestID, HeaderDeadline, HeaderClass, HeaderIdempotencyKey, HeaderAttempt, HeaderResumeOffset,
		HeaderAnswerTokens,
	} {
		if len(h.Values(name)) > 1 {
			return &HeaderError{name, "given once"}
		}
	}
	return nil
}

// parseNumber parses a header with a whole number from minimum to maximum. It returns
// defaultValue if the header is missing.
func parseNumber(h http.Header, name string, defaultValue, minimum, maximum int) (int, error) {
	value := h.Get(name)
	if value == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < minimum || n > maximum {
		return 0, &HeaderError{name, fmt.Sprintf("a whole number from %d to %d", minimum, maximum)}
	}
	return n, nil
}

// parseClass parses the urgency class. The default is routing.ClassNow.
func parseClass(value string) (routing.Class, error) {
	switch class := routing.Class(value); class {
	case "":
		return routing.ClassNow, nil
	case routing.ClassNow, routing.ClassOvernight, routing.ClassLong:
		return class, nil
	default:
		return "", &HeaderError{HeaderClass, "now, overnight or long"}
	}
}

// isValidToken reports whether value has at most limit bytes, all of them letters, digits or
// one of -_.: characters.
func isValidToken(value string, limit int) bool {
	if len(value) > limit {
		return false
	}
	for _, c := range []byte(value) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' && c != ':' {
			return false
		}
	}
	return true
}

// SHA256Digest returns a SHA-256 hash in the format of a digest header (RFC 9530).
func SHA256Digest(hash []byte) string {
	return "sha-256=:" + base64.StdEncoding.EncodeToString(hash) + ":"
}
