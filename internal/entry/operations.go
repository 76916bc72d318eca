package entry

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Operations returns the interface for operators and the balancer.
func (s *Server) Operations() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /timeline", s.serveTimeline)
	return mux
}

// serveReady tells the balancer whether this instance takes new requests.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.drain.isStopping():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case s.views.View() == nil:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// serveTimeline writes the recorded events as JSON lines.
func (s *Server) serveTimeline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, event := range s.recorder.Events() {
		if err := encoder.Encode(event); err != nil {
			return
		}
	}
}
