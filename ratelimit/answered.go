package ratelimit

import "time"

const (
	// duplicateWindow is how long duplicates of a request get its grant. It is longer than a
	// holder waits for an owner over all paths.
	duplicateWindow = 250 * time.Millisecond
	// maxCachedGrants covers duplicateWindow at 16,000 requests per second, in about 500 KB.
	maxCachedGrants = 4096
)

// requestID identifies a request across the paths on which it may arrive.
type requestID struct {
	holder, tenant string
	sequence       uint64
}

// grantCache holds the recent grants of an owner.
type grantCache struct {
	grants map[requestID]Grant
	order  []cacheEntry // oldest first
}

type cacheEntry struct {
	id requestID
	at time.Time
}

func (a *grantCache) lookup(now time.Time, id requestID) (Grant, bool) {
	a.evict(now)
	grant, known := a.grants[id]
	return grant, known
}

func (a *grantCache) add(now time.Time, id requestID, grant Grant) {
	a.grants[id] = grant
	a.order = append(a.order, cacheEntry{id, now})
}

// evict removes expired grants, and the oldest ones to make room for one more.
func (a *grantCache) evict(now time.Time) {
	n := 0
	for n < len(a.order) && (now.Sub(a.order[n].at) > duplicateWindow || len(a.order)-n >= maxCachedGrants) {
		delete(a.grants, a.order[n].id)
		n++
	}
	a.order = a.order[n:]
}
