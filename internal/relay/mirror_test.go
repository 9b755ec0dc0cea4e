package relay

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// registrationBatch returns the registrations of workers first to last, one revision each.
func registrationBatch(first, last int) kv.Batch {
	batch := kv.Batch{Revision: int64(last)}
	for i := first; i <= last; i++ {
		batch.Events = append(batch.Events, kv.Event{Pair: kv.Pair{
			Key: fmt.Sprint("servers/", i), Value: []byte("an entry of a worker"), Revision: int64(i),
		}})
	}
	return batch
}

// Guards against a fixed limit of kept changes: when thousands of workers register at once,
// every process of a zone would need a full read after each batch.
func TestMirrorKeepsChangesUpToStateSize(t *testing.T) {
	const round = 3 * baseEventLimit
	for _, rounds := range []int{1, 2, 4} {
		m := newMirror()
		m.reset(kv.RangeResult{Revision: 1}, true, time.Now())
		for i := range rounds {
			known := int64(1 + i*round)
			m.apply(registrationBatch(int(known)+1, int(known)+round), true, time.Now())
			if got := m.changesAfter(known); got.Compacted || len(got.Events) != round {
				t.Errorf("round %d: got %d changes, compacted: %t", i, len(got.Events), got.Compacted)
			}
		}
		if len(m.events) > len(m.pairs) {
			t.Errorf("%d changes kept for a state of %d pairs", len(m.events), len(m.pairs))
		}
	}
}

// Guards against sending all entries to every process after the service has compacted its
// history: a full read must not discard the changes that a watcher can serve.
func TestFullReadIsServedAsChanges(t *testing.T) {
	for _, workers := range []int{1000, 2000} {
		m, now := newMirror(), time.Now()
		m.reset(kv.RangeResult{Revision: 1}, true, now)
		m.apply(registrationBatch(2, workers), true, now)
		known := int64(workers)
		state := kv.RangeResult{Revision: known + 9, Pairs: m.fullState().Pairs}
		deletedKey := state.Pairs[0].Key
		state.Pairs = state.Pairs[1:]
		state.Pairs[0].Value, state.Pairs[0].Revision = []byte("draining"), known+4
		// Written between the reads of two pages, after the revision of the state.
		state.Pairs = append(state.Pairs, kv.Pair{Key: "servers/new", Value: []byte("new"), Revision: known + 12})
		m.reset(state, true, now)
		got := m.changesAfter(known)
		if got.Compacted || got.Revision != state.Revision || len(got.Events) != 3 {
			t.Fatalf("%d workers: got %d changes, compacted: %t, revision %d", workers, len(got.Events), got.Compacted, got.Revision)
		}
		if first, last := got.Events[0], got.Events[2]; first.Pair.Revision != known+4 || last.Pair.Key != "servers/new" {
			t.Errorf("changes in wrong order: %+v", got.Events)
		}
		if deleted := got.Events[1]; !deleted.Deleted || deleted.Pair.Key != deletedKey || deleted.Pair.Revision != state.Revision {
			t.Errorf("got %+v for the deleted pair", deleted)
		}
		if len(m.pairs) != len(state.Pairs) {
			t.Errorf("%d pairs kept of %d", len(m.pairs), len(state.Pairs))
		}
		m.apply(kv.Batch{Revision: known + 12, Events: []kv.Event{{Pair: state.Pairs[len(state.Pairs)-1]}}}, true, now)
		if again := m.changesAfter(state.Revision); again.Compacted || len(again.Events) == 0 || again.Events[0].Pair.Key != "servers/new" {
			t.Errorf("got %+v for the pair written between two pages", again)
		}
	}
}

// An older state says nothing of the changes since, so that peers need a full read.
func TestOlderStateReplacesMirror(t *testing.T) {
	m, now := newMirror(), time.Now()
	m.reset(kv.RangeResult{Revision: 1}, true, now)
	m.apply(registrationBatch(2, 20), true, now)
	m.reset(kv.RangeResult{Revision: 10, Pairs: []kv.Pair{{Key: "servers/2", Revision: 2}}}, true, now)
	if got := m.changesAfter(8); !got.Compacted || len(m.pairs) != 1 || m.revision != 10 {
		t.Errorf("got %+v from %d pairs at revision %d", got, len(m.pairs), m.revision)
	}
}

// Changes of few keys stay bounded, since sending them would cost more than the state.
func TestChangesOfSmallStateAreBounded(t *testing.T) {
	m := newMirror()
	m.reset(kv.RangeResult{Revision: 1}, true, time.Now())
	for i := range 5 * baseEventLimit {
		pair := kv.Pair{Key: "one", Value: make([]byte, 10), Revision: int64(i + 2)}
		m.apply(kv.Batch{Revision: pair.Revision, Events: []kv.Event{{Pair: pair}}}, true, time.Now())
	}
	if len(m.events) > baseEventLimit || m.pairBytes != 10 {
		t.Errorf("%d changes kept for a state of %d bytes", len(m.events), m.pairBytes)
	}
}

// Guards against a watcher encoding the full state once per process of its zone.
func TestSharedResponseIsBuiltOnce(t *testing.T) {
	for _, processes := range []int{100, 200} {
		var cache responseCache
		built := 0
		build := func() response {
			built++
			return response{Revision: 7, Events: registrationBatch(1, 100).Events}
		}
		var requests sync.WaitGroup
		for range processes {
			requests.Go(func() {
				if body, err := cache.get(cacheKey{after: 1, revision: 7}, build); err != nil || body.gzipped == nil {
					t.Errorf("%d bytes compressed, error %v", len(body.gzipped), err)
				}
			})
		}
		requests.Wait()
		if built != 1 {
			t.Errorf("built %d times for %d processes", built, processes)
		}
		for revision := range int64(10) {
			if _, err := cache.get(cacheKey{full: true, revision: revision}, build); err != nil {
				t.Fatal(err)
			}
		}
		if len(cache.entries) > maxCachedResponses {
			t.Errorf("%d responses cached", len(cache.entries))
		}
	}
}

// Guards against every process holding a copy of all entries that no peer queries.
func TestIdleMirrorReleasesState(t *testing.T) {
	m, now := newMirror(), time.Now()
	m.reset(kv.RangeResult{Revision: 9, Pairs: []kv.Pair{{Key: "a", Value: []byte("1"), Revision: 3}}}, true, now)
	m.setServing(false, now)
	m.setServing(false, now.Add(idleRetention/2))
	m.setServing(true, now.Add(idleRetention/2)) // a member was suspected briefly
	m.setServing(false, now.Add(idleRetention))
	if len(m.pairs) != 1 || m.needsFullState() {
		t.Fatalf("%d pairs after a short time without serving", len(m.pairs))
	}
	m.setServing(false, now.Add(3*idleRetention))
	m.apply(registrationBatch(10, 20), false, time.Now())
	m.reset(kv.RangeResult{Revision: 30, Pairs: []kv.Pair{{Key: "a", Value: []byte("1"), Revision: 3}}}, false, time.Now())
	if state := m.statusAfter(0); len(m.pairs) != 0 || len(m.events) != 0 || state.usable || state.revision != 30 {
		t.Errorf("idle mirror holds %d pairs and %d changes, status %+v", len(m.pairs), len(m.events), state)
	}
	if m.needsFullState() {
		t.Error("idle mirror needs a full state")
	}
	m.setServing(true, now.Add(4*idleRetention))
	if !m.needsFullState() || m.statusAfter(30).usable {
		t.Error("mirror serves peers again without a full state")
	}
}
