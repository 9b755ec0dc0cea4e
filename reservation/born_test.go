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
		apply func(b *Book)
		want  int
	}{
		{"same incarnation", func(b *Book) { b.Began(first) }, 4},
		{"restart", func(b *Book) { b.Began(second) }, 0},
		{"late report of the first incarnation", func(b *Book) {
			b.Began(second)
			b.Report(start, report(2, first, 5))
		}, 0},
		{"report of the second incarnation", func(b *Book) {
			b.Began(second)
			b.Report(start, report(2, second, 1))
		}, 1},
		{"report before its restart is known", func(b *Book) {
			b.Report(start, report(2, second, 1))
			b.Began(second)
		}, 1},
		{"start of the first incarnation known late", func(b *Book) {
			b.Began(second)
			b.Report(start, report(2, second, 1))
			b.Began(first)
		}, 1},
		{"report without a start time", func(b *Book) {
			b.Began(second)
			b.Report(start, report(2, worker.Incarnation{ID: "w"}, 2))
		}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New()
			b.Began(first)
			b.Report(start, report(1, first, 3))
			b.Give(start, "f", "w")
			test.apply(b)
			if n := b.Online("w"); n != test.want {
				t.Errorf("%d requests online, want %d", n, test.want)
			}
			b.Expire(start.Add(time.Hour))
			if n := b.Online("w"); n != 0 {
				t.Errorf("%d requests online after expiry, want 0", n)
			}
		})
	}
}
