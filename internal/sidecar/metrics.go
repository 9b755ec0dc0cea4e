package sidecar

import "github.com/prometheus/client_golang/prometheus"

// Results of requests that are not an error code.
const (
	resultOK     = "ok"
	resultBroken = "broken" // cut after its beginning
)

type metrics struct {
	requests  *prometheus.CounterVec
	retries   prometheus.Counter
	broken    prometheus.Counter
	resumed   prometheus.Counter
	crossed   prometheus.Counter
	truncated prometheus.Counter
	replayed  prometheus.Counter
	panics    prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_sidecar_requests_total", Help: "Online requests, by result: ok, broken or an error code.",
		}, []string{"result"}),
		retries:   newCounter("dykewing_sidecar_retries_total", "Attempts after the first."),
		broken:    newCounter("dykewing_sidecar_broken_streams_total", "Streams that broke off, resumed ones among them."),
		resumed:   newCounter("dykewing_sidecar_resumed_streams_total", "Streams gone on with by request id."),
		crossed:   newCounter("dykewing_sidecar_crossed_answers_total", "Answers of another request that were refused."),
		truncated: newCounter("dykewing_sidecar_truncated_answers_total", "Answers of right length whose JSON is not whole."),
		replayed:  newCounter("dykewing_sidecar_replayed_answers_total", "Resends answered from the record."),
		panics:    newCounter("dykewing_sidecar_panics_total", "Panics of handlers."),
	}
	registry.MustRegister(m.requests, m.retries, m.broken, m.resumed, m.crossed, m.truncated, m.replayed, m.panics)
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}
