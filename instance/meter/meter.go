// Package meter exports an instance's metrics to Prometheus.
//
// # Usage
//
//	me := meter.New()
//	fo, err := forwarder.New(pu, gates, homes, forwarder.WithObserver(me))
//	mux.Handle("/metrics", me.Handler())
package meter

import (
	"net/http"
	"strconv"

	"cornellanding.example/core/timer"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "cornellanding"

// Meter holds an instance's metrics.
type Meter struct {
	registry      *prometheus.Registry
	answers       *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	admissions    *prometheus.CounterVec
	admissionTime *prometheus.HistogramVec
	storeCalls    *prometheus.CounterVec
	storeCallTime *prometheus.HistogramVec
	rejected      prometheus.Counter
}

// New returns a meter with a registry of its own.
func New() *Meter {
	me := &Meter{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_total", Help: "Answers to callers by route, status and refusal code.",
		}, []string{"service", "route", "status", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "answer_seconds", Help: "Time from a request's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"service"}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gate_requests_total", Help: "Requests at the own gate by outcome and refusal code.",
		}, []string{"outcome", "code"}),
		admissionTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "gate_seconds", Help: "Time that requests spent at the own gate, waiting included.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"outcome"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store by kind and outcome.",
		}, []string{"kind", "outcome"}),
		storeCallTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "store_call_seconds", Help: "Time of calls to the platform's store, waits for changes included.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"kind"}),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "rejected_peer_calls_total", Help: "Peer calls without a right tag.",
		}),
	}
	me.registry.MustRegister(me.answers, me.latency, me.admissions, me.admissionTime, me.storeCalls, me.storeCallTime, me.rejected)
	return me
}

// Answered implements forwarder.Observer.
func (me *Meter) Answered(service, route, code string, status int, latency timer.Span) {
	me.answers.WithLabelValues(service, route, strconv.Itoa(status), code).Inc()
	me.latency.WithLabelValues(service).Observe(latency.Duration().Seconds())
}

// ObserveAdmission records a request at the admission control in front of this
// instance's backend server. latency includes the time in the queue.
func (me *Meter) ObserveAdmission(outcome, code string, latency timer.Span) {
	me.admissions.WithLabelValues(outcome, code).Inc()
	me.admissionTime.WithLabelValues(outcome).Observe(latency.Duration().Seconds())
}

// ObserveStoreCall records a call to the platform's store. latency includes waits for
// changes.
func (me *Meter) ObserveStoreCall(kind, outcome string, latency timer.Span) {
	me.storeCalls.WithLabelValues(kind, outcome).Inc()
	me.storeCallTime.WithLabelValues(kind).Observe(latency.Duration().Seconds())
}

// PeerCallRejected counts a peer call whose authentication tag is missing or wrong.
func (me *Meter) PeerCallRejected() { me.rejected.Inc() }

// Gauge registers a gauge whose value is read at each scrape. It panics if the name is
// registered already.
func (me *Meter) Gauge(name, help string, read func() float64) {
	me.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Handler returns the HTTP handler that serves the metrics.
func (me *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(me.registry, promhttp.HandlerOpts{})
}
