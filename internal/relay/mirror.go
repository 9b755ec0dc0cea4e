package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// Bounds of the changes that are kept for others; who is further behind is given the
// whole state. They cover the start of some hundreds of workers, or a few large
// configurations.
const (
	mostEvents     = 1024
	mostEventBytes = 2 << 20
)

// mirror is the newest known state of the service with its last changes.
type mirror struct {
	mutex     sync.Mutex // guards all below
	pairs     map[string]kv.Pair
	events    []kv.Event // after floor, in order
	bytes     int        // of the values of events
	floor     int64      // changes up to here are forgotten
	revision  int64
	known     bool          // pairs are a whole state
	contact   time.Time     // when the service last answered this process
	changed   chan struct{} // closed at each change and each contact
	withdrawn bool          // this process leaves; others must ask elsewhere
}

func newMirror() *mirror {
	return &mirror{pairs: map[string]kv.Pair{}, changed: make(chan struct{})}
}

// reset takes a whole state; contact tells whether the service itself gave it.
func (m *mirror) reset(state kv.RangeResult, contact bool, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pairs = make(map[string]kv.Pair, len(state.Pairs))
	for _, pair := range state.Pairs {
		m.pairs[pair.Key] = pair
	}
	m.events, m.bytes = nil, 0
	m.floor, m.revision, m.known = state.Revision, state.Revision, true
	m.note(contact, now)
}

// apply takes changes.
func (m *mirror) apply(batch kv.Batch, contact bool, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, event := range batch.Events {
		// A whole state read page by page is no snapshot: changes made meanwhile
		// come again.
		if event.Pair.Revision <= m.floor {
			continue
		}
		m.take(event)
	}
	m.revision = max(m.revision, batch.Revision)
	m.forget()
	m.note(contact, now)
}

// take takes one change; the mutex is held.
func (m *mirror) take(event kv.Event) {
	if event.Pair.Revision < m.pairs[event.Pair.Key].Revision {
		return
	}
	if event.Deleted {
		delete(m.pairs, event.Pair.Key)
	} else {
		m.pairs[event.Pair.Key] = event.Pair
	}
	m.events = append(m.events, event)
	m.bytes += len(event.Pair.Value)
}

// forget drops the oldest changes over the bounds; the mutex is held. The newest one
// is always kept.
func (m *mirror) forget() {
	dropped := 0
	for dropped < len(m.events)-1 && (len(m.events)-dropped > mostEvents || m.bytes > mostEventBytes) {
		m.bytes -= len(m.events[dropped].Pair.Value)
		m.floor = max(m.floor, m.events[dropped].Pair.Revision)
		dropped++
	}
	m.events = slices.Delete(m.events, 0, dropped)
}

// note wakes those that wait; the mutex is held.
func (m *mirror) note(contact bool, now time.Time) {
	if contact {
		m.contact = now
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// withdraw lets others ask elsewhere from now on.
func (m *mirror) withdraw() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.withdrawn = true
	m.note(false, time.Time{})
}

// whole gives the state.
func (m *mirror) whole() answer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := answer{Revision: m.revision}
	for _, key := range slices.Sorted(maps.Keys(m.pairs)) {
		state.Pairs = append(state.Pairs, m.pairs[key])
	}
	return state
}

// standing is what a question that waits is answered by.
type standing struct {
	contact   time.Time
	usable    bool // a whole state is known, and the process doesn't leave
	changed   chan struct{}
	compacted bool       // changes after the revision are forgotten
	events    []kv.Event // after the revision
	revision  int64
}

// after tells how the service stands for one that knows a revision.
func (m *mirror) after(revision int64) standing {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	result := standing{
		contact: m.contact, usable: m.known && !m.withdrawn, changed: m.changed,
		compacted: revision < m.floor, revision: max(m.revision, revision),
	}
	first := slices.IndexFunc(m.events, func(event kv.Event) bool { return event.Pair.Revision > revision })
	if first >= 0 {
		result.events = slices.Clone(m.events[first:])
	}
	return result
}
