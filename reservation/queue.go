package reservation

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/overload"
	"github.com/dykewing/dykewing/waitorder"
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	Node       api.NodeID
	Request    Request
	EnqueuedAt time.Time
	Order      waitorder.Request
	// Response receives the response. It is buffered, so that sending does not block.
	Response chan Response
}

// NewWaiter returns the queue entry for a request of the frontend that arrived at now. Its
// deadlines are computed from the durations in ask.
func NewWaiter(now time.Time, node api.NodeID, ask Request) *Waiter {
	w := &Waiter{
		Node: node, Request: ask, EnqueuedAt: now, Response: make(chan Response, 1),
		Order: waitorder.Request{Rank: ask.Rank, Target: now.Add(ask.TimeToTarget), Deadline: now.Add(ask.TimeToDeadline)},
	}
	if ask.Promise != nil {
		w.Order.Promised = now.Add(*ask.Promise)
	}
	return w
}

// Queue holds the waiting requests of one service and the overload controller that bounds
// their wait. The zero value is ready to use.
type Queue struct {
	Controller overload.Controller
	waiters    []*Waiter
}

func (q *Queue) Len() int { return len(q.waiters) }

// TakesAnySlot reports whether a waiting request can use any slot, so that none is free for later
// ones. A request that is bound to a version may wait while other slots are free.
func (q *Queue) TakesAnySlot() bool {
	return slices.ContainsFunc(q.waiters, func(w *Waiter) bool { return !w.Request.HasVersion })
}

// RecordArrival records the arrival of a request. A request that returns after a rejection takes
// over the promise of an earlier one and precedes new requests of its rank.
func (q *Queue) RecordArrival(now time.Time, w *Waiter) {
	switch {
	case w.Request.Requeued:
	case w.Request.Returning:
		w.Order.Promised, _ = q.Controller.Claim(now, w.Request.Rank, w.Request.TimeToDeadline)
	default:
		q.Controller.RecordArrival(now, w.Request.Rank)
	}
}

// RecordPlacement records that a request was granted a slot.
func (q *Queue) RecordPlacement(now time.Time, w *Waiter) {
	q.Controller.RecordPlacement(now, w.Order.Rank, w.Order.Class(now) == waitorder.OnTime)
}

// Full returns the response for a request that got no slot and no longer waits.
func (q *Queue) Full(now time.Time, w *Waiter) Response {
	answer := Response{Full: true, Waiting: q.Len(), ExpectedWait: q.Controller.Evaluate(now, overloadRequest(now, w, false), q.countAhead(now, w)).ExpectedWait}
	if !w.Order.Promised.IsZero() {
		due := w.Order.Promised.Sub(now)
		answer.Promise = &due
	}
	return answer
}

func (q *Queue) Add(w *Waiter) { q.waiters = append(q.waiters, w) }

// Remove removes a request and reports whether it was queued.
func (q *Queue) Remove(w *Waiter) bool {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(other *Waiter) bool { return other == w })
	return len(q.waiters) < before
}

// Sorted returns the waiting requests in the order in which they are to be granted slots.
func (q *Queue) Sorted(now time.Time) []*Waiter {
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int { return waitorder.Compare(now, a.Order, b.Order) })
	return slices.Clone(q.waiters)
}

// Decide decides whether a request that finds no free slot waits or is rejected.
func (q *Queue) Decide(now time.Time, w *Waiter) overload.Decision {
	if w.Request.HasAlternative {
		return q.Controller.Evaluate(now, overloadRequest(now, w, false), q.countAhead(now, w))
	}
	return q.Controller.Decide(now, overloadRequest(now, w, false), q.countAhead(now, w))
}

// countAhead returns the number of waiting requests that precede w, including those whose
// promised slot is due before w must start.
func (q *Queue) countAhead(now time.Time, w *Waiter) (ahead int) {
	for _, other := range q.waiters {
		due := !other.Order.Promised.IsZero() && !other.Order.Promised.After(w.Order.Target) && other.Order.Rank.Compare(w.Order.Rank) <= 0
		if other != w && (due || waitorder.Compare(now, other.Order, w.Order) <= 0) {
			ahead++
		}
	}
	return ahead
}

// Rejected is a request that was removed from the queue, with the reason.
type Rejected struct {
	*Waiter
	Decision overload.Decision
}

// Shed removes and returns the requests that are not expected to get a slot in time.
func (q *Queue) Shed(now time.Time) (refused []Rejected) {
	ahead := 0
	for _, w := range q.Sorted(now) {
		if verdict := q.Controller.Decide(now, overloadRequest(now, w, true), ahead); verdict.Reject {
			q.Remove(w)
			refused = append(refused, Rejected{Waiter: w, Decision: verdict})
			continue
		}
		ahead++
	}
	return refused
}

// overloadRequest describes a request to the overload controller. A returning request counts as
// waiting: it is assumed to have no further attempt, so it is rejected only when no slot is
// expected in time.
func overloadRequest(now time.Time, w *Waiter, waits bool) overload.Request {
	return overload.Request{
		Rank: w.Order.Rank, TimeToTarget: w.Order.Target.Sub(now), TimeToDeadline: w.Order.Deadline.Sub(now), Queued: waits || w.Request.Returning,
		Promised: !w.Order.Promised.IsZero(), Due: w.Order.Promised.Sub(now),
	}
}
