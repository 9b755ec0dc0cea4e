package worker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	random = func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
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
	choice, ok := p.Choose(now, query, random())
	if !ok {
		return ""
	}
	return choice.Worker.ID
}

func TestTheLessLoadedWorkerIsChosen(t *testing.T) {
	p := testPool(3)
	p.Report(start, "w0", Load{Running: 9, Slots: 10})
	p.Report(start, "w1", Load{Running: 2, Slots: 10})
	p.Report(start, "w2", Load{Running: 10, Waiting: 4, Slots: 10})
	if got := choose(t, p, start, Query{}); got != "w1" {
		t.Errorf("chose %s", got)
	}
	for range 6 {
		p.Begin("w1", 1000)
	}
	p.Report(start, "w0", Load{Running: 0, Slots: 10})
	if got := choose(t, p, start, Query{}); got != "w0" {
		t.Errorf("chose %s while w1 reads 6000 tokens", got)
	}
}

func TestWorkersThatCannotTakeItAreLeftOut(t *testing.T) {
	p := testPool(3)
	p.Put(Worker{ID: "w0", Service: "s", Slots: 10, Leaving: true})
	p.Refused(start, "w1")
	if got := choose(t, p, start, Query{}); got != "w2" {
		t.Errorf("chose %s", got)
	}
	if got := choose(t, p, start, Query{Excluded: []string{"w2"}}); got != "w1" {
		t.Errorf("chose %q when only a doubtful one is left", got)
	}
	if got := choose(t, p, start, Query{Excluded: []string{"w1", "w2"}}); got != "" {
		t.Errorf("chose %s, which is leaving", got)
	}
	p.Remove("w2")
	p.Remove("w2")
	if got := choose(t, p, start.Add(time.Minute), Query{}); got != "w1" {
		t.Errorf("chose %s after w2 was removed", got)
	}
}

func TestAPromptGoesWhereItsPartsWereRead(t *testing.T) {
	p := testPool(8)
	parts := []Part{{ID: "shared", Tokens: 10_000}, {ID: "own", Tokens: 300}}
	first := choose(t, p, start, Query{Parts: parts})
	other := testPool(8) // another process that has sent nothing yet
	if got := choose(t, other, start, Query{Parts: []Part{parts[0], {ID: "else", Tokens: 200}}}); got != first {
		t.Errorf("processes disagree about a large part: %s and %s", first, got)
	}
	p.Sent(first, parts)
	p.Begin(first, 0)
	if got := choose(t, p, start, Query{Parts: []Part{parts[0], {ID: "new", Tokens: 300}}}); got != first {
		t.Errorf("a cached prompt went to %s, not %s", got, first)
	}
	for i := range 9 { // 90,000 tokens: more than half of the memory
		p.Sent(first, []Part{{ID: fmt.Sprint("filler", i), Tokens: 10_000}})
	}
	choice, _ := p.Choose(start, Query{Service: "s", Parts: parts}, random())
	if choice.Unread < 10_000 {
		t.Errorf("%d tokens are unread after the parts gave way", choice.Unread)
	}
}

// Batch is sent only where the limit leaves room beside what others have.
func TestALimitCountsWhatOthersHave(t *testing.T) {
	p := testPool(2)
	p.Report(start, "w0", Load{Running: 7})
	p.Report(start, "w1", Load{Running: 4, Waiting: 1})
	taken := 0
	for ; taken < 20; taken++ {
		id := choose(t, p, start, Query{Limit: 0.8})
		if id == "" {
			break
		}
		p.Begin(id, 0)
	}
	if taken != 4 {
		t.Errorf("%d taken of 16, 12 are others'", taken)
	}
	if got := choose(t, p, start, Query{Limit: 0.9}); got == "" {
		t.Error("an urgent item finds no room")
	}
}

// What a process holds itself is never below none, whatever comes.
func TestOwnRequestsAreCounted(t *testing.T) {
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
				p.Report(start, id, Load{Running: rapid.IntRange(0, 12).Draw(t, "running")})
			case 3:
				p.Full(start, id)
			}
		}
		held["w2"] = 0 // not listed
		for id, want := range held {
			if p.Held(id) != want {
				t.Fatalf("%s holds %d, not %d", id, p.Held(id), want)
			}
		}
	})
}

func TestAnAnswerThatBrokeOffLeavesAWorkerInUse(t *testing.T) {
	tests := []struct {
		name   string
		notes  func(p *Pool)
		usable bool
	}{
		{"one answer broke off", func(p *Pool) { p.Broke(start, "w") }, true},
		{"two in a row", func(p *Pool) { p.Broke(start, "w"); p.Broke(start, "w") }, false},
		{"two with a whole one between", func(p *Pool) {
			p.Broke(start, "w")
			p.Report(start, "w", Load{Running: 1, Slots: 4})
			p.Broke(start, "w")
		}, true},
		{"a connection was refused", func(p *Pool) { p.Refused(start, "w") }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := NewPool(DefaultSettings("z"))
			p.Put(Worker{ID: "w", Service: "s", Slots: 4})
			test.notes(p)
			if got := p.Occupancies(start, "s")[0].Usable; got != test.usable {
				t.Errorf("usable %t", got)
			}
			p.Put(Worker{ID: "other", Service: "s", Slots: 4})
			if choice, _ := p.Choose(start, Query{Service: "s"}, random()); choice.Worker.ID != "other" {
				t.Error("it is preferred to one whose answers are whole")
			}
		})
	}
}
