package batchrun

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// TestNewLeaderStartsNothingDuringWarmUp guards against a new leader that fills all workers before
// frontends have reported the slots they hold.
func TestNewLeaderStartsNothingDuringWarmUp(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration // time since the leader started
		want int
	}{
		{"during warm-up", 0, 0},
		{"after warm-up", 2 * warmUp, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 3, 10)
			l.startedAt = time.Now().Add(-test.age)
			if n := l.dispatch(); n != test.want {
				t.Errorf("%d items started, want %d", n, test.want)
			}
		})
	}
}

func TestItemsRunOnlyInFreeSlots(t *testing.T) {
	l := testLeader(t, 30, 10)
	held := map[string]int{}
	for _, w := range l.service.pool.Workers("lm") {
		held[w.ID] = 12
	}
	held["w3"] = 10
	l.service.slots.book.Report(time.Now(), reservation.Report{Node: "front", Sequence: 1, InFlight: held})
	l.dispatch()
	l.mutex.Lock() // attempts at the refusing workers end concurrently
	defer l.mutex.Unlock()
	for i := range l.running {
		if i.worker != "w3" {
			t.Errorf("item runs at %s, which is full", i.worker)
		}
	}
	if len(l.running) > 2 {
		t.Errorf("%d items run in 2 free slots", len(l.running))
	}
}

// Items that will miss their deadline start last and are preempted first.
func TestMissedItemsRunLast(t *testing.T) {
	l := testLeader(t, 3, 1)
	l.waiting[0].standing = fill.Late
	l.sortWaiting()
	if l.waiting[2].standing != fill.Late {
		t.Error("item that will miss its deadline is not last in the queue")
	}
	for _, i := range l.waiting {
		i.worker, i.cancel = "w0", func() {}
		l.running[i] = true
	}
	l.preemptLocked("w0", 1, true)
	for i := range l.running {
		if i.preempted != (i.standing == fill.Late) {
			t.Errorf("item of standing %d preempted: %t", i.standing, i.preempted)
		}
	}
}

// TestPressedItemsAreAlsoPreempted guards against pressed items that hold up online requests.
func TestPressedItemsAreAlsoPreempted(t *testing.T) {
	l := testLeader(t, 2, 1)
	for n, i := range l.waiting {
		i.worker, i.cancel = "w0", func() {}
		i.standing = []fill.Urgency{fill.Urgent, fill.Normal}[n]
		l.running[i] = true
	}
	for _, test := range []struct{ count, pressed int }{{1, 0}, {2, 1}} {
		l.preemptLocked("w0", test.count, true)
		pressed := 0
		for i := range l.running {
			if i.preempted && i.standing == fill.Urgent {
				pressed++
			}
		}
		if pressed != test.pressed {
			t.Errorf("preempting %d items: %d pressed items preempted, want %d", test.count, pressed, test.pressed)
		}
	}
}

func TestCheckpointIntervalGrowsWithRunningItems(t *testing.T) {
	tests := []struct {
		running int
		core    float64
		want    time.Duration
	}{
		{0, 1, checkpointInterval},
		{30, 1, checkpointInterval},
		{100, 1, 1600 * time.Millisecond},
		{100, 0.5, 3200 * time.Millisecond},
		{100, 0, 1600 * time.Millisecond},
	}
	for _, test := range tests {
		if got := checkpointIntervalFor(test.running, test.core); got != test.want {
			t.Errorf("%d items on %v of a core: %v, want %v", test.running, test.core, got, test.want)
		}
	}
}

func TestUnreportedLoadNeedsTwoReports(t *testing.T) {
	tests := []struct {
		name    string
		reports []int
		want    int
	}{
		{"one report", []int{5}, 0},
		{"two reports", []int{5, 3}, 3},
		{"load has ended", []int{5, 0}, 0},
		{"less than the known load", []int{-3, -4}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var u unreportedLoad
			for _, n := range test.reports {
				u.observe(time.Now(), worker.Incarnation{ID: "w"}, max(n, 0), max(-n, 0))
			}
			if got := u.at("w"); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}

// Both workers report that they are full, with requests that no frontend reports.
func TestUnreportedLoadTakesSlots(t *testing.T) {
	l := testLeader(t, 30, 2)
	for range 2 {
		for _, w := range l.service.pool.Workers("lm") {
			l.service.applyLoadReport(w, backend.Report{Running: 12})
		}
	}
	if n := l.dispatch(); n != 0 {
		t.Errorf("%d items started at full workers", n)
	}
}

func TestUnreportedLoadIgnoresRecentlyHeldRequests(t *testing.T) {
	const poll = 250 * time.Millisecond
	type report struct{ load, held int }
	tests := []struct {
		name    string
		reports []report // one per poll
		want    int
	}{
		{"all load is known", []report{{4, 4}, {4, 4}}, 0},
		{"items preempted, report is late", []report{{6, 6}, {6, 2}, {6, 2}}, 0},
		{"partitioned frontend", []report{{6, 4}, {6, 4}, {6, 4}}, 2},
		{"held requests ended before reportLag", []report{{6, 6}, {6, 2}, {6, 2}, {6, 2}, {6, 2}, {6, 2}, {6, 2}}, 4},
		{"less than the known load", []report{{1, 4}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var u unreportedLoad
			now := time.Now()
			for i, each := range test.reports {
				u.observe(now.Add(time.Duration(i)*poll), worker.Incarnation{ID: "w"}, each.load, each.held)
			}
			if got := u.at("w"); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}
