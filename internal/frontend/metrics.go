package frontend

import (
	"io"
	"log"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics of the frontend. All labels have few values.
type metrics struct {
	requests          *prometheus.CounterVec   // by kind and outcome
	firstByte         *prometheus.HistogramVec // seconds, by kind
	duration          *prometheus.HistogramVec // seconds, by kind
	attempts          *prometheus.CounterVec   // by outcome
	inFlight          prometheus.Gauge
	registryResponses prometheus.Counter
	slotWait          prometheus.Histogram // seconds
	// refusalTime is the time in seconds until a refusal that promises that the request
	// has not run.
	refusalTime  prometheus.Histogram
	reservations *prometheus.CounterVec // by outcome
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
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dykewing_frontend_requests_running", Help: "Callers' requests that run now.",
		}),
		registryResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_frontend_registry_answers_total", Help: "Answers of the registry.",
		}),
	}
	m.reservations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dykewing_frontend_places_total", Help: "Questions to leaders for a place at a worker, by outcome.",
	}, []string{"outcome"})
	m.slotWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "dykewing_frontend_held_seconds", Help: "Time that requests waited for a free slot.", Buckets: buckets,
	})
	m.refusalTime = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "dykewing_frontend_refused_after_seconds", Help: "Time from a request's arrival to a refusal that promises that it has not run.", Buckets: buckets,
	})
	registry.MustRegister(m.slotWait, m.refusalTime, m.reservations, m.requests, m.firstByte, m.duration, m.attempts, m.inFlight, m.registryResponses)
	return m
}

// discardLog discards the messages of net/http about broken connections.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
