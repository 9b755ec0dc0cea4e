package batchrun

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/worker"
)

func (s *Service) led() []*Leader {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	leaders := make([]*Leader, 0, len(s.leaders))
	for leader := range s.leaders {
		leaders = append(leaders, leader)
	}
	return leaders
}

// filled tells whether one of the leaders fills a worker.
func filled(leaders []*Leader, id string) bool {
	return slices.ContainsFunc(leaders, func(leader *Leader) bool { return leader.mine(id) })
}

// groupsOf are the groups whose workers some leaders fill; never nil.
func groupsOf(leaders []*Leader) []int {
	groups := make([]int, 0, len(leaders))
	for _, leader := range leaders {
		groups = append(groups, int(leader.group))
	}
	slices.Sort(groups)
	return groups
}

// polled takes a worker's own word: what is more than is known to be there is hidden. A
// word of a later start than the listed one is the first news of it; one of an earlier
// start says nothing.
func (s *Service) polled(w worker.Worker, report backend.Report) {
	told := worker.Incarnation{ID: w.ID, Born: report.Born}
	if told.Before(w.Incarnation()) {
		return
	}
	if told.Succeeds(w.Incarnation()) {
		w.Born = told.Born
		s.pool.Put(w)
		s.log.WithFields(logrus.Fields{"event": "worker_restarted", "worker": w.ID, "service": w.Service, "born": told.Born}).
			Info("A worker has started again under its id; what was believed of it is over.")
	}
	s.pool.TellPace(time.Now(), w.ID, report.Pace)
	s.hidden.put(time.Now(), w.Incarnation(), report.Running+report.Waiting, s.pool.Held(w.ID)+s.places.online(w.ID))
}

// reportLag is how old a worker's word of itself may be: what was held there within it,
// and has ended since, may still be in it.
const reportLag = time.Second

// hidden is what workers have beyond what their callers tell: requests of frontends
// that are cut off. A worker's word is compared with the most that was held there within
// reportLag, and only what two words in a row show counts. Compared with what is held now, items that had just given way counted as
// requests of others for two reports, and up to 59 of 120 slots stood empty at the
// beginning of a step of the load.
type hidden struct {
	mutex   sync.Mutex // guards all below
	workers map[string]*hiddenAt
	changed []string // ids of workers
}

// hiddenAt is what is hidden at one worker.
type hiddenAt struct {
	of   worker.Incarnation
	held []heldAt // within reportLag, the latest last
	last int      // by the last word
	n    int      // by the last two
}

type heldAt struct {
	at time.Time
	n  int
}

// put takes a worker's word of its load, and what is held there now.
func (h *hidden) put(now time.Time, of worker.Incarnation, load, held int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.workers == nil {
		h.workers = map[string]*hiddenAt{}
	}
	w := h.workers[of.ID]
	if w == nil || w.of != of {
		if w != nil && w.n > 0 {
			h.changed = append(h.changed, of.ID)
		}
		w = &hiddenAt{of: of}
		h.workers[of.ID] = w
	}
	w.held = append(w.held, heldAt{at: now, n: held})
	for now.Sub(w.held[0].at) > reportLag {
		w.held = w.held[1:]
	}
	most := 0
	for _, each := range w.held {
		most = max(most, each.n)
	}
	more := max(load-most, 0)
	before := w.n
	w.n, w.last = min(more, w.last), more
	if w.n != before {
		h.changed = append(h.changed, of.ID)
	}
}

// take gives the workers of which something else is hidden than when it was last called.
func (h *hidden) take() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	changed := h.changed
	h.changed = nil
	return changed
}

func (h *hidden) of(id string) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if w := h.workers[id]; w != nil {
		return w.n
	}
	return 0
}

// serviceNames lists the services whose workers run batch.
func (s *Service) serviceNames() []string {
	configuration := s.catalog.Configuration()
	if configuration == nil {
		return nil
	}
	return configuration.BatchServices()
}
