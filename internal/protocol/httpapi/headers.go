// Package httpapi defines the headers, bodies and errors of the HTTP interfaces
// that callers use and that upstreams offer.
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

// Headers that callers send, upstreams receive, or both.
const (
	// HeaderRequestID identifies a request. Answers carry it back.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is the time in milliseconds in which the whole answer is of use.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderAnswerTokens is the length of the answer that the caller expects.
	HeaderAnswerTokens = "X-Answer-Tokens"
	// HeaderClass is the urgency of a request.
	HeaderClass = "X-Request-Class"
	// HeaderIdempotencyKey identifies an order over all its resends.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt counts the sends of one order by its caller, from 1. Without it
	// each send counts as a possible resend.
	HeaderAttempt = "X-Call-Attempt"
	// HeaderResumeOffset is the id of the last stream event that the receiver has.
	HeaderResumeOffset = "Last-Event-ID"
	// HeaderPriority carries the class to engines; a lower number runs first.
	HeaderPriority = "X-Priority"
)

// Headers of answers.
const (
	// HeaderOutcome tells whether a call ran: not_run, ran or unknown.
	HeaderOutcome = "Call-Outcome"
	// HeaderReplayed marks an answer that comes from the record of an earlier run.
	HeaderReplayed = "Idempotent-Replayed"
	// HeaderReplayedStatus is the status of a recorded answer whose body was not kept.
	HeaderReplayedStatus = "Idempotent-Replayed-Status"
	// HeaderReplayedDigest is the digest of a body that was not kept, as in RFC 9530.
	HeaderReplayedDigest = "Idempotent-Replayed-Digest"
	// HeaderGeneration is the bundle generation under which a request ran.
	HeaderGeneration = "X-Bundle-Generation"
	// HeaderLoadRunning is the number of requests that an upstream runs.
	HeaderLoadRunning = "X-Load-Running"
	// HeaderLoadWaiting is the number of requests that wait at an upstream.
	HeaderLoadWaiting = "X-Load-Waiting"
	// HeaderLeaving tells that an upstream takes no new work.
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

// RequestHeaders are the checked headers of a caller's request.
type RequestHeaders struct {
	RequestID      string        // empty when the caller gave none
	Deadline       time.Duration // zero when the caller gave none
	Class          routing.Class
	IdempotencyKey order.Key // empty when the caller gave none
	Attempt        int
	ResumeOffset   int
	AnswerTokens   int // expected length of the answer, zero when the caller gave none
}

// HeaderError reports a header with a value that is not allowed.
type HeaderError struct {
	Header  string
	Allowed string
}

// Error implements the error interface.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s must be %s", e.Header, e.Allowed)
}

// ParseHeaders checks the headers of a caller's request.
func ParseHeaders(h http.Header) (RequestHeaders, error) {
	parsed := RequestHeaders{Class: routing.ClassNow, Attempt: 1}
	if err := checkSingle(h); err != nil {
		return parsed, err
	}
	parsed.RequestID = h.Get(HeaderRequestID)
	if !validToken(parsed.RequestID, MaxRequestIDBytes) {
		return parsed, &HeaderError{HeaderRequestID, "at most 128 letters, digits or -_.:"}
	}
	parsed.IdempotencyKey = order.Key(h.Get(HeaderIdempotencyKey))
	if !validToken(string(parsed.IdempotencyKey), MaxIdempotencyKeyBytes) {
		return parsed, &HeaderError{HeaderIdempotencyKey, "at most 255 letters, digits or -_.:"}
	}
	return parsed, parseNumbers(h, &parsed)
}

func parseNumbers(h http.Header, parsed *RequestHeaders) error {
	millis, err := parseNumber(h, HeaderDeadline, 0, 1, int(MaxDeadline.Milliseconds()))
	if err != nil {
		return err
	}
	parsed.Deadline = time.Duration(millis) * time.Millisecond
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

func checkSingle(h http.Header) error {
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

func parseNumber(h http.Header, name string, absent, low, high int) (int, error) {
	text := h.Get(name)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		return 0, &HeaderError{name, fmt.Sprintf("a whole number from %d to %d", low, high)}
	}
	return n, nil
}

func parseClass(text string) (routing.Class, error) {
	switch class := routing.Class(text); class {
	case "":
		return routing.ClassNow, nil
	case routing.ClassNow, routing.ClassOvernight, routing.ClassLong:
		return class, nil
	default:
		return "", &HeaderError{HeaderClass, "now, overnight or long"}
	}
}

func validToken(text string, limit int) bool {
	if len(text) > limit {
		return false
	}
	for _, c := range []byte(text) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' && c != ':' {
			return false
		}
	}
	return true
}

// SHA256Digest returns the form of a SHA-256 hash in a digest header.
func SHA256Digest(hash []byte) string {
	return "sha-256=:" + base64.StdEncoding.EncodeToString(hash) + ":"
}
