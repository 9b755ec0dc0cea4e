package sidecar

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	requests *prometheus.CounterVec
	retries  prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_sidecar_requests_total", Help: "Online requests, by result: ok or an error code.",
		}, []string{"result"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_sidecar_retries_total", Help: "Attempts after the first.",
		}),
	}
	registry.MustRegister(m.requests, m.retries)
	return m
}
