package frontend

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/platform"
	"github.com/dykewing/dykewing/worker"
)

// Guards against a left_ms computed from an unset deadline when a request is refused
// before its route is known.
func TestRefusalBeforeRoutingLogsTimeLeft(t *testing.T) {
	tests := []struct {
		name, configuration, deadline string
		least, most                   int64
	}{
		{"no configuration", "", "5000", 1, 5000},
		{"no route", `{"version": 1}`, "5000", 1, 5000},
		{"no route, no caller timeout", `{"version": 1}`, "", 5001, defaultTimeout.Milliseconds()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			logger, hook := test.NewNullLogger()
			log := logrus.NewEntry(logger)
			pool := backend.NewPool(worker.DefaultSettings("z"), nil)
			f := &Frontend{
				node: &node.Node{Settings: config.Default()}, log: log, protocol: platform.Protocol{}, metrics: newMetrics(prometheus.NewRegistry()),
				pool: pool, catalog: catalog.New(platform.CatalogSource(), nil, log, pool),
			}
			if tt.configuration != "" {
				if err := f.catalog.Adopt([]byte(tt.configuration), "test"); err != nil {
					t.Fatal(err)
				}
			}
			request := httptest.NewRequest("POST", "http://h/p", nil)
			if tt.deadline != "" {
				request.Header.Set("X-Dykewing-Deadline-Ms", tt.deadline)
			}
			f.serve(httptest.NewRecorder(), request)
			for _, entry := range hook.AllEntries() {
				if entry.Data["event"] != "request_refused" {
					continue
				}
				if left := entry.Data["left_ms"].(int64); left < tt.least || left > tt.most {
					t.Errorf("left_ms %d", left)
				}
				return
			}
			t.Error("refusal not logged")
		})
	}
}

// A caller timeout longer than the route allows must not raise the route's longest
// timeout.
func TestLongCallerTimeoutDoesNotMarkOthersAsRetries(t *testing.T) {
	f := &Frontend{}
	newExchange := func(left time.Duration) *exchange {
		x := &exchange{frontend: f, request: backend.Request{Remaining: left}}
		x.route.Name, x.route.Timeout = "r", 5*time.Second
		return x
	}
	newExchange(time.Minute).waitedBefore()
	tests := []struct {
		left time.Duration
		want bool
	}{{5 * time.Second, false}, {4990 * time.Millisecond, false}, {3 * time.Second, true}, {time.Minute, false}, {0, false}}
	for _, test := range tests {
		if got := newExchange(test.left).isRetry(); got != test.want {
			t.Errorf("%v left: retry %t", test.left, got)
		}
	}
}
