package reservation

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/worker"
)

// Guards against counting requests of an earlier incarnation of a worker, which left its
// slots unused until every frontend had reported again.
func TestWorkerRestartReleasesEarlierRequests(t *testing.T) {
	first := worker.Incarnation{ID: "w", StartedAt: start}
	second := worker.Incarnation{ID: "w", StartedAt: start.Add(time.Minute)}
	report := func(sequence uint64, w worker.Incarnation, n int) Report {
		r := Report{Node: "f", Sequence: sequence}
		r.Add(w, n)
		return r
	}
	tests := []struct {
		name  string
		apply func(b *Ledger)
		want  int
	}{
		{"same incarnation", func(b *Ledger) { b.RecordStart(first) }, 4},
		{"restart", func(b *Ledger) { b.RecordStart(second) }, 0},
		{"late report of the first incarnation", func(b *Ledger) {
			b.RecordStart(second)
			b.Report(start, report(2, first, 5))
		}, 0},
		{"report of the second incarnation", func(b *Ledger) {
			b.RecordStart(second)
			b.Report(start, report(2, second, 1))
		}, 1},
		{"report before its restart is known", func(b *Ledger) {
			b.Report(start, report(2, second, 1))
			b.RecordStart(second)
		}, 1},
		{"start of the first incarnation known late", func(b *Ledger) {
			b.RecordStart(second)
			b.Report(start, report(2, second, 1))
			b.RecordStart(first)
		}, 1},
		{"report without a start time", func(b *Ledger) {
			b.RecordStart(second)
			b.Report(start, report(2, worker.Incarnation{ID: "w"}, 2))
		}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New()
			b.RecordStart(first)
			b.Report(start, report(1, first, 3))
			b.Grant(start, "f", "w")
			test.apply(b)
			if n := b.InFlight("w"); n != test.want {
				t.Errorf("%d requests online, want %d", n, test.want)
			}
			b.Expire(start.Add(time.Hour))
			if n := b.InFlight("w"); n != 0 {
				t.Errorf("%d requests online after expiry, want 0", n)
			}
		})
	}
}
