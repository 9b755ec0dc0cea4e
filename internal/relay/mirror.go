package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// Limits of the changes that are kept for peers; a peer that is further behind reads the full
// state. A larger state raises them to its own size: changes are dropped only when sending
// them would cost more than the full state.
const (
	baseEventLimit      = 1024
	baseEventBytesLimit = 2 << 20
)

// mirror holds the newest known state of the service and its last changes while peers may
// query this process. It is safe for concurrent use.
type mirror struct {
	mutex             sync.Mutex // guards all below
	serving           bool       // peers may query this process, or could until recently
	idleSince         time.Time  // since when no peer may; zero while they may
	pairs             map[string]kv.Pair
	pairBytes         int        // of the values of pairs
	events            []kv.Event // after compactedRevision, in order
	eventBytes        int        // of the values of events
	compactedRevision int64      // changes up to here are no longer held
	revision          int64
	complete          bool          // pairs are a full state
	lastContact       time.Time     // last answer of the service to this process
	updated           chan struct{} // closed on each change and each contact
	withdrawn         bool          // this process is shutting down; peers must query elsewhere
	completeSince     time.Time     // when pairs became a full state
	progress          int64         // pages of the full state that were read, here or by an upstream, and times that it was sent
}

func newMirror() *mirror {
	return &mirror{serving: true, pairs: map[string]kv.Pair{}, updated: make(chan struct{})}
}

// idleRetention is how long the state is kept while no peer may query this process. It exceeds
// the time in which a suspected member refutes, so that a brief suspicion does not cost a
// full read.
const idleRetention = 3 * time.Second

// setServing sets whether peers may query this process. The state is released once they may
// not for idleRetention, since it is a second copy of all entries.
func (m *mirror) setServing(serving bool, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case serving:
		m.serving, m.idleSince = true, time.Time{}
	case m.idleSince.IsZero():
		m.idleSince = now
	case m.serving && now.Sub(m.idleSince) >= idleRetention:
		m.serving, m.complete = false, false
		m.clear()
	}
}

// needsFullState reports whether peers may query this process while it holds no full state.
func (m *mirror) needsFullState() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.serving && !m.complete
}

// clear drops all pairs and changes; the mutex must be held.
func (m *mirror) clear() {
	m.pairs, m.pairBytes = map[string]kv.Pair{}, 0
	m.events, m.eventBytes = nil, 0
}

// reset replaces the state; contact is whether it comes from the service itself. If the new
// state is not older, the differences are kept as changes, so that peers need no full read
// after the service has compacted its history.
func (m *mirror) reset(state kv.RangeResult, contact bool, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.serving && m.complete && state.Revision >= m.revision {
		for _, event := range m.diff(state) {
			m.applyEvent(event)
		}
		m.revision = state.Revision
		m.trimEvents()
	} else {
		m.load(state)
		m.completeSince = now
	}
	m.notify(contact, now)
}

// load replaces the state and drops all changes; the mutex must be held.
func (m *mirror) load(state kv.RangeResult) {
	m.clear()
	m.compactedRevision, m.revision, m.complete = state.Revision, state.Revision, m.serving
	if !m.serving {
		return
	}
	for _, pair := range state.Pairs {
		m.put(pair)
	}
}

// diff returns the changes from the current state to a new one, in order of revision; the
// mutex must be held. The revision of a deletion is not known and is set to that of the new
// state.
func (m *mirror) diff(state kv.RangeResult) (events []kv.Event) {
	present := make(map[string]bool, len(state.Pairs))
	for _, pair := range state.Pairs {
		present[pair.Key] = true
		if pair.Revision > m.pairs[pair.Key].Revision {
			events = append(events, kv.Event{Pair: pair})
		}
	}
	for key := range m.pairs {
		if !present[key] {
			events = append(events, kv.Event{Pair: kv.Pair{Key: key, Revision: state.Revision}, Deleted: true})
		}
	}
	slices.SortFunc(events, func(a, b kv.Event) int {
		return cmp.Or(cmp.Compare(a.Pair.Revision, b.Pair.Revision), cmp.Compare(a.Pair.Key, b.Pair.Key))
	})
	return events
}

// apply applies a batch of changes; contact is whether it comes from the service itself.
func (m *mirror) apply(batch kv.Batch, contact bool, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, event := range batch.Events {
		// A paged full read is not a snapshot: it may already contain changes that are
		// delivered again here.
		if !m.serving || event.Pair.Revision <= m.compactedRevision {
			continue
		}
		m.applyEvent(event)
	}
	m.revision = max(m.revision, batch.Revision)
	m.trimEvents()
	m.notify(contact, now)
}

// applyEvent applies and records one change; the mutex must be held.
func (m *mirror) applyEvent(event kv.Event) {
	if event.Pair.Revision < m.pairs[event.Pair.Key].Revision {
		return
	}
	if event.Deleted {
		m.pairBytes -= len(m.pairs[event.Pair.Key].Value)
		delete(m.pairs, event.Pair.Key)
	} else {
		m.put(event.Pair)
	}
	m.events = append(m.events, event)
	m.eventBytes += len(event.Pair.Value)
}

// put stores a pair; the mutex must be held.
func (m *mirror) put(pair kv.Pair) {
	m.pairBytes += len(pair.Value) - len(m.pairs[pair.Key].Value)
	m.pairs[pair.Key] = pair
}

// trimEvents drops the oldest changes beyond the limits, but never the newest one; the mutex
// must be held.
func (m *mirror) trimEvents() {
	maxEvents, maxBytes := max(baseEventLimit, len(m.pairs)), max(baseEventBytesLimit, m.pairBytes)
	dropped := 0
	for dropped < len(m.events)-1 && (len(m.events)-dropped > maxEvents || m.eventBytes > maxBytes) {
		m.eventBytes -= len(m.events[dropped].Pair.Value)
		m.compactedRevision = max(m.compactedRevision, m.events[dropped].Pair.Revision)
		dropped++
	}
	m.events = slices.Delete(m.events, 0, dropped)
}

// notify records a contact and wakes all waiters; the mutex must be held.
func (m *mirror) notify(contact bool, now time.Time) {
	if contact {
		m.lastContact = now
	}
	close(m.updated)
	m.updated = make(chan struct{})
}

// addProgress adds to the number by which peers without a state see that it is on its way.
func (m *mirror) addProgress(n int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.progress += n
}

// withdraw makes the state unusable for peers and wakes those that wait.
func (m *mirror) withdraw() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.withdrawn = true
	m.notify(false, time.Time{})
}

// fullState returns the state in order of keys.
func (m *mirror) fullState() response {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := response{Revision: m.revision}
	for _, key := range slices.Sorted(maps.Keys(m.pairs)) {
		state.Pairs = append(state.Pairs, m.pairs[key])
	}
	return state
}

// status describes the mirror relative to a revision.
type status struct {
	lastContact time.Time
	usable      bool // a full state is held and not withdrawn
	withdrawn   bool
	complete    bool // a full state is held
	// completeSince is when the state became complete.
	completeSince time.Time
	progress      int64
	updated       chan struct{}
	compacted     bool // changes after the revision are no longer held
	hasChanges    bool // there are changes after the revision
	revision      int64
}

// statusAfter returns the status for a peer that is at a revision.
func (m *mirror) statusAfter(revision int64) status {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	result := status{
		lastContact: m.lastContact, usable: m.complete && !m.withdrawn, updated: m.updated,
		withdrawn: m.withdrawn, complete: m.complete, completeSince: m.completeSince, progress: m.progress,
		compacted: revision < m.compactedRevision, revision: max(m.revision, revision),
	}
	if n := len(m.events); n > 0 {
		result.hasChanges = m.events[n-1].Pair.Revision > revision
	}
	return result
}

// changesAfter returns the changes after a revision.
func (m *mirror) changesAfter(revision int64) response {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := response{Revision: max(m.revision, revision), Compacted: revision < m.compactedRevision}
	first := slices.IndexFunc(m.events, func(event kv.Event) bool { return event.Pair.Revision > revision })
	if first >= 0 && !found.Compacted {
		found.Events = slices.Clone(m.events[first:])
	}
	return found
}
