package catalog

import "time"

const (
	// maxGrace is how long after an outage a removed entry stays in force: registrations that
	// expired meanwhile are renewed within two seconds.
	maxGrace = 2700 * time.Millisecond
	// deliveryMargin is the time from the choice of a worker until the request arrives there,
	// also from a process that is short of CPU time.
	deliveryMargin = 300 * time.Millisecond
	// maxRetention bounds how long a removed entry stays in force after this process saw the
	// removal: a worker that left must not receive new requests two seconds later.
	maxRetention = 1800 * time.Millisecond
	// minOutage is the duration of the shortest outage in which a registration can expire.
	minOutage = 300 * time.Millisecond
	// silenceMargin is added to the maximum time between two answers of a working watch. It
	// covers the batch delay of package relay, which is at most a second.
	silenceMargin = 1250 * time.Millisecond
)

// outageTracker detects outages of a service from the results of calls. The zero value has
// seen no call.
//
// An outage of the service may have removed the entries of live workers, but during a loss of
// only this process's connection workers may have left. Removed entries are retained in either
// case, but no longer than a process that can reach the service may take to learn of changes.
// That time runs from the start of the last failed call, since the connection may have been
// back from then on. Counted from the first answer, it would add to the time to detect the
// recovery.
type outageTracker struct {
	maxStaleness    time.Duration // within which a process learns of changes; 0: unknown
	lastAnswer      time.Time
	firstFailure    time.Time     // end of the first of consecutive failed calls; zero: none
	failedCallStart time.Time     // start of the last of these
	lastBlockedCall time.Time     // start of the last failed call before the last recovery
	lastDuration    time.Duration // time without an answer before the last recovery
}

// recordFailure records a call that started at began and has failed now.
func (o *outageTracker) recordFailure(began, now time.Time) {
	if o.firstFailure.IsZero() {
		o.firstFailure = now
	}
	o.failedCallStart = began
}

// recordAnswer records an answer and reports whether it ends an outage.
func (o *outageTracker) recordAnswer(now time.Time) bool {
	recovered := !o.firstFailure.IsZero() && now.Sub(o.firstFailure) >= minOutage
	if recovered {
		o.lastBlockedCall, o.lastDuration = o.failedCallStart, now.Sub(o.lastAnswer)
	}
	o.lastAnswer, o.firstFailure = now, time.Time{}
	return recovered
}

// retention returns how much longer removed entries stay in force; 0: not at all.
func (o *outageTracker) retention(now time.Time) time.Duration {
	if o.lastBlockedCall.IsZero() {
		return 0
	}
	left := o.lastBlockedCall.Add(o.grace()).Sub(now)
	return min(max(left, 0), maxRetention)
}

// grace returns how long after an outage removed entries are retained.
func (o *outageTracker) grace() time.Duration {
	if o.maxStaleness == 0 {
		return maxGrace
	}
	return min(maxGrace, max(o.maxStaleness-deliveryMargin, 0))
}
