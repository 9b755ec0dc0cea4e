package fill

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestRequiredSlots(t *testing.T) {
	item := func(due, left time.Duration) Item { return Item{Due: start.Add(due), Remaining: left} }
	undated := Item{Remaining: 4 * time.Second}
	tests := []struct {
		name  string
		items []Item
		want  int
	}{
		{"no items", nil, 0},
		{"ample time", []Item{item(18*time.Second, 4*time.Second)}, 1},
		{"run sequentially", []Item{item(48*time.Second, 4*time.Second), item(48*time.Second, 4*time.Second), item(48*time.Second, 4*time.Second)}, 1},
		{"two concurrently", []Item{item(18*time.Second, 4*time.Second), item(18*time.Second, 4*time.Second)}, 2},
		{"all at once", []Item{item(6*time.Second, 4*time.Second), item(6*time.Second, 4*time.Second), item(6*time.Second, 4*time.Second)}, 3},
		{"no due time", slices.Repeat([]Item{undated}, 9), 3},
		{"past its due time", []Item{item(time.Second, 4*time.Second)}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := RequiredSlots(start, test.items); got != test.want {
				t.Errorf("%d slots required, want %d", got, test.want)
			}
		})
	}
}

func TestStartLimitBeforePeak(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name    string
		demand  func(time.Duration) float64
		at      time.Duration // since the start of a trough
		need    int
		room    float64
		running int
		left    time.Duration
		want    bool
	}{
		{"no period", func(time.Duration) float64 { return 40 }, 0, 0, 40, 90, 4 * second, true},
		{"fits next to the peak", squareWave, second, 0, 40, 5, 4 * second, true},
		{"ends before the peak", squareWave, second, 0, 40, 50, 2 * second, true},
		{"ends after the peak begins", squareWave, second, 0, 40, 50, 4 * second, false},
		{"required", squareWave, second, 31, 40, 30, 4 * second, true},
		{"required, peak is near", squareWave, 3300 * time.Millisecond, 31, 40, 30, 4 * second, false},
		{"crowded, time for a short run", squareWave, 3000 * time.Millisecond, 35, 40, 50, 4 * second, true},
		{"crowded, peak is imminent", squareWave, 3600 * time.Millisecond, 35, 40, 50, 4 * second, false},
		{"scarce", squareWave, 3600 * time.Millisecond, 52, 40, 50, 4 * second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var demand Demand
			until := 4*6600*time.Millisecond + test.at
			observeSeries(&demand.forecast, 0, until, test.demand, rand.New(rand.NewPCG(1, 2)))
			s := demand.StartLimit(start.Add(until), 96, test.need, test.room)
			if got := s.Allows(test.running, test.left); got != test.want {
				t.Errorf("allowed: %t, limit %d", got, s.Capacity(test.left))
			}
		})
	}
}

func TestPreemptionOrder(t *testing.T) {
	const second = time.Second
	usual := Candidate{Urgency: Normal, Due: start.Add(15 * second), Remaining: 3 * second, LostRunTime: 100 * time.Millisecond, StartedAt: start.Add(-second)}
	with := func(change func(*Candidate)) Candidate {
		r := usual
		change(&r)
		return r
	}
	tests := []struct {
		name         string
		first, later Candidate
	}{
		{"missed its due time", with(func(r *Candidate) { r.Urgency = Late; r.Preemptions = 9 }), usual},
		{"has to run now", with(func(r *Candidate) { r.Preemptions = 9 }), with(func(r *Candidate) { r.Urgency = Urgent })},
		{"nearly complete", with(func(r *Candidate) { r.Preemptions = 9 }), with(func(r *Candidate) { r.Remaining = 100 * time.Millisecond })},
		{"last of its job", with(func(r *Candidate) { r.Preemptions, r.OpenItems = 9, 2 }), with(func(r *Candidate) { r.OpenItems = 1 })},
		{"would miss its due time", with(func(r *Candidate) { r.Preemptions = 9 }), with(func(r *Candidate) { r.Due = start.Add(3 * second) })},
		{"fewer preemptions", with(func(r *Candidate) { r.LostRunTime = second }), with(func(r *Candidate) { r.Preemptions = 1 })},
		{"least lost run time", usual, with(func(r *Candidate) { r.LostRunTime = 150 * time.Millisecond; r.StartedAt = start })},
		{"newest", with(func(r *Candidate) { r.StartedAt = start }), usual},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if ComparePreemption(start, test.first, test.later) >= 0 || ComparePreemption(start, test.later, test.first) <= 0 {
				t.Error("wrong order")
			}
		})
	}
}

func TestRunTimeEstimates(t *testing.T) {
	l := NewRunTimes()
	if got := l.Remaining(500); got != initialRunTime {
		t.Errorf("%v remaining before the first completed item", got)
	}
	for range 60 {
		l.RecordCompleted(1000, 2*time.Second)
	}
	l.RecordCompleted(1000, 0) // ran at several workers
	if got := l.Mean(); (got - 2*time.Second).Abs() > 10*time.Millisecond {
		t.Errorf("average run time %v, want 2s", got)
	}
	for range 20 {
		l.RecordRun("slow", 500, 2*time.Second)
		l.RecordRun("short", 1, 100*time.Millisecond)
	}
	tests := []struct {
		name     string
		worker   string
		produced int
		want     time.Duration
	}{
		{"no output yet", "usual", 0, 2 * time.Second},
		{"half of the output", "usual", 500, time.Second},
		{"longer than average", "usual", 5000, 200 * time.Millisecond},
		{"slow worker", "slow", 500, 2 * time.Second},
		{"runs too short to measure", "short", 500, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := l.AtWorker(test.worker, l.Remaining(test.produced)); (got - test.want).Abs() > 20*time.Millisecond {
				t.Errorf("%v remaining, want %v", got, test.want)
			}
		})
	}
}
