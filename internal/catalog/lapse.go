package catalog

import "time"

const (
	// returnGrace is how long after the service's return an entry that went stays in
	// force: registrations that lapsed meanwhile are written again within two seconds.
	returnGrace = 2700 * time.Millisecond
	// reachMargin is what a request takes from the choice of its worker until it is
	// there, also from a process that is short of processor time.
	reachMargin = 300 * time.Millisecond
	// mostKept is how long an entry stays in force after its process saw it go: a worker
	// that left is to get nothing new two seconds later.
	mostKept = 1800 * time.Millisecond
	// shortestOutage that can have let a registration lapse.
	shortestOutage = 300 * time.Millisecond
	// quietMargin is added to the longest that a sound watch says nothing.
	// It covers the pause of package relay after word of changes, which is a second
	// at most.
	quietMargin = 1250 * time.Millisecond
)

// outages tells by the answers of a service when it was away. The zero value has
// seen nothing.
//
// An outage may have been the service's, and have removed entries whose workers live,
// or only of this process's way to it, while workers left. Entries are kept in either
// case, but no longer than a process that can reach the service has for learning its
// changes. That time runs from the last call that is known to have found no way, since
// the way may have been back from then on: from the first answer, it would come on top of
// the time to notice the return.
type outages struct {
	freshness  time.Duration // within which a process knows of changes; 0: not known
	answeredAt time.Time
	failedAt   time.Time     // when the first of the calls that fail had failed; zero while they succeed
	failing    time.Time     // begin of the last of these
	blockedAt  time.Time     // begin of the last call that failed before the last return
	away       time.Duration // without an answer before the last return
}

// failed notes that a call which began has failed now.
func (o *outages) failed(began, now time.Time) {
	if o.failedAt.IsZero() {
		o.failedAt = now
	}
	o.failing = began
}

// answered notes an answer, and tells whether the service had been away until then.
func (o *outages) answered(now time.Time) bool {
	returned := !o.failedAt.IsZero() && now.Sub(o.failedAt) >= shortestOutage
	if returned {
		o.blockedAt, o.away = o.failing, now.Sub(o.answeredAt)
	}
	o.answeredAt, o.failedAt = now, time.Time{}
	return returned
}

// keeps tells for how much longer entries that went stay in force; 0: not at all.
func (o *outages) keeps(now time.Time) time.Duration {
	if o.blockedAt.IsZero() {
		return 0
	}
	left := o.blockedAt.Add(o.grace()).Sub(now)
	return min(max(left, 0), mostKept)
}

// grace is for how long after the service's return entries that went are kept.
func (o *outages) grace() time.Duration {
	if o.freshness == 0 {
		return returnGrace
	}
	return min(returnGrace, max(o.freshness-reachMargin, 0))
}
