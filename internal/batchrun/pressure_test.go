package batchrun

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// TestPressedItemsDoNotBeginToBeStopped: they took all of the reserve, half of which was
// taken back at the next look, and the same items began and were stopped 600 times in a
// second.
func TestPressedItemsDoNotBeginToBeStopped(t *testing.T) {
	l := testLeader(t, 30, 1)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	t.Cleanup(l.cancel) // before it
	at := worker.Worker{ID: "w0", Service: "lm", Address: silent.Listener.Addr().String(), Slots: 12}
	l.service.pool.WorkersChanged([]catalog.Change{{ID: "w0", Worker: at}})
	now := time.Now()
	l.plan.demandOf("lm").Observe(now, 0)
	l.service.places.book.Report(now, reservation.Report{Node: "front", Sequence: 1, Held: map[string]int{"w0": 4}})
	l.service.places.kick(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for look := range 2 {
		room := newRooms()
		l.look(now, "lm", room)
		for _, i := range l.waiting {
			i.standing = fill.Pressed
			if !l.running[i] {
				l.try(now, i, room, map[string]bool{})
			}
		}
		if look == 0 && len(l.running) == 0 {
			t.Fatal("no item began")
		}
	}
	for i := range l.running {
		if i.yielding {
			t.Errorf("item %d of %d was stopped, no request waits", i.index, len(l.running))
		}
	}
}

// risingDemand is what a leader has seen of 110 requests in steps, by now half a second
// into a trough of 3.8 s.
func risingDemand(now time.Time) *fill.Demand {
	const period, low = 6600 * time.Millisecond, 3800 * time.Millisecond
	const seen = 4*period + 500*time.Millisecond
	d := &fill.Demand{}
	for at := time.Duration(0); at <= seen; at += 50 * time.Millisecond {
		held := 0
		if at%period >= low {
			held = 110
		}
		d.Observe(now.Add(at-seen), held)
	}
	return d
}

// TestItemsAreHeldBackBeforeARise of which demand has shown the period: 10 workers of 12
// slots are free.
func TestItemsAreHeldBackBeforeARise(t *testing.T) {
	tests := []struct {
		name   string
		demand func(time.Time) *fill.Demand
		due    time.Duration
		run    time.Duration // of an item
		want   int
	}{
		{"no rise is known", func(time.Time) *fill.Demand { return &fill.Demand{} }, time.Hour, 4 * time.Second, startsAtOnce},
		{"they would outlast the trough: one keeps up", risingDemand, time.Hour, 4 * time.Second, 1},
		{"they end before the rise", risingDemand, time.Hour, time.Second, startsAtOnce},
		{"they are due soon", risingDemand, 12 * time.Second, 4 * time.Second, startsAtOnce},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 30, 10)
			now := time.Now()
			l.plan.demand["lm"] = test.demand(now)
			for range 200 {
				l.lengths.Whole(1000, test.run)
			}
			for _, i := range l.waiting {
				i.service, i.job.Created, i.job.RunTarget = "lm", now, test.due
			}
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.look(now, "lm", newRooms())
			l.stand(now)
			room, n := newRooms(), 0
			l.look(now, "lm", room)
			for _, i := range l.waiting {
				if n < startsAtOnce && l.try(now, i, room, map[string]bool{}) {
					n++
				}
			}
			if n != test.want {
				t.Errorf("%d items began, want %d; beside %d, needed %d, held back %d", n, test.want, room.services["lm"].start.Beside(test.run), l.plan.need["lm"], room.held())
			}
		})
	}
}

// TestASuspectedWorkerIsTriedByAnItem though items are held back before a rise: else the
// requests of the rise find out one by one that it is broken.
func TestASuspectedWorkerIsTriedByAnItem(t *testing.T) {
	const ms = time.Millisecond
	first, second, third := &item{}, &item{}, &item{}
	tests := []struct {
		name string
		seen func(s *suspects, now time.Time)
		want int
	}{
		{"none", func(*suspects, time.Time) {}, 0},
		{"an answer broke off", func(s *suspects, now time.Time) { s.broke(now, "w3", first) }, 1},
		{"then a trial got events", func(s *suspects, now time.Time) {
			s.broke(now.Add(-ms), "w3", first)
			second.since = now
			s.began("w3", second)
			s.ended("w3", second, true)
		}, 0},
		{"then a trial broke off", func(s *suspects, now time.Time) {
			s.broke(now.Add(-ms), "w3", first)
			s.began("w3", second)
			s.broke(now, "w3", second)
		}, 1},
		{"a trial is there", func(s *suspects, now time.Time) {
			s.broke(now.Add(-ms), "w3", first)
			s.began("w3", second)
		}, 0},
		{"an older run got events", func(s *suspects, now time.Time) {
			third.since = now.Add(-time.Second)
			s.broke(now, "w3", first)
			s.ended("w3", third, true)
		}, 1},
		{"long ago", func(s *suspects, now time.Time) { s.broke(now.Add(-suspectFor-ms), "w3", first) }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 30, 10)
			now := time.Now()
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.plan.demand["lm"] = risingDemand(now)
			test.seen(&l.suspects, now)
			room, full, n := newRooms(), map[string]bool{}, 0
			l.look(now, "lm", room)
			for _, i := range l.waiting {
				if l.try(now, i, room, full) {
					n++
					if i.worker != "w3" {
						t.Errorf("an item tries %s", i.worker)
					}
				}
			}
			if n != test.want {
				t.Errorf("%d items began, want %d", n, test.want)
			}
		})
	}
}

// TestWhatHasGivenWayOftenGoesOn while others run that have not.
func TestWhatHasGivenWayOftenGoesOn(t *testing.T) {
	l := testLeader(t, 2, 1)
	often := l.waiting[1]
	for n, i := range l.waiting {
		i.worker, i.cancel, i.since = "w0", func() {}, time.Now().Add(-time.Duration(n)*time.Second)
		l.running[i] = true
	}
	often.cuts, often.since = 3, time.Now()
	l.giveWayLocked("w0", 1, true)
	for i := range l.running {
		if i.yielding == (i == often) {
			t.Errorf("an item that gave way %d times gives way: %t", i.cuts, i.yielding)
		}
	}
}
