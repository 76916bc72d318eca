package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/protocol/sse"
	"savoryweir/internal/standin/engine"
	"savoryweir/internal/state/bundle"
)

// BenchmarkStreamEvent measures the cost of validating one event and encoding it for the caller.
func BenchmarkStreamEvent(b *testing.B) {
	id := "up"
	data := `{"id":"up","object":"chat.completion.chunk","model":"small","choices":[{"index":0,"delta":{"content":"` +
		engine.Token("p", 1) + `"},"finish_reason":null}]}`
	var stream []byte
	for i := range b.N {
		stream = sse.Append(stream, sse.Event{ID: i + 1, Data: []byte(data)})
	}
	stream = sse.Append(stream, sse.Event{Data: []byte(httpapi.DoneMarker)})
	view := NewView(ViewData{Bundle: bundle.Bundle{Generation: 1}})
	w := httptest.NewRecorder()
	w.Body = nil
	out := newStreamSink(discardWriter{w}, &call{id: "r1", view: view}, time.Minute)
	r := streamReader{upstreamID: id, callerID: "r1", maxTokens: b.N + 1}
	b.ReportAllocs()
	b.ResetTimer()
	if err := r.copyEvents(context.Background(), bytes.NewReader(stream), 1<<16, out); err != nil {
		b.Fatal(err)
	}
}

// discardWriter discards the body.
type discardWriter struct{ http.ResponseWriter }

func (discardWriter) Write(p []byte) (int, error) { return io.Discard.Write(p) }
func (discardWriter) FlushError() error           { return nil }
