package router

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	admitted      *prometheus.CounterVec
	refused       *prometheus.CounterVec
	preempted     prometheus.Counter
	suspended     prometheus.Counter
	interrupted   prometheus.Counter
	resumed       prometheus.Counter
	forwarded     *prometheus.CounterVec
	items         *prometheus.CounterVec
	shareReports  prometheus.Counter
	batchMessages *prometheus.CounterVec
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
		suspended: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_router_suspended_total", Help: "Batch requests held for online ones, to go on later.",
		}),
		interrupted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_router_broken_answers_total", Help: "Answers of workers that broke off or were cut.",
		}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_router_resumed_total", Help: "Streams gone on with by request id.",
		}),
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_router_forwarded_total", Help: "Requests sent on to another home of the zone, by outcome.",
		}, []string{"outcome"}),
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_router_batch_items_total", Help: "Batch items run, by outcome.",
		}, []string{"outcome"}),
		shareReports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_router_share_reports_total", Help: "Reports of shares of ceilings that were answered.",
		}),
		batchMessages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_router_batch_messages_total", Help: "Messages to stores about batch items, by step.",
		}, []string{"step"}),
	}
	registry.MustRegister(m.admitted, m.refused, m.preempted, m.suspended, m.interrupted, m.resumed, m.forwarded, m.items, m.batchMessages, m.shareReports)
	return m
}
