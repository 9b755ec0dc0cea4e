package reservation

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/overload"
)

// Waiting is one request that waits for a place.
type Waiting struct {
	Node  api.NodeID
	Ask   Ask
	Since time.Time
	Order hold.Request
	// Place gets the answer once there is one; it has room for it.
	Place chan Answer
}

// Wait makes a request wait from now on.
func Wait(now time.Time, node api.NodeID, ask Ask) *Waiting {
	w := &Waiting{
		Node: node, Ask: ask, Since: now, Place: make(chan Answer, 1),
		Order: hold.Request{Rank: ask.Rank, Begin: now.Add(ask.Begin), Last: now.Add(ask.Last)},
	}
	if ask.Promise != nil {
		w.Order.Promised = now.Add(*ask.Promise)
	}
	return w
}

// Queue is the requests of one service that wait, and what decides how long.
type Queue struct {
	Line overload.Line
	list []*Waiting
}

// Len is how many wait.
func (q *Queue) Len() int { return len(q.list) }

// Arrived notes a request that is to be placed or to wait here. One that was told to
// return is found out, and goes before new ones of its rank.
func (q *Queue) Arrived(now time.Time, w *Waiting) {
	switch {
	case w.Ask.Again:
	case w.Ask.Returned:
		w.Order.Promised, _ = q.Line.Claim(now, w.Ask.Rank, w.Ask.Last)
	default:
		q.Line.Arrived(now, w.Ask.Rank)
	}
}

// Placed notes that a request got a place.
func (q *Queue) Placed(now time.Time, w *Waiting) {
	q.Line.Placed(now, w.Order.Rank, w.Order.Class(now) == hold.InTime)
}

// Full answers a request that has no slot, and waits no longer here.
func (q *Queue) Full(now time.Time, w *Waiting) Answer {
	answer := Answer{Full: true, Waiting: q.Len(), Until: q.Line.Look(now, use(now, w, false), q.ahead(now, w)).Until}
	if !w.Order.Promised.IsZero() {
		due := w.Order.Promised.Sub(now)
		answer.Promise = &due
	}
	return answer
}

// Add lets a request wait.
func (q *Queue) Add(w *Waiting) { q.list = append(q.list, w) }

// Remove takes a request out; false when it is not there any more.
func (q *Queue) Remove(w *Waiting) bool {
	before := len(q.list)
	q.list = slices.DeleteFunc(q.list, func(other *Waiting) bool { return other == w })
	return len(q.list) < before
}

// Sorted gives those that wait in the order in which they are to be placed.
func (q *Queue) Sorted(now time.Time) []*Waiting {
	slices.SortStableFunc(q.list, func(a, b *Waiting) int { return hold.Compare(now, a.Order, b.Order) })
	return slices.Clone(q.list)
}

// Decide decides for a request that finds no slot: it waits, or is refused.
func (q *Queue) Decide(now time.Time, w *Waiting) overload.Verdict {
	if w.Ask.Elsewhere {
		return q.Line.Look(now, use(now, w, false), q.ahead(now, w))
	}
	return q.Line.Decide(now, use(now, w, false), q.ahead(now, w))
}

// ahead is how many that wait go before a request, or will once their slots are due
// while it can be in time.
func (q *Queue) ahead(now time.Time, w *Waiting) (ahead int) {
	for _, other := range q.list {
		due := !other.Order.Promised.IsZero() && !other.Order.Promised.After(w.Order.Begin) && other.Order.Rank.Compare(w.Order.Rank) <= 0
		if other != w && (due || hold.Compare(now, other.Order, w.Order) <= 0) {
			ahead++
		}
	}
	return ahead
}

// Refused is a request that waits no longer, with why.
type Refused struct {
	*Waiting
	Verdict overload.Verdict
}

// Refuse takes out those that can't have a slot in time any more, as is known now:
// nobody waits on for what won't come.
func (q *Queue) Refuse(now time.Time) (refused []Refused) {
	ahead := 0
	for _, w := range q.Sorted(now) {
		if verdict := q.Line.Decide(now, use(now, w, true), ahead); verdict.Refuse {
			q.Remove(w)
			refused = append(refused, Refused{Waiting: w, Verdict: verdict})
			continue
		}
		ahead++
	}
	return refused
}

// use is what a wait is worth. One that returns is taken as one that waits: it has no
// further try, as far as is known, and is let go only without hope.
func use(now time.Time, w *Waiting, waits bool) overload.Use {
	return overload.Use{
		Rank: w.Order.Rank, Begin: w.Order.Begin.Sub(now), Last: w.Order.Last.Sub(now), Waits: waits || w.Ask.Returned,
		Promised: !w.Order.Promised.IsZero(), Due: w.Order.Promised.Sub(now),
	}
}
