package store

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics of a store, summed over its groups.
type metrics struct {
	syncs       prometheus.Counter
	tasks       prometheus.Counter
	syncSeconds prometheus.Histogram
	applied     prometheus.Counter
	roleChanges prometheus.Counter
	sent        prometheus.Counter
	dropped     prometheus.Counter
	snapshots   prometheus.Counter
	freeBytes   prometheus.Gauge
	failures    prometheus.Counter

	commandBytes prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		made := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dykewing", Subsystem: "store", Name: name, Help: help})
		registry.MustRegister(made)
		return made
	}
	m := &metrics{
		syncs:       counter("syncs_total", "Transactions of the data file that were synced."),
		tasks:       counter("persist_tasks_total", "Writes and held-back messages that those syncs were for."),
		applied:     counter("applied_entries_total", "Log entries applied."),
		roleChanges: counter("role_changes_total", "Changes of term, leader or role at the replicas held here."),
		sent:        counter("messages_sent_total", "Log messages that reached their replica's process."),
		dropped:     counter("messages_dropped_total", "Log messages given up before they reached a process."),
		snapshots:   counter("snapshots_fetched_total", "Snapshots fetched whole from another replica."),
		failures:    counter("write_failures_total", "Writes of the data file that failed."),

		commandBytes: counter("command_bytes_total", "Bytes of the commands that leaders here proposed, as they go into the log."),
	}
	m.syncSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "dykewing", Subsystem: "store", Name: "sync_seconds", Help: "Duration of a synced transaction.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 4, 9),
	})
	m.freeBytes = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "dykewing", Subsystem: "store", Name: "free_bytes", Help: "Free space of the data folder's file system.",
	})
	registry.MustRegister(m.syncSeconds, m.freeBytes)
	return m
}

func (m *metrics) committed(tasks int, elapsed time.Duration) {
	m.syncs.Inc()
	m.tasks.Add(float64(tasks))
	m.syncSeconds.Observe(elapsed.Seconds())
}
