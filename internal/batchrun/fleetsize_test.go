package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// leaderOfWorkers returns a leader without items and with n workers of 12 slots.
func leaderOfWorkers(t *testing.T, n int) *Leader {
	t.Helper()
	l := testLeader(t, 0, 0)
	var changes []catalog.Change
	for i := range n {
		id := fmt.Sprint("w", i)
		changes = append(changes, catalog.Change{ID: id, Worker: worker.Worker{ID: id, Service: "lm", Zone: fmt.Sprint("z", i%5), Slots: 12}})
	}
	l.service.pool.WorkersChanged(changes)
	return l
}

// TestSlotRequestCostIsIndependentOfFleetSize guards against work per message that grows with the
// number of workers, such as syncing held counts of all workers.
func TestSlotRequestCostIsIndependentOfFleetSize(t *testing.T) {
	allocated := func(workers int) float64 {
		l := leaderOfWorkers(t, workers)
		sequence := uint64(1)
		request := func() {
			sequence++
			_, answer := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{
				Report: heldReport(sequence, map[string]int{"w1": 1, "w7": 2}), Request: askFor("w1", 0),
			})
			if answer.Worker == "" {
				t.Fatal("no slot granted")
			}
		}
		request()
		return testing.AllocsPerRun(200, request)
	}
	const n = 1000
	if once, twice := allocated(n), allocated(2*n); twice > once+10 {
		t.Errorf("%.0f allocations at %d workers, %.0f at twice as many", once, n, twice)
	}
}

// If the preferred worker is full, the only free one of a large fleet must be found.
func TestFullPreferredWorkerFallsBackToFreeWorker(t *testing.T) {
	const workers = 2000
	l := leaderOfWorkers(t, workers)
	held := map[string]int{}
	for i := range workers {
		held[fmt.Sprint("w", i)] = 12
	}
	delete(held, "w1999")
	_, answer := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: heldReport(1, held), Request: askFor("w3", 0)})
	if answer.Worker != "w1999" {
		t.Errorf("%+v", answer)
	}
	held["w1999"] = 12
	_, answer = l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: heldReport(2, held), Request: askFor("w3", 0)})
	if !answer.Full {
		t.Errorf("all workers are full, got %+v", answer)
	}
}

// Load reports and rejections of a worker must not overwrite the held counts that frontends
// report.
func TestHeldCountsPersistBetweenMessages(t *testing.T) {
	l := leaderOfWorkers(t, 3)
	broker := l.service.slots
	report := func(sequence uint64, held map[string]int) {
		broker.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: heldReport(sequence, held)})
	}
	others := func(id string) int {
		seen, _ := l.service.pool.OccupancyOf(id)
		return seen.OtherInFlight
	}
	report(1, map[string]int{"w0": 5})
	ticket, ok := l.service.pool.Assign(worker.Query{Service: "lm", WorkerID: "w0"})
	if !ok {
		t.Fatal("no worker available")
	}
	ticket.RecordLoad(worker.Load{Running: 1, Slots: 12})
	ticket.RecordFull()
	ticket.End()
	if got := others("w0"); got != 5 {
		t.Errorf("%d requests of others after the worker's reports, want 5", got)
	}
	report(2, map[string]int{"w1": 2})
	if a, b := others("w0"), others("w1"); a != 0 || b != 2 {
		t.Errorf("%d and %d requests of others, want 0 and 2", a, b)
	}
	l.service.pool.WorkersChanged([]catalog.Change{{ID: "w9", Worker: worker.Worker{ID: "w9", Service: "lm", Zone: "z", Slots: 12}}})
	report(3, map[string]int{"w1": 2, "w9": 4})
	if got := others("w9"); got != 4 {
		t.Errorf("%d requests of others at a new worker, want 4", got)
	}
}

// TestLoadPollsAreBounded guards against polling a whole large fleet: a leader polls workers that
// run its items or have unreported load, a bounded number per round.
func TestLoadPollsAreBounded(t *testing.T) {
	for _, workers := range []int{1000, 2000} {
		l := leaderOfWorkers(t, workers)
		polled := map[string]int{}
		round := func() {
			busy := map[string]worker.Worker{}
			l.addPollTargets(busy)
			if len(busy) > maxPolls {
				t.Fatalf("%d of %d workers polled in one round", len(busy), workers)
			}
			for id := range busy {
				polled[id]++
			}
		}
		l.waiting = append(l.waiting, &item{service: "lm", standing: fill.Normal})
		round()
		if len(polled) != 0 {
			t.Errorf("%d workers without items polled", len(polled))
		}
		const running = 150
		for i := range running {
			if _, ok := l.service.pool.Assign(worker.Query{Service: "lm", WorkerID: fmt.Sprint("w", i)}); !ok {
				t.Fatal("no worker available")
			}
		}
		unreported, _ := l.service.pool.CurrentIncarnation("w900")
		for range 2 {
			l.service.applyLoadReport(worker.Worker{ID: unreported.ID, Service: "lm"}, backend.Report{Running: 3})
		}
		for range 4 {
			round()
		}
		if len(polled) != running+1 || polled["w900"] == 0 {
			t.Errorf("%d workers polled in four rounds, want %d", len(polled), running+1)
		}
	}
}

func BenchmarkSlotRequest(b *testing.B) {
	for _, workers := range []int{600, 2000, 4000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			t := &testing.T{}
			l := leaderOfWorkers(t, workers)
			sequence := uint64(1)
			for range b.N {
				sequence++
				l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{
					Report: heldReport(sequence, map[string]int{"w1": 1, "w7": 2}), Request: askFor("w1", 0),
				})
			}
		})
	}
}
