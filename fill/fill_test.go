package fill

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func TestReserveFollowsRecentIncrease(t *testing.T) {
	tests := []struct {
		name  string
		held  []int // one observation every 50 ms
		slots int
		want  float64
	}{
		{"no observation", nil, 96, 0},
		{"idle", []int{0, 0}, 96, 0},
		{"constant", []int{64, 64, 64}, 96, 4},
		{"step up", []int{16, 16, 30, 44}, 96, 28},
		{"step up in the past", []int{16, 44, 44, 44, 44, 44}, 96, reserveStdDevs * 6.6332495807108},
		{"step down", []int{64, 36, 16}, 96, 2},
		{"more than all slots", []int{0, 200}, 96, 96},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var demand Demand
			for i, held := range test.held {
				demand.Observe(start.Add(time.Duration(i)*50*time.Millisecond), held)
			}
			if got := demand.Reserve(test.slots); got != test.want {
				t.Errorf("%v slots reserved, want %v", got, test.want)
			}
		})
	}
}

func TestEarlyPreemptionPerWorker(t *testing.T) {
	tests := []struct {
		name    string
		workers []WorkerLoad
		reserve float64
		waiting int
		want    []int
	}{
		{"enough free slots", []WorkerLoad{{8, 2, 2}, {8, 2, 2}}, 4, 0, []int{0, 0}},
		{"request waits at a worker", []WorkerLoad{{8, 3, 6}, {8, 2, 2}}, 0, 0, []int{1, 0}},
		{"more requests than items", []WorkerLoad{{8, 12, 2}}, 0, 0, []int{2}},
		{"less than half of the reserve is free", []WorkerLoad{{8, 2, 6}, {8, 2, 6}}, 4, 0, []int{1, 1}},
		{"half of the reserve is free", []WorkerLoad{{8, 2, 5}, {8, 2, 5}}, 4, 0, []int{0, 0}},
		{"requests wait elsewhere", []WorkerLoad{{8, 2, 6}, {8, 2, 5}}, 0, 3, []int{1, 1}},
		{"only workers with items", []WorkerLoad{{8, 8, 0}, {8, 2, 6}}, 0, 2, []int{0, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := EarlyPreemptions(test.workers, test.reserve, test.waiting); !slices.Equal(got, test.want) {
				t.Errorf("preempts %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against items that start and are preempted at once. No worker preempts more items
// than it runs, and none is preempted while enough slots are free.
func TestStartedItemsAreNotPreemptedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "workers")
		workers := make([]WorkerLoad, n)
		for i := range workers {
			workers[i] = WorkerLoad{
				Slots:  rapid.IntRange(1, 20).Draw(t, "slots"),
				Online: rapid.IntRange(0, 25).Draw(t, "online"), Batch: rapid.IntRange(0, 20).Draw(t, "batch"),
			}
		}
		reserve := rapid.Float64Range(0, 40).Draw(t, "reserve")
		waiting := rapid.IntRange(0, 30).Draw(t, "waiting")
		excess := EarlyPreemptions(workers, reserve, waiting)
		total, held, queued := 0, 0, 0
		for i, w := range workers {
			if excess[i] < 0 || excess[i] > w.Batch {
				t.Fatalf("worker %d preempts %d of %d items", i, excess[i], w.Batch)
			}
			if w.Free() < 0 && excess[i] == 0 && w.Batch > 0 {
				t.Fatalf("requests wait at worker %d and no item is preempted", i)
			}
			total += excess[i]
			held += w.Batch
			queued += max(-w.Free(), 0)
		}
		if total > queued && StartCapacity(workers, reserve, waiting) > 0 {
			t.Fatalf("%d items may start while %d are preempted and %d requests wait", StartCapacity(workers, reserve, waiting), total, queued)
		}
		if total > queued && UrgentStartCapacity(workers, reserve, waiting) > 0 {
			t.Fatalf("%d pressed items may start while %d are preempted and %d requests wait", UrgentStartCapacity(workers, reserve, waiting), total, queued)
		}
		required := RequiredPreemptions(workers, waiting)
		for i := range required {
			if required[i] > excess[i] {
				t.Fatalf("worker %d preempts %d items in total but %d at once", i, excess[i], required[i])
			}
		}
		started := slices.Clone(workers)
		for n := UrgentStartCapacity(workers, reserve, waiting); n > 0; n-- {
			i := slices.IndexFunc(started, func(w WorkerLoad) bool { return w.Free() > 0 })
			started[i].Batch++
		}
		for i, n := range EarlyPreemptions(started, reserve, waiting) {
			if n > excess[i] {
				t.Fatalf("worker %d: %d items preempted after pressed ones started, %d before", i, n, excess[i])
			}
		}
		if needed := int(reserve/2) + waiting + queued; total > needed {
			t.Fatalf("%d items preempted for %d slots", total, needed)
		}
	})
}

func TestStandings(t *testing.T) {
	due := func(after time.Duration) time.Time { return start.Add(after) }
	tests := []struct {
		name  string
		items []Item
		room  float64
		want  []Urgency
	}{
		{"ample time", []Item{{due(18 * time.Second), 4 * time.Second}}, 10, []Urgency{Normal}},
		{"just enough time", []Item{{due(4900 * time.Millisecond), 4 * time.Second}}, 10, []Urgency{Urgent}},
		{"too late", []Item{{due(3 * time.Second), 4 * time.Second}}, 10, []Urgency{Late}},
		{"no due time", []Item{{time.Time{}, 4 * time.Second}}, 10, []Urgency{Normal}},
		{"much work due before", []Item{
			{due(12 * time.Second), 4 * time.Second}, {due(12 * time.Second), 4 * time.Second}, {due(12 * time.Second), 4 * time.Second},
		}, 1, []Urgency{Normal, Normal, Urgent}},
		{"missed items are ignored", []Item{
			{due(2 * time.Second), 9 * time.Second}, {due(12 * time.Second), 4 * time.Second},
		}, 1, []Urgency{Late, Normal}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Urgencies(start, test.items, test.room); !slices.Equal(got, test.want) {
				t.Errorf("standings %v, want %v", got, test.want)
			}
		})
	}
}
