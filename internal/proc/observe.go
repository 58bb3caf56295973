package proc

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"trefoildale.example/trefoildale/internal/serve"
)

// buckets are the bounds of the latency histograms, in seconds: from a quarter
// of a usual objective to the longest deadline.
var buckets = []float64{0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.4, 0.8, 1.5, 3, 6, 15}

// metrics counts what the process does, for collectors.
type metrics struct {
	registry  *prometheus.Registry
	ended     *prometheus.CounterVec
	repeated  *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	total     *prometheus.HistogramVec
}

var _ serve.Observer = (*metrics)(nil)

// newMetrics returns counters and histograms. Labels are services and outcomes,
// whose number does not grow with routes or callers.
func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trefoildale_requests_ended_total",
			Help: "Requests by service and outcome: served, or the code of the failure.",
		}, []string{"service", "outcome"}),
		repeated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trefoildale_requests_repeated_total",
			Help: "Attempts after the first one of a request, by service.",
		}, []string{"service"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "trefoildale_first_byte_seconds",
			Help:    "Time from the arrival of a request to the first event or to the whole answer.",
			Buckets: buckets,
		}, []string{"service"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "trefoildale_request_seconds",
			Help:    "Time from the arrival of a request to its end, by service.",
			Buckets: buckets,
		}, []string{"service"}),
	}
	m.registry.MustRegister(m.ended, m.repeated, m.firstByte, m.total, collectors.NewGoCollector())
	return m
}

// gauge adds a value that is read when the metrics are.
func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, value))
}

func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}

// Ended implements serve.Observer.
func (m *metrics) Ended(service, outcome string, total time.Duration) {
	m.ended.WithLabelValues(service, outcome).Inc()
	m.total.WithLabelValues(service).Observe(total.Seconds())
}

// FirstByte implements serve.Observer.
func (m *metrics) FirstByte(service string, after time.Duration) {
	m.firstByte.WithLabelValues(service).Observe(after.Seconds())
}

// Repeated implements serve.Observer.
func (m *metrics) Repeated(service string) { m.repeated.WithLabelValues(service).Inc() }
