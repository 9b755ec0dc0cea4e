package relay

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// batchOf is the registration of workers first to last, each one revision.
func batchOf(first, last int) kv.Batch {
	batch := kv.Batch{Revision: int64(last)}
	for i := first; i <= last; i++ {
		batch.Events = append(batch.Events, kv.Event{Pair: kv.Pair{
			Key: fmt.Sprint("servers/", i), Value: []byte("an entry of a worker"), Revision: int64(i),
		}})
	}
	return batch
}

// Symptom: at the start of thousands of workers every process of a zone was sent the whole
// state after each round of changes. Sequence: a watcher is told more changes at once than
// it kept, so that each process that knows the state before is too far behind. Cause: the
// bound of what is kept did not follow the size of the state.
func TestARoundOfChangesIsKeptUpToTheSizeOfTheState(t *testing.T) {
	const round = 3 * mostEvents
	for _, rounds := range []int{1, 2, 4} {
		m := newMirror()
		m.reset(kv.RangeResult{Revision: 1}, true, time.Now())
		for i := range rounds {
			known := int64(1 + i*round)
			m.apply(batchOf(int(known)+1, int(known)+round), true, time.Now())
			if told := m.changes(known); told.Compacted || len(told.Events) != round {
				t.Errorf("round %d: %d changes told, forgotten: %t", i, len(told.Events), told.Compacted)
			}
		}
		if len(m.events) > len(m.pairs) {
			t.Errorf("%d changes are kept for a state of %d pairs", len(m.events), len(m.pairs))
		}
	}
}

// Changes of few keys stay bounded: sending them would cost more than the state.
func TestChangesOfASmallStateStayBounded(t *testing.T) {
	m := newMirror()
	m.reset(kv.RangeResult{Revision: 1}, true, time.Now())
	for i := range 5 * mostEvents {
		pair := kv.Pair{Key: "one", Value: make([]byte, 10), Revision: int64(i + 2)}
		m.apply(kv.Batch{Revision: pair.Revision, Events: []kv.Event{{Pair: pair}}}, true, time.Now())
	}
	if len(m.events) > mostEvents || m.size != 10 {
		t.Errorf("%d changes are kept of a state of %d bytes", len(m.events), m.size)
	}
}

// Symptom: a watcher encoded the whole state once for each process of its zone, and took
// seconds of its share of a core. Cause: what is told alike was built for each.
func TestWhatAllAskIsBuiltOnce(t *testing.T) {
	for _, processes := range []int{100, 200} {
		var kept told
		built := 0
		build := func() answer {
			built++
			return answer{Revision: 7, Events: batchOf(1, 100).Events}
		}
		var asking sync.WaitGroup
		for range processes {
			asking.Go(func() {
				if body, err := kept.answer(asked{after: 1, revision: 7}, build); err != nil || body.packed == nil {
					t.Errorf("%d bytes packed, %v", len(body.packed), err)
				}
			})
		}
		asking.Wait()
		if built != 1 {
			t.Errorf("built %d times for %d processes", built, processes)
		}
		for revision := range int64(10) {
			if _, err := kept.answer(asked{whole: true, revision: revision}, build); err != nil {
				t.Fatal(err)
			}
		}
		if len(kept.last) > mostTold {
			t.Errorf("%d answers are kept", len(kept.last))
		}
	}
}

// Symptom: each process held a copy of all workers' entries that nobody asked it for.
func TestAProcessThatNobodyAsksKeepsNoState(t *testing.T) {
	m, now := newMirror(), time.Now()
	m.reset(kv.RangeResult{Revision: 9, Pairs: []kv.Pair{{Key: "a", Value: []byte("1"), Revision: 3}}}, true, now)
	m.keep(false, now)
	m.keep(false, now.Add(unaskedLife/2))
	m.keep(true, now.Add(unaskedLife/2)) // a member was suspected for a moment
	m.keep(false, now.Add(unaskedLife))
	if len(m.pairs) != 1 || m.lacks() {
		t.Fatalf("%d pairs after a moment in which nobody asked", len(m.pairs))
	}
	m.keep(false, now.Add(3*unaskedLife))
	m.apply(batchOf(10, 20), false, time.Now())
	m.reset(kv.RangeResult{Revision: 30, Pairs: []kv.Pair{{Key: "a", Value: []byte("1"), Revision: 3}}}, false, time.Now())
	if state := m.after(0); len(m.pairs) != 0 || len(m.events) != 0 || state.usable || state.revision != 30 {
		t.Errorf("%d pairs, %d changes, %+v", len(m.pairs), len(m.events), state)
	}
	if m.lacks() {
		t.Error("a state is missed that nobody asks for")
	}
	m.keep(true, now.Add(4*unaskedLife))
	if !m.lacks() || m.after(30).usable {
		t.Error("a process that others may ask tells a state that it has not kept")
	}
}
