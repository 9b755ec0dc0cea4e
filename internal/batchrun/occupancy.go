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
		s.hidden.put(w.ID, load-s.pool.Held(w.ID)-s.places.online(w.ID))
		return
	}
	if !s.occupancy.Complete(now, s.nodes()) {
		s.pool.Report(w.ID, worker.Load{Running: load})
		s.giveWayByShares(w, report)
		return
	}
	s.hidden.put(w.ID, load-s.pool.Held(w.ID)-s.occupancy.Sum(now)[w.ID])
}

// hidden is what workers have beyond what their callers tell: requests of frontends
// that are cut off. A worker's word is late, so that only what two in a row show is
// taken.
type hidden struct {
	mutex sync.Mutex // guards all below
	last  map[string]int
	both  map[string]int
}

func (h *hidden) put(id string, n int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.last == nil {
		h.last, h.both = map[string]int{}, map[string]int{}
	}
	h.both[id] = max(min(n, h.last[id]), 0)
	h.last[id] = n
}

func (h *hidden) of(id string) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.both[id]
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
