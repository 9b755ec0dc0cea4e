package jobs

import (
	"container/heap"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// activeGrant is a grant that has not been settled, returned or expired.
type activeGrant struct {
	item     ItemRef
	epoch    uint64
	router   api.NodeID
	expires  time.Time
	stream   *stream
	started  bool          // the start of a non-repeatable item is committed
	request  api.RequestID // of the start
	customID string        // set for started items
}

// grantTable indexes the active grants by item, by router and by expiry.
type grantTable struct {
	byItem   map[ItemRef]*activeGrant
	byRouter map[api.NodeID]map[JobID]int
	expiries expiryHeap // may hold outdated entries, which popExpired skips
}

func newGrantTable() *grantTable {
	return &grantTable{byItem: map[ItemRef]*activeGrant{}, byRouter: map[api.NodeID]map[JobID]int{}}
}

func (t *grantTable) has(item ItemRef) bool { return t.byItem[item] != nil }

func (t *grantTable) add(grant *activeGrant) {
	t.byItem[grant.item] = grant
	grant.stream.tracked.activeGrants++
	if t.byRouter[grant.router] == nil {
		t.byRouter[grant.router] = map[JobID]int{}
	}
	t.byRouter[grant.router][grant.item.Job]++
	heap.Push(&t.expiries, grantExpiry{expires: grant.expires, grant: grant})
}

func (t *grantTable) remove(grant *activeGrant) {
	if t.byItem[grant.item] != grant {
		return
	}
	delete(t.byItem, grant.item)
	grant.stream.tracked.activeGrants--
	held := t.byRouter[grant.router]
	if held[grant.item.Job]--; held[grant.item.Job] == 0 {
		delete(held, grant.item.Job)
	}
	if len(held) == 0 {
		delete(t.byRouter, grant.router)
	}
}

// setExpiry changes the expiry of a grant. Only an earlier one needs a new heap
// entry: popExpired reinserts grants whose expiry was extended.
func (t *grantTable) setExpiry(grant *activeGrant, until time.Time) {
	earlier := until.Before(grant.expires)
	grant.expires = until
	if earlier {
		heap.Push(&t.expiries, grantExpiry{expires: until, grant: grant})
	}
}

// popExpired removes the expired grants from the heap and returns them. They stay in
// the table until removed or extended.
func (t *grantTable) popExpired(now time.Time) []*activeGrant {
	var expired []*activeGrant
	for len(t.expiries) > 0 && !t.expiries[0].expires.After(now) {
		end := heap.Pop(&t.expiries).(grantExpiry)
		switch grant := end.grant; {
		case t.byItem[grant.item] != grant:
		case grant.expires.After(now):
			heap.Push(&t.expiries, grantExpiry{expires: grant.expires, grant: grant})
		case !slices.Contains(expired, grant):
			expired = append(expired, grant)
		}
	}
	return expired
}

// extend sets a new expiry for a grant returned by popExpired.
func (t *grantTable) extend(grant *activeGrant, until time.Time) {
	grant.expires = until
	heap.Push(&t.expiries, grantExpiry{expires: until, grant: grant})
}

type grantExpiry struct {
	expires time.Time
	grant   *activeGrant
}

type expiryHeap []grantExpiry

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	if h[i].expires.Equal(h[j].expires) {
		return h[i].grant.epoch < h[j].grant.epoch
	}
	return h[i].expires.Before(h[j].expires)
}
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(grantExpiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = grantExpiry{}
	*h = old[:len(old)-1]
	return last
}
