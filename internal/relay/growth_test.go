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

// Symptom: each time that the service forgot its history, every process was sent all workers'
// entries, workers times processes. Sequence: a watcher reads the whole state anew; the
// processes that know the one before ask it for the changes since. Cause: a state that was
// read replaced what the watcher could tell.
func TestAStateReadAnewIsToldByItsDifferences(t *testing.T) {
	for _, workers := range []int{1000, 2000} {
		m, now := newMirror(), time.Now()
		m.reset(kv.RangeResult{Revision: 1}, true, now)
		m.apply(batchOf(2, workers), true, now)
		known := int64(workers)
		state := kv.RangeResult{Revision: known + 9, Pairs: m.whole().Pairs}
		gone := state.Pairs[0].Key
		state.Pairs = state.Pairs[1:]
		state.Pairs[0].Value, state.Pairs[0].Revision = []byte("draining"), known+4
		// Read from a later page, after the state's revision.
		state.Pairs = append(state.Pairs, kv.Pair{Key: "servers/new", Value: []byte("new"), Revision: known + 12})
		m.reset(state, true, now)
		told := m.changes(known)
		if told.Compacted || told.Revision != state.Revision || len(told.Events) != 3 {
			t.Fatalf("%d workers: %d changes told, forgotten: %t, revision %d", workers, len(told.Events), told.Compacted, told.Revision)
		}
		if first, last := told.Events[0], told.Events[2]; first.Pair.Revision != known+4 || last.Pair.Key != "servers/new" {
			t.Errorf("%+v", told.Events)
		}
		if left := told.Events[1]; !left.Deleted || left.Pair.Key != gone || left.Pair.Revision != state.Revision {
			t.Errorf("of the pair that went is told %+v", left)
		}
		if len(m.pairs) != len(state.Pairs) {
			t.Errorf("%d pairs are kept of %d", len(m.pairs), len(state.Pairs))
		}
		m.apply(kv.Batch{Revision: known + 12, Events: []kv.Event{{Pair: state.Pairs[len(state.Pairs)-1]}}}, true, now)
		if again := m.changes(state.Revision); again.Compacted || len(again.Events) == 0 || again.Events[0].Pair.Key != "servers/new" {
			t.Errorf("what came between pages is told as %+v", again)
		}
	}
}

// An older state tells nothing of the changes since: all is told anew.
func TestAnOlderStateBeginsAnew(t *testing.T) {
	m, now := newMirror(), time.Now()
	m.reset(kv.RangeResult{Revision: 1}, true, now)
	m.apply(batchOf(2, 20), true, now)
	m.reset(kv.RangeResult{Revision: 10, Pairs: []kv.Pair{{Key: "servers/2", Revision: 2}}}, true, now)
	if told := m.changes(8); !told.Compacted || len(m.pairs) != 1 || m.revision != 10 {
		t.Errorf("%+v of %d pairs at %d", told, len(m.pairs), m.revision)
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
