package batchrun

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/worker"
)

// A worker's own word of its start comes before its entry's; what was hidden at the start
// before, and what was held there, is over with it.
func TestAWordOfALaterStartEndsWhatWasBelieved(t *testing.T) {
	first, second := time.UnixMilli(1_000), time.UnixMilli(2_000)
	tests := []struct {
		name  string
		words []backend.Report
		born  time.Time
		want  int // hidden
	}{
		{"one start", []backend.Report{{Born: first, Running: 5}, {Born: first, Running: 5}}, first, 5},
		{"a start between", []backend.Report{{Born: first, Running: 5}, {Born: first, Running: 5}, {Born: second, Running: 3}}, second, 0},
		{"an earlier start's late word", []backend.Report{{Born: second}, {Born: second}, {Born: first, Running: 5}, {Born: first, Running: 5}}, second, 0},
		{"no start is told", []backend.Report{{Running: 5}, {Running: 5}}, first, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := testLeader(t, 0, 1).service
			listed := s.pool.Workers("lm")[0]
			listed.Born = first
			s.pool.Put(listed)
			for _, word := range test.words {
				s.polled(s.pool.Workers("lm")[0], word)
			}
			if got := s.hidden.of(listed.ID); got != test.want {
				t.Errorf("%d hidden, want %d", got, test.want)
			}
			if current, _ := s.pool.Current(listed.ID); current != (worker.Incarnation{ID: listed.ID, Born: test.born}) {
				t.Errorf("current: %v", current)
			}
		})
	}
}
