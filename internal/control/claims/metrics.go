package claims

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"savoryweir/internal/state/object"
)

// metrics contains the metrics of the claims service.
type metrics struct {
	claims       *prometheus.CounterVec // by answer
	finishes     *prometheus.CounterVec // by answer
	unknown      prometheus.Counter
	commits      prometheus.Counter
	operations   prometheus.Counter
	failures     *prometheus.CounterVec // by cause
	readBacks    prometheus.Counter
	headBytes    prometheus.Gauge
	writtenBytes prometheus.Counter
	held         prometheus.GaugeFunc
}

const metricPrefix = "savoryweir_orders_"

func newMetrics(register prometheus.Registerer, held func() float64) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + name, Help: help})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + name, Help: help}, []string{label})
	}
	m := &metrics{
		claims:       vector("claims_total", "Claims of the local entry by answer.", "answer"),
		finishes:     vector("finishes_total", "Results of the local entry by answer.", "answer"),
		unknown:      counter("unknown_total", "Resends answered that the order may have run."),
		commits:      counter("commits_total", "Commits of shards that this instance served."),
		operations:   counter("committed_operations_total", "Claims and results in commits of shards that this instance served."),
		failures:     vector("commit_failures_total", "Failed commits by cause.", "cause"),
		readBacks:    counter("read_backs_total", "Commits confirmed by their nonce after the answer of the store was lost."),
		headBytes:    prometheus.NewGauge(prometheus.GaugeOpts{Name: metricPrefix + "head_bytes", Help: "Size of the most recently written head, in bytes."}),
		writtenBytes: counter("written_bytes_total", "Bytes written to the store."),
		held:         prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metricPrefix + "held", Help: "Claimed and unfinished orders of the local entry."}, held),
	}
	if register != nil {
		register.MustRegister(m.claims, m.finishes, m.unknown, m.commits, m.operations, m.failures, m.readBacks, m.headBytes, m.writtenBytes, m.held)
	}
	return m
}

func (m *metrics) countCommit(operations int) {
	m.commits.Inc()
	m.operations.Add(float64(operations))
}

func (m *metrics) countReadBack() { m.readBacks.Inc() }

func (m *metrics) countWrite(bytes int) { m.writtenBytes.Add(float64(bytes)) }

func (m *metrics) countHeadWrite(bytes int) {
	m.headBytes.Set(float64(bytes))
	m.countWrite(bytes)
}

func (m *metrics) countCommitFailure(err error) {
	m.failures.WithLabelValues(failureCause(err)).Inc()
}

func failureCause(err error) string {
	switch {
	case errors.Is(err, object.ErrConflict):
		return "conflict"
	case errors.Is(err, object.ErrThrottled):
		return "throttled"
	case errors.Is(err, object.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, object.ErrOutcomeUnknown):
		return "outcome_unknown"
	default:
		return "other"
	}
}
