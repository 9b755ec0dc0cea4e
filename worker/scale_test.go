package worker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func testWorkers(n int) []Worker {
	random := rand.New(rand.NewPCG(1, 2))
	list := make([]Worker, n)
	for i := range list {
		list[i] = Worker{ID: fmt.Sprintf("i-%08x", random.Uint32()), Service: "s", Address: "10.0.0.1:1", Zone: fmt.Sprint("z", i%5), Slots: 8}
	}
	return list
}

func BenchmarkPutAll(b *testing.B) {
	for _, n := range []int{3000, 10_000, 20_000} {
		list := testWorkers(n)
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

// Guards against sorting the list anew for each added worker.
func TestListingWorkersIsNotQuadratic(t *testing.T) {
	comparisons := func(n int) int {
		count := 0
		o := sortedEntries{compare: func(a, b *entry) int { count++; return byID(a, b) }}
		for _, w := range testWorkers(n) {
			o.add(&entry{Worker: w})
		}
		if got := len(o.list()); got != n {
			t.Fatalf("%d of %d workers listed", got, n)
		}
		return count
	}
	const n = 10_000
	if small, large := comparisons(n), comparisons(2*n); large > 5*small/2 {
		t.Errorf("%d comparisons for %d workers, %d for twice as many", small, n, large)
	}
}

// Checks interleaved additions and removals against a model.
func TestSortedEntriesMatchModel(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	o := sortedEntries{compare: byID}
	var model []*entry
	for _, w := range testWorkers(2000) {
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
		t.Error("order differs from the model")
	}
}

// poolOf returns a pool of a process in the given zone that lists the workers.
func poolOf(list []Worker, zone string) *Pool {
	p := NewPool(TwoChoiceSettings(zone))
	for _, w := range list {
		p.Put(w)
	}
	return p
}

// Guards against choices that compare all workers of a large fleet.
func TestChooseComparesBoundedSample(t *testing.T) {
	compared := func(n int) int {
		p, count := poolOf(testWorkers(n), "z0"), 0
		query := Query{Service: "s", Filter: func(string) bool { count++; return true }}
		if _, ok := p.Choose(testStart, query, newRand()); !ok {
			t.Fatal("no worker is chosen")
		}
		return count
	}
	const n, most = 5000, maxRecent + 1 + zoneSampleSize + globalSampleSize
	if small, large := compared(n), compared(2*n); small > most || large > most {
		t.Errorf("%d of %d workers compared, %d of twice as many", small, n, large)
	}
}

func TestChooseAllocationsIndependentOfFleetSize(t *testing.T) {
	allocated := func(n int) float64 {
		p, r := poolOf(testWorkers(n), "z0"), newRand()
		return testing.AllocsPerRun(100, func() { p.Choose(testStart, Query{Service: "s"}, r) })
	}
	const n = 2000
	if small, large := allocated(n), allocated(2*n); large > small+2 {
		t.Errorf("%.0f allocations at %d workers, %.0f at twice as many", small, n, large)
	}
}

// Falls back to the whole fleet where a sample contains no usable worker.
func TestChooseFindsOnlyWorkerWithRoom(t *testing.T) {
	list := testWorkers(3000)
	p, last := poolOf(list, "z0"), list[1234].ID
	for _, w := range list {
		if w.ID != last {
			p.RecordFull(testStart, w.ID)
		}
	}
	for range 20 {
		if choice, ok := p.Choose(testStart, Query{Service: "s"}, newRand()); !ok || choice.Worker.ID != last {
			t.Fatalf("chose %q", choice.Worker.ID)
		}
	}
	if _, ok := p.Choose(testStart, Query{Service: "s", Excluded: []string{last}, MaxUtilization: 1}, newRand()); ok {
		t.Error("a full worker is chosen")
	}
}

// Guards against herding: many processes that learn at once of one emptier worker must not
// all choose it.
func TestProcessesWithSameInformationDoNotHerd(t *testing.T) {
	const processes, workers = 50, 2000
	list := testWorkers(workers)
	chosen := map[string]int{}
	for i := range processes {
		p := poolOf(list, fmt.Sprint("z", i%5))
		for _, w := range list[1:] {
			p.SetOtherLoad(testStart, w.ID, 4)
		}
		choice, ok := p.Choose(testStart, Query{Service: "s"}, rand.New(rand.NewPCG(uint64(i), 1)))
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

// Large prompt parts have one affinity worker also where each process compares a sample.
func TestLargePartHasOneAffinityWorkerInLargeFleet(t *testing.T) {
	list := testWorkers(3000)
	parts := []Part{{ID: "letter", Tokens: 13_000}, {ID: "own", Tokens: 200}}
	want := ""
	for i := range 10 {
		p := poolOf(list, list[0].Zone)
		for _, w := range list { // one zone, so that its cost does not decide
			w.Zone = "z"
			p.Put(w)
		}
		choice, _ := p.Choose(testStart, Query{Service: "s", Parts: parts}, rand.New(rand.NewPCG(uint64(i), 1)))
		if want == "" {
			want = choice.Worker.ID
		}
		if choice.Worker.ID != want {
			t.Errorf("process %d chose %s, the first one %s", i, choice.Worker.ID, want)
		}
	}
}

func TestGroupsPartitionWorkers(t *testing.T) {
	p := poolOf(testWorkers(1000), "z0")
	groupOf := func(id string) int { return int(id[len(id)-1]) % 4 }
	p.SetGroups(groupOf)
	seen := 0
	for group := range 4 {
		for _, w := range p.Workers("s", group) {
			if groupOf(w.ID) != group {
				t.Fatalf("%s listed in group %d", w.ID, group)
			}
			seen++
		}
	}
	if seen != 1000 || len(p.Occupancies(testStart, "s", 0, 1)) != len(p.Workers("s", 0))+len(p.Workers("s", 1)) {
		t.Errorf("%d of 1000 workers listed in a group", seen)
	}
	choice, ok := p.Choose(testStart, Query{Service: "s", Groups: []int{2}}, newRand())
	if !ok || groupOf(choice.Worker.ID) != 2 {
		t.Errorf("chose %s of group %d", choice.Worker.ID, groupOf(choice.Worker.ID))
	}
}

// A worker with an open connection is preferred, unless it is busier than others.
func TestOpenConnectionIsPreferred(t *testing.T) {
	list := testWorkers(2000)
	tests := []struct {
		name  string
		after time.Duration
		held  int
		want  bool
	}{
		{"idle worker", 100 * time.Millisecond, 0, true},
		{"busy worker", 100 * time.Millisecond, 3, false},
		{"expired connection", 2 * time.Second, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := poolOf(list, list[7].Zone)
			p.RecordSent(list[7].ID, nil)
			p.RecordUsed(testStart, list[7].ID)
			for range test.held {
				p.Begin(list[7].ID, 0)
			}
			reused := 0
			for i := range 20 {
				choice, _ := p.Choose(testStart.Add(test.after), Query{Service: "s"}, rand.New(rand.NewPCG(uint64(i), 1)))
				if choice.Worker.ID == list[7].ID {
					reused++
				}
			}
			if reused > 10 != test.want {
				t.Errorf("chosen %d times of 20", reused)
			}
		})
	}
}

func BenchmarkChooseOfMany(b *testing.B) {
	for _, n := range []int{100, 3000, 10_000, 20_000} {
		p, r := poolOf(testWorkers(n), "z0"), newRand()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				p.Choose(testStart, Query{Service: "s"}, r)
			}
		})
	}
}
