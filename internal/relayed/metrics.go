package relayed

import "github.com/prometheus/client_golang/prometheus"

// Registerer registers the metrics.
type Registerer = prometheus.Registerer

// metrics are kept without a label per process, so that their number is bounded.
type metrics struct {
	requests, forwarded *prometheus.CounterVec
}

func newMetrics(registry Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_relayed_questions_total",
			Help: "Questions to processes that may be asked through a peer, by the way of the answer (straight, peer, none).",
		}, []string{"way"}),
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_relayed_passed_on_total",
			Help: "Questions of peers that were passed on, by outcome (answered, unreached, busy: too many under way, refused: nothing that is passed on).",
		}, []string{"outcome"}),
	}
	registry.MustRegister(m.requests, m.forwarded)
	return m
}
