package reservation

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/overload"
)

// Waiting is a request that waits for a slot.
type Waiting struct {
	Node  api.NodeID
	Ask   Ask
	Since time.Time
	Order hold.Request
	// Place receives the response. It is buffered, so that sending does not block.
	Place chan Answer
}

// Wait returns the queue entry for a request of the frontend that arrived at now. Its
// deadlines are computed from the durations in ask.
func Wait(now time.Time, node api.NodeID, ask Ask) *Waiting {
	w := &Waiting{
		Node: node, Ask: ask, Since: now, Place: make(chan Answer, 1),
		Order: hold.Request{Rank: ask.Rank, Target: now.Add(ask.Begin), Deadline: now.Add(ask.Last)},
	}
	if ask.Promise != nil {
		w.Order.Promised = now.Add(*ask.Promise)
	}
	return w
}

// Queue holds the waiting requests of one service and the overload controller that bounds
// their wait. The zero value is ready to use.
type Queue struct {
	Line    overload.Controller
	waiters []*Waiting
}

func (q *Queue) Len() int { return len(q.waiters) }

// Arrived records the arrival of a request. A request that returns after a rejection takes
// over the promise of an earlier one and precedes new requests of its rank.
func (q *Queue) Arrived(now time.Time, w *Waiting) {
	switch {
	case w.Ask.Again:
	case w.Ask.Returned:
		w.Order.Promised, _ = q.Line.Claim(now, w.Ask.Rank, w.Ask.Last)
	default:
		q.Line.RecordArrival(now, w.Ask.Rank)
	}
}

// Placed records that a request was granted a slot.
func (q *Queue) Placed(now time.Time, w *Waiting) {
	q.Line.RecordPlacement(now, w.Order.Rank, w.Order.Class(now) == hold.OnTime)
}

// Full returns the response for a request that got no slot and no longer waits.
func (q *Queue) Full(now time.Time, w *Waiting) Answer {
	answer := Answer{Full: true, Waiting: q.Len(), Until: q.Line.Evaluate(now, overloadRequest(now, w, false), q.countAhead(now, w)).ExpectedWait}
	if !w.Order.Promised.IsZero() {
		due := w.Order.Promised.Sub(now)
		answer.Promise = &due
	}
	return answer
}

func (q *Queue) Add(w *Waiting) { q.waiters = append(q.waiters, w) }

// Remove removes a request and reports whether it was queued.
func (q *Queue) Remove(w *Waiting) bool {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(other *Waiting) bool { return other == w })
	return len(q.waiters) < before
}

// Sorted returns the waiting requests in the order in which they are to be granted slots.
func (q *Queue) Sorted(now time.Time) []*Waiting {
	slices.SortStableFunc(q.waiters, func(a, b *Waiting) int { return hold.Compare(now, a.Order, b.Order) })
	return slices.Clone(q.waiters)
}

// Decide decides whether a request that finds no free slot waits or is rejected.
func (q *Queue) Decide(now time.Time, w *Waiting) overload.Decision {
	if w.Ask.Elsewhere {
		return q.Line.Evaluate(now, overloadRequest(now, w, false), q.countAhead(now, w))
	}
	return q.Line.Decide(now, overloadRequest(now, w, false), q.countAhead(now, w))
}

// countAhead returns the number of waiting requests that precede w, including those whose
// promised slot is due before w must start.
func (q *Queue) countAhead(now time.Time, w *Waiting) (ahead int) {
	for _, other := range q.waiters {
		due := !other.Order.Promised.IsZero() && !other.Order.Promised.After(w.Order.Target) && other.Order.Rank.Compare(w.Order.Rank) <= 0
		if other != w && (due || hold.Compare(now, other.Order, w.Order) <= 0) {
			ahead++
		}
	}
	return ahead
}

// Refused is a request that was removed from the queue, with the reason.
type Refused struct {
	*Waiting
	Verdict overload.Decision
}

// Refuse removes and returns the requests that are not expected to get a slot in time.
func (q *Queue) Refuse(now time.Time) (refused []Refused) {
	ahead := 0
	for _, w := range q.Sorted(now) {
		if verdict := q.Line.Decide(now, overloadRequest(now, w, true), ahead); verdict.Reject {
			q.Remove(w)
			refused = append(refused, Refused{Waiting: w, Verdict: verdict})
			continue
		}
		ahead++
	}
	return refused
}

// overloadRequest describes a request to the overload controller. A returning request counts as
// waiting: it is assumed to have no further attempt, so it is rejected only when no slot is
// expected in time.
func overloadRequest(now time.Time, w *Waiting, waits bool) overload.Request {
	return overload.Request{
		Rank: w.Order.Rank, TimeToTarget: w.Order.Target.Sub(now), TimeToDeadline: w.Order.Deadline.Sub(now), Queued: waits || w.Ask.Returned,
		Promised: !w.Order.Promised.IsZero(), Due: w.Order.Promised.Sub(now),
	}
}
