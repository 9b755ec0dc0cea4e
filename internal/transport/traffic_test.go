package transport

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

func TestTrafficCountsBytesByKindAndCrossing(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("y", 50_000))
	}))
	defer server.Close()
	for _, test := range []struct {
		name            string
		own, told, view string // zones: of this process, set by WithPeerZone, returned by zoneOf
		want            Crossing
	}{
		{"process in this zone", "a", "", "a", CrossingNone},
		{"process in another zone", "a", "", "b", CrossingZones},
		{"worker in another zone", "a", "b", "", CrossingZones},
		{"worker in this zone", "a", "a", "", CrossingNone},
		{"unknown peer", "a", "", "", CrossingUnknown},
		{"process without a zone", "", "b", "", CrossingUnknown},
	} {
		traffic := NewTraffic(test.own, func(string) (string, bool) { return test.view, test.view != "" })
		client := traffic.Instrument(NewClient(1), KindJobs)
		request, err := http.NewRequestWithContext(WithPeerZone(t.Context(), test.told), http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", 20_000)))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		client.CloseIdleConnections()
		traffic.each(func(kind Kind, crossing Crossing, sent, received int64) {
			if kind != KindJobs || crossing != test.want {
				t.Errorf("%s: counted as %s, %s", test.name, kind, crossing)
			}
			if sent < 20_000 || sent > 21_000 || received < 50_000 || received > 51_000 {
				t.Errorf("%s: %d sent, %d received", test.name, sent, received)
			}
		})
		if crossed := traffic.CrossZoneBytes()[KindJobs]; (crossed > 0) != (test.want == CrossingZones) {
			t.Errorf("%s: %d crossed", test.name, crossed)
		}
	}
}

func TestTrafficResolvesPeerZoneAfterDial(t *testing.T) {
	zone := ""
	traffic := NewTraffic("a", func(string) (string, bool) { return zone, zone != "" })
	m := &connMeter{traffic: traffic, kind: KindLog, address: "10.0.0.1:1"}
	m.sent(10)
	zone = "b"
	m.sent(100)
	zone = ""
	m.received(1000)
	if crossed := traffic.CrossZoneBytes()[KindLog]; crossed != 1100 {
		t.Errorf("%d crossed, want 1100", crossed)
	}
}

func TestTrafficSeriesAreBounded(t *testing.T) {
	zones := []string{"a", "b", ""}
	next := 0
	traffic := NewTraffic("a", func(string) (string, bool) { next++; return zones[next%3], true })
	for n := range 1000 {
		m := &connMeter{traffic: traffic, kind: []Kind{KindLog, KindJobs}[n%2], address: "10.0.0.1:1"}
		m.sent(1)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(traffic)
	families, err := registry.Gather()
	if err != nil || len(families) != 1 || len(families[0].GetMetric()) > 2*3*2 {
		t.Errorf("%v, %d families", err, len(families))
	}
}

func TestNilTrafficCountsNothing(t *testing.T) {
	var traffic *Traffic
	client := NewKeepAliveClient(ClientOptions{ConnectionsPerHost: 1, DialTimeout: time.Second, KeepAliveTimeout: time.Second})
	if traffic.Instrument(client, KindLog) != client {
		t.Error("another client")
	}
	var m *connMeter
	m.sent(1)
	m.received(1)
}
