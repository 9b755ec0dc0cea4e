package fill

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestNeed(t *testing.T) {
	item := func(due, left time.Duration) Item { return Item{Due: start.Add(due), Left: left} }
	undated := Item{Left: 4 * time.Second}
	tests := []struct {
		name  string
		items []Item
		want  int
	}{
		{"nothing", nil, 0},
		{"one with much time", []Item{item(18*time.Second, 4*time.Second)}, 1},
		{"one after the other", []Item{item(48*time.Second, 4*time.Second), item(48*time.Second, 4*time.Second), item(48*time.Second, 4*time.Second)}, 1},
		{"two at once", []Item{item(18*time.Second, 4*time.Second), item(18*time.Second, 4*time.Second)}, 2},
		{"no time to wait", []Item{item(6*time.Second, 4*time.Second), item(6*time.Second, 4*time.Second), item(6*time.Second, 4*time.Second)}, 3},
		{"never due: some at a time", slices.Repeat([]Item{undated}, 9), 3},
		{"past its time: as those never due", []Item{item(time.Second, 4*time.Second)}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Need(start, test.items); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}

func TestStartBeforeARise(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name    string
		seen    func(time.Duration) float64
		at      time.Duration // since the beginning of a trough
		need    int
		room    float64
		running int
		left    time.Duration
		want    bool
	}{
		{"no period: what is free is filled", func(time.Duration) float64 { return 40 }, 0, 0, 40, 90, 4 * second, true},
		{"it fits beside the height", stepped, second, 0, 40, 5, 4 * second, true},
		{"it ends before the rise", stepped, second, 0, 40, 50, 2 * second, true},
		{"it does not end before the rise", stepped, second, 0, 40, 50, 4 * second, false},
		{"it is needed", stepped, second, 31, 40, 30, 4 * second, true},
		{"it is needed, and the rise comes soon", stepped, 3300 * time.Millisecond, 31, 40, 30, 4 * second, false},
		{"crowded, it runs a little", stepped, 3000 * time.Millisecond, 35, 40, 50, 4 * second, true},
		{"crowded, the rise comes at once", stepped, 3600 * time.Millisecond, 35, 40, 50, 4 * second, false},
		{"more is needed than there is", stepped, 3600 * time.Millisecond, 52, 40, 50, 4 * second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var demand Demand
			until := 4*6600*time.Millisecond + test.at
			seenBy(&demand.rhythm, 0, until, test.seen, rand.New(rand.NewPCG(1, 2)))
			s := demand.Start(start.Add(until), 96, test.need, test.room)
			if got := s.Allows(test.running, test.left); got != test.want {
				t.Errorf("%t; beside %d", got, s.Beside(test.left))
			}
		})
	}
}

func TestYields(t *testing.T) {
	const second = time.Second
	usual := Running{Standing: Usual, Due: start.Add(15 * second), Left: 3 * second, Lost: 100 * time.Millisecond, Since: start.Add(-second)}
	with := func(change func(*Running)) Running {
		r := usual
		change(&r)
		return r
	}
	tests := []struct {
		name         string
		first, later Running
	}{
		{"what can't be in time any more", with(func(r *Running) { r.Standing = Missed; r.Cuts = 9 }), usual},
		{"what has to run now, last", with(func(r *Running) { r.Cuts = 9 }), with(func(r *Running) { r.Standing = Pressed })},
		{"what is nearly done, late", with(func(r *Running) { r.Cuts = 9 }), with(func(r *Running) { r.Left = 100 * time.Millisecond })},
		{"the last of its job, late", with(func(r *Running) { r.Cuts, r.Open = 9, 2 }), with(func(r *Running) { r.Open = 1 })},
		{"what could not be in time then, late", with(func(r *Running) { r.Cuts = 9 }), with(func(r *Running) { r.Due = start.Add(3 * second) })},
		{"what has given way less often", with(func(r *Running) { r.Lost = second }), with(func(r *Running) { r.Cuts = 1 })},
		{"the least lost", usual, with(func(r *Running) { r.Lost = 150 * time.Millisecond; r.Since = start })},
		{"the newest", with(func(r *Running) { r.Since = start }), usual},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if Yields(start, test.first, test.later) >= 0 || Yields(start, test.later, test.first) <= 0 {
				t.Error("the other gives way first")
			}
		})
	}
}

func TestLengths(t *testing.T) {
	l := NewLengths()
	if got := l.Left(500); got != firstRunTime {
		t.Errorf("%v left before an item has ended", got)
	}
	for range 60 {
		l.Whole(1000, 2*time.Second)
	}
	l.Whole(1000, 0) // it ran at several workers
	if got := l.Run(); (got - 2*time.Second).Abs() > 10*time.Millisecond {
		t.Errorf("runs for %v", got)
	}
	for range 20 {
		l.Ran("slow", 500, 2*time.Second)
		l.Ran("short", 1, 100*time.Millisecond)
	}
	tests := []struct {
		name   string
		worker string
		given  int
		want   time.Duration
	}{
		{"all of it", "usual", 0, 2 * time.Second},
		{"half of it", "usual", 500, time.Second},
		{"longer than most", "usual", 5000, 200 * time.Millisecond},
		{"at a slow worker", "slow", 500, 2 * time.Second},
		{"a run too short to tell", "short", 500, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := l.At(test.worker, l.Left(test.given)); (got - test.want).Abs() > 20*time.Millisecond {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
