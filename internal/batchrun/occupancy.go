package batchrun

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/occupancy"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/worker"
)

// maximumReportBytes of one frontend: an entry a worker.
const maximumReportBytes = 1 << 20

// serveOccupancy takes what a frontend holds and answers what all others hold at
// the workers that the leaders of this process fill.
func (s *Service) serveOccupancy(w http.ResponseWriter, r *http.Request) {
	var report occupancy.Report
	if failure := transport.ReadJSON(w, r, "read occupancy", maximumReportBytes, &report); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	leaders := s.led()
	if len(leaders) == 0 {
		transport.WriteError(w, api.NewError("take occupancy", "", api.CodeNotLeader, api.OutcomeNotRun, "no group is led here"))
		return
	}
	s.occupancy.Put(time.Now(), report)
	s.spread(leaders)
	for _, leader := range leaders {
		leader.wakeUp()
	}
	transport.WriteJSON(w, http.StatusOK, occupancy.Answer{Others: s.othersOf(leaders, report.Held)})
}

func (s *Service) led() []*Leader {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	leaders := make([]*Leader, 0, len(s.leaders))
	for leader := range s.leaders {
		leaders = append(leaders, leader)
	}
	return leaders
}

// spread lets choices of workers see what frontends hold at those that this process
// fills. Others are filled by other leaders, of whose items frontends do not tell.
func (s *Service) spread(leaders []*Leader) {
	now := time.Now()
	if !s.occupancy.Complete(now, s.nodes()) {
		return
	}
	sum := s.occupancy.Sum(now)
	held := map[string]worker.Others{}
	for _, name := range s.serviceNames() {
		for _, w := range s.pool.Workers(name) {
			if !filled(leaders, w.ID) {
				continue
			}
			held[w.ID] = worker.Others{Held: sum[w.ID] + s.hidden.of(w.ID)}
		}
	}
	s.pool.SetOthers(held)
}

// filled tells whether one of the leaders fills a worker.
func filled(leaders []*Leader, id string) bool {
	return slices.ContainsFunc(leaders, func(leader *Leader) bool { return leader.mine(id) })
}

// polled takes a worker's own word: all of it while not all frontends tell what
// they hold, else what is more than theirs and this process's.
func (s *Service) polled(w worker.Worker, report backend.Report) {
	now, load := time.Now(), report.Running+report.Waiting
	if s.places.known(now) {
		s.hidden.put(now, w.ID, load, s.pool.Held(w.ID)+s.places.online(w.ID))
		return
	}
	if !s.occupancy.Complete(now, s.nodes()) {
		s.pool.Report(w.ID, worker.Load{Running: load})
		s.giveWayByShares(w, report)
		return
	}
	s.hidden.put(now, w.ID, load, s.pool.Held(w.ID)+s.occupancy.Sum(now)[w.ID])
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
}

// hiddenAt is what is hidden at one worker.
type hiddenAt struct {
	held []heldAt // within reportLag, the latest last
	last int      // by the last word
	n    int      // by the last two
}

type heldAt struct {
	at time.Time
	n  int
}

// put takes a worker's word of its load, and what is held there now.
func (h *hidden) put(now time.Time, id string, load, held int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.workers == nil {
		h.workers = map[string]*hiddenAt{}
	}
	w := h.workers[id]
	if w == nil {
		w = &hiddenAt{}
		h.workers[id] = w
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
	w.n, w.last = min(more, w.last), more
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

// othersOf is what others than the one that holds own hold at the leaders' workers.
func (s *Service) othersOf(leaders []*Leader, own map[string]int) map[string]worker.Others {
	others := map[string]worker.Others{}
	yielding := make([]map[string]int, 0, len(leaders))
	for _, leader := range leaders {
		yielding = append(yielding, leader.yielding())
	}
	for _, name := range s.serviceNames() {
		for _, each := range s.pool.Occupancies(name) {
			for n, leader := range leaders {
				if leader.mine(each.ID) {
					others[each.ID] = worker.Others{Held: max(each.Others+each.Taken-own[each.ID], 0), Yielding: yielding[n][each.ID]}
				}
			}
		}
	}
	return others
}
