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

// ofMany is a leader before so many workers of 12 slots.
func ofMany(t *testing.T, workers int) *Leader {
	t.Helper()
	l := testLeader(t, 0, 0)
	var changes []catalog.Change
	for i := range workers {
		id := fmt.Sprint("w", i)
		changes = append(changes, catalog.Change{ID: id, Worker: worker.Worker{ID: id, Service: "lm", Zone: fmt.Sprint("z", i%5), Slots: 12}})
	}
	l.service.pool.WorkersChanged(changes)
	return l
}

// Symptom: leaders of 2,000 workers each took 0.2 s of a core for a question and gave no
// place in time; none of 1,203 items was served. Sequence: each question told the pool anew
// what is held at all workers, and listed them all for those with a free slot. Cause: what
// a message costs followed the number of workers and not what it tells.
func TestAQuestionCostsAsMuchOnALargerFleet(t *testing.T) {
	allocated := func(workers int) float64 {
		l := ofMany(t, workers)
		sequence := uint64(1)
		question := func() {
			sequence++
			_, answer := l.service.places.take(time.Now(), l.service.led(), reservation.Message{
				Report: holding(sequence, map[string]int{"w1": 1, "w7": 2}), Ask: asked("w1", 0),
			})
			if answer.Worker == "" {
				t.Fatal("no place")
			}
		}
		question()
		return testing.AllocsPerRun(200, question)
	}
	const n = 1000
	if once, twice := allocated(n), allocated(2*n); twice > once+10 {
		t.Errorf("%.0f allocations at %d workers, %.0f at twice as many", once, n, twice)
	}
}

// The place is right all the same where the choice was full: what is looked at grows with
// what has no room.
func TestAFullChoiceIsFollowedByAFreeWorker(t *testing.T) {
	const workers = 2000
	l := ofMany(t, workers)
	held := map[string]int{}
	for i := range workers {
		held[fmt.Sprint("w", i)] = 12
	}
	delete(held, "w1999")
	_, answer := l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: holding(1, held), Ask: asked("w3", 0)})
	if answer.Worker != "w1999" {
		t.Errorf("%+v", answer)
	}
	held["w1999"] = 12
	_, answer = l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: holding(2, held), Ask: asked("w3", 0)})
	if !answer.Full {
		t.Errorf("all are full: %+v", answer)
	}
}

// What frontends hold stays known, whatever a worker or a refusal says of moments before.
func TestWhatIsHeldStaysKnownBetweenMessages(t *testing.T) {
	l := ofMany(t, 3)
	p := l.service.places
	tell := func(sequence uint64, held map[string]int) {
		p.take(time.Now(), l.service.led(), reservation.Message{Report: holding(sequence, held)})
	}
	others := func(id string) int {
		seen, _ := l.service.pool.OccupancyOf(id)
		return seen.Others
	}
	tell(1, map[string]int{"w0": 5})
	ticket, ok := l.service.pool.Take(worker.Query{Service: "lm", Worker: "w0"})
	if !ok {
		t.Fatal("no worker")
	}
	ticket.Report(worker.Load{Running: 1, Slots: 12})
	ticket.Full()
	ticket.End()
	if got := others("w0"); got != 5 {
		t.Errorf("%d requests of others after words of the worker, want 5", got)
	}
	tell(2, map[string]int{"w1": 2})
	if a, b := others("w0"), others("w1"); a != 0 || b != 2 {
		t.Errorf("%d and %d requests of others, want 0 and 2", a, b)
	}
	l.service.pool.WorkersChanged([]catalog.Change{{ID: "w9", Worker: worker.Worker{ID: "w9", Service: "lm", Zone: "z", Slots: 12}}})
	tell(3, map[string]int{"w1": 2, "w9": 4})
	if got := others("w9"); got != 4 {
		t.Errorf("%d at a worker that has come, want 4", got)
	}
}

// Symptom: leaders asked thousands of workers for their load, one after the other. A leader
// of many asks those where its items run, a bounded number a round, and those that had more
// than was told until they say otherwise.
func TestFewWorkersAreAskedOfMany(t *testing.T) {
	for _, workers := range []int{1000, 2000} {
		l := ofMany(t, workers)
		asked := map[string]int{}
		round := func() {
			busy := map[string]worker.Worker{}
			l.addBusy(busy)
			if len(busy) > mostAsked {
				t.Fatalf("%d of %d workers are asked in a round", len(busy), workers)
			}
			for id := range busy {
				asked[id]++
			}
		}
		l.waiting = append(l.waiting, &item{service: "lm", standing: fill.Usual})
		round()
		if len(asked) != 0 {
			t.Errorf("%d workers without items are asked", len(asked))
		}
		const running = 150
		for i := range running {
			if _, ok := l.service.pool.Take(worker.Query{Service: "lm", Worker: fmt.Sprint("w", i)}); !ok {
				t.Fatal("no worker")
			}
		}
		hidden, _ := l.service.pool.Current("w900")
		for range 2 {
			l.service.polled(worker.Worker{ID: hidden.ID, Service: "lm"}, backend.Report{Running: 3})
		}
		for range 4 {
			round()
		}
		if len(asked) != running+1 || asked["w900"] == 0 {
			t.Errorf("%d workers are asked in four rounds, want %d", len(asked), running+1)
		}
	}
}

func BenchmarkQuestionForAPlace(b *testing.B) {
	for _, workers := range []int{600, 2000, 4000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			t := &testing.T{}
			l := ofMany(t, workers)
			sequence := uint64(1)
			for range b.N {
				sequence++
				l.service.places.take(time.Now(), l.service.led(), reservation.Message{
					Report: holding(sequence, map[string]int{"w1": 1, "w7": 2}), Ask: asked("w1", 0),
				})
			}
		})
	}
}
