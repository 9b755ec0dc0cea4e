package reservation

import (
	"math"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/hold"
)

// Waiting is one request that waits for a place.
type Waiting struct {
	Node  api.NodeID
	Ask   Ask
	Order hold.Request
	// Place gets the answer once there is one; it has room for it.
	Place chan Answer
}

// Wait makes a request wait from now on.
func Wait(now time.Time, node api.NodeID, ask Ask) *Waiting {
	return &Waiting{
		Node: node, Ask: ask, Place: make(chan Answer, 1),
		Order: hold.Request{Rank: ask.Rank, Begin: now.Add(ask.Begin), Last: now.Add(ask.Last)},
	}
}

// rateMemory is over how long the rate of places is averaged.
const rateMemory = time.Second

// Queue is the requests of one service that wait, and how often a place was given.
type Queue struct {
	list    []*Waiting
	rate    float64 // of places, a second
	placeAt time.Time
}

// Len is how many wait.
func (q *Queue) Len() int { return len(q.list) }

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

// Placed notes that a place was given.
func (q *Queue) Placed(now time.Time) {
	q.decay(now)
	q.rate += 1 / rateMemory.Seconds()
}

func (q *Queue) decay(now time.Time) {
	if passed := now.Sub(q.placeAt).Seconds(); passed > 0 {
		q.rate *= math.Exp(-passed / rateMemory.Seconds())
		q.placeAt = now
	}
}

// leastRate is what the rate of places, a second, is taken for at least: where none
// was needed lately, nothing is known of it.
const leastRate = 5

// Until estimates when a request that comes now would be placed: after those that go
// before it, at the late rate of places.
func (q *Queue) Until(now time.Time, w *Waiting) time.Duration {
	q.decay(now)
	ahead := 1
	for _, other := range q.list {
		if hold.Compare(now, other.Order, w.Order) <= 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / max(q.rate, leastRate) * float64(time.Second))
}
