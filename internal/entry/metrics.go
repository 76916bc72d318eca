package entry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const metricsNamespace = "savoryweir_entry"

// durationBuckets are the bucket bounds of the histogram of request durations, in seconds.
var durationBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 120}

// metrics are the metrics of the entry process.
type metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	failures         *prometheus.CounterVec
	retries          *prometheus.CounterVec
	faults           *prometheus.CounterVec
	crashes          *prometheus.CounterVec
	duration         *prometheus.HistogramVec
	unrecordedOrders prometheus.Counter
	refusedRequests  prometheus.Counter
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
}

// newMetrics registers the metrics. The function active returns the number of requests in progress.
func newMetrics(active func() float64) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: counterVec("requests_total", "Requests received.", "service", "class"),
		failures: counterVec("failures_total", "Calls that were answered with a failure instead of an upstream's answer.", "service", "code", "outcome"),
		retries:  counterVec("retries_total", "Attempts that follow a failed attempt.", "service"),
		faults:   counterVec("upstream_faults_total", "Attempts whose answer was missing, incomplete, invalid or that of another request.", "upstream", "kind"),
		crashes:  counterVec("upstream_deaths_total", "Ends of an upstream's process while it ran requests.", "upstream"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "request_seconds", Help: "Time to the complete answer, in seconds.", Buckets: durationBuckets,
		}, []string{"service"}),
		unrecordedOrders: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "orders_unrecorded_total", Help: "Orders whose result could not be recorded at once.",
		}),
		refusedRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "connections_refused_total", Help: "Requests refused because of the limit of requests in progress.",
		}),
	}
	inProgress := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Name: "requests_in_progress", Help: "Requests in progress.",
	}, active)
	m.registry.MustRegister(m.requests, m.failures, m.retries, m.faults, m.crashes, m.duration, m.unrecordedOrders, m.refusedRequests,
		inProgress, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// registerFollowsPeer registers the gauge that is 1 while the view of another instance is followed.
func (m *metrics) registerFollowsPeer(followsPeer func() bool) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Name: "view_of_other_instance",
		Help: "1 while the view of another instance is followed because this instance's control process does not answer.",
	}, func() float64 {
		if followsPeer != nil && followsPeer() {
			return 1
		}
		return 0
	}))
}
