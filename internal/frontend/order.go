package frontend

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/waitorder"
)

const (
	// startMargin is subtracted from the time to the first event, for the network and
	// for reading the prompt.
	startMargin = 100 * time.Millisecond
	// responseTimeFraction of a request's time limit is reserved for its response.
	responseTimeFraction = 0.4
	// minRetryWait is the elapsed time from which a request counts as a retry. Less may
	// be the time to connect.
	minRetryWait = 50 * time.Millisecond
	// minLoggedWait is the shortest wait for a slot that is logged.
	minLoggedWait = 10 * time.Millisecond
)

// queueEntry returns the priority and deadlines of the request for admission queues.
func (x *exchange) queueEntry() waitorder.Request {
	left := x.timeLimit()
	latestStart := x.arrived.Add(left - time.Duration(responseTimeFraction*float64(left)))
	entry := waitorder.Request{Rank: waitorder.Rank{Tenant: x.identity.tenant.Priority, Route: x.route.Priority}, Target: latestStart, Deadline: latestStart}
	if x.route.Target > 0 {
		entry.Target = x.arrived.Add(x.route.Target - x.waitedBefore() - startMargin)
	}
	return entry
}

// waitedBefore estimates how long the caller waited before this attempt: the longest
// timeout seen on the route minus the time left.
func (x *exchange) waitedBefore() time.Duration {
	if x.request.Remaining <= 0 {
		return 0
	}
	left := x.request.Remaining
	if x.route.Timeout > 0 { // ignore timeouts longer than the route allows
		left = min(left, x.route.Timeout)
	}
	return x.frontend.timeouts.observe(x.route.Name, left) - left
}

// isRetry tells whether the caller was probably turned away before. It is estimated
// from the time left, since each attempt has its own ID.
func (x *exchange) isRetry() bool { return x.waitedBefore() >= minRetryWait }

// recordSlotWait records and logs how long a request waited for a slot.
func (x *exchange) recordSlotWait(start time.Time, ok bool) {
	wait := time.Since(start)
	if wait < minLoggedWait {
		return
	}
	x.frontend.metrics.slotWait.Observe(wait.Seconds())
	x.logEntry("request_held", nil).WithFields(logrus.Fields{"held_ms": wait.Milliseconds(), "placed": ok}).Info("A request waited for a free slot.")
}

// timeoutTracker keeps the longest timeout that callers of each route have sent. It is
// safe for concurrent use.
type timeoutTracker struct {
	mutex   sync.Mutex
	longest map[string]time.Duration
}

func (t *timeoutTracker) observe(route string, left time.Duration) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.longest == nil {
		t.longest = map[string]time.Duration{}
	}
	t.longest[route] = max(t.longest[route], left)
	return t.longest[route]
}
