package frontend

import (
	"io"
	"log"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics of the frontend. Labels have few values: kinds of routes and outcomes.
type metrics struct {
	requests   *prometheus.CounterVec   // by kind and outcome
	firstByte  *prometheus.HistogramVec // seconds, by kind
	duration   *prometheus.HistogramVec // seconds, by kind
	attempts   *prometheus.CounterVec   // sends to workers, by outcome
	running    prometheus.Gauge
	registries prometheus.Counter
	held       prometheus.Histogram // seconds that requests waited here for a slot
	// refusedAfter is seconds from the arrival to a refusal that promises that it has
	// not run.
	refusedAfter prometheus.Histogram
	places       *prometheus.CounterVec // questions for places, by outcome
}

func newMetrics(registry prometheus.Registerer) *metrics {
	buckets := prometheus.ExponentialBuckets(0.002, 2, 13)
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_frontend_requests_total", Help: "Callers' requests, by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "dykewing_frontend_first_byte_seconds", Help: "Time to the first byte for the caller, by kind of route.", Buckets: buckets,
		}, []string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "dykewing_frontend_request_seconds", Help: "Whole time of requests, by kind of route.", Buckets: buckets,
		}, []string{"kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_frontend_attempts_total", Help: "Sends to workers, by outcome.",
		}, []string{"outcome"}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dykewing_frontend_requests_running", Help: "Callers' requests that run now.",
		}),
		registries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_frontend_registry_answers_total", Help: "Answers of the registry.",
		}),
	}
	m.places = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dykewing_frontend_places_total", Help: "Questions to leaders for a place at a worker, by outcome.",
	}, []string{"outcome"})
	m.held = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "dykewing_frontend_held_seconds", Help: "Time that requests waited for a free slot.", Buckets: buckets,
	})
	m.refusedAfter = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "dykewing_frontend_refused_after_seconds", Help: "Time from a request's arrival to a refusal that promises that it has not run.", Buckets: buckets,
	})
	registry.MustRegister(m.held, m.refusedAfter, m.places, m.requests, m.firstByte, m.duration, m.attempts, m.running, m.registries)
	return m
}

// discardLog drops what net/http says of broken connections; the role logs its
// own decisions.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
