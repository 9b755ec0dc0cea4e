package sidecar

import "github.com/prometheus/client_golang/prometheus"

// Values of the result label other than error codes.
const (
	resultOK     = "ok"
	resultBroken = "broken" // aborted after the response began
)

type metrics struct {
	requests    *prometheus.CounterVec
	retries     prometheus.Counter
	interrupted prometheus.Counter
	resumed     prometheus.Counter
	mismatched  prometheus.Counter
	truncated   prometheus.Counter
	replayed    prometheus.Counter
	panics      prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_sidecar_requests_total", Help: "Online requests, by result: ok, broken or an error code.",
		}, []string{"result"}),
		retries:     newCounter("dykewing_sidecar_retries_total", "Attempts after the first."),
		interrupted: newCounter("dykewing_sidecar_broken_streams_total", "Streams that broke off, resumed ones among them."),
		resumed:     newCounter("dykewing_sidecar_resumed_streams_total", "Streams gone on with by request id."),
		mismatched:  newCounter("dykewing_sidecar_crossed_answers_total", "Answers of another request that were refused."),
		truncated:   newCounter("dykewing_sidecar_truncated_answers_total", "Answers of right length whose JSON is not whole."),
		replayed:    newCounter("dykewing_sidecar_replayed_answers_total", "Resends answered from the record."),
		panics:      newCounter("dykewing_sidecar_panics_total", "Panics of handlers."),
	}
	registry.MustRegister(m.requests, m.retries, m.interrupted, m.resumed, m.mismatched, m.truncated, m.replayed, m.panics)
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}
