package worker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func listed(n int) []Worker {
	random := rand.New(rand.NewPCG(1, 2))
	list := make([]Worker, n)
	for i := range list {
		list[i] = Worker{ID: fmt.Sprintf("i-%08x", random.Uint32()), Service: "s", Address: "10.0.0.1:1", Zone: fmt.Sprint("z", i%5), Slots: 8}
	}
	return list
}

func BenchmarkPutAll(b *testing.B) {
	for _, n := range []int{3000, 10_000, 20_000} {
		list := listed(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				p := NewPool(DefaultSettings("z0"))
				for _, w := range list {
					p.Put(w)
				}
			}
		})
	}
}

// Symptom: a process that learned of 10,000 workers spent more than a second of a core on
// it, one of 3,000 a fifteenth. Cause: the list was sorted anew for each worker.
func TestListingWorkersCostsTheirNumber(t *testing.T) {
	compares := func(n int) int {
		count := 0
		o := order{compare: func(a, b *entry) int { count++; return byID(a, b) }}
		for _, w := range listed(n) {
			o.add(&entry{Worker: w})
		}
		if got := len(o.list()); got != n {
			t.Fatalf("%d of %d are listed", got, n)
		}
		return count
	}
	const n = 10_000
	if once, twice := compares(n), compares(2*n); twice > 5*once/2 {
		t.Errorf("%d comparisons for %d workers, %d for twice as many", once, n, twice)
	}
}

// What comes and goes one by one stays in order.
func TestAnOrderStaysSorted(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	o := order{compare: byID}
	var model []*entry
	for _, w := range listed(2000) {
		e := &entry{Worker: w}
		o.add(e)
		model = append(model, e)
		if random.IntN(3) == 0 {
			at := random.IntN(len(model))
			o.remove(model[at])
			model = slices.Delete(model, at, at+1)
		}
		if random.IntN(40) == 0 && len(o.list()) != len(model) {
			t.Fatalf("%d entries, want %d", o.len(), len(model))
		}
	}
	slices.SortFunc(model, byID)
	if !slices.Equal(o.list(), model) {
		t.Error("the order is not that of the model")
	}
}

// poolOf lists the same workers at a process of a zone.
func poolOf(list []Worker, zone string) *Pool {
	p := NewPool(BlindSettings(zone))
	for _, w := range list {
		p.Put(w)
	}
	return p
}

// Symptom: a choice among 10,000 workers took milliseconds, at each request. Cause: all of
// them were compared.
func TestAChoiceLooksAtAsManyWorkersOnALargerFleet(t *testing.T) {
	looks := func(n int) int {
		p, count := poolOf(listed(n), "z0"), 0
		query := Query{Service: "s", Only: func(string) bool { count++; return true }}
		if _, ok := p.Choose(start, query, random()); !ok {
			t.Fatal("no worker is chosen")
		}
		return count
	}
	const n, most = 5000, mostRecent + 1 + sampledNear + sampledFar
	if once, twice := looks(n), looks(2*n); once > most || twice > most {
		t.Errorf("%d of %d workers are looked at, %d of twice as many", once, n, twice)
	}
}

func TestAChoiceAllocatesAsMuchOnALargerFleet(t *testing.T) {
	allocated := func(n int) float64 {
		p, r := poolOf(listed(n), "z0"), random()
		return testing.AllocsPerRun(100, func() { p.Choose(start, Query{Service: "s"}, r) })
	}
	const n = 2000
	if once, twice := allocated(n), allocated(2*n); twice > once+2 {
		t.Errorf("%.0f allocations at %d workers, %.0f at twice as many", once, n, twice)
	}
}

// A worker that a sample can't hold is found all the same: the only one with room.
func TestTheOnlyWorkerWithRoomIsFound(t *testing.T) {
	list := listed(3000)
	p, last := poolOf(list, "z0"), list[1234].ID
	for _, w := range list {
		if w.ID != last {
			p.Full(start, w.ID)
		}
	}
	for range 20 {
		if choice, ok := p.Choose(start, Query{Service: "s"}, random()); !ok || choice.Worker.ID != last {
			t.Fatalf("chose %q", choice.Worker.ID)
		}
	}
	if _, ok := p.Choose(start, Query{Service: "s", Excluded: []string{last}, Limit: 1}, random()); ok {
		t.Error("a full worker is chosen")
	}
}

// Symptom: the busiest of 10,000 workers had ten times the mean. Sequence: many processes
// hear the same news, that one worker is emptier than all others, and choose at once.
// Cause: all of them compare all workers.
func TestProcessesThatHearTheSameNewsDoNotRush(t *testing.T) {
	const processes, workers = 50, 2000
	list := listed(workers)
	chosen := map[string]int{}
	for i := range processes {
		p := poolOf(list, fmt.Sprint("z", i%5))
		for _, w := range list[1:] {
			p.SetOthers(start, w.ID, 4)
		}
		choice, ok := p.Choose(start, Query{Service: "s"}, rand.New(rand.NewPCG(uint64(i), 1)))
		if !ok {
			t.Fatal("no worker is chosen")
		}
		chosen[choice.Worker.ID]++
	}
	for id, n := range chosen {
		if n > processes/4 {
			t.Errorf("%d of %d processes chose %s", n, processes, id)
		}
	}
}

// All processes agree on the worker for a large part of a prompt, also where each compares
// a sample.
func TestALargePartHasOneWorkerOnALargeFleet(t *testing.T) {
	list := listed(3000)
	parts := []Part{{ID: "letter", Tokens: 13_000}, {ID: "own", Tokens: 200}}
	want := ""
	for i := range 10 {
		p := poolOf(list, list[0].Zone)
		for _, w := range list { // one zone, so that its price decides nothing
			w.Zone = "z"
			p.Put(w)
		}
		choice, _ := p.Choose(start, Query{Service: "s", Parts: parts}, rand.New(rand.NewPCG(uint64(i), 1)))
		if want == "" {
			want = choice.Worker.ID
		}
		if choice.Worker.ID != want {
			t.Errorf("process %d chose %s, the first one %s", i, choice.Worker.ID, want)
		}
	}
}

// Workers of other groups are not looked at.
func TestGroupsDivideTheWorkers(t *testing.T) {
	p := poolOf(listed(1000), "z0")
	groupOf := func(id string) int { return int(id[len(id)-1]) % 4 }
	p.SetGroups(groupOf)
	seen := 0
	for group := range 4 {
		for _, w := range p.Workers("s", group) {
			if groupOf(w.ID) != group {
				t.Fatalf("%s is listed in group %d", w.ID, group)
			}
			seen++
		}
	}
	if seen != 1000 || len(p.Occupancies(start, "s", 0, 1)) != len(p.Workers("s", 0))+len(p.Workers("s", 1)) {
		t.Errorf("%d of 1000 workers are in a group", seen)
	}
	choice, ok := p.Choose(start, Query{Service: "s", Groups: []int{2}}, random())
	if !ok || groupOf(choice.Worker.ID) != 2 {
		t.Errorf("chose %s of group %d", choice.Worker.ID, groupOf(choice.Worker.ID))
	}
}

// A worker to which a connection is kept goes before one that would take a new one, and
// not before an emptier one when it has work.
func TestAKeptConnectionIsUsed(t *testing.T) {
	list := listed(2000)
	tests := []struct {
		name  string
		after time.Duration
		held  int
		want  bool
	}{
		{"it is free", 100 * time.Millisecond, 0, true},
		{"it has work", 100 * time.Millisecond, 3, false},
		{"the connection has ended", 2 * time.Second, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := poolOf(list, list[7].Zone)
			p.Sent(list[7].ID, nil)
			p.Used(start, list[7].ID)
			for range test.held {
				p.Begin(list[7].ID, 0)
			}
			again := 0
			for i := range 20 {
				choice, _ := p.Choose(start.Add(test.after), Query{Service: "s"}, rand.New(rand.NewPCG(uint64(i), 1)))
				if choice.Worker.ID == list[7].ID {
					again++
				}
			}
			if again > 10 != test.want {
				t.Errorf("chosen %d times of 20", again)
			}
		})
	}
}

func BenchmarkChooseOfMany(b *testing.B) {
	for _, n := range []int{100, 3000, 10_000, 20_000} {
		p, r := poolOf(listed(n), "z0"), random()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				p.Choose(start, Query{Service: "s"}, r)
			}
		})
	}
}
