package overload

import (
	"slices"
	"time"
)

const (
	// mostPromises of a rank are kept; who is refused beyond them is told a time without one.
	mostPromises = 4096
	// promiseAhead is how far ahead slots are promised: callers come back sooner than
	// they are told when that is late for them, and what is far ahead is a guess.
	promiseAhead = 4 * time.Second
	// promiseLife is how long after its time a promise is kept: the way back of a caller
	// that opens a connection to another frontend.
	promiseLife = 500 * time.Millisecond
	// claimMargin is how long before the last moment of one who returns its slot must be
	// due: it goes first from then on, and waits for the next slot that comes free.
	claimMargin = 200 * time.Millisecond
	// leastReturn is the least pause that is told: below it a return only adds work.
	leastReturn = 50 * time.Millisecond
	// unknownReturn is told where nothing is known of slots: callers' own next tries
	// come about then.
	unknownReturn = 200 * time.Millisecond
)

// returns is the book of one rank's those who were turned away and told when to come back, in that
// order. An attempt that returns has another id: promises are counted, not named.
// Who returns takes the oldest one.
type returns struct {
	promises []time.Time // ascending
	next     time.Time   // the next promise's earliest
}

// tell gives one who is turned away the time until its return: after the backlog, and
// after those told before it, so many a second.
func (r *returns) tell(now time.Time, perSecond float64, backlog time.Duration) time.Duration {
	r.expire(now)
	at := now.Add(max(backlog, leastReturn))
	if r.next.After(at) {
		at = r.next
	}
	if at.Sub(now) > promiseAhead {
		return at.Sub(now) // true as far as is known, without a promise
	}
	r.next = at.Add(time.Duration(float64(time.Second) / perSecond))
	if len(r.promises) < mostPromises {
		r.promises = append(r.promises, at)
	}
	return at.Sub(now)
}

// claim takes the oldest promise for one who returns; false where none is due before its
// last moment. It may come early: callers return no later than suits them.
func (r *returns) claim(now, last time.Time) (time.Time, bool) {
	r.expire(now)
	if len(r.promises) == 0 || r.promises[0].After(last) {
		return time.Time{}, false
	}
	at := r.promises[0]
	r.promises = slices.Delete(r.promises, 0, 1)
	return at, true
}

// due is how many promises fall before a moment.
func (r *returns) due(by time.Time) int {
	n, _ := slices.BinarySearchFunc(r.promises, by, time.Time.Compare)
	return n
}

// expire forgets promises whose callers did not come.
func (r *returns) expire(now time.Time) {
	n, _ := slices.BinarySearchFunc(r.promises, now.Add(-promiseLife), time.Time.Compare)
	r.promises = slices.Delete(r.promises, 0, n)
}
