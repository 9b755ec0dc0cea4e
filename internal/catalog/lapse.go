package catalog

import "time"

const (
	// returnGrace is how long after the service's return an entry that went stays in
	// force: registrations that lapsed meanwhile are written again within it.
	returnGrace = 1800 * time.Millisecond
	// shortestOutage that can have let a registration lapse, where calls failed.
	shortestOutage = 300 * time.Millisecond
	// quietMargin is added to the longest that a sound watch says nothing.
	// It covers the pause of package relay after word of changes, which is a second
	// at most.
	quietMargin = 1250 * time.Millisecond
)

// outages tells by the answers of a service when it was away. The zero value has
// seen nothing.
type outages struct {
	freshness  time.Duration // within which a sound watch answers; 0: not known
	answeredAt time.Time
	failedAt   time.Time // zero while calls succeed
	regainedAt time.Time
	away       time.Duration // without an answer before regainedAt
}

// failed notes a call that failed; the first of some is kept.
func (o *outages) failed(now time.Time) {
	if o.failedAt.IsZero() {
		o.failedAt = now
	}
}

// answered notes an answer, and tells whether the service had been away until then.
func (o *outages) answered(now time.Time) bool {
	failing := !o.failedAt.IsZero() && now.Sub(o.failedAt) >= shortestOutage
	silent := o.freshness > 0 && !o.answeredAt.IsZero() && now.Sub(o.answeredAt) > o.freshness+quietMargin
	returned := failing || silent
	if returned {
		o.regainedAt, o.away = now, now.Sub(o.answeredAt)
	}
	o.answeredAt, o.failedAt = now, time.Time{}
	return returned
}

// keeps tells for how much longer entries that went stay in force; 0: not at all.
func (o *outages) keeps(now time.Time) time.Duration {
	if o.regainedAt.IsZero() {
		return 0
	}
	return max(o.regainedAt.Add(returnGrace).Sub(now), 0)
}
