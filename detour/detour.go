// Package detour decides by which way a question goes to a process that may be out of
// reach: straight, or through one peer that reaches it. A straight way that is silent for
// a moment is helped by a peer; the peer that brought an answer is taken at once for the
// next question, while the straight way is tried beside it now and then. Peers that fail
// are left alone for a growing pause.
//
// A question that may be repeated takes several ways at once: whoever answers it must
// know its copies. One that may not takes the next way only after the one before failed.
//
// The machine has no clock, input or output.
package detour

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

const (
	// straightTime is how long the straight way has alone: some round trips between
	// zones. A third of what an owner of limits has, so that a peer's answer comes in it.
	straightTime = 20 * time.Millisecond
	// peerTime is how long a peer has before the next one is asked as well: two round
	// trips between zones and a little.
	peerTime = 15 * time.Millisecond
	// mostPeers of one question. When none of them reaches the process either, it is taken
	// to be gone for all; where a third of the peers are cut off one question in 27 errs.
	mostPeers = 3
	// trialInterval is between two trials of a straight way that failed.
	trialInterval = time.Second
	// leastPause and mostPause of a peer that failed: from about what a process is
	// suspended for at times, to what a restart takes.
	leastPause = 250 * time.Millisecond
	mostPause  = 8 * time.Second
	// memory is how long what is not used is kept.
	memory = time.Minute
)

// Way is one way to a process; the zero value is straight.
type Way struct {
	Via api.NodeID // the peer that passes the question on
}

// Straight tells whether no peer is on it.
func (w Way) Straight() bool { return w.Via == "" }

// Result is what became of a question by one way.
type Result int

// The results.
const (
	Answered  Result = iota + 1
	Silent           // the process, or the peer on the way, did not answer
	Unreached        // the peer answered: it does not reach the process
)

// Fault is a planted defect; tests only.
type Fault string

// The planted defects.
const (
	FaultNone     Fault = ""
	FaultNoPeer   Fault = "no peer is asked"
	FaultNoTrial  Fault = "the straight way is not tried again"
	FaultNoPause  Fault = "peers that fail are asked again at once"
	FaultNoMemory Fault = "the peer that answered is forgotten"
)

// Ways is what one process knows of its ways to others.
type Ways struct {
	targets map[api.NodeID]*target
	peers   map[api.NodeID]*pause
	sweptAt time.Time
	fault   Fault
}

// target is a process that is asked.
type target struct {
	failedAt time.Time // when the straight way last failed; zero: it did not since it worked
	workedAt time.Time // when it last worked
	trialAt  time.Time // when it is tried again
	via      api.NodeID
	changed  time.Time // when the way last changed; zero: never
	cut      map[api.NodeID]*pause
	usedAt   time.Time
}

// pause is how long a peer is left alone.
type pause struct {
	until time.Time
	last  time.Duration
}

// New knows nothing: every straight way is thought to work.
func New() *Ways {
	return &Ways{targets: map[api.NodeID]*target{}, peers: map[api.NodeID]*pause{}}
}

// Question is one that is under way.
type Question struct {
	ways   *Ways
	target api.NodeID
	begun  time.Time
	trial  bool // of a straight way that failed
	first  bool // a peer is taken first
	asked  []Way
	peers  int
}

// Begin is a new question to a process. Only one that may be repeated tries a straight
// way that failed again: nobody waits for that, since a peer is asked beside.
func (w *Ways) Begin(now time.Time, id api.NodeID, repeatable bool) *Question {
	w.sweep(now)
	t := w.target(now, id)
	q := &Question{ways: w, target: id, begun: now}
	if !t.failedAt.IsZero() && w.fault != FaultNoPeer {
		q.first = true
		q.trial = repeatable && !now.Before(t.trialAt) && w.fault != FaultNoTrial
		if q.trial {
			t.trialAt = now.Add(trialInterval)
		}
	}
	return q
}

// Next is the way to be tried now; peers lists those that may be on it, the best one
// first, and is called only if one is needed. False: there is none any more.
func (q *Question) Next(now time.Time, peers func() []api.NodeID) (Way, bool) {
	straight := slices.Contains(q.asked, Way{})
	if !straight && (!q.first || q.trial) {
		return q.take(Way{}), true
	}
	if q.ways.fault != FaultNoPeer && q.peers < mostPeers {
		if peer, ok := q.peer(now, peers()); ok {
			q.peers++
			return q.take(Way{Via: peer}), true
		}
	}
	if !straight && len(q.asked) == 0 {
		return q.take(Way{}), true
	}
	return Way{}, false
}

func (q *Question) take(way Way) Way {
	q.asked = append(q.asked, way)
	return way
}

// peer is the one that brought the last answer, else the first that is not left alone.
func (q *Question) peer(now time.Time, peers []api.NodeID) (api.NodeID, bool) {
	t := q.ways.target(now, q.target)
	usable := func(id api.NodeID) bool {
		return id != q.target && !slices.Contains(q.asked, Way{Via: id}) && !q.ways.peers[id].holds(now) && !t.cut[id].holds(now)
	}
	if t.via != "" && usable(t.via) && slices.Contains(peers, t.via) {
		return t.via, true
	}
	i := slices.IndexFunc(peers, usable)
	if i < 0 {
		return "", false
	}
	return peers[i], true
}

// Due is when the next way is tried if none has answered until then.
func (q *Question) Due() time.Time {
	switch {
	case len(q.asked) == 0, q.trial && len(q.asked) == 1:
		return q.begun
	case !q.first:
		return q.begun.Add(straightTime + time.Duration(len(q.asked)-1)*peerTime)
	}
	return q.begun.Add(time.Duration(q.peers) * peerTime)
}

// Ended takes what became of the question by one way, and tells whether the process is
// reached by another way from now on than before.
func (q *Question) Ended(now time.Time, way Way, result Result) (changed bool) {
	t := q.ways.target(now, q.target)
	if way.Straight() {
		return q.ways.straight(now, t, result)
	}
	switch result {
	case Answered:
		delete(q.ways.peers, way.Via)
		delete(t.cut, way.Via)
		if q.ways.fault == FaultNoMemory || t.via == way.Via {
			return false
		}
		if t.via == "" || q.ways.peers[t.via].holds(now) || t.cut[t.via].holds(now) {
			t.via = way.Via
			return t.change(now, !t.failedAt.IsZero())
		}
	case Unreached:
		delete(q.ways.peers, way.Via)
		t.cut[way.Via] = t.cut[way.Via].longer(now, q.ways.fault)
	case Silent:
		q.ways.peers[way.Via] = q.ways.peers[way.Via].longer(now, q.ways.fault)
	}
	return false
}

func (w *Ways) straight(now time.Time, t *target, result Result) (changed bool) {
	failed := !t.failedAt.IsZero()
	if result == Answered {
		t.failedAt, t.workedAt, t.via = time.Time{}, now, ""
		return t.change(now, failed)
	}
	t.failedAt = now
	if !failed {
		t.trialAt = now.Add(trialInterval)
	}
	return t.change(now, !failed)
}

func (t *target) change(now time.Time, changed bool) bool {
	if changed {
		t.changed = now
	}
	return changed
}

// Reaches tells whether the straight way to a process is thought to work: a question of
// another process is passed on only then. A way that failed is given a chance when the
// failure is older than a trial.
func (w *Ways) Reaches(now time.Time, id api.NodeID) bool {
	t := w.targets[id]
	return t == nil || t.failedAt.IsZero() || now.Sub(t.failedAt) > trialInterval
}

// Passed takes what became of a question of another process that was passed on, and tells
// as Ended does.
func (w *Ways) Passed(now time.Time, id api.NodeID, result Result) (changed bool) {
	return w.straight(now, w.target(now, id), result)
}

// Via is the peer through which a process is reached at present; empty: straight, or not
// at all.
func (w *Ways) Via(id api.NodeID) api.NodeID {
	t := w.targets[id]
	if t == nil || t.failedAt.IsZero() {
		return ""
	}
	return t.via
}

// Changed is when the way to a process last changed; zero: not that is known.
func (w *Ways) Changed(id api.NodeID) time.Time {
	t := w.targets[id]
	if t == nil {
		return time.Time{}
	}
	return t.changed
}

// apartTime is for how long a straight way that worked, or failed, counts for Apart: over
// the time between two trials.
const apartTime = 2 * trialInterval

// Apart tells whether this process reaches none of those that it asks: at least two
// straight ways failed in the last moments, and none worked.
func (w *Ways) Apart(now time.Time) bool {
	failed := 0
	for _, t := range w.targets {
		switch {
		case !t.failedAt.IsZero() && now.Sub(t.failedAt) < apartTime:
			failed++
		case now.Sub(t.workedAt) < apartTime:
			return false
		}
	}
	return failed >= 2
}

func (p *pause) holds(now time.Time) bool { return p != nil && now.Before(p.until) }

// longer is the pause after one more failure.
func (p *pause) longer(now time.Time, fault Fault) *pause {
	if fault == FaultNoPause {
		return nil
	}
	if p == nil {
		p = &pause{}
	}
	if p.holds(now) {
		return p // another question failed at the same time
	}
	p.last = min(max(2*p.last, leastPause), mostPause)
	p.until = now.Add(p.last)
	return p
}

func (w *Ways) target(now time.Time, id api.NodeID) *target {
	t := w.targets[id]
	if t == nil {
		t = &target{cut: map[api.NodeID]*pause{}}
		w.targets[id] = t
	}
	t.usedAt = now
	return t
}

// sweep forgets what was not used for long.
func (w *Ways) sweep(now time.Time) {
	if now.Sub(w.sweptAt) < memory {
		return
	}
	w.sweptAt = now
	for id, t := range w.targets {
		if now.Sub(t.usedAt) > memory {
			delete(w.targets, id)
			continue
		}
		forget(now, t.cut)
	}
	forget(now, w.peers)
}

func forget(now time.Time, pauses map[api.NodeID]*pause) {
	for id, p := range pauses {
		if p == nil || now.Sub(p.until) > memory {
			delete(pauses, id)
		}
	}
}
