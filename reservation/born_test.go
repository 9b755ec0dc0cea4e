package reservation

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/worker"
)

// A worker with three requests and a place on its way started again; its leader took its
// slots for taken until each frontend's next report, those that are cut off never.
func TestWhatAnEarlierStartHeldIsHeldNoMore(t *testing.T) {
	first := worker.Incarnation{ID: "w", Born: start}
	second := worker.Incarnation{ID: "w", Born: start.Add(time.Minute)}
	report := func(sequence uint64, w worker.Incarnation, n int) Report {
		r := Report{Node: "f", Sequence: sequence}
		r.Add(w, n)
		return r
	}
	tests := []struct {
		name string
		play func(b *Book)
		want int
	}{
		{"it runs on", func(b *Book) { b.Began(first) }, 4},
		{"it starts again", func(b *Book) { b.Began(second) }, 0},
		{"a late report of the first start", func(b *Book) {
			b.Began(second)
			b.Report(start, report(2, first, 5))
		}, 0},
		{"a report of the second start", func(b *Book) {
			b.Began(second)
			b.Report(start, report(2, second, 1))
		}, 1},
		{"a report comes before the word of its start", func(b *Book) {
			b.Report(start, report(2, second, 1))
			b.Began(second)
		}, 1},
		{"an earlier start's word comes late", func(b *Book) {
			b.Began(second)
			b.Report(start, report(2, second, 1))
			b.Began(first)
		}, 1},
		{"a report that tells no start counts", func(b *Book) {
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
			test.play(b)
			if n := b.Online("w"); n != test.want {
				t.Errorf("%d, want %d", n, test.want)
			}
			b.Expire(start.Add(time.Hour))
			if n := b.Online("w"); n != 0 {
				t.Errorf("%d after all has expired", n)
			}
		})
	}
}
