package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// Bounds of the changes that are kept for others; who is further behind is given the
// whole state. They cover the start of some hundreds of workers, or a few large
// configurations. Where the state itself is larger, changes are kept up to its size: with
// a bound beside it, the start of thousands of workers sent the whole state to every
// process after each round of changes, workers times processes.
const (
	mostEvents     = 1024
	mostEventBytes = 2 << 20
)

// mirror is the newest known state of the service with its last changes, kept while
// others may ask for it.
type mirror struct {
	mutex     sync.Mutex // guards all below
	keeps     bool       // others may ask this process, or might a moment ago
	unasked   time.Time  // since when nobody may; zero while others may
	pairs     map[string]kv.Pair
	size      int        // bytes of the values of pairs
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
	return &mirror{keeps: true, pairs: map[string]kv.Pair{}, changed: make(chan struct{})}
}

// unaskedLife is for how long state is kept though nobody asks: longer than a member that
// was suspected takes to refute, so that a zone at the edge of sharing does not read
// everything anew each time.
const unaskedLife = 3 * time.Second

// keep tells whether others may ask this process. One that nobody asks holds no state: a
// copy of all workers' entries was a third of the memory of a process that uses them.
func (m *mirror) keep(keeps bool, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case keeps:
		m.keeps, m.unasked = true, time.Time{}
	case m.unasked.IsZero():
		m.unasked = now
	case m.keeps && now.Sub(m.unasked) >= unaskedLife:
		m.keeps, m.known = false, false
		m.drop()
	}
}

// lacks tells that others may ask this process, and that it has no whole state for them.
func (m *mirror) lacks() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.keeps && !m.known
}

// drop forgets all pairs and changes; the mutex is held.
func (m *mirror) drop() {
	m.pairs, m.size = map[string]kv.Pair{}, 0
	m.events, m.bytes = nil, 0
}

// reset takes a whole state; contact tells whether the service itself gave it. Others that
// knew the state before it are told what differs: where the service had forgotten its
// history, every process of the zone was sent all workers' entries instead.
func (m *mirror) reset(state kv.RangeResult, contact bool, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.keeps && m.known && state.Revision >= m.revision {
		for _, event := range m.differences(state) {
			m.take(event)
		}
		m.revision = state.Revision
		m.forget()
	} else {
		m.begin(state)
	}
	m.note(contact, now)
}

// begin knows nothing but a state; the mutex is held.
func (m *mirror) begin(state kv.RangeResult) {
	m.drop()
	m.floor, m.revision, m.known = state.Revision, state.Revision, m.keeps
	if !m.keeps {
		return
	}
	for _, pair := range state.Pairs {
		m.put(pair)
	}
}

// differences are the changes that lead from what is known to a state, in order; the mutex
// is held. Of a pair that went no more is known than that it had by the state's revision.
func (m *mirror) differences(state kv.RangeResult) (events []kv.Event) {
	listed := make(map[string]bool, len(state.Pairs))
	for _, pair := range state.Pairs {
		listed[pair.Key] = true
		if pair.Revision > m.pairs[pair.Key].Revision {
			events = append(events, kv.Event{Pair: pair})
		}
	}
	for key := range m.pairs {
		if !listed[key] {
			events = append(events, kv.Event{Pair: kv.Pair{Key: key, Revision: state.Revision}, Deleted: true})
		}
	}
	slices.SortFunc(events, func(a, b kv.Event) int {
		return cmp.Or(cmp.Compare(a.Pair.Revision, b.Pair.Revision), cmp.Compare(a.Pair.Key, b.Pair.Key))
	})
	return events
}

// apply takes changes.
func (m *mirror) apply(batch kv.Batch, contact bool, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, event := range batch.Events {
		// A whole state read page by page is no snapshot: changes made meanwhile
		// come again.
		if !m.keeps || event.Pair.Revision <= m.floor {
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
		m.size -= len(m.pairs[event.Pair.Key].Value)
		delete(m.pairs, event.Pair.Key)
	} else {
		m.put(event.Pair)
	}
	m.events = append(m.events, event)
	m.bytes += len(event.Pair.Value)
}

// put lists a pair; the mutex is held.
func (m *mirror) put(pair kv.Pair) {
	m.size += len(pair.Value) - len(m.pairs[pair.Key].Value)
	m.pairs[pair.Key] = pair
}

// forget drops the oldest changes over the bounds; the mutex is held. The newest one
// is always kept.
func (m *mirror) forget() {
	most, mostBytes := max(mostEvents, len(m.pairs)), max(mostEventBytes, m.size)
	dropped := 0
	for dropped < len(m.events)-1 && (len(m.events)-dropped > most || m.bytes > mostBytes) {
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
	compacted bool // changes after the revision are forgotten
	news      bool // there are changes after the revision
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
	if n := len(m.events); n > 0 {
		result.news = m.events[n-1].Pair.Revision > revision
	}
	return result
}

// changes gives the changes after a revision.
func (m *mirror) changes(revision int64) answer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := answer{Revision: max(m.revision, revision), Compacted: revision < m.floor}
	first := slices.IndexFunc(m.events, func(event kv.Event) bool { return event.Pair.Revision > revision })
	if first >= 0 && !found.Compacted {
		found.Events = slices.Clone(m.events[first:])
	}
	return found
}
