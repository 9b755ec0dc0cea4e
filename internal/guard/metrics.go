package guard

import "github.com/prometheus/client_golang/prometheus"

// Registerer registers the metrics of a Guard.
type Registerer = prometheus.Registerer

// metrics must not have labels with a value per request.
type metrics struct {
	probes      *prometheus.CounterVec
	detected    prometheus.Counter
	quarantined prometheus.Gauge
	unanswered  prometheus.Counter
}

func newMetrics(registry Registerer) *metrics {
	m := &metrics{
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_guard_workers_looked_at_total", Help: "Workers at which answers broke off, by whether they had ended.",
		}, []string{"ended"}),
	}
	m.detected = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "dykewing_guard_requests_found_total", Help: "Requests under which workers end, as this process found.",
	})
	m.quarantined = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "dykewing_guard_requests_held", Help: "Requests that this process does not send to workers, since workers ended under them.",
	})
	m.unanswered = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "dykewing_guard_owner_silences_total", Help: "Reports of ended workers that a store did not answer.",
	})
	registry.MustRegister(m.probes, m.detected, m.quarantined, m.unanswered)
	return m
}

func (m *metrics) countProbe(crashed bool) {
	if crashed {
		m.probes.WithLabelValues("true").Inc()
		return
	}
	m.probes.WithLabelValues("false").Inc()
}
