package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/dykewing/dykewing/internal/transport"
)

func TestTrafficOfNodeIsPrinted(t *testing.T) {
	registry := prometheus.NewRegistry()
	traffic := transport.NewTraffic("a", func(string) (string, bool) { return "b", true })
	registry.MustRegister(traffic)
	server := httptest.NewServer(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	defer server.Close()
	client := traffic.Instrument(transport.NewClient(1), transport.KindJobs)
	response, err := client.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	var out bytes.Buffer
	s := &session{node: strings.TrimPrefix(server.URL, "http://"), output: outputTable, timeout: 10 * time.Second, client: client, out: &out}
	if err := s.showTraffic(); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"KIND", "jobs  sent       zones", "jobs  received   zones"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing from:\n%s", want, out.String())
		}
	}
}

func TestInvalidTrafficMetricsReturnError(t *testing.T) {
	if _, err := readTraffic(strings.NewReader(transport.TrafficMetric + `{kind="log"} many` + "\n")); err == nil {
		t.Error("a value that is no number was passed over")
	}
	rows, err := readTraffic(strings.NewReader("go_goroutines 7\n" + transport.TrafficMetric + `{crossing="zones",direction="sent",kind="log"} 1.5e+06` + "\n"))
	if err != nil || len(rows) != 1 || rows[0] != (trafficRow{Kind: "log", Direction: "sent", Crossing: "zones", Bytes: 1_500_000}) {
		t.Errorf("%+v, %v", rows, err)
	}
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	s := &session{node: strings.TrimPrefix(server.URL, "http://"), timeout: time.Second, client: transport.NewClient(1), out: &bytes.Buffer{}}
	if s.showTraffic() == nil {
		t.Error("a node without metrics was shown")
	}
}
