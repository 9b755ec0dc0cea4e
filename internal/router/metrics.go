package router

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	admitted  *prometheus.CounterVec
	refused   *prometheus.CounterVec
	preempted prometheus.Counter
	items     *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		admitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_router_admitted_total", Help: "Requests sent to a worker, by class.",
		}, []string{"class"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_router_refused_total", Help: "Requests refused, by code.",
		}, []string{"code"}),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_router_preempted_total", Help: "Batch requests cancelled for online ones.",
		}),
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_router_batch_items_total", Help: "Batch items run, by outcome.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(m.admitted, m.refused, m.preempted, m.items)
	return m
}
