package node

import "github.com/prometheus/client_golang/prometheus"

// tableMetrics describe the table and the calls to the key-value service.
type tableMetrics struct {
	revision   prometheus.Gauge
	rows       prometheus.Gauge
	watching   prometheus.Gauge
	fetches    prometheus.Counter
	unreadable prometheus.Counter
	edits      *prometheus.CounterVec
	calls      *prometheus.CounterVec
}

func newTableMetrics(registry *prometheus.Registry) *tableMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &tableMetrics{
		revision:   gauge("dykewing_table_revision", "Revision of the table in force."),
		rows:       gauge("dykewing_table_rows", "Rows of the table in force."),
		watching:   gauge("dykewing_table_watching", "1 while this node watches the key-value service."),
		fetches:    counter("dykewing_table_fetches_total", "Tables and deltas fetched from peers."),
		unreadable: counter("dykewing_table_unreadable_total", "Values in the key-value service that hold no valid row."),
		edits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_table_edits_total", Help: "Edits that ended here, by outcome.",
		}, []string{"outcome"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_key_value_calls_total", Help: "Attempts at the key-value service, repeated ones included.",
		}, []string{"path", "result"}),
	}
	registry.MustRegister(m.revision, m.rows, m.watching, m.fetches, m.unreadable, m.edits, m.calls)
	return m
}

// ObserveCall counts an attempt to call the key-value service by path and result.
func (n *Node) ObserveCall(path string, err error) { n.tableMetrics.observeCall(path, err) }

func (m *tableMetrics) observeCall(path string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.calls.WithLabelValues(path, result).Inc()
}
