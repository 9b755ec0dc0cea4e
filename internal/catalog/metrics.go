package catalog

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	age       prometheus.GaugeFunc
	retained  prometheus.Counter
	outages   prometheus.Counter
	rejected  prometheus.Counter
	changes   prometheus.Counter
	fullReads prometheus.Counter
}

func newMetrics(age func() time.Duration) metrics {
	return metrics{
		age: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "dykewing_catalog_contact_age_seconds", Help: "Time since the key-value service's last word; configuration and workers may be known as they were then.",
		}, func() float64 { return age().Seconds() }),
		retained: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_catalog_workers_lapsed_total", Help: "Entries of workers that went just after an outage and were kept for a while.",
		}),
		outages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_catalog_outages_total", Help: "Returns of the key-value service after a time in which this process had no answer.",
		}),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_catalog_entries_refused_total", Help: "Workers' entries that could not be read and name no worker.",
		}),
		changes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_catalog_worker_changes_total", Help: "Changes of workers' entries that this process has taken.",
		}),
		fullReads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_catalog_whole_states_total", Help: "Whole states that this process has read, of the service or of a peer.",
		}),
	}
}

func (m metrics) all() []prometheus.Collector {
	return []prometheus.Collector{m.age, m.retained, m.outages, m.rejected, m.changes, m.fullReads}
}
