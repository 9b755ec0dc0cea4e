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
		p.Put(start, Worker{ID: fmt.Sprint("w", i), Service: "s", Zone: "a", Slots: 10})
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
	p.Put(start, Worker{ID: "w0", Service: "s", Slots: 10, Leaving: true})
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

// Batch leaves free what others took at once in the last seconds, shared evenly.
func TestAReserveIsKeptForWhatOthersTookLately(t *testing.T) {
	p := testPool(2)
	limited := Query{Limit: 1, Reserve: true}
	p.Report(start, "w0", Load{Running: 10})
	p.Report(start, "w1", Load{Running: 6})
	p.Report(start.Add(time.Second), "w0", Load{})
	p.Report(start.Add(time.Second), "w1", Load{})
	now := start.Add(2 * time.Second)
	taken := 0
	for ; taken < 20; taken++ {
		id := choose(t, p, now, limited)
		if id == "" {
			break
		}
		p.Begin(id, 0)
	}
	if taken != 4 {
		t.Errorf("%d taken beside a peak of 16 of 20", taken)
	}
	if got := choose(t, p, now, Query{Limit: 1}); got == "" {
		t.Error("an urgent item finds no room")
	}
	if got := choose(t, p, now.Add(time.Minute), limited); got == "" {
		t.Error("a peak of a minute ago still holds room")
	}
}

func TestAReserveIsKeptWhereNothingIsKnown(t *testing.T) {
	p := testPool(1)
	taken := 0
	for ; choose(t, p, start, Query{Limit: 1, Reserve: true}) != ""; taken++ {
		p.Begin("w0", 0)
	}
	if taken != 5 {
		t.Errorf("%d of 10 slots taken", taken)
	}
}

// The sum of a service's others is that of its workers, whatever comes.
func TestTheSumOfOthersFollowsTheWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPool(4)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "worker"))
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				p.Begin(id, 10)
			case 1:
				p.End(id)
			case 2:
				p.Report(now, id, Load{Running: rapid.IntRange(0, 12).Draw(t, "running"), Slots: 10})
			case 3:
				p.Full(now, id)
			case 4:
				p.Remove(id)
			case 5:
				p.Put(now, Worker{ID: id, Service: "s", Slots: 10})
			}
		}
		sum := 0.0
		for _, e := range p.listed("s") {
			sum += e.running
			if e.own < 0 {
				t.Fatalf("%s holds %d", e.ID, e.own)
			}
		}
		if diff := sum - p.services["s"].running; diff > 1e-9 || diff < -1e-9 {
			t.Fatalf("sum %v, kept %v", sum, p.services["s"].running)
		}
	})
}
