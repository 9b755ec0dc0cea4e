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
	// zones, and short enough that a relayed answer arrives within a caller's timeout.
	relayDelay = 20 * time.Millisecond
	// hedgeInterval is the delay between relays: a little more than two round trips between
	// zones.
	hedgeInterval = 15 * time.Millisecond
	// maxRelays is the maximum number of relays per query. If none of them reaches the
	// process, it is considered down.
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

// Way is a path to a process. The zero value is the direct path.
type Way struct {
	Via api.NodeID // the relaying peer; empty for the direct path
}

// Straight reports whether the path is direct.
func (w Way) Straight() bool { return w.Via == "" }

// Result is the outcome of a query on one path.
type Result int

// Query results.
const (
	Answered  Result = iota + 1
	Silent           // the process or the relay did not answer
	Unreached        // the relay answered that it cannot reach the process
)

// Fault is a fault injected by tests.
type Fault string

// Injected faults.
const (
	FaultNone     Fault = ""
	FaultNoPeer   Fault = "no peer is asked"
	FaultNoTrial  Fault = "the straight way is not tried again"
	FaultNoPause  Fault = "peers that fail are asked again at once"
	FaultNoMemory Fault = "the peer that answered is forgotten"
)

// Ways holds the state of one process's paths to others. It is not safe for concurrent use.
type Ways struct {
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
func New() *Ways {
	return &Ways{targets: map[api.NodeID]*target{}, backoffs: map[api.NodeID]*backoff{}}
}

// Question is a query in flight.
type Question struct {
	ways       *Ways
	target     api.NodeID
	startedAt  time.Time
	probe      bool // probes a failed direct path
	relayFirst bool // starts with a relay
	tried      []Way
	relays     int
}

// Begin starts a query to a process. Only a repeatable query probes a failed direct path,
// since it is relayed at the same time and does not wait for the probe.
func (w *Ways) Begin(now time.Time, id api.NodeID, repeatable bool) *Question {
	w.evictIdle(now)
	t := w.target(now, id)
	q := &Question{ways: w, target: id, startedAt: now}
	if !t.failedAt.IsZero() && w.fault != FaultNoPeer {
		q.relayFirst = true
		q.probe = repeatable && !now.Before(t.probeAt) && w.fault != FaultNoTrial
		if q.probe {
			t.probeAt = now.Add(probeInterval)
		}
	}
	return q
}

// Next returns the path to try now, or false if none is left. peers returns the possible
// relays in order of preference and is called only if one is needed.
func (q *Question) Next(now time.Time, peers func() []api.NodeID) (Way, bool) {
	direct := slices.Contains(q.tried, Way{})
	if !direct && (!q.relayFirst || q.probe) {
		return q.use(Way{}), true
	}
	if q.ways.fault != FaultNoPeer && q.relays < maxRelays {
		if peer, ok := q.nextRelay(now, peers()); ok {
			q.relays++
			return q.use(Way{Via: peer}), true
		}
	}
	if !direct && len(q.tried) == 0 {
		return q.use(Way{}), true
	}
	return Way{}, false
}

func (q *Question) use(way Way) Way {
	q.tried = append(q.tried, way)
	return way
}

// nextRelay returns the relay of the last answer if it is usable, else the first usable
// peer.
func (q *Question) nextRelay(now time.Time, peers []api.NodeID) (api.NodeID, bool) {
	t := q.ways.target(now, q.target)
	usable := func(id api.NodeID) bool {
		return id != q.target && !slices.Contains(q.tried, Way{Via: id}) && !q.ways.backoffs[id].active(now) && !t.backoffs[id].active(now)
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
func (q *Question) Due() time.Time {
	switch {
	case len(q.tried) == 0, q.probe && len(q.tried) == 1:
		return q.startedAt
	case !q.relayFirst:
		return q.startedAt.Add(relayDelay + time.Duration(len(q.tried)-1)*hedgeInterval)
	}
	return q.startedAt.Add(time.Duration(q.relays) * hedgeInterval)
}

// Ended records the result on one path. It reports whether the path to the process changed
// between direct and relayed, or to another relay.
func (q *Question) Ended(now time.Time, way Way, result Result) (changed bool) {
	t := q.ways.target(now, q.target)
	if way.Straight() {
		return q.ways.recordDirect(now, t, result)
	}
	switch result {
	case Answered:
		delete(q.ways.backoffs, way.Via)
		delete(t.backoffs, way.Via)
		if q.ways.fault == FaultNoMemory || t.relay == way.Via {
			return false
		}
		if t.relay == "" || q.ways.backoffs[t.relay].active(now) || t.backoffs[t.relay].active(now) {
			t.relay = way.Via
			return t.markChanged(now, !t.failedAt.IsZero())
		}
	case Unreached:
		delete(q.ways.backoffs, way.Via)
		t.backoffs[way.Via] = t.backoffs[way.Via].extend(now, q.ways.fault)
	case Silent:
		q.ways.backoffs[way.Via] = q.ways.backoffs[way.Via].extend(now, q.ways.fault)
	}
	return false
}

func (w *Ways) recordDirect(now time.Time, t *target, result Result) (changed bool) {
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
func (w *Ways) Reaches(now time.Time, id api.NodeID) bool {
	t := w.targets[id]
	return t == nil || t.failedAt.IsZero() || now.Sub(t.failedAt) > probeInterval
}

// Passed records the result of a query relayed for another process, and reports whether the
// path to the process changed.
func (w *Ways) Passed(now time.Time, id api.NodeID, result Result) (changed bool) {
	return w.recordDirect(now, w.target(now, id), result)
}

// Via returns the peer that currently relays queries to a process. It is empty if the direct
// path is in use or no path works.
func (w *Ways) Via(id api.NodeID) api.NodeID {
	t := w.targets[id]
	if t == nil || t.failedAt.IsZero() {
		return ""
	}
	return t.relay
}

// Changed returns when the path to a process last changed; zero if it never did.
func (w *Ways) Changed(id api.NodeID) time.Time {
	t := w.targets[id]
	if t == nil {
		return time.Time{}
	}
	return t.changedAt
}

// isolationWindow is how long a result of a direct path counts as evidence of isolation. It
// exceeds the interval between probes.
const isolationWindow = 2 * probeInterval

// Apart reports whether this process appears to be isolated: at least two direct paths
// failed within isolationWindow and none succeeded.
func (w *Ways) Apart(now time.Time) bool {
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
	if fault == FaultNoPause {
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

func (w *Ways) target(now time.Time, id api.NodeID) *target {
	t := w.targets[id]
	if t == nil {
		t = &target{backoffs: map[api.NodeID]*backoff{}}
		w.targets[id] = t
	}
	t.lastUsed = now
	return t
}

// evictIdle removes state that has not been used for idleTTL.
func (w *Ways) evictIdle(now time.Time) {
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
