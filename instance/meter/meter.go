// Package meter exports an instance's metrics with client_golang.
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

// Meter is a registry of an instance's metrics.
type Meter struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	gated    *prometheus.CounterVec
	runs     *prometheus.HistogramVec
	calls    *prometheus.CounterVec
	callTime *prometheus.HistogramVec
	rejected prometheus.Counter
}

// New returns a registry with the instance's own metrics.
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
		gated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gate_requests_total", Help: "Requests at the own gate by outcome and refusal code.",
		}, []string{"outcome", "code"}),
		runs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "gate_seconds", Help: "Time that requests spent at the own gate, waiting included.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"outcome"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store by kind and outcome.",
		}, []string{"kind", "outcome"}),
		callTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "store_call_seconds", Help: "Time of calls to the platform's store, waits for changes included.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"kind"}),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "rejected_peer_calls_total", Help: "Peer calls without a right tag.",
		}),
	}
	me.registry.MustRegister(me.answers, me.latency, me.gated, me.runs, me.calls, me.callTime, me.rejected)
	return me
}

// Answered implements forwarder.Observer.
func (me *Meter) Answered(service, route, code string, status int, latency timer.Span) {
	me.answers.WithLabelValues(service, route, strconv.Itoa(status), code).Inc()
	me.latency.WithLabelValues(service).Observe(latency.Duration().Seconds())
}

// ObserveAdmission counts a request at the own gate.
func (me *Meter) ObserveAdmission(outcome, code string, latency timer.Span) {
	me.gated.WithLabelValues(outcome, code).Inc()
	me.runs.WithLabelValues(outcome).Observe(latency.Duration().Seconds())
}

// ObserveStoreCall counts a call to the platform's store.
func (me *Meter) ObserveStoreCall(kind, outcome string, latency timer.Span) {
	me.calls.WithLabelValues(kind, outcome).Inc()
	me.callTime.WithLabelValues(kind).Observe(latency.Duration().Seconds())
}

// PeerCallRejected counts a peer call without a right tag.
func (me *Meter) PeerCallRejected() { me.rejected.Inc() }

// Gauge registers a gauge that is read when it is scraped.
func (me *Meter) Gauge(name, help string, read func() float64) {
	me.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Handler serves the metrics.
func (me *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(me.registry, promhttp.HandlerOpts{})
}
