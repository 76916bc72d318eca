package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/protocol/sse"
)

// faultKind tells what an upstream did wrong.
type faultKind string

// The kinds of faults of an upstream's answer.
const (
	faultConnect     faultKind = "connect"      // no connection could be opened
	faultCut         faultKind = "cut"          // the connection broke
	faultSilent      faultKind = "silent"       // no progress
	faultStatus      faultKind = "status"       // a server error
	faultCrossed     faultKind = "crossed"      // the id of another request
	faultWrongOffset faultKind = "wrong_offset" // an event is missing or came twice
	faultNoEnd       faultKind = "no_end"       // the end mark is missing
	faultMalformed   faultKind = "malformed"    // no valid event or answer
	faultTooLarge    faultKind = "too_large"    // beyond a limit
)

// upstreamFault is an answer that is not whole or not the request's own.
type upstreamFault struct {
	kind faultKind
	err  error
}

// Error implements the error interface.
func (f *upstreamFault) Error() string { return fmt.Sprintf("%s: %v", f.kind, f.err) }

// Unwrap returns the cause.
func (f *upstreamFault) Unwrap() error { return f.err }

func newFault(kind faultKind, format string, args ...any) error {
	return &upstreamFault{kind: kind, err: fmt.Errorf(format, args...)}
}

// sink takes the checked events of a stream.
type sink interface {
	// event takes the next event. Pending tells that more follow at once.
	event(offset int, data []byte, pending bool) error
	// finish takes the end mark.
	finish() error
}

// streamReader checks that an upstream's stream is the request's own and whole.
type streamReader struct {
	upstreamID string // the id that each chunk must carry
	callerID   string // the id that the caller gets instead
	offset     int    // of the last event taken
	maxTokens  int
	arrived    *atomic.Int64 // counts the events of this send, nil when nobody follows it
}

// copyEvents passes checked events on to out until the end mark. It returns an
// *upstreamFault when the stream is wrong, and out's error when that fails.
func (r *streamReader) copyEvents(ctx context.Context, body io.Reader, maxEvent int, out sink) error {
	events := sse.NewReader(body, maxEvent)
	for {
		event, err := events.Next()
		if err != nil {
			return classifyReadError(ctx, err)
		}
		if string(event.Data) == httpapi.EndMark {
			return out.finish()
		}
		data, err := r.check(event)
		if err != nil {
			return err
		}
		if err := out.event(event.ID, data, events.Pending()); err != nil {
			return err
		}
		r.offset = event.ID
		if r.arrived != nil {
			r.arrived.Add(1)
		}
	}
}

// classifyReadError classifies an error of reading a stream.
func classifyReadError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		if errors.Is(cause, errUpstreamIdle) {
			return &upstreamFault{kind: faultSilent, err: cause}
		}
		return endCause(ctx)
	}
	switch {
	case errors.Is(err, io.EOF):
		return newFault(faultNoEnd, "the stream ended without its end mark")
	case errors.Is(err, sse.ErrTooLarge):
		return &upstreamFault{kind: faultTooLarge, err: err}
	case errors.Is(err, sse.ErrBadID):
		return &upstreamFault{kind: faultMalformed, err: err}
	default:
		return &upstreamFault{kind: faultCut, err: err}
	}
}

// check returns the event's data with the caller's id.
func (r *streamReader) check(event sse.Event) ([]byte, error) {
	data, err := r.replaceRequestID(event.Data)
	if err != nil {
		return nil, err
	}
	if event.ID != r.offset+1 {
		return nil, newFault(faultWrongOffset, "event %d came after event %d", event.ID, r.offset)
	}
	if event.ID > r.maxTokens {
		return nil, newFault(faultTooLarge, "the stream is longer than %d events", r.maxTokens)
	}
	return data, nil
}

const idField = `{"id":"`

// replaceRequestID checks the chunk's id and replaces it by the caller's.
func (r *streamReader) replaceRequestID(data []byte) ([]byte, error) {
	rest, ok := bytes.CutPrefix(data, []byte(idField+r.upstreamID+`"`))
	if ok {
		return r.appendCallerID(nil, rest), nil
	}
	var chunk struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, &upstreamFault{kind: faultMalformed, err: err}
	}
	if chunk.ID != r.upstreamID {
		return nil, newFault(faultCrossed, "a chunk carries the id %q", chunk.ID)
	}
	before, after, _ := bytes.Cut(data, []byte(`"`+r.upstreamID+`"`))
	return append(append(append([]byte(nil), before...), `"`+r.callerID+`"`...), after...), nil
}

func (r *streamReader) appendCallerID(buffer, rest []byte) []byte {
	buffer = append(buffer, idField...)
	buffer = append(buffer, r.callerID...)
	buffer = append(buffer, '"')
	return append(buffer, rest...)
}
