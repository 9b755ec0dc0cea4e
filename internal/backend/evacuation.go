package backend

import (
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/worker"
)

// evacuations is a catalog.View of the evacuated zones, whose workers get no new
// requests. A zone is evacuated while a key with its name exists under prefix.
type evacuations struct {
	prefix string
	pool   *Pool
	log    *logrus.Entry

	mutex sync.Mutex // guards zones
	zones map[string]bool
}

// EvacuationView returns a view that excludes the workers of the zones named by the keys
// under prefix. Requests that already run there are not affected.
func (p *Pool) EvacuationView(prefix string, log *logrus.Entry) catalog.View {
	return &evacuations{prefix: prefix, pool: p, log: log, zones: map[string]bool{}}
}

// Reset replaces the set of evacuated zones.
func (e *evacuations) Reset(result kv.RangeResult) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	zones := map[string]bool{}
	for _, pair := range result.Pairs {
		zones[strings.TrimPrefix(pair.Key, e.prefix)] = true
	}
	for zone := range e.zones {
		if !zones[zone] {
			e.setZone(zone, false)
		}
	}
	for zone := range zones {
		e.setZone(zone, true)
	}
}

// Apply applies created and deleted keys.
func (e *evacuations) Apply(batch kv.Batch) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, event := range batch.Events {
		e.setZone(strings.TrimPrefix(event.Pair.Key, e.prefix), !event.Deleted)
	}
}

// set updates one zone. The caller holds the mutex.
func (e *evacuations) setZone(zone string, evacuated bool) {
	if e.zones[zone] == evacuated {
		return
	}
	if evacuated {
		e.zones[zone] = true
	} else {
		delete(e.zones, zone)
	}
	e.log.WithFields(logrus.Fields{"event": "zone_evacuated", "zone": zone, "evacuated": evacuated}).Info("Zone evacuation changed.")
	e.pool.setEvacuated(zone, evacuated)
}

// setEvacuated excludes or readmits a zone's workers.
func (p *Pool) setEvacuated(zone string, evacuated bool) {
	p.withLock(func(pool *worker.Pool) { pool.SetEvacuated(zone, evacuated) })
	if p.changed != nil {
		p.changed()
	}
}
