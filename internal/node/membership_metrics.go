package node

import "github.com/prometheus/client_golang/prometheus"

// membershipMetrics measure the cost of membership to this process.
type membershipMetrics struct {
	sent     *prometheus.CounterVec // by purpose
	answered prometheus.Counter
	records  prometheus.Counter
	views    prometheus.Counter
	members  prometheus.Gauge
}

func newMembershipMetrics(registry *prometheus.Registry) *membershipMetrics {
	m := &membershipMetrics{
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_membership_exchanges_total", Help: "Exchanges of membership that this process began, by purpose.",
		}, []string{"purpose"}),
		answered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_membership_answered_total", Help: "Exchanges of membership that this process answered.",
		}),
		records: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_membership_records_read_total", Help: "Records of members that exchanges brought.",
		}),
		views: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_membership_views_total", Help: "Views that were published; each lists the whole zone.",
		}),
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dykewing_membership_nodes", Help: "Nodes of the last view.",
		}),
	}
	registry.MustRegister(m.sent, m.answered, m.records, m.views, m.members)
	return m
}
