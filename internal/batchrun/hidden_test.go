package batchrun

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/worker"
)

// A worker's load report may show a restart before its registry entry does. Unreported load and
// held slots of the earlier incarnation must not carry over.
func TestLoadReportOfLaterIncarnationResetsWorker(t *testing.T) {
	first, second := time.UnixMilli(1_000), time.UnixMilli(2_000)
	tests := []struct {
		name    string
		reports []backend.Report
		born    time.Time
		want    int // unreported load
	}{
		{"same incarnation", []backend.Report{{StartedAt: first, Running: 5}, {StartedAt: first, Running: 5}}, first, 5},
		{"restart between reports", []backend.Report{{StartedAt: first, Running: 5}, {StartedAt: first, Running: 5}, {StartedAt: second, Running: 3}}, second, 0},
		{"late report of an earlier incarnation", []backend.Report{{StartedAt: second}, {StartedAt: second}, {StartedAt: first, Running: 5}, {StartedAt: first, Running: 5}}, second, 0},
		{"reports without start time", []backend.Report{{Running: 5}, {Running: 5}}, first, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := testLeader(t, 0, 1).service
			listed := s.pool.Workers("lm")[0]
			listed.StartedAt = first
			s.pool.Put(listed)
			for _, report := range test.reports {
				s.applyLoadReport(s.pool.Workers("lm")[0], report)
			}
			if got := s.unreported.at(listed.ID); got != test.want {
				t.Errorf("unreported load %d, want %d", got, test.want)
			}
			if current, _ := s.pool.CurrentIncarnation(listed.ID); current != (worker.Incarnation{ID: listed.ID, StartedAt: test.born}) {
				t.Errorf("current incarnation: %v", current)
			}
		})
	}
}
