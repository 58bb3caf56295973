package proc

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"trefoildale.example/trefoildale/internal/budget"
	"trefoildale.example/trefoildale/internal/serve"
)

// latencyBuckets are the upper bounds of the latency histograms' buckets, in
// seconds. They cover the range up to the longest deadline, 15 s.
var latencyBuckets = []float64{0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.4, 0.8, 1.5, 3, 6, 15}

// metrics are the process's Prometheus metrics of requests.
type metrics struct {
	registry         *prometheus.Registry
	requestsEnded    *prometheus.CounterVec
	requestsRepeated *prometheus.CounterVec
	connsClosed      *prometheus.CounterVec
	limited          *prometheus.CounterVec
	panics           prometheus.Counter
	firstByte        *prometheus.HistogramVec
	total            *prometheus.HistogramVec
}

var _ serve.Observer = (*metrics)(nil)

// newMetrics registers the counters and histograms. Labels are services and
// outcomes only, so the number of series does not grow with routes or callers.
func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requestsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trefoildale_requests_ended_total",
			Help: "Requests by service and outcome: served, or the code of the failure.",
		}, []string{"service", "outcome"}),
		requestsRepeated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trefoildale_requests_repeated_total",
			Help: "Attempts after the first one of a request, by service.",
		}, []string{"service"}),
		connsClosed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trefoildale_caller_connections_closed_total",
			Help: "Connections of callers that the process closed without or before an answer, by reason.",
		}, []string{"reason"}),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trefoildale_caller_limited_total",
			Help: "Connections and requests of callers that a limit has ended or refused, by limit.",
		}, []string{"limit"}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "trefoildale_request_panics_total",
			Help: "Requests that failed by a fault of this program.",
		}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "trefoildale_first_byte_seconds",
			Help:    "Time from the arrival of a request to the first event or to the whole answer.",
			Buckets: latencyBuckets,
		}, []string{"service"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "trefoildale_request_seconds",
			Help:    "Time from the arrival of a request to its end, by service.",
			Buckets: latencyBuckets,
		}, []string{"service"}),
	}
	m.registry.MustRegister(m.requestsEnded, m.requestsRepeated, m.connsClosed, m.limited, m.panics, m.firstByte, m.total, collectors.NewGoCollector())
	return m
}

// addGauge registers a gauge whose value is computed at each scrape.
func (m *metrics) addGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, value))
}

// addPartGauge is addGauge for one part of the process's budget.
func (m *metrics) addPartGauge(name, help string, part budget.Part, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        name,
		Help:        help,
		ConstLabels: prometheus.Labels{"part": part.String()},
	}, value))
}

func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}

// Ended implements serve.Observer.
func (m *metrics) Ended(service, outcome string, total time.Duration) {
	m.requestsEnded.WithLabelValues(service, outcome).Inc()
	m.total.WithLabelValues(service).Observe(total.Seconds())
}

// FirstByte implements serve.Observer.
func (m *metrics) FirstByte(service string, after time.Duration) {
	m.firstByte.WithLabelValues(service).Observe(after.Seconds())
}

// Repeated implements serve.Observer.
func (m *metrics) Repeated(service string) { m.requestsRepeated.WithLabelValues(service).Inc() }
