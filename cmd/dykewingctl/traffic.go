package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/transport"
)

// maxMetricsBytes limits the size of a metrics response.
const maxMetricsBytes = 16 << 20

func registerTraffic(application *kingpin.Application, s *session) {
	application.Command("traffic", "Show the bytes on connections opened by a node, by kind, direction and whether they cross zones.").Action(action(s.showTraffic))
}

// trafficRow is one series of the traffic counter.
type trafficRow struct {
	Kind      string `json:"kind"`
	Direction string `json:"direction"`
	Crossing  string `json:"crossing"`
	Bytes     int64  `json:"bytes"`
}

func (s *session) showTraffic() error {
	if s.node == "" {
		return errors.New("traffic: --node is missing")
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	body, err := s.getMetrics(ctx, s.node)
	if err != nil {
		return err
	}
	defer body.Close()
	found, err := readTraffic(io.LimitReader(body, maxMetricsBytes))
	if err != nil {
		return fmt.Errorf("read metrics of %s: %w", s.node, err)
	}
	rows := make([]string, 0, len(found))
	for _, row := range found {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d", row.Kind, row.Direction, row.Crossing, row.Bytes))
	}
	return s.print(found, "KIND\tDIRECTION\tCROSSING\tBYTES", rows)
}

var labelPattern = regexp.MustCompile(`(\w+)="([^"]*)"`)

// readTraffic parses the series of the traffic counter, sorted by decreasing
// size.
func readTraffic(metrics io.Reader) ([]trafficRow, error) {
	rows := []trafficRow{}
	lines := bufio.NewScanner(metrics)
	for lines.Scan() {
		labels, value, found := strings.Cut(strings.TrimPrefix(lines.Text(), transport.TrafficMetric+"{"), "} ")
		if !found || !strings.HasPrefix(lines.Text(), transport.TrafficMetric+"{") {
			continue
		}
		bytes, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("value of %q: %w", lines.Text(), err)
		}
		row := trafficRow{Bytes: int64(bytes)}
		for _, label := range labelPattern.FindAllStringSubmatch(labels, -1) {
			switch label[1] {
			case "kind":
				row.Kind = label[2]
			case "direction":
				row.Direction = label[2]
			case "crossing":
				row.Crossing = label[2]
			}
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b trafficRow) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Direction, b.Direction), cmp.Compare(a.Crossing, b.Crossing))
	})
	return rows, lines.Err()
}
