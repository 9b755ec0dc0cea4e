package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dykewing/dykewing/internal/transport"
)

// metricsServer starts a server with the given metrics and returns its address.
func metricsServer(t *testing.T, metrics string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, metrics) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestCostIsSummedOverProcesses(t *testing.T) {
	one := metricsServer(t, "# HELP go_goroutines Number.\ngo_goroutines 20\ndykewing_membership_exchanges_total{purpose=\"probe\"} 5\nother 7\n")
	two := metricsServer(t, "go_goroutines 40\n")
	gone := "127.0.0.1:1"
	tests := []struct {
		name  string
		nodes []string
		want  []string
		fails bool
	}{
		{"two processes", []string{one, two}, []string{"go_goroutines                                         60   30    40    " + two, `dykewing_membership_exchanges_total{purpose="probe"}  5    2.5   5     ` + one}, false},
		{"one does not answer", []string{two, gone}, []string{"go_goroutines  40   40    40    " + two}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			s := &session{output: outputTable, timeout: 10 * time.Second, client: transport.NewClient(1), out: &out}
			if err := s.showCost(test.nodes); (err != nil) != test.fails {
				t.Errorf("error %v", err)
			}
			for _, want := range test.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("%q is missing from:\n%s", want, out.String())
				}
			}
			if strings.Contains(out.String(), "other") {
				t.Error("a series that is no cost is shown")
			}
		})
	}
	if _, err := readSeries(strings.NewReader("go_goroutines many\n"), "node"); err == nil {
		t.Error("a value that is no number was passed over")
	}
}
