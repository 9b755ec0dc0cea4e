package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// linesPerPage is the number of lines read from a file at a time.
const linesPerPage = 64

// trackedJob is a job with waiting or granted items.
type trackedJob struct {
	job          Job
	streams      map[api.ServiceName]*stream
	activeGrants int
	attempts     map[int]int // failed attempts by item
}

// active reports whether items of the job may be granted.
func (t *trackedJob) active() bool { return t.job.Status == JobInProgress }

// stream yields one job's waiting items for one service: returned items whose delay has
// passed first, then those of the file, read a page at a time.
type stream struct {
	tracked  *trackedJob
	service  api.ServiceName
	cursor   int           // next line to read, -1 after the last
	page     []waitingItem // read, not granted yet
	returned []delayedItem // sorted by notBefore, then item
	waiting  int           // approximate number of waiting items; 0 if there are none
}

type delayedItem struct {
	item      int
	notBefore time.Time
}

func newStream(tracked *trackedJob, service api.ServiceName) *stream {
	job := tracked.job
	waiting := min(job.Services[service], job.Total-job.settled()-job.Started)
	return &stream{tracked: tracked, service: service, waiting: waiting}
}

// requeue makes a returned item wait again until the given time.
func (s *stream) requeue(item int, notBefore time.Time) {
	delayed := delayedItem{item: item, notBefore: notBefore}
	at, _ := slices.BinarySearchFunc(s.returned, delayed, func(a, b delayedItem) int {
		return cmp.Or(a.notBefore.Compare(b.notBefore), cmp.Compare(a.item, b.item))
	})
	s.returned = slices.Insert(s.returned, at, delayed)
	s.waiting++
}

// ready reports whether pop may return an item now.
func (s *stream) ready(now time.Time) bool {
	return len(s.page) > 0 || s.cursor >= 0 || s.returnedReady(now)
}

func (s *stream) returnedReady(now time.Time) bool {
	return len(s.returned) > 0 && !s.returned[0].notBefore.After(now)
}

// pop returns the next item with neither a result, a start nor, according to granted,
// an active grant.
func (s *stream) pop(state *State, now time.Time, granted func(ItemRef) bool) (waitingItem, bool, error) {
	for s.ready(now) {
		candidate, err := s.next(state, now)
		if err != nil {
			return waitingItem{}, false, err
		}
		if candidate.item < 0 || granted(ItemRef{Job: s.tracked.job.ID(), Item: candidate.item}) {
			continue
		}
		item, found, err := state.findWaiting(s.tracked.job, candidate)
		if err != nil {
			return waitingItem{}, false, err
		}
		if found {
			s.waiting = max(s.waiting-1, 0)
			return item, true, nil
		}
	}
	if len(s.returned) == 0 {
		s.waiting = 0
	}
	return waitingItem{}, false, nil
}

// next returns a candidate, with its line if it was read from the file. An item of -1
// means that the caller must try again.
func (s *stream) next(state *State, now time.Time) (waitingItem, error) {
	if s.returnedReady(now) {
		number := s.returned[0].item
		s.returned = s.returned[1:]
		return waitingItem{item: number}, nil
	}
	if len(s.page) == 0 {
		return waitingItem{item: -1}, s.fill(state)
	}
	first := s.page[0]
	s.page[0] = waitingItem{} // release the line
	s.page = s.page[1:]
	return first, nil
}

// fill reads the next page with items of the service, if the file has one.
func (s *stream) fill(state *State) error {
	for len(s.page) == 0 && s.cursor >= 0 {
		items, next, err := state.waitingItems(s.tracked.job, s.cursor, linesPerPage)
		if err != nil {
			return err
		}
		s.cursor = next
		for _, item := range items {
			if item.service == s.service {
				s.page = append(s.page, item)
			}
		}
	}
	return nil
}

// serviceQueue orders the streams of one service. Tenants share by fair queuing: a
// tenant's virtual time grows with each granted item, and the lowest is served first.
// Of a tenant's jobs the one with the least slack is served first.
type serviceQueue struct {
	service      api.ServiceName
	tenants      map[api.TenantID]*tenantQueue
	virtualTime  float64   // of the tenant served last
	rate         float64   // moving average of completed items per second
	completed    int       // items since rateSince
	rateSince    time.Time // zero before the first measurement
	unknownSince time.Time // zero while the service is in the table
}

type tenantQueue struct {
	tenant      api.TenantID
	virtualTime float64
	streams     []*stream
}

// add adds a stream. A new tenant starts at the current virtual time, without credit
// for the time before.
func (q *serviceQueue) add(added *stream) {
	tenant := added.tracked.job.Tenant
	queue, ok := q.tenants[tenant]
	if !ok {
		queue = &tenantQueue{tenant: tenant, virtualTime: q.virtualTime}
		q.tenants[tenant] = queue
	}
	queue.streams = append(queue.streams, added)
}

func (q *serviceQueue) remove(removed *stream) {
	tenant := removed.tracked.job.Tenant
	queue, ok := q.tenants[tenant]
	if !ok {
		return
	}
	queue.streams = slices.DeleteFunc(queue.streams, func(s *stream) bool { return s == removed })
	if len(queue.streams) == 0 {
		delete(q.tenants, tenant)
	}
}

// next returns the stream to serve; nil if none is ready.
func (q *serviceQueue) next(now time.Time) (*tenantQueue, *stream) {
	var best *tenantQueue
	for _, queue := range q.tenants {
		if !queue.ready(now) {
			continue
		}
		if best == nil || queue.virtualTime < best.virtualTime || queue.virtualTime == best.virtualTime && queue.tenant < best.tenant {
			best = queue
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, best.leastSlack(now, q.rate)
}

// charge advances the virtual time of a tenant by the granted items. An idle tenant
// accumulates no credit.
func (q *serviceQueue) charge(queue *tenantQueue, items int) {
	queue.virtualTime = max(queue.virtualTime, q.virtualTime)
	q.virtualTime = queue.virtualTime
	queue.virtualTime += float64(items)
}

func (q *tenantQueue) ready(now time.Time) bool {
	return slices.ContainsFunc(q.streams, func(s *stream) bool { return s.ready(now) })
}

func (q *tenantQueue) leastSlack(now time.Time, pace float64) *stream {
	var best *stream
	var bestSlack time.Duration
	for _, candidate := range q.streams {
		if !candidate.ready(now) {
			continue
		}
		slack := candidate.slack(now, pace)
		if best == nil || slack < bestSlack || slack == bestSlack && candidate.tracked.job.ID() < best.tracked.job.ID() {
			best, bestSlack = candidate, slack
		}
	}
	return best
}

// slack is the time left until the deadline once the waiting items have been processed
// at the given rate of items per second.
func (s *stream) slack(now time.Time, pace float64) time.Duration {
	slack := s.tracked.job.Deadline.Sub(now)
	if pace > 0 {
		slack -= time.Duration(float64(s.waiting) / pace * float64(time.Second))
	}
	return slack
}

func (q *serviceQueue) waitingItems() int {
	total := 0
	for _, queue := range q.tenants {
		for _, stream := range queue.streams {
			total += stream.waiting
		}
	}
	return total
}

// minRateInterval is the minimum time over which the rate is measured.
const minRateInterval = time.Second

// updateRate updates the moving average of completed items per second.
func (q *serviceQueue) updateRate(now time.Time) {
	const weight = 0.3
	elapsed := now.Sub(q.rateSince)
	if !q.rateSince.IsZero() && elapsed < minRateInterval {
		return
	}
	if !q.rateSince.IsZero() {
		q.rate += weight * (float64(q.completed)/elapsed.Seconds() - q.rate)
	}
	q.completed, q.rateSince = 0, now
}
