package batchrun

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// TestANewLeaderStartsNothingOnAGuess: after all processes were killed, a new leader
// filled all workers at once, just when all callers came back.
func TestANewLeaderStartsNothingOnAGuess(t *testing.T) {
	tests := []struct {
		name  string
		began time.Duration // before now
		want  int
	}{
		{"just begun", 0, 0},
		{"frontends have had time to tell what they hold", 2 * blindTime, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 3, 10)
			l.began = time.Now().Add(-test.began)
			if n := l.dispatch(); n != test.want {
				t.Errorf("%d items started, want %d", n, test.want)
			}
		})
	}
}

// TestItemsGoOnlyWhereNothingElseIs: 10 workers of 12 slots.
func TestItemsGoOnlyWhereNothingElseIs(t *testing.T) {
	l := testLeader(t, 30, 10)
	held := map[string]int{}
	for _, w := range l.service.pool.Workers("lm") {
		held[w.ID] = 12
	}
	held["w3"] = 10
	l.service.places.book.Report(time.Now(), reservation.Report{Node: "front", Sequence: 1, Held: held})
	l.dispatch()
	l.mutex.Lock() // sends to the refusing workers end meanwhile
	defer l.mutex.Unlock()
	for i := range l.running {
		if i.worker != "w3" {
			t.Errorf("an item runs at %s, which is full", i.worker)
		}
	}
	if len(l.running) > 2 {
		t.Errorf("%d items run in 2 slots", len(l.running))
	}
}

// TestWhatCannotBeInTimeGoesLast and gives way first.
func TestWhatCannotBeInTimeGoesLast(t *testing.T) {
	l := testLeader(t, 3, 1)
	l.waiting[0].standing = fill.Missed
	l.sortWaiting()
	if l.waiting[2].standing != fill.Missed {
		t.Error("an item that can't be in time does not wait last")
	}
	for _, i := range l.waiting {
		i.worker, i.cancel = "w0", func() {}
		l.running[i] = true
	}
	l.giveWayLocked("w0", 1, true)
	for i := range l.running {
		if i.yielding != (i.standing == fill.Missed) {
			t.Errorf("an item of standing %d gives way: %t", i.standing, i.yielding)
		}
	}
}

// TestWhateverItsStandingAnItemGivesWay where a request waits: pressed items that did
// not held up online requests for seconds (sbandel-dykewing-grown scale-1).
func TestWhateverItsStandingAnItemGivesWay(t *testing.T) {
	l := testLeader(t, 2, 1)
	for n, i := range l.waiting {
		i.worker, i.cancel = "w0", func() {}
		i.standing = []fill.Standing{fill.Pressed, fill.Usual}[n]
		l.running[i] = true
	}
	for _, test := range []struct{ count, pressed int }{{1, 0}, {2, 1}} {
		l.giveWayLocked("w0", test.count, true)
		pressed := 0
		for i := range l.running {
			if i.yielding && i.standing == fill.Pressed {
				pressed++
			}
		}
		if pressed != test.pressed {
			t.Errorf("%d to give way: %d pressed items do, want %d", test.count, pressed, test.pressed)
		}
	}
}

func TestPartsAreSpacedByHowManyItemsRun(t *testing.T) {
	tests := []struct {
		running int
		core    float64
		want    time.Duration
	}{
		{0, 1, keepInterval},
		{30, 1, keepInterval},
		{100, 1, 1600 * time.Millisecond},
		{100, 0.5, 3200 * time.Millisecond},
		{100, 0, 1600 * time.Millisecond},
	}
	for _, test := range tests {
		if got := keepEvery(test.running, test.core); got != test.want {
			t.Errorf("%d items on %v of a core: %v, want %v", test.running, test.core, got, test.want)
		}
	}
}

func TestOnlyWhatTwoPollsShowIsHidden(t *testing.T) {
	tests := []struct {
		name  string
		polls []int
		want  int
	}{
		{"one poll", []int{5}, 0},
		{"two", []int{5, 3}, 3},
		{"one that has gone", []int{5, 0}, 0},
		{"fewer than is told", []int{-3, -4}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var h hidden
			for _, n := range test.polls {
				h.put(time.Now(), worker.Incarnation{ID: "w"}, max(n, 0), max(-n, 0))
			}
			if got := h.of("w"); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}

// TestRequestsThatNobodyTellsOfTakeTheirSlots: both workers of 12 slots say twice that
// they have 12 requests, of which no frontend tells.
func TestRequestsThatNobodyTellsOfTakeTheirSlots(t *testing.T) {
	l := testLeader(t, 30, 2)
	for range 2 {
		for _, w := range l.service.pool.Workers("lm") {
			l.service.polled(w, backend.Report{Running: 12})
		}
	}
	if n := l.dispatch(); n != 0 {
		t.Errorf("%d items started at full workers", n)
	}
}

func TestHiddenIsWhatNobodyHeldWithinTheLag(t *testing.T) {
	const poll = 250 * time.Millisecond
	type word struct{ load, held int }
	tests := []struct {
		name  string
		words []word // one each poll
		want  int
	}{
		{"all is told", []word{{4, 4}, {4, 4}}, 0},
		{"items gave way, the worker's word is late", []word{{6, 6}, {6, 2}, {6, 2}}, 0},
		{"a frontend is cut off", []word{{6, 4}, {6, 4}, {6, 4}}, 2},
		{"requests ended long ago, and others are there", []word{{6, 6}, {6, 2}, {6, 2}, {6, 2}, {6, 2}, {6, 2}, {6, 2}}, 4},
		{"the worker knows of less", []word{{1, 4}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var h hidden
			now := time.Now()
			for i, each := range test.words {
				h.put(now.Add(time.Duration(i)*poll), worker.Incarnation{ID: "w"}, each.load, each.held)
			}
			if got := h.of("w"); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}
