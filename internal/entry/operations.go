package entry

import (
	"errors"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"savoryweir/internal/state/status"
	"savoryweir/internal/transport/operations"
)

var (
	errStopping        = errors.New("stopping")
	errNoConfiguration = errors.New("no configuration")
)

// Operations returns the HTTP handler for operators and the load balancer.
func (s *Server) Operations() http.Handler {
	return operations.Handler(operations.Options{
		Metrics: s.metrics.registry,
		Ready:   s.ready,
		Status:  s.status,
		Events:  s.recorder.Events,
	})
}

// Describe sends the descriptors of all metrics, from which the reference pages are generated.
func (s *Server) Describe(descs chan<- *prometheus.Desc) { s.metrics.registry.Describe(descs) }

// ready returns nil if this instance accepts new requests, or the reason why the load balancer
// must not send any.
func (s *Server) ready() error {
	if s.drain.isStopping() {
		return errStopping
	}
	if s.views.View() == nil {
		return errNoConfiguration
	}
	return nil
}

// status returns the generation and the manifest that new requests use.
func (s *Server) status() status.Status {
	report := status.Status{Process: processName, Instance: s.settings.Instance.ID, Zone: s.settings.Instance.Zone}
	if view := s.views.View(); view != nil {
		report.Generation = view.Bundle.Generation
		report.Manifest = view.Manifest.String()
	}
	return report
}
