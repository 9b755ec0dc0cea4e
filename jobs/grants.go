package jobs

import (
	"container/heap"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// standingGrant is an item that a router may run.
type standingGrant struct {
	item    ItemRef
	epoch   uint64
	router  api.NodeID
	until   time.Time
	stream  *stream
	started bool          // non-repeatable: its start is committed
	request api.RequestID // of the start
	custom  string        // custom id of a started item
}

// grantTable knows the standing grants by item, by router and by their end.
type grantTable struct {
	byItem map[ItemRef]*standingGrant
	held   map[api.NodeID]map[JobID]int
	ends   endHeap
}

func newGrantTable() *grantTable {
	return &grantTable{byItem: map[ItemRef]*standingGrant{}, held: map[api.NodeID]map[JobID]int{}}
}

func (t *grantTable) has(item ItemRef) bool { return t.byItem[item] != nil }

func (t *grantTable) add(grant *standingGrant) {
	t.byItem[grant.item] = grant
	grant.stream.tracked.granted++
	if t.held[grant.router] == nil {
		t.held[grant.router] = map[JobID]int{}
	}
	t.held[grant.router][grant.item.Job]++
	heap.Push(&t.ends, grantEnd{until: grant.until, grant: grant})
}

func (t *grantTable) remove(grant *standingGrant) {
	if t.byItem[grant.item] != grant {
		return
	}
	delete(t.byItem, grant.item)
	grant.stream.tracked.granted--
	held := t.held[grant.router]
	if held[grant.item.Job]--; held[grant.item.Job] == 0 {
		delete(held, grant.item.Job)
	}
	if len(held) == 0 {
		delete(t.held, grant.router)
	}
}

// end moves the end of a grant; a later one is found by expired itself.
func (t *grantTable) end(grant *standingGrant, until time.Time) {
	earlier := until.Before(grant.until)
	grant.until = until
	if earlier {
		heap.Push(&t.ends, grantEnd{until: until, grant: grant})
	}
}

// expired takes the grants out of the order of ends that are past theirs; they
// still stand until removed.
func (t *grantTable) expired(now time.Time) []*standingGrant {
	var expired []*standingGrant
	for len(t.ends) > 0 && !t.ends[0].until.After(now) {
		end := heap.Pop(&t.ends).(grantEnd)
		switch grant := end.grant; {
		case t.byItem[grant.item] != grant:
		case grant.until.After(now):
			heap.Push(&t.ends, grantEnd{until: grant.until, grant: grant})
		case !slices.Contains(expired, grant):
			expired = append(expired, grant)
		}
	}
	return expired
}

// prolong gives an expired grant another end.
func (t *grantTable) prolong(grant *standingGrant, until time.Time) {
	grant.until = until
	heap.Push(&t.ends, grantEnd{until: until, grant: grant})
}

type grantEnd struct {
	until time.Time
	grant *standingGrant
}

type endHeap []grantEnd

func (h endHeap) Len() int { return len(h) }
func (h endHeap) Less(i, j int) bool {
	if h[i].until.Equal(h[j].until) {
		return h[i].grant.epoch < h[j].grant.epoch
	}
	return h[i].until.Before(h[j].until)
}
func (h endHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an end; for package heap.
func (h *endHeap) Push(x any) { *h = append(*h, x.(grantEnd)) }

// Pop takes the last end; for package heap.
func (h *endHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = grantEnd{}
	*h = old[:len(old)-1]
	return last
}
