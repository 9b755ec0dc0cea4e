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

// TestStartedItemsAreNotPreemptedByTheNextPass guards against an oscillation in which pressed
// items start in the reserve and the next pass preempts them.
func TestStartedItemsAreNotPreemptedByTheNextPass(t *testing.T) {
	l := testLeader(t, 30, 1)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	t.Cleanup(l.cancel) // runs before Close
	at := worker.Worker{ID: "w0", Service: "lm", Address: silent.Listener.Addr().String(), Slots: 12}
	l.service.pool.WorkersChanged([]catalog.Change{{ID: "w0", Worker: at}})
	now := time.Now()
	l.plan.demandFor("lm").Observe(now, 0)
	l.service.slots.book.Report(now, reservation.Report{Node: "front", Sequence: 1, InFlight: map[string]int{"w0": 4}})
	l.service.slots.refresh(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for pass := range 2 {
		budget := newBudget()
		l.planService(now, "lm", budget)
		for _, i := range l.waiting {
			i.standing = fill.Urgent
			if !l.running[i] {
				l.tryStart(now, i, budget, map[string]bool{})
			}
		}
		if pass == 0 && len(l.running) == 0 {
			t.Fatal("no item started")
		}
	}
	for i := range l.running {
		if i.preempted {
			t.Errorf("item %d of %d preempted though no request waits", i.index, len(l.running))
		}
	}
}

// periodicDemand returns demand that alternated between 0 and 110 requests and is now half a
// second into a trough of 3.8 s.
func periodicDemand(now time.Time) *fill.Demand {
	const period, low = 6600 * time.Millisecond, 3800 * time.Millisecond
	const duration = 4*period + 500*time.Millisecond
	d := &fill.Demand{}
	for at := time.Duration(0); at <= duration; at += 50 * time.Millisecond {
		held := 0
		if at%period >= low {
			held = 110
		}
		d.Observe(now.Add(at-duration), held)
	}
	return d
}

// Ten workers of 12 slots are free.
func TestItemsAreHeldBackBeforeExpectedRise(t *testing.T) {
	tests := []struct {
		name   string
		demand func(time.Time) *fill.Demand
		due    time.Duration
		run    time.Duration // run time of an item
		want   int
	}{
		{"no period detected", func(time.Time) *fill.Demand { return &fill.Demand{} }, time.Hour, 4 * time.Second, startBurst},
		{"items outlast the trough: one suffices", periodicDemand, time.Hour, 4 * time.Second, 1},
		{"items end before the rise", periodicDemand, time.Hour, time.Second, startBurst},
		{"deadline is close", periodicDemand, 12 * time.Second, 4 * time.Second, startBurst},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 30, 10)
			now := time.Now()
			l.plan.demand["lm"] = test.demand(now)
			for range 200 {
				l.lengths.RecordCompleted(1000, test.run)
			}
			for _, i := range l.waiting {
				i.service, i.job.Created, i.job.RunTarget = "lm", now, test.due
			}
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.planService(now, "lm", newBudget())
			l.updateStandings(now)
			budget, n := newBudget(), 0
			l.planService(now, "lm", budget)
			for _, i := range l.waiting {
				if n < startBurst && l.tryStart(now, i, budget, map[string]bool{}) {
					n++
				}
			}
			if n != test.want {
				t.Errorf("%d items started, want %d; beside %d, needed %d, held back %d", n, test.want, budget.services["lm"].start.Capacity(test.run), l.plan.need["lm"], budget.heldBack())
			}
		})
	}
}

// TestSuspectedWorkerIsProbedByOneItem guards against a broken worker being found only by the
// online requests of a rise, while items are held back before it.
func TestSuspectedWorkerIsProbedByOneItem(t *testing.T) {
	const ms = time.Millisecond
	first, second, third := &item{}, &item{}, &item{}
	tests := []struct {
		name  string
		setUp func(s *suspects, now time.Time)
		want  int
	}{
		{"no suspect", func(*suspects, time.Time) {}, 0},
		{"interrupted response", func(s *suspects, now time.Time) { s.interrupted(now, "w3", first) }, 1},
		{"successful probe", func(s *suspects, now time.Time) {
			s.interrupted(now.Add(-ms), "w3", first)
			second.startedAt = now
			s.started("w3", second)
			s.ended("w3", second, true)
		}, 0},
		{"interrupted probe", func(s *suspects, now time.Time) {
			s.interrupted(now.Add(-ms), "w3", first)
			s.started("w3", second)
			s.interrupted(now, "w3", second)
		}, 1},
		{"probe is running", func(s *suspects, now time.Time) {
			s.interrupted(now.Add(-ms), "w3", first)
			s.started("w3", second)
		}, 0},
		{"older run received events", func(s *suspects, now time.Time) {
			third.startedAt = now.Add(-time.Second)
			s.interrupted(now, "w3", first)
			s.ended("w3", third, true)
		}, 1},
		{"suspicion expired", func(s *suspects, now time.Time) { s.interrupted(now.Add(-suspectTTL-ms), "w3", first) }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 30, 10)
			now := time.Now()
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.plan.demand["lm"] = periodicDemand(now)
			test.setUp(&l.suspects, now)
			budget, full, n := newBudget(), map[string]bool{}, 0
			l.planService(now, "lm", budget)
			for _, i := range l.waiting {
				if l.tryStart(now, i, budget, full) {
					n++
					if i.worker != "w3" {
						t.Errorf("item probes %s", i.worker)
					}
				}
			}
			if n != test.want {
				t.Errorf("%d items started, want %d", n, test.want)
			}
		})
	}
}

// An item that was preempted often is spared while another one can be preempted.
func TestOftenPreemptedItemIsSpared(t *testing.T) {
	l := testLeader(t, 2, 1)
	often := l.waiting[1]
	for n, i := range l.waiting {
		i.worker, i.cancel, i.startedAt = "w0", func() {}, time.Now().Add(-time.Duration(n)*time.Second)
		l.running[i] = true
	}
	often.preemptions, often.startedAt = 3, time.Now()
	l.preemptLocked("w0", 1, true)
	for i := range l.running {
		if i.preempted == (i == often) {
			t.Errorf("item preempted %d times before, preempted now: %t", i.preemptions, i.preempted)
		}
	}
}
