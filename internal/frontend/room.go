package frontend

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/overload"
	"github.com/dykewing/dykewing/waitorder"
	"github.com/dykewing/dykewing/worker"
)

const (
	// minCapacityBackoff is about the time in which one of a few full workers gets a
	// free slot. It doubles up to maxCapacityBackoff.
	minCapacityBackoff = 20 * time.Millisecond
	maxCapacityBackoff = 160 * time.Millisecond
	// sendsPerBackoff limits the attempts after each pause, to avoid loading full
	// workers with requests that they reject.
	sendsPerBackoff = 2
	// exhaustedTTL is how long late requests are refused after a request has waited for
	// maxCapacityWait without success.
	exhaustedTTL = time.Second
	// maxCapacityWait is the time since its arrival after which a request is refused.
	// The shortage is not transient then.
	maxCapacityWait = 2 * time.Second
)

// capacityTracker estimates the free capacity of services whose workers have no leader
// that reserves slots, or none that answers, from this frontend's own requests and the
// load that workers report. The zero value is ready to use. It is safe for concurrent
// use.
type capacityTracker struct {
	mutex    sync.Mutex // guards the fields below
	services map[string]*serviceCapacity
}

// serviceCapacity is the estimate for one service.
type serviceCapacity struct {
	estimator overload.Controller
	inFlight  int // requests of this frontend at workers
	waiting   int // requests of this frontend that wait for capacity
	slots     int // of all workers, at the last call of decide
	// Until exhaustedUntil late requests are refused without a wait.
	exhaustedUntil time.Time
}

// service returns the estimate for a service, creating it if necessary. The caller
// holds the mutex.
func (c *capacityTracker) service(service string) *serviceCapacity {
	if c.services == nil {
		c.services = map[string]*serviceCapacity{}
	}
	s := c.services[service]
	if s == nil {
		s = &serviceCapacity{}
		c.services[service] = s
	}
	return s
}

// requestSent notes that a request is sent to a worker.
func (c *capacityTracker) requestSent(now time.Time, service string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.service(service)
	s.inFlight++
	s.estimator.Observe(now, s.slots, s.inFlight, 0)
}

// requestEnded notes that a request has left its worker, and whether it may have run
// there.
func (c *capacityTracker) requestEnded(now time.Time, service string, ran bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.service(service)
	s.inFlight--
	n := 0
	if ran {
		n = 1
	}
	s.estimator.Observe(now, s.slots, s.inFlight, n)
}

// decide decides whether a request that workers have rejected waits or is refused. The
// requests ahead of it are those beyond the slots of the workers and those that wait in
// this frontend.
func (c *capacityTracker) decide(now time.Time, service string, workers []worker.Occupancy, entry waitorder.Request) overload.Decision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.service(service)
	s.slots = 0
	ahead := s.waiting
	for _, w := range workers {
		s.slots += w.Slots
		ahead += max(w.InFlight+w.OtherInFlight-w.Slots, 0)
	}
	s.estimator.Observe(now, s.slots, s.inFlight, 0)
	use := overload.Request{Rank: entry.Rank, TimeToTarget: entry.Target.Sub(now), TimeToDeadline: entry.Deadline.Sub(now)}
	if use.TimeToTarget <= 0 && now.Before(s.exhaustedUntil) {
		use.TimeToDeadline = 0
	}
	return s.estimator.Decide(now, use, ahead)
}

// markExhausted notes that a request has waited for maxCapacityWait, or until its
// deadline, without success.
func (c *capacityTracker) markExhausted(now time.Time, service string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.service(service).exhaustedUntil = now.Add(exhaustedTTL)
}

// addWaiting changes the number of waiting requests.
func (c *capacityTracker) addWaiting(service string, by int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.service(service).waiting += by
}

// capacityWait is the backoff state of one request that workers have rejected.
type capacityWait struct {
	sendsLeft int // left before the next pause
	backoff   time.Duration
	counted   bool // included in serviceCapacity.waiting
}

// nextBackoff returns the next pause, with jitter so that requests rejected together
// are not retried together.
func (w *capacityWait) nextBackoff() time.Duration {
	w.backoff = min(max(2*w.backoff, minCapacityBackoff), maxCapacityBackoff)
	w.sendsLeft = sendsPerBackoff
	return w.backoff/2 + rand.N(w.backoff)
}

// awaitCapacity pauses before workers that rejected the request as full are tried
// again. It returns false if the request must be given up. A request that can't be
// served in time is refused without a pause.
func (x *exchange) awaitCapacity(ctx context.Context, wait *capacityWait, last attemptResult) bool {
	if len(x.rejectedBy) == 0 || last.status != attemptNotRun || !x.canRetry(last) {
		return false
	}
	capacity, entry := &x.frontend.capacity, x.queueEntry()
	x.stopWaiting(wait) // the request must not count as ahead of itself
	verdict := capacity.decide(time.Now(), x.service, x.frontend.pool.Occupancies(x.service), entry)
	if verdict.Reject {
		x.refusal = api.NewError("wait for room", "", api.CodeNoCapacity, api.OutcomeNotRun,
			"%d requests ahead, %.1f slots freed per second, %d retries promised a slot", verdict.Ahead, verdict.Rate, verdict.PromisedAhead)
		x.refusal.RetryAfter = verdict.RetryAfter
		return false
	}
	pause := wait.nextBackoff()
	if until := time.Now().Add(pause); until.After(entry.Deadline) || until.After(x.arrived.Add(maxCapacityWait)) {
		capacity.markExhausted(time.Now(), x.service)
		return false
	}
	wait.counted = true
	capacity.addWaiting(x.service, 1)
	x.logEntry("room_awaited", last.failure).WithField("pause_ms", pause.Milliseconds()).WithField("ahead", verdict.Ahead).WithField("rate", verdict.Rate).
		WithField("until_ms", verdict.ExpectedWait.Milliseconds()).Info("All tried workers are full; the request waits before the next attempt.")
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	x.tried = slices.DeleteFunc(x.tried, func(id string) bool { return slices.Contains(x.rejectedBy, id) })
	x.rejectedBy = nil
	return true
}

// stopWaiting removes the request from the number of waiting ones.
func (x *exchange) stopWaiting(wait *capacityWait) {
	if wait.counted {
		wait.counted = false
		x.frontend.capacity.addWaiting(x.service, -1)
	}
}
