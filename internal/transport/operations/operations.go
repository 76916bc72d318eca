// Package operations serves the operations port of a process: metrics, health,
// readiness, status and timeline. The port is separate from the callers' port and
// read-only.
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

// Paths of the operations port.
const (
	PathMetrics  = "/metrics"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathStatus   = "/status"
	PathTimeline = "/timeline"
)

// Limits of the server.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// Options holds the sources of the served data. Ready, Status and Events may be nil:
// without Ready the process is always ready, and the paths of the others are not served.
type Options struct {
	Metrics prometheus.Gatherer
	// Ready returns nil if the process can serve callers, otherwise the reason why not.
	Ready  func() error
	Status func() status.Status
	Events func() []timeline.Event
}

// Handler returns the HTTP handler of the operations port.
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

// Serve serves handler on listener until ctx ends. It then waits at most grace for the
// requests in flight.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{
		Handler:        handler,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return errs.Wrap(err, "serve operations port", errs.Self)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
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
	// A served write means that the client has closed the connection; there is nobody
	// to report it to.
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
