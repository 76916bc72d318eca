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

// faultKind classifies what was wrong with an upstream's answer. It is a metric label.
type faultKind string

// The kinds of faults of an upstream's answer.
const (
	faultConnect     faultKind = "connect"      // no connection could be opened, or no byte was sent
	faultCut         faultKind = "cut"          // the connection broke after a byte may have been sent
	faultSilent      faultKind = "silent"       // no byte arrived within the timeout
	faultStatus      faultKind = "status"       // the answer has an error status
	faultCrossed     faultKind = "crossed"      // the answer carries the id of another request
	faultWrongOffset faultKind = "wrong_offset" // an event is missing or repeated
	faultNoEnd       faultKind = "no_end"       // the end mark of the answer is missing
	faultMalformed   faultKind = "malformed"    // an event or the answer can't be decoded
	faultTooLarge    faultKind = "too_large"    // an event or the answer exceeds a limit
)

// upstreamFault is an attempt whose answer is incomplete, invalid or that of another request.
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

// eventSink receives the validated events of a stream.
type eventSink interface {
	// event receives the next event. The flag pending reports that more events follow at once.
	event(offset int, data []byte, pending bool) error
	// finish receives the end mark.
	finish() error
}

// streamReader checks that an upstream's stream belongs to the request and is complete.
type streamReader struct {
	upstreamID string // the id that each chunk must carry
	callerID   string // the id that replaces it in the caller's answer
	offset     int    // offset of the last event that was forwarded
	maxTokens  int
	received   *atomic.Int64 // counts the events of this attempt; nil if they are not tracked
}

// copyEvents forwards validated events to out until the end mark. It returns an *upstreamFault if
// the stream is invalid, the cause of ctx if ctx ends, and the error of out if out fails.
func (r *streamReader) copyEvents(ctx context.Context, body io.Reader, maxEvent int, out eventSink) error {
	events := sse.NewReader(body, maxEvent)
	for {
		event, err := events.Next()
		if err != nil {
			return classifyReadError(ctx, err)
		}
		if string(event.Data) == httpapi.DoneMarker {
			return out.finish()
		}
		data, err := r.check(event)
		if err != nil {
			return err
		}
		if err := out.event(event.ID, data, events.HasBufferedEvent()); err != nil {
			return err
		}
		r.offset = event.ID
		if r.received != nil {
			r.received.Add(1)
		}
	}
}

// classifyReadError turns an error of reading a stream into an *upstreamFault or the cause that ended ctx.
func classifyReadError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		if errors.Is(cause, errUpstreamIdle) {
			return &upstreamFault{kind: faultSilent, err: cause}
		}
		return endCause(ctx)
	}
	switch {
	case errors.Is(err, io.EOF):
		return newFault(faultNoEnd, "stream ended without its end mark")
	case errors.Is(err, sse.ErrTooLarge):
		return &upstreamFault{kind: faultTooLarge, err: err}
	case errors.Is(err, sse.ErrBadID):
		return &upstreamFault{kind: faultMalformed, err: err}
	default:
		return &upstreamFault{kind: faultCut, err: err}
	}
}

// check validates an event and returns its data with the caller's id.
func (r *streamReader) check(event sse.Event) ([]byte, error) {
	data, err := r.replaceRequestID(event.Data)
	if err != nil {
		return nil, err
	}
	if event.ID != r.offset+1 {
		return nil, newFault(faultWrongOffset, "event %d followed event %d, expected consecutive offsets", event.ID, r.offset)
	}
	if event.ID > r.maxTokens {
		return nil, newFault(faultTooLarge, "stream is longer than the limit of %d events", r.maxTokens)
	}
	return data, nil
}

const idField = `{"id":"`

// replaceRequestID checks the id of a chunk and replaces it with the caller's.
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
		return nil, newFault(faultCrossed, "chunk carries the id %q, which is not the id of this request", chunk.ID)
	}
	before, after, _ := bytes.Cut(data, []byte(`"`+r.upstreamID+`"`))
	return append(append(append([]byte(nil), before...), `"`+r.callerID+`"`...), after...), nil
}

// appendCallerID appends the start of a chunk with the caller's id, and the rest of the chunk.
func (r *streamReader) appendCallerID(buffer, rest []byte) []byte {
	buffer = append(buffer, idField...)
	buffer = append(buffer, r.callerID...)
	buffer = append(buffer, '"')
	return append(buffer, rest...)
}
