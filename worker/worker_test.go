package worker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	testStart = time.Unix(1_700_000_000, 0)
	newRand   = func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
)

func testPool(workers int) *Pool {
	p := NewPool(DefaultSettings("a"))
	p.SetCapacity("s", 100_000)
	for i := range workers {
		p.Put(Worker{ID: fmt.Sprint("w", i), Service: "s", Zone: "a", Slots: 10})
	}
	return p
}

func choose(t *testing.T, p *Pool, now time.Time, query Query) string {
	t.Helper()
	query.Service = "s"
	choice, ok := p.Choose(now, query, newRand())
	if !ok {
		return ""
	}
	return choice.Worker.ID
}

func TestLeastLoadedWorkerIsChosen(t *testing.T) {
	p := testPool(3)
	p.RecordLoad(testStart, "w0", Load{Running: 9, Slots: 10})
	p.RecordLoad(testStart, "w1", Load{Running: 2, Slots: 10})
	p.RecordLoad(testStart, "w2", Load{Running: 10, Waiting: 4, Slots: 10})
	if got := choose(t, p, testStart, Query{}); got != "w1" {
		t.Errorf("chose %s", got)
	}
	for range 6 {
		p.Begin("w1", 1000)
	}
	p.RecordLoad(testStart, "w0", Load{Running: 0, Slots: 10})
	if got := choose(t, p, testStart, Query{}); got != "w0" {
		t.Errorf("chose %s while w1 reads 6000 tokens", got)
	}
}

func TestIneligibleWorkersAreExcluded(t *testing.T) {
	p := testPool(3)
	p.Put(Worker{ID: "w0", Service: "s", Slots: 10, Draining: true})
	p.RecordRefused(testStart, "w1")
	if got := choose(t, p, testStart, Query{}); got != "w2" {
		t.Errorf("chose %s", got)
	}
	if got := choose(t, p, testStart, Query{Excluded: []string{"w2"}}); got != "w1" {
		t.Errorf("chose %q when only an excluded worker is left", got)
	}
	if got := choose(t, p, testStart, Query{Excluded: []string{"w1", "w2"}}); got != "" {
		t.Errorf("chose draining worker %s", got)
	}
	p.Remove("w2")
	p.Remove("w2")
	if got := choose(t, p, testStart.Add(time.Minute), Query{}); got != "w1" {
		t.Errorf("chose %s after w2 was removed", got)
	}
}

func TestPromptGoesToWorkerWithCachedParts(t *testing.T) {
	p := testPool(8)
	parts := []Part{{ID: "shared", Tokens: 10_000}, {ID: "own", Tokens: 300}}
	first := choose(t, p, testStart, Query{Parts: parts})
	other := testPool(8) // a process that has sent no request yet
	if got := choose(t, other, testStart, Query{Parts: []Part{parts[0], {ID: "else", Tokens: 200}}}); got != first {
		t.Errorf("processes chose different workers for a large part: %s and %s", first, got)
	}
	p.RecordSent(first, parts)
	p.Begin(first, 0)
	if got := choose(t, p, testStart, Query{Parts: []Part{parts[0], {ID: "new", Tokens: 300}}}); got != first {
		t.Errorf("cached prompt sent to %s, want %s", got, first)
	}
	for i := range 9 { // 90,000 tokens, more than the cache holds
		p.RecordSent(first, []Part{{ID: fmt.Sprint("filler", i), Tokens: 10_000}})
	}
	choice, _ := p.Choose(testStart, Query{Service: "s", Parts: parts}, newRand())
	if choice.UncachedTokens < 10_000 {
		t.Errorf("%d tokens unread after eviction of the parts", choice.UncachedTokens)
	}
}

// Guards against batch requests taking slots that other processes use.
func TestLimitCountsRequestsOfOthers(t *testing.T) {
	p := testPool(2)
	p.RecordLoad(testStart, "w0", Load{Running: 7})
	p.RecordLoad(testStart, "w1", Load{Running: 4, Waiting: 1})
	taken := 0
	for ; taken < 20; taken++ {
		id := choose(t, p, testStart, Query{MaxUtilization: 0.8})
		if id == "" {
			break
		}
		p.Begin(id, 0)
	}
	if taken != 4 {
		t.Errorf("placed %d requests in 16 slots of which others use 12", taken)
	}
	if got := choose(t, p, testStart, Query{MaxUtilization: 0.9}); got == "" {
		t.Error("request with a higher limit was not placed")
	}
}

// Checks the count of in-flight requests against a model; it never becomes negative.
func TestInFlightCountMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPool(2)
		held := map[string]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				p.Begin(id, 10)
				held[id]++
			case 1:
				p.End(id)
				held[id] = max(held[id]-1, 0)
			case 2:
				p.RecordLoad(testStart, id, Load{Running: rapid.IntRange(0, 12).Draw(t, "running")})
			case 3:
				p.RecordFull(testStart, id)
			}
		}
		held["w2"] = 0 // not listed
		for id, want := range held {
			if p.InFlight(id) != want {
				t.Fatalf("%s holds %d requests, want %d", id, p.InFlight(id), want)
			}
		}
	})
}

func TestInterruptedAnswers(t *testing.T) {
	tests := []struct {
		name   string
		notes  func(p *Pool)
		usable bool
	}{
		{"one interrupted answer", func(p *Pool) { p.RecordInterrupted(testStart, "w") }, true},
		{"two consecutive interrupted answers", func(p *Pool) { p.RecordInterrupted(testStart, "w"); p.RecordInterrupted(testStart, "w") }, false},
		{"a complete answer between two interrupted ones", func(p *Pool) {
			p.RecordInterrupted(testStart, "w")
			p.RecordLoad(testStart, "w", Load{Running: 1, Slots: 4})
			p.RecordInterrupted(testStart, "w")
		}, true},
		{"a refused connection", func(p *Pool) { p.RecordRefused(testStart, "w") }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := NewPool(DefaultSettings("z"))
			p.Put(Worker{ID: "w", Service: "s", Slots: 4})
			test.notes(p)
			if got := p.Occupancies(testStart, "s")[0].Usable; got != test.usable {
				t.Errorf("usable %t", got)
			}
			p.Put(Worker{ID: "other", Service: "s", Slots: 4})
			if choice, _ := p.Choose(testStart, Query{Service: "s"}, newRand()); choice.Worker.ID != "other" {
				t.Error("worker with interrupted answers preferred to a healthy one")
			}
		})
	}
}
