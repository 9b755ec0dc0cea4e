package batchrun

import (
	"sync"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/worker"
)

// nearLife is how long the list of a zone's workers is used: zones don't change, and a
// worker that has come since is taken as any other until then.
const nearLife = time.Second

// nearby knows the workers of this process's zone.
type nearby struct {
	zone string // empty: not known, and none is near

	mutex    sync.Mutex // guards services
	services map[string]nearWorkers
}

type nearWorkers struct {
	at  time.Time
	ids map[string]bool
}

func newNearby(zone string) *nearby { return &nearby{zone: zone, services: map[string]nearWorkers{}} }

// of gives a service's workers of this zone; it must not be changed.
func (n *nearby) of(now time.Time, service string, workers func(service string) []worker.Worker) map[string]bool {
	if n.zone == "" {
		return nil
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	known, ok := n.services[service]
	if ok && now.Sub(known.at) < nearLife {
		return known.ids
	}
	ids := map[string]bool{}
	for _, w := range workers(service) {
		if w.Zone == n.zone {
			ids[w.ID] = true
		}
	}
	n.services[service] = nearWorkers{at: now, ids: ids}
	return ids
}

// take takes a worker for an item: of this process's zone while one has room, as its
// prompt and its text, which comes event by event, then cross no zones. An item that has
// to run now to be in time gets the best worker of all.
func (l *Leader) take(now time.Time, standing fill.Standing, query worker.Query) (*backend.Ticket, bool) {
	query.Groups = []int{int(l.group)}
	near := l.service.near.of(now, query.Service, func(service string) []worker.Worker { return l.service.pool.Workers(service) })
	if standing != fill.Pressed && len(near) > 0 {
		all := query.Only
		query.Only = func(id string) bool { return near[id] && all(id) }
		if ticket, ok := l.service.pool.Take(query); ok {
			return ticket, true
		}
		query.Only = all
	}
	return l.service.pool.Take(query)
}
