package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/transport"
)

// costMetricPrefixes lists the name prefixes of the metrics that show a process's
// resource usage and its cost of communication with other processes.
var costMetricPrefixes = []string{
	"process_cpu_seconds_total", "process_resident_memory_bytes", "go_goroutines", "go_memstats_alloc_bytes_total",
	transport.TrafficMetric, transport.ConnectionsMetric, "dykewing_membership_", "dykewing_feed_", "dykewing_catalog_worker_changes_total",
	"dykewing_catalog_whole_states_total", "dykewing_key_value_calls_total", "dykewing_frontend_places_total", "dykewing_batch_attempts_total",
}

func registerCost(application *kingpin.Application, s *session) {
	command := application.Command("cost", "Show the resource usage of processes, summed over them: CPU, memory, messages, connections.")
	nodes := command.Arg("node", "Internal addresses (IP:port).").Required().Strings()
	command.Action(action(func() error { return s.showCost(*nodes) }))
}

// costRow aggregates one series over all queried processes.
type costRow struct {
	Series string  `json:"series"` // name with labels
	Sum    float64 `json:"sum"`
	Mean   float64 `json:"mean"` // over the processes that answered
	Most   float64 `json:"most"` // highest value of a single process
	Node   string  `json:"node"` // process with the highest value
}

// showCost prints the aggregate over the processes that answer and returns an
// error for those that do not.
func (s *session) showCost(nodes []string) error {
	rows := map[string]*costRow{}
	var failures []error
	answered := 0
	for _, node := range nodes {
		values, err := s.readCost(node)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		answered++
		for series, value := range values {
			row := rows[series]
			if row == nil {
				row = &costRow{Series: series}
				rows[series] = row
			}
			row.Sum += value
			if row.Node == "" || value > row.Most {
				row.Most, row.Node = value, node
			}
		}
	}
	list := make([]costRow, 0, len(rows))
	for _, row := range rows {
		row.Mean = row.Sum / float64(answered)
		list = append(list, *row)
	}
	slices.SortFunc(list, func(a, b costRow) int { return cmp.Compare(a.Series, b.Series) })
	lines := make([]string, 0, len(list))
	for _, row := range list {
		lines = append(lines, fmt.Sprintf("%s\t%.6g\t%.6g\t%.6g\t%s", row.Series, row.Sum, row.Mean, row.Most, row.Node))
	}
	return errors.Join(append(failures, s.print(list, "SERIES\tSUM\tMEAN\tMOST\tOF", lines))...)
}

func (s *session) readCost(node string) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	body, err := s.getMetrics(ctx, node)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	return readSeries(io.LimitReader(body, maxMetricsBytes), node)
}

// getMetrics requests a process's metrics. The caller must close the reader.
func (s *session) getMetrics(ctx context.Context, node string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read metrics of %s: %w", node, err)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("read metrics of %s: status %d", node, response.StatusCode)
	}
	return response.Body, nil
}

// readSeries parses the values of the series that match costMetricPrefixes.
func readSeries(metrics io.Reader, node string) (map[string]float64, error) {
	values := map[string]float64{}
	lines := bufio.NewScanner(metrics)
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ')
		costs := slices.ContainsFunc(costMetricPrefixes, func(name string) bool { return strings.HasPrefix(line, name) })
		if at < 0 || !costs {
			continue
		}
		value, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("read metrics of %s: value of %q: %w", node, line, err)
		}
		values[line[:at]] = value
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read metrics of %s: %w", node, err)
	}
	return values, nil
}
