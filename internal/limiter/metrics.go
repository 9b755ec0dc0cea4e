package limiter

import "github.com/prometheus/client_golang/prometheus"

// Registerer registers the metrics of a Limiter.
type Registerer = prometheus.Registerer

// metrics must not have labels with a value per tenant.
type metrics struct {
	requests   *prometheus.CounterVec
	unanswered prometheus.Counter
	refusals   prometheus.Counter
	returned   prometheus.Histogram
}

func newMetrics(registry Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_frontend_limited_requests_total",
			Help: "Requests of tenants with a limit, by outcome (admitted, refused) and by who decided (here: by tokens or a refusal of a moment ago; owner; alone: no owner answered, by tokens in reserve here or at a peer).",
		}, []string{"outcome", "by"}),
		unanswered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_frontend_limit_owner_silences_total", Help: "Questions for tokens that an owner did not answer.",
		}),
		refusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_frontend_limit_owner_refusals_total", Help: "Token requests that a store refused since it is not the owner.",
		}),
		returned: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dykewing_frontend_limit_returned_token_seconds", Help: "Age of tokens that were returned since their request did not run.",
			Buckets: []float64{0.01, 0.1, 0.25, 1, 5},
		}),
	}
	registry.MustRegister(m.requests, m.unanswered, m.refusals, m.returned)
	return m
}

func (m *metrics) count(result Result, by string) {
	outcome := "refused"
	if result.Admitted {
		outcome = "admitted"
	}
	m.requests.WithLabelValues(outcome, by).Inc()
}
