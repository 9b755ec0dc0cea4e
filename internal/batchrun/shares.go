package batchrun

import (
	"math"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/worker"
)

// Where frontends do not tell what they hold, a leader knows of online requests by
// workers' own word, which is late: it keeps fixed shares of their slots free.
const (
	// fillShare of a worker's slots may be taken when an item starts there, and
	// pressedShare when one starts that has to run now.
	fillShare    = 0.75
	pressedShare = 0.9
	// yieldShare of taken slots is that above which items give way.
	yieldShare = 0.85
	// pressedFactor of an item's usual time before its result is due, it has to run.
	pressedFactor = 2.0
)

// informed tells whether frontends tell what they hold.
func (l *Leader) informed(now time.Time) bool {
	return l.service.places.known(now) || l.service.occupancy.Complete(now, l.service.nodes())
}

// lookByShares notes the room at a service's workers; the mutex is held.
func (l *Leader) lookByShares(service string, into rooms) {
	for _, seen := range l.service.pool.Occupancies(service) {
		if !seen.Usable {
			continue
		}
		taken := seen.Others + seen.Taken
		into.high[seen.ID] = int(pressedShare*float64(seen.Slots)) - taken
		if l.mine(seen.ID) {
			into.own[seen.ID] = true
			into.free[seen.ID] = int(fillShare*float64(seen.Slots)) - taken
			into.left[service] += max(into.free[seen.ID], 0)
		}
	}
}

// standByShares marks the items that have to run now; the mutex is held.
func (l *Leader) standByShares(now time.Time, items []*item) {
	for _, i := range items {
		i.standing = fill.Usual
		if i.job.RunTarget > 0 && i.job.Due().Sub(now) < time.Duration(pressedFactor*float64(l.runTime)) {
			i.standing = fill.Pressed
		}
	}
}

// excess is how many items a worker has too many of by its own word: it is kept
// below full, so that requests that come until the next look find a slot.
func excess(w worker.Worker, report backend.Report) int {
	if w.Slots == 0 {
		return report.Waiting
	}
	return int(math.Ceil(float64(report.Running+report.Waiting) - yieldShare*float64(w.Slots)))
}

// giveWayByShares lets items at a worker give way by its own word; those that have
// to run now do not.
func (s *Service) giveWayByShares(w worker.Worker, report backend.Report) {
	count := excess(w, report)
	if count <= 0 {
		return
	}
	for _, leader := range s.led() {
		leader.mutex.Lock()
		leader.giveWayLocked(w.ID, count, false)
		leader.mutex.Unlock()
	}
}
