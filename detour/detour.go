// Package detour selects paths for queries to a process that may be unreachable: the direct
// path, or one relayed by a peer that reaches the process. If the direct path does not
// answer within a short delay, peers are queried as well. The peer that relayed an answer is
// used first for the next query, while the direct path is probed periodically. Failing peers
// are skipped with exponential backoff.
//
// A repeatable query may be in flight on several paths, so the process that answers it must
// recognize duplicates. Any other query uses the next path only after the previous one
// failed.
//
// The package does no I/O and reads no clock: callers pass the current time.
package detour

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

const (
	// relayDelay is how long the direct path is used alone: several round trips between
	// zones, and a third of the timeout of token requests, so that a relayed answer
	// arrives within it.
	relayDelay = 20 * time.Millisecond
	// hedgeInterval is the delay between relays: a little more than two round trips between
	// zones.
	hedgeInterval = 15 * time.Millisecond
	// maxRelays is the maximum number of relays per query. If none of them reaches the
	// process, it is considered down. Where a third of the peers are cut off too, this is wrong
	// for one query in 27.
	maxRelays = 3
	// probeInterval is the interval between probes of a failed direct path.
	probeInterval = time.Second
	// minBackoff and maxBackoff bound the backoff of a failed peer. They range from a short
	// process suspension to a restart.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// idleTTL is how long unused state is kept.
	idleTTL = time.Minute
)

// Path is a path to a process. The zero value is the direct path.
type Path struct {
	Relay api.NodeID // the relaying peer; empty for the direct path
}

// Direct reports whether the path is direct.
func (w Path) Direct() bool { return w.Relay == "" }

// Result is the outcome of a query on one path.
type Result int

// Query results.
const (
	Answered    Result = iota + 1
	NoAnswer           // the process or the relay did not answer
	Unreachable        // the relay answered that it cannot reach the process
)

// Fault is a fault injected by tests.
type Fault string

// Injected faults.
const (
	FaultNone      Fault = ""
	FaultNoRelay   Fault = "no peer is asked"
	FaultNoProbe   Fault = "the straight way is not tried again"
	FaultNoBackoff Fault = "peers that fail are asked again at once"
	FaultNoMemory  Fault = "the peer that answered is forgotten"
)

// Paths holds the state of one process's paths to others. It is not safe for concurrent use.
type Paths struct {
	targets   map[api.NodeID]*target
	backoffs  map[api.NodeID]*backoff
	evictedAt time.Time
	fault     Fault
}

// target is the path state of a queried process.
type target struct {
	failedAt    time.Time // last failure of the direct path; zero if it has succeeded since
	succeededAt time.Time // last success of the direct path
	probeAt     time.Time // time of the next probe
	relay       api.NodeID
	changedAt   time.Time               // last change between direct and relayed, or of the relay; zero if none
	backoffs    map[api.NodeID]*backoff // of peers that cannot reach the process
	lastUsed    time.Time
}

// backoff is the exponential backoff of a peer. A nil backoff is inactive.
type backoff struct {
	until    time.Time
	duration time.Duration
}

// New returns an empty state, in which every direct path is assumed to work.
func New() *Paths {
	return &Paths{targets: map[api.NodeID]*target{}, backoffs: map[api.NodeID]*backoff{}}
}

// Query is a query in flight.
type Query struct {
	ways       *Paths
	target     api.NodeID
	startedAt  time.Time
	probe      bool // probes a failed direct path
	relayFirst bool // starts with a relay
	tried      []Path
	relays     int
}

// Begin starts a query to a process. Only a repeatable query probes a failed direct path,
// since it is relayed at the same time and does not wait for the probe.
func (w *Paths) Begin(now time.Time, id api.NodeID, repeatable bool) *Query {
	w.evictIdle(now)
	t := w.target(now, id)
	q := &Query{ways: w, target: id, startedAt: now}
	if !t.failedAt.IsZero() && w.fault != FaultNoRelay {
		q.relayFirst = true
		q.probe = repeatable && !now.Before(t.probeAt) && w.fault != FaultNoProbe
		if q.probe {
			t.probeAt = now.Add(probeInterval)
		}
	}
	return q
}

// Next returns the path to try now, or false if none is left. peers returns the possible
// relays in order of preference and is called only if one is needed.
func (q *Query) Next(now time.Time, peers func() []api.NodeID) (Path, bool) {
	direct := slices.Contains(q.tried, Path{})
	if !direct && (!q.relayFirst || q.probe) {
		return q.use(Path{}), true
	}
	if q.ways.fault != FaultNoRelay && q.relays < maxRelays {
		if peer, ok := q.nextRelay(now, peers()); ok {
			q.relays++
			return q.use(Path{Relay: peer}), true
		}
	}
	if !direct && len(q.tried) == 0 {
		return q.use(Path{}), true
	}
	return Path{}, false
}

func (q *Query) use(way Path) Path {
	q.tried = append(q.tried, way)
	return way
}

// nextRelay returns the relay of the last answer if it is usable, else the first usable
// peer.
func (q *Query) nextRelay(now time.Time, peers []api.NodeID) (api.NodeID, bool) {
	t := q.ways.target(now, q.target)
	usable := func(id api.NodeID) bool {
		return id != q.target && !slices.Contains(q.tried, Path{Relay: id}) && !q.ways.backoffs[id].active(now) && !t.backoffs[id].active(now)
	}
	if t.relay != "" && usable(t.relay) && slices.Contains(peers, t.relay) {
		return t.relay, true
	}
	i := slices.IndexFunc(peers, usable)
	if i < 0 {
		return "", false
	}
	return peers[i], true
}

// Due returns when to try the next path if no answer has arrived by then.
func (q *Query) Due() time.Time {
	switch {
	case len(q.tried) == 0, q.probe && len(q.tried) == 1:
		return q.startedAt
	case !q.relayFirst:
		return q.startedAt.Add(relayDelay + time.Duration(len(q.tried)-1)*hedgeInterval)
	}
	return q.startedAt.Add(time.Duration(q.relays) * hedgeInterval)
}

// RecordResult records the result on one path. It reports whether the path to the process changed
// between direct and relayed, or to another relay.
func (q *Query) RecordResult(now time.Time, way Path, result Result) (changed bool) {
	t := q.ways.target(now, q.target)
	if way.Direct() {
		return q.ways.recordDirect(now, t, result)
	}
	switch result {
	case Answered:
		delete(q.ways.backoffs, way.Relay)
		delete(t.backoffs, way.Relay)
		if q.ways.fault == FaultNoMemory || t.relay == way.Relay {
			return false
		}
		if t.relay == "" || q.ways.backoffs[t.relay].active(now) || t.backoffs[t.relay].active(now) {
			t.relay = way.Relay
			return t.markChanged(now, !t.failedAt.IsZero())
		}
	case Unreachable:
		delete(q.ways.backoffs, way.Relay)
		t.backoffs[way.Relay] = t.backoffs[way.Relay].extend(now, q.ways.fault)
	case NoAnswer:
		q.ways.backoffs[way.Relay] = q.ways.backoffs[way.Relay].extend(now, q.ways.fault)
	}
	return false
}

func (w *Paths) recordDirect(now time.Time, t *target, result Result) (changed bool) {
	failed := !t.failedAt.IsZero()
	if result == Answered {
		t.failedAt, t.succeededAt, t.relay = time.Time{}, now, ""
		return t.markChanged(now, failed)
	}
	t.failedAt = now
	if !failed {
		t.probeAt = now.Add(probeInterval)
	}
	return t.markChanged(now, !failed)
}

func (t *target) markChanged(now time.Time, changed bool) bool {
	if changed {
		t.changedAt = now
	}
	return changed
}

// Reaches reports whether the direct path to a process is assumed to work. Queries of other
// processes are relayed only then. A failed path is tried again after probeInterval.
func (w *Paths) Reaches(now time.Time, id api.NodeID) bool {
	t := w.targets[id]
	return t == nil || t.failedAt.IsZero() || now.Sub(t.failedAt) > probeInterval
}

// RecordRelayed records the result of a query relayed for another process, and reports whether the
// path to the process changed.
func (w *Paths) RecordRelayed(now time.Time, id api.NodeID, result Result) (changed bool) {
	return w.recordDirect(now, w.target(now, id), result)
}

// Relay returns the peer that currently relays queries to a process. It is empty if the direct
// path is in use or no path works.
func (w *Paths) Relay(id api.NodeID) api.NodeID {
	t := w.targets[id]
	if t == nil || t.failedAt.IsZero() {
		return ""
	}
	return t.relay
}

// ChangedAt returns when the path to a process last changed; zero if it never did.
func (w *Paths) ChangedAt(id api.NodeID) time.Time {
	t := w.targets[id]
	if t == nil {
		return time.Time{}
	}
	return t.changedAt
}

// isolationWindow is how long a result of a direct path counts as evidence of isolation. It
// exceeds the interval between probes.
const isolationWindow = 2 * probeInterval

// Isolated reports whether this process appears to be isolated: at least two direct paths
// failed within isolationWindow and none succeeded.
func (w *Paths) Isolated(now time.Time) bool {
	failed := 0
	for _, t := range w.targets {
		switch {
		case !t.failedAt.IsZero() && now.Sub(t.failedAt) < isolationWindow:
			failed++
		case now.Sub(t.succeededAt) < isolationWindow:
			return false
		}
	}
	return failed >= 2
}

func (p *backoff) active(now time.Time) bool { return p != nil && now.Before(p.until) }

// extend returns the backoff after another failure.
func (p *backoff) extend(now time.Time, fault Fault) *backoff {
	if fault == FaultNoBackoff {
		return nil
	}
	if p == nil {
		p = &backoff{}
	}
	if p.active(now) {
		return p // failure of a concurrent query
	}
	p.duration = min(max(2*p.duration, minBackoff), maxBackoff)
	p.until = now.Add(p.duration)
	return p
}

func (w *Paths) target(now time.Time, id api.NodeID) *target {
	t := w.targets[id]
	if t == nil {
		t = &target{backoffs: map[api.NodeID]*backoff{}}
		w.targets[id] = t
	}
	t.lastUsed = now
	return t
}

// evictIdle removes state that has not been used for idleTTL.
func (w *Paths) evictIdle(now time.Time) {
	if now.Sub(w.evictedAt) < idleTTL {
		return
	}
	w.evictedAt = now
	for id, t := range w.targets {
		if now.Sub(t.lastUsed) > idleTTL {
			delete(w.targets, id)
			continue
		}
		evictExpired(now, t.backoffs)
	}
	evictExpired(now, w.backoffs)
}

func evictExpired(now time.Time, backoffs map[api.NodeID]*backoff) {
	for id, p := range backoffs {
		if p == nil || now.Sub(p.until) > idleTTL {
			delete(backoffs, id)
		}
	}
}
