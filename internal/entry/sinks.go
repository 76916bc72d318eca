package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/protocol/sse"
)

// answerSink is an event sink whose answer can end with a failure.
type answerSink interface {
	eventSink
	// fail writes the failure as the end of the answer, or as the whole answer if nothing was written.
	fail(f *Failure)
}

// eventErrorName is the name of the event that ends a stream that could not be completed.
const eventErrorName = "error"

// streamSink forwards events to a caller that requested a stream.
type streamSink struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	call        *call
	timeout     time.Duration
	headersSent bool
	buffer      []byte
}

func newStreamSink(w http.ResponseWriter, c *call, timeout time.Duration) *streamSink {
	return &streamSink{w: w, control: http.NewResponseController(w), call: c, timeout: timeout}
}

// setAnswerHeaders sets the headers that all successful answers have.
func setAnswerHeaders(h http.Header, c *call) {
	h.Set(httpapi.HeaderRequestID, c.id)
	h.Set(httpapi.HeaderGeneration, strconv.FormatUint(uint64(c.view.Bundle.Generation), 10))
}

// sendHeaders writes the status and the headers, once.
func (s *streamSink) sendHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	setAnswerHeaders(s.w.Header(), s.call)
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// write writes one event. It flushes unless more events follow at once. It returns
// errCallerDisconnected if the event could not be written in time.
func (s *streamSink) write(e sse.Event, pending bool) error {
	s.sendHeaders()
	s.buffer = sse.Append(s.buffer[:0], e)
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write(s.buffer); err != nil {
		return errCallerDisconnected
	}
	if pending {
		return nil
	}
	if err := s.control.Flush(); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// event implements eventSink.
func (s *streamSink) event(offset int, data []byte, pending bool) error {
	return s.write(sse.Event{ID: offset, Data: data}, pending)
}

// finish implements eventSink.
func (s *streamSink) finish() error {
	return s.write(sse.Event{Data: []byte(httpapi.DoneMarker)}, false)
}

// fail implements answerSink.
func (s *streamSink) fail(f *Failure) {
	if !s.headersSent {
		httpapi.WriteError(s.w, f.Status, f.detail(s.call.id))
		return
	}
	data, err := json.Marshal(httpapi.ErrorBody{Error: f.detail(s.call.id)})
	if err != nil {
		return
	}
	_ = s.write(sse.Event{Name: eventErrorName, Data: data}, false)
}

// completionSink collects the events of a stream for a caller that requested one JSON answer.
type completionSink struct {
	w            http.ResponseWriter
	call         *call
	model        string
	text         strings.Builder
	finishReason string
	tokens       int
}

// event implements eventSink.
func (s *completionSink) event(_ int, data []byte, _ bool) error {
	var chunk httpapi.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return &upstreamFault{kind: faultMalformed, err: err}
	}
	s.tokens++
	for _, choice := range chunk.Choices {
		s.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			s.finishReason = *choice.FinishReason
		}
	}
	return nil
}

// finish implements eventSink.
func (s *completionSink) finish() error {
	body, err := json.Marshal(httpapi.Completion{
		ID: s.call.id, Object: httpapi.ObjectCompletion, Model: s.model,
		Choices: []httpapi.Choice{{
			Message:      httpapi.Message{Role: "assistant", Content: s.text.String()},
			FinishReason: s.finishReason,
		}},
		Usage: httpapi.Usage{CompletionTokens: s.tokens},
	})
	if err != nil {
		return &upstreamFault{kind: faultMalformed, err: err}
	}
	h := s.w.Header()
	setAnswerHeaders(h, s.call)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := s.w.Write(body); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// fail implements answerSink.
func (s *completionSink) fail(f *Failure) {
	httpapi.WriteError(s.w, f.Status, f.detail(s.call.id))
}
