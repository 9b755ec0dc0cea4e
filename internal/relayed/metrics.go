package relayed

import "github.com/prometheus/client_golang/prometheus"

// Registerer takes the metrics.
type Registerer = prometheus.Registerer

// metrics have no series a process.
type metrics struct {
	asked, passed *prometheus.CounterVec
}

func newMetrics(registry Registerer) *metrics {
	m := &metrics{
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_relayed_questions_total",
			Help: "Questions to processes that may be asked through a peer, by the way of the answer (straight, peer, none).",
		}, []string{"way"}),
		passed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_relayed_passed_on_total",
			Help: "Questions of peers that were passed on, by outcome (answered, unreached, busy: too many under way, refused: nothing that is passed on).",
		}, []string{"outcome"}),
	}
	registry.MustRegister(m.asked, m.passed)
	return m
}
