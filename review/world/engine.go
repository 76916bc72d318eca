package world

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Engine is a stand-in of a model engine that holds one model all the time.
type Engine struct {
	ID     string
	Model  string
	Born   time.Time
	Events int
	Gap    time.Duration
	// Cut decides whether an answer stops in the middle of its event with the given number. Nil means never.
	Cut func(request string, event int) bool
	// OnEvent is called before the engine writes an event.
	OnEvent func(request string, event int)
}

// Models are the models in the entry and the report of the engine.
func (e *Engine) Models() []map[string]any {
	return []map[string]any{{"name": e.Model, "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the connection is gone
	}
	switch {
	case r.URL.Path == "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": e.Models(), "busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 144622, "handles": 0, "born": e.Born.UnixMilli(),
		})
	case r.URL.Path == "/v1/order":
		w.WriteHeader(http.StatusConflict)
	case r.Header.Get("Expect-Instance") != e.ID, r.Header.Get("Model") != e.Model:
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		e.stream(w, r)
	}
}

// Event is one event of a stream.
func Event(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, request)
}

// stream answers with events in chunks. An answer that is cut ends in the middle of an event: the engine stops
// and closes the body as its HTTP server does for every handler that returns.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	w.Header().Set("Response-Seal", Seal(request))
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= e.Events; n++ {
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			return
		}
		event := Event(request, n)
		if e.Cut != nil && e.Cut(request, n) {
			_, _ = io.WriteString(w, event[:len(event)/2])
			return
		}
		if e.OnEvent != nil {
			e.OnEvent(request, n)
		}
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
	}
}
