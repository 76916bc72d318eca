// Package telemetry holds the metrics of an instance on the users' platform.
package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics are the counters and histograms of a process.
type Metrics struct {
	Registry *prometheus.Registry

	requests  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	sends     *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	gaps      prometheus.Histogram
	waits     prometheus.Histogram
	store     *prometheus.HistogramVec
	orders    *prometheus.CounterVec

	UpstreamConnections prometheus.Counter
	ConfigVersion       prometheus.Gauge
	Upstreams           prometheus.Gauge
	Peers               prometheus.Gauge
	RetriesLeft         *prometheus.GaugeVec
	RequestsInFlight    prometheus.Gauge
	HoldsOrders         prometheus.Gauge
}

// secondsBuckets cover a millisecond to the longest time-out of a route.
var secondsBuckets = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16}

const namespace = "savoryweir_node"

// New returns metrics that are registered in a registry of their own. dropped
// tells how many log lines were left out.
func New(dropped func() uint64) *Metrics {
	m := &Metrics{
		Registry:            prometheus.NewRegistry(),
		requests:            counters("requests_total", "Requests of callers by route kind and outcome.", "kind", "outcome"),
		refusals:            counters("refusals_total", "Requests refused by reason.", "reason"),
		sends:               counters("sends_total", "Requests sent to upstreams by what happened to them.", "result"),
		firstByte:           seconds("first_byte_seconds", "Time from a request's arrival to the first byte of its answer.", "kind"),
		gaps:                prometheus.NewHistogram(options("event_gap_seconds", "Time between events of a stream.")),
		waits:               prometheus.NewHistogram(options("residency_wait_seconds", "Time that requests waited for a model or adapter to be loaded.")),
		store:               seconds("store_call_seconds", "Time of calls to the platform's store by step and result.", "step", "result"),
		orders:              counters("orders_total", "Orders to engines by operation and result.", "operation", "result"),
		UpstreamConnections: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_connections_total", Help: "Connections opened to upstreams."}),
		ConfigVersion:       gauge("config_version", "Version of the configuration in force."),
		Upstreams:           gauge("upstreams", "Upstreams known."),
		Peers:               gauge("peers", "Other instances heard of lately."),
		RetriesLeft:         prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "retries_left", Help: "Repeats that this instance may still send, by service."}, []string{"service"}),
		RequestsInFlight:    gauge("requests_in_flight", "Requests of callers in flight."),
		HoldsOrders:         gauge("holds_orders", "1 while this instance may give orders to engines."),
	}
	lines := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines left out to keep the volume bounded.",
	}, func() float64 { return float64(dropped()) })
	m.Registry.MustRegister(m.requests, m.refusals, m.sends, m.firstByte, m.gaps, m.waits, m.store, m.orders, m.UpstreamConnections,
		m.ConfigVersion, m.Upstreams, m.Peers, m.RetriesLeft, m.RequestsInFlight, m.HoldsOrders, lines,
		collectors.NewGoCollector(collectors.WithGoCollectorRuntimeMetrics()))
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func options(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: secondsBuckets}
}

func seconds(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(options(name, help), labels)
}

// CountRequest counts a request of a caller that has ended.
func (m *Metrics) CountRequest(kind, outcome string) { m.requests.WithLabelValues(kind, outcome).Inc() }

// CountRefusal counts a refusal.
func (m *Metrics) CountRefusal(reason string) { m.refusals.WithLabelValues(reason).Inc() }

// CountSend counts a request sent to an upstream.
func (m *Metrics) CountSend(result string) { m.sends.WithLabelValues(result).Inc() }

// ObserveFirstByte records the time to the first byte of an answer.
func (m *Metrics) ObserveFirstByte(kind string, d time.Duration) {
	m.firstByte.WithLabelValues(kind).Observe(d.Seconds())
}

// ObserveEventGap records the time between two events of a stream.
func (m *Metrics) ObserveEventGap(d time.Duration) { m.gaps.Observe(d.Seconds()) }

// ObserveResidencyWait records the time that a request waited for a load.
func (m *Metrics) ObserveResidencyWait(d time.Duration) { m.waits.Observe(d.Seconds()) }

// ObserveStoreCall records a call to the platform's store.
func (m *Metrics) ObserveStoreCall(step, result string, d time.Duration) {
	m.store.WithLabelValues(step, result).Observe(d.Seconds())
}

// CountOrder counts an order to an engine.
func (m *Metrics) CountOrder(operation, result string) {
	m.orders.WithLabelValues(operation, result).Inc()
}
