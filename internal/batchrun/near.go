package batchrun

import (
	"sync"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/worker"
)

// zoneCacheTTL is how long the list of a zone's workers is cached. Until it expires, a new worker
// is not preferred.
const zoneCacheTTL = time.Second

// zoneWorkers caches which workers are in this process's zone. It is safe for concurrent use.
type zoneWorkers struct {
	zone string // empty if unknown: no worker is preferred

	mutex    sync.Mutex // guards services
	services map[string]cachedZone
}

type cachedZone struct {
	fetchedAt time.Time
	ids       map[string]bool
}

func newZoneWorkers(zone string) *zoneWorkers {
	return &zoneWorkers{zone: zone, services: map[string]cachedZone{}}
}

// ids returns the IDs of a service's workers in this zone. The caller must not modify the map.
func (z *zoneWorkers) ids(now time.Time, service string, workers func(service string) []worker.Worker) map[string]bool {
	if z.zone == "" {
		return nil
	}
	z.mutex.Lock()
	defer z.mutex.Unlock()
	known, ok := z.services[service]
	if ok && now.Sub(known.fetchedAt) < zoneCacheTTL {
		return known.ids
	}
	ids := map[string]bool{}
	for _, w := range workers(service) {
		if w.Zone == z.zone {
			ids[w.ID] = true
		}
	}
	z.services[service] = cachedZone{fetchedAt: now, ids: ids}
	return ids
}

// takeWorker reserves a worker for an item. It prefers this process's zone, so that prompts and
// output do not cross zones, except for items that must start now to meet their deadline: they get
// the best worker of any zone.
func (l *Leader) takeWorker(now time.Time, standing fill.Urgency, query worker.Query) (*backend.Assignment, bool) {
	query.Groups = []int{int(l.group)}
	local := l.service.zoneWorkers.ids(now, query.Service, func(service string) []worker.Worker { return l.service.pool.Workers(service) })
	if standing != fill.Urgent && len(local) > 0 {
		all := query.Filter
		query.Filter = func(id string) bool { return local[id] && all(id) }
		if ticket, ok := l.service.pool.Assign(query); ok {
			return ticket, true
		}
		query.Filter = all
	}
	return l.service.pool.Assign(query)
}
