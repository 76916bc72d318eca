// Package operations serves the operations port of a process: metrics, health,
// readiness, status and time line. It is apart from the callers' port and only reads.
package operations

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/timelinefile"
	"savoryweir/internal/state/status"
	"savoryweir/internal/state/timeline"
)

// The paths of the operations port.
const (
	PathMetrics  = "/metrics"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathStatus   = "/status"
	PathTimeline = "/timeline"
)

// Limits of the server.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
	maxHeader    = 16 << 10 // bytes
)

// Options are the sources of what is served. Status and Events may be nil.
type Options struct {
	Metrics prometheus.Gatherer
	// Ready returns nil when callers may be sent here, else the reason why not.
	Ready  func() error
	Status func() status.Status
	Events func() []timeline.Event
}

// Handler returns the handler of all paths.
func Handler(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(o.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET "+PathReady, o.serveReady)
	if o.Status != nil {
		mux.HandleFunc("GET "+PathStatus, o.serveStatus)
	}
	if o.Events != nil {
		mux.HandleFunc("GET "+PathTimeline, o.serveTimeline)
	}
	return mux
}

// Serve serves handler on listener until ctx ends, then waits for requests in
// flight for at most grace.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{
		Handler:        handler,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errs.Wrap(err, "serve operations port", errs.Self)
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	err := server.Shutdown(stopping)
	if served := <-failed; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return errs.Wrap(err, "stop operations port", errs.Self)
}

func (o Options) serveReady(w http.ResponseWriter, _ *http.Request) {
	if o.Ready != nil {
		if err := o.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
	}
	writeText(w, http.StatusOK, "ready")
}

func (o Options) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := o.Status()
	s.Ready, s.NotReady = true, ""
	if o.Ready != nil {
		if err := o.Ready(); err != nil {
			s.Ready, s.NotReady = false, err.Error()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has left; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(s)
}

func (o Options) serveTimeline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", timelinefile.ContentType)
	_ = timelinefile.Write(w, o.Events())
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text + "\n"))
}
