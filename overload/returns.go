package overload

import (
	"slices"
	"time"
)

const (
	// maxPromises limits the promises per rank. Requests rejected beyond it get a retry time
	// without a promise.
	maxPromises = 4096
	// promiseHorizon is how far ahead slots are promised. Estimates further ahead are
	// inaccurate, and callers for which the time is too late retry earlier.
	promiseHorizon = 4 * time.Second
	// promiseTTL is how long a promise outlives its time, to cover a caller that opens a
	// connection to another frontend.
	promiseTTL = 500 * time.Millisecond
	// claimMargin is how long before the last possible start of a retry its slot must be
	// due, so that it can wait for the next free slot.
	claimMargin = 200 * time.Millisecond
	// minRetryAfter is the minimum retry delay; shorter ones only add load.
	minRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is the retry delay while the rate is unknown, similar to the
	// callers' own retry interval.
	defaultRetryAfter = 200 * time.Millisecond
)

// retrySchedule holds the promised retry times of one rank. Retries carry new IDs, so
// promises are anonymous: each retry takes the oldest one.
type retrySchedule struct {
	promises []time.Time // in ascending order
	nextSlot time.Time   // earliest time of the next promise
}

// schedule returns the delay until the retry of a rejected request: after the backlog and
// after earlier promises, at the given rate.
func (r *retrySchedule) schedule(now time.Time, perSecond float64, backlog time.Duration) time.Duration {
	r.expire(now)
	at := now.Add(max(backlog, minRetryAfter))
	if r.nextSlot.After(at) {
		at = r.nextSlot
	}
	if at.Sub(now) > promiseHorizon {
		return at.Sub(now) // estimate without a promise
	}
	r.nextSlot = at.Add(time.Duration(float64(time.Second) / perSecond))
	if len(r.promises) < maxPromises {
		r.promises = append(r.promises, at)
	}
	return at.Sub(now)
}

// claim takes the oldest promise for a retry. It returns false if none is due before last.
// The retry may arrive before the promised time.
func (r *retrySchedule) claim(now, last time.Time) (time.Time, bool) {
	r.expire(now)
	if len(r.promises) == 0 || r.promises[0].After(last) {
		return time.Time{}, false
	}
	at := r.promises[0]
	r.promises = slices.Delete(r.promises, 0, 1)
	return at, true
}

// countBefore returns the number of promises due before a time.
func (r *retrySchedule) countBefore(by time.Time) int {
	n, _ := slices.BinarySearchFunc(r.promises, by, time.Time.Compare)
	return n
}

// expire removes promises that were not claimed.
func (r *retrySchedule) expire(now time.Time) {
	n, _ := slices.BinarySearchFunc(r.promises, now.Add(-promiseTTL), time.Time.Compare)
	r.promises = slices.Delete(r.promises, 0, n)
}
