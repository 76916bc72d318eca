package bundles

import (
	"github.com/prometheus/client_golang/prometheus"

	"savoryweir/internal/state/activebundle"
)

// metrics are the Prometheus metrics of a Manager.
type metrics struct {
	generation  prometheus.Gauge
	heads       *prometheus.CounterVec
	refused     prometheus.Counter
	fetchErrors prometheus.Counter
	watchErrors prometheus.Counter
	fetched     prometheus.Counter
	dropped     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) metrics {
	m := metrics{
		generation: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "savoryweir_bundle_generation", Help: "Generation in force."}),
		heads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "savoryweir_bundle_heads_total", Help: "Offered heads, by the result of the comparison with the head in force."}, []string{"verdict"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savoryweir_bundle_refused_total", Help: "Generations rejected because of their hashes, signatures or content."}),
		fetchErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savoryweir_bundle_fetch_errors_total", Help: "Failed fetches of sections."}),
		watchErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savoryweir_bundle_watch_errors_total", Help: "Failed reads and watches of the pointer."}),
		fetched: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savoryweir_bundle_fetched_bytes_total", Help: "Bytes of fetched sections, manifests and approvals."}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savoryweir_bundle_heads_dropped_total", Help: "Heads dropped because the queue was full."}),
	}
	for _, verdict := range []activebundle.Comparison{activebundle.Newer, activebundle.Current, activebundle.Older, activebundle.Conflicting} {
		m.heads.WithLabelValues(string(verdict))
	}
	if registerer != nil {
		registerer.MustRegister(m.generation, m.heads, m.refused, m.fetchErrors, m.watchErrors, m.fetched, m.dropped)
	}
	return m
}
