package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// pageLines is how many lines of a file are looked through at once.
const pageLines = 64

// trackedJob is a job with waiting or granted items.
type trackedJob struct {
	job      Job
	streams  map[api.ServiceName]*stream
	granted  int         // grants that stand
	attempts map[int]int // of items that failed
}

// active jobs hand out items.
func (t *trackedJob) active() bool { return t.job.Status == JobInProgress }

// stream hands out one job's items for one service: a page at a time from the
// file, and before that those that came back.
type stream struct {
	tracked  *trackedJob
	service  api.ServiceName
	cursor   int           // next line to read, -1 after the last
	page     []waitingItem // read and not handed out
	returned []delayedItem // sorted by notBefore, then item
	waiting  int           // about how many items wait; 0 when none does
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

// putBack makes an item wait again, not before the given time.
func (s *stream) putBack(item int, notBefore time.Time) {
	delayed := delayedItem{item: item, notBefore: notBefore}
	at, _ := slices.BinarySearchFunc(s.returned, delayed, func(a, b delayedItem) int {
		return cmp.Or(a.notBefore.Compare(b.notBefore), cmp.Compare(a.item, b.item))
	})
	s.returned = slices.Insert(s.returned, at, delayed)
	s.waiting++
}

// ready tells whether pop may give an item now.
func (s *stream) ready(now time.Time) bool {
	return len(s.page) > 0 || s.cursor >= 0 || s.returnedReady(now)
}

func (s *stream) returnedReady(now time.Time) bool {
	return len(s.returned) > 0 && !s.returned[0].notBefore.After(now)
}

// pop takes the next item that has neither result nor start. taken tells of a
// grant that stands.
func (s *stream) pop(state *State, now time.Time, taken func(ItemRef) bool) (waitingItem, bool, error) {
	for s.ready(now) {
		candidate, err := s.next(state, now)
		if err != nil {
			return waitingItem{}, false, err
		}
		if candidate.item < 0 || taken(ItemRef{Job: s.tracked.job.ID(), Item: candidate.item}) {
			continue
		}
		item, found, err := state.untaken(s.tracked.job, candidate)
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

// next gives a candidate, with its line when it is of the page, or the item -1
// when another try is needed.
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
	s.page[0] = waitingItem{} // frees the line
	s.page = s.page[1:]
	return first, nil
}

// fill reads on until it finds items of the service or the file ends.
func (s *stream) fill(state *State) error {
	for len(s.page) == 0 && s.cursor >= 0 {
		items, next, err := state.waitingItems(s.tracked.job, s.cursor, pageLines)
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

// serviceQueue orders the streams of one service: tenants share by virtual time,
// which grows with each item handed out; of a tenant's jobs the one with the
// least slack goes first.
type serviceQueue struct {
	service      api.ServiceName
	tenants      map[api.TenantID]*tenantQueue
	virtual      float64   // of the tenant that was served last
	pace         float64   // items a second, smoothed
	ended        int       // items since paceSince
	paceSince    time.Time // zero at first
	unknownSince time.Time // zero while the table has the service
}

type tenantQueue struct {
	tenant  api.TenantID
	virtual float64
	streams []*stream
}

// add makes a stream wait. A tenant that had none waits no longer than others
// for what it did not ask for before.
func (q *serviceQueue) add(added *stream) {
	tenant := added.tracked.job.Tenant
	queue, ok := q.tenants[tenant]
	if !ok {
		queue = &tenantQueue{tenant: tenant, virtual: q.virtual}
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

// next chooses the stream to serve; nil when none is ready.
func (q *serviceQueue) next(now time.Time) (*tenantQueue, *stream) {
	var best *tenantQueue
	for _, queue := range q.tenants {
		if !queue.ready(now) {
			continue
		}
		if best == nil || queue.virtual < best.virtual || queue.virtual == best.virtual && queue.tenant < best.tenant {
			best = queue
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, best.leastSlack(now, q.pace)
}

// served counts items for the tenant's share. An idle tenant does not save up.
func (q *serviceQueue) served(queue *tenantQueue, items int) {
	queue.virtual = max(queue.virtual, q.virtual)
	q.virtual = queue.virtual
	queue.virtual += float64(items)
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

// slack is the time to the deadline without the time that the waiting items
// take at the service's pace.
func (s *stream) slack(now time.Time, pace float64) time.Duration {
	slack := s.tracked.job.Deadline.Sub(now)
	if pace > 0 {
		slack -= time.Duration(float64(s.waiting) / pace * float64(time.Second))
	}
	return slack
}

func (q *serviceQueue) waiting() int {
	total := 0
	for _, queue := range q.tenants {
		for _, stream := range queue.streams {
			total += stream.waiting
		}
	}
	return total
}

// paceInterval is the shortest time over which the pace is measured.
const paceInterval = time.Second

// measurePace smooths the items that ended a second.
func (q *serviceQueue) measurePace(now time.Time) {
	const weight = 0.3
	elapsed := now.Sub(q.paceSince)
	if !q.paceSince.IsZero() && elapsed < paceInterval {
		return
	}
	if !q.paceSince.IsZero() {
		q.pace += weight * (float64(q.ended)/elapsed.Seconds() - q.pace)
	}
	q.ended, q.paceSince = 0, now
}
