package batchrun

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/worker"
)

func (s *Service) currentLeaders() []*Leader {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	leaders := make([]*Leader, 0, len(s.leaders))
	for leader := range s.leaders {
		leaders = append(leaders, leader)
	}
	return leaders
}

// ownedByAny reports whether one of the leaders owns a worker.
func ownedByAny(leaders []*Leader, id string) bool {
	return slices.ContainsFunc(leaders, func(leader *Leader) bool { return leader.owns(id) })
}

// groupsOf returns the sorted groups of the leaders, never nil.
func groupsOf(leaders []*Leader) []int {
	groups := make([]int, 0, len(leaders))
	for _, leader := range leaders {
		groups = append(groups, int(leader.group))
	}
	slices.Sort(groups)
	return groups
}

// applyLoadReport processes a worker's own load report. A report of a later incarnation than the
// listed one replaces it; a report of an earlier one is ignored.
func (s *Service) applyLoadReport(w worker.Worker, report backend.Report) {
	reported := worker.Incarnation{ID: w.ID, StartedAt: report.StartedAt}
	if reported.Before(w.Incarnation()) {
		return
	}
	if reported.Supersedes(w.Incarnation()) {
		w.StartedAt = reported.StartedAt
		s.pool.Put(w)
		s.log.WithFields(logrus.Fields{"event": "worker_restarted", "worker": w.ID, "service": w.Service, "born": reported.StartedAt}).
			Info("Worker restarted under the same ID; its recorded state was discarded.")
	}
	s.pool.RecordPace(time.Now(), w.ID, report.Pace)
	s.unreported.observe(time.Now(), w.Incarnation(), report.Running+report.Waiting, s.pool.InFlight(w.ID)+s.slots.onlineAt(w.ID))
}

// reportLag bounds the staleness of a worker's load report: it may still count requests that ended
// within this time.
const reportLag = time.Second

// unreportedLoad tracks requests at workers that no frontend or leader reports, such as those of a
// partitioned frontend. A worker's load is compared with the maximum held there within reportLag,
// so that requests that have just ended do not count, and only what two successive reports show
// counts. Compared with what is held now, items that had just been preempted counted as other
// processes' requests, and up to 59 of 120 slots stood empty as the load rose. It is safe for concurrent use; the zero value is empty.
type unreportedLoad struct {
	mutex   sync.Mutex // guards the fields below
	workers map[string]*workerLoad
	changed []string // worker IDs
}

// workerLoad is the unreported load of one worker.
type workerLoad struct {
	incarnation worker.Incarnation
	held        []heldSample // samples within reportLag, oldest first
	lastExcess  int          // excess in the last report
	unreported  int          // excess in both of the last two reports
}

type heldSample struct {
	at time.Time
	n  int
}

// observe adds a worker's reported load and the number of requests known to be held there.
func (u *unreportedLoad) observe(now time.Time, incarnation worker.Incarnation, load, held int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.workers == nil {
		u.workers = map[string]*workerLoad{}
	}
	w := u.workers[incarnation.ID]
	if w == nil || w.incarnation != incarnation {
		if w != nil && w.unreported > 0 {
			u.changed = append(u.changed, incarnation.ID)
		}
		w = &workerLoad{incarnation: incarnation}
		u.workers[incarnation.ID] = w
	}
	w.held = append(w.held, heldSample{at: now, n: held})
	for now.Sub(w.held[0].at) > reportLag {
		w.held = w.held[1:]
	}
	maxHeld := 0
	for _, each := range w.held {
		maxHeld = max(maxHeld, each.n)
	}
	excess := max(load-maxHeld, 0)
	before := w.unreported
	w.unreported, w.lastExcess = min(excess, w.lastExcess), excess
	if w.unreported != before {
		u.changed = append(u.changed, incarnation.ID)
	}
}

// takeChanged returns the workers whose unreported load has changed since the last call.
func (u *unreportedLoad) takeChanged() []string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	changed := u.changed
	u.changed = nil
	return changed
}

func (u *unreportedLoad) at(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if w := u.workers[id]; w != nil {
		return w.unreported
	}
	return 0
}

// serviceNames returns the services whose workers run batch items.
func (s *Service) serviceNames() []string {
	configuration := s.catalog.Configuration()
	if configuration == nil {
		return nil
	}
	return configuration.BatchServices()
}
