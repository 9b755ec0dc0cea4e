package backend

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

// Pool is a worker.Pool that is safe for concurrent use.
type Pool struct {
	mutex   sync.Mutex // guards pool and random
	pool    *worker.Pool
	random  *rand.Rand
	changed func()

	generation atomic.Uint64

	versions map[string]versionPeriod // by service; guarded by mutex
}

// versionPeriod is a period in which all workers of a service had one software version. The zero value
// means that they have several.
type versionPeriod struct {
	version string
	since   time.Time
}

// NewPool returns an empty pool. changed may be nil; it is called without the lock held
// after a change of the worker list, the configuration or the evacuated zones.
func NewPool(settings worker.Settings, changed func()) *Pool {
	return &Pool{pool: worker.NewPool(settings), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), changed: changed, versions: map[string]versionPeriod{}}
}

// Assignment is a request's assignment to a worker, from Take until End. It is not safe for
// concurrent use.
type Assignment struct {
	worker.Choice
	pool           *Pool
	uncachedTokens int
	started        bool
	ended          bool
	onEnd          func()
}

// OnEnd sets a function that End calls once, without the pool's lock held.
func (t *Assignment) OnEnd(call func()) { t.onEnd = call }

// Assign chooses a worker and counts the request there. It returns false if no worker
// fits the query.
func (p *Pool) Assign(query worker.Query) (*Assignment, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	choice, ok := p.pool.Choose(time.Now(), query, p.random)
	if !ok {
		return nil, false
	}
	p.pool.Begin(choice.Worker.ID, choice.UncachedTokens)
	p.pool.RecordSent(choice.Worker.ID, query.Parts)
	return &Assignment{Choice: choice, pool: p, uncachedTokens: choice.UncachedTokens}, true
}

// RecordPromptRead records that the worker has processed the prompt. Later calls have no effect.
func (t *Assignment) RecordPromptRead() {
	if t.started {
		return
	}
	t.started = true
	t.updateWorker(func(pool *worker.Pool) { pool.RecordPromptRead(t.Worker.ID, t.uncachedTokens) })
}

// End records that the request has left the worker. Later calls have no effect.
func (t *Assignment) End() {
	if t.ended {
		return
	}
	t.ended = true
	t.RecordPromptRead()
	t.updateWorker(func(pool *worker.Pool) {
		pool.End(t.Worker.ID)
		pool.RecordUsed(time.Now(), t.Worker.ID)
	})
	if t.onEnd != nil {
		t.onEnd()
	}
}

// RecordLoad records a load that the worker reported.
func (t *Assignment) RecordLoad(load worker.Load) {
	t.updateWorker(func(pool *worker.Pool) { pool.RecordLoad(time.Now(), t.Worker.ID, load) })
}

// do applies change unless the worker has restarted since the ticket was taken, since
// the ticket then belongs to the previous incarnation.
func (t *Assignment) updateWorker(change func(*worker.Pool)) {
	t.pool.withLock(func(pool *worker.Pool) {
		if current, ok := pool.CurrentIncarnation(t.Worker.ID); ok && current != t.Worker.Incarnation() {
			return
		}
		change(pool)
	})
}

// RecordRefused records that no connection could be made.
func (t *Assignment) RecordRefused() {
	t.updateWorker(func(pool *worker.Pool) { pool.RecordRefused(time.Now(), t.Worker.ID) })
}

// RecordInterrupted records that the worker's response was interrupted.
func (t *Assignment) RecordInterrupted() {
	t.updateWorker(func(pool *worker.Pool) { pool.RecordInterrupted(time.Now(), t.Worker.ID) })
}

// RecordFull records that the worker rejected the request for lack of capacity.
func (t *Assignment) RecordFull() {
	t.updateWorker(func(pool *worker.Pool) { pool.RecordFull(time.Now(), t.Worker.ID) })
}

// RecordMoved removes the worker, whose address now belongs to another one.
func (t *Assignment) RecordMoved() {
	t.updateWorker(func(pool *worker.Pool) { pool.Remove(t.Worker.ID) })
}

// Put adds or updates a worker before the worker list does.
func (p *Pool) Put(w worker.Worker) {
	p.withLock(func(pool *worker.Pool) { pool.Put(w) })
	p.generation.Add(1)
}

// CurrentIncarnation returns the incarnation of a listed worker.
func (p *Pool) CurrentIncarnation(id string) (current worker.Incarnation, ok bool) {
	p.withLock(func(pool *worker.Pool) { current, ok = pool.CurrentIncarnation(id) })
	return current, ok
}

// RecordPace records a pace that a worker reported to another process at the given time.
func (p *Pool) RecordPace(at time.Time, id string, pace float64) {
	p.withLock(func(pool *worker.Pool) { pool.RecordPace(at, id, pace) })
}

// SetStablePaces sets the stable paces, by worker ID, that another process computed.
func (p *Pool) SetStablePaces(slow map[string]float64) {
	now := time.Now()
	p.withLock(func(pool *worker.Pool) {
		for id, pace := range slow {
			pool.SetStablePace(now, id, pace)
		}
	})
}

// PaceKnown reports whether the pace of any of a service's workers is known.
func (p *Pool) PaceKnown(service string) (paced bool) {
	p.withLock(func(pool *worker.Pool) { paced = pool.PaceKnown(time.Now(), service) })
	return paced
}

// PaceOf returns the estimated pace of a worker and whether one is known.
func (p *Pool) PaceOf(id string) (pace worker.Pace, known bool) {
	p.withLock(func(pool *worker.Pool) { pace, known = pool.PaceOf(time.Now(), id) })
	return pace, known
}

// RecordEventInterval records the mean time between two events of a worker's stream.
func (p *Pool) RecordEventInterval(id string, step time.Duration) {
	p.withLock(func(pool *worker.Pool) { pool.RecordEventInterval(time.Now(), id, step) })
}

// Slowness returns the factor by which a worker is slower than expected; 1 unless it is
// far slower.
func (p *Pool) Slowness(id string) (slowness float64) {
	p.withLock(func(pool *worker.Pool) { slowness = pool.Slowness(time.Now(), id) })
	return slowness
}

// RecordOutcomes records how requests ended at a worker. It returns true if that ejects
// or readmits the worker.
func (p *Pool) RecordOutcomes(id string, outcomes worker.Outcomes) (judgement worker.EjectionChange, changed bool) {
	p.withLock(func(pool *worker.Pool) { judgement, changed = pool.RecordOutcomes(time.Now(), id, outcomes) })
	return judgement, changed
}

// Accepts reports whether a worker is listed and not draining.
func (p *Pool) Accepts(id string) (accepts bool) {
	p.withLock(func(pool *worker.Pool) { accepts = pool.Accepts(id) })
	return accepts
}

// Workers lists a service's workers, limited to the given groups if there are any.
func (p *Pool) Workers(service string, groups ...int) (list []worker.Worker) {
	p.withLock(func(pool *worker.Pool) { list = pool.Workers(service, groups...) })
	return list
}

// SetExactOtherLoads sets the exact number of requests that all other processes have at workers,
// by worker ID.
func (p *Pool) SetExactOtherLoads(held map[string]int) {
	now := time.Now()
	p.withLock(func(pool *worker.Pool) {
		for id, n := range held {
			pool.SetExactOtherLoad(now, id, n)
		}
	})
}

// ClearExactOtherLoads drops the counts of SetExactOtherLoads, so that other processes' load is estimated
// again.
func (p *Pool) ClearExactOtherLoads() {
	p.withLock(func(pool *worker.Pool) { pool.ClearExactOtherLoads() })
}

// EachOccupancy calls visit with the estimated occupancy of each of a service's workers;
// nil groups means all. visit runs with the lock held and must not use the pool.
func (p *Pool) EachOccupancy(service string, groups []int, visit func(worker.Occupancy)) {
	p.withLock(func(pool *worker.Pool) { pool.EachOccupancy(time.Now(), service, groups, visit) })
}

// Occupancies lists the estimated occupancy of a service's workers, limited to the given
// groups if there are any.
func (p *Pool) Occupancies(service string, groups ...int) (list []worker.Occupancy) {
	p.withLock(func(pool *worker.Pool) { list = pool.Occupancies(time.Now(), service, groups...) })
	return list
}

// OccupancyOf returns the estimated occupancy of a worker and whether it is listed.
func (p *Pool) OccupancyOf(id string) (occupancy worker.Occupancy, listed bool) {
	p.withLock(func(pool *worker.Pool) { occupancy, listed = pool.OccupancyOf(time.Now(), id) })
	return occupancy, listed
}

// Generation returns a number that grows with each change of the worker list.
func (p *Pool) Generation() uint64 { return p.generation.Load() }

// SetGroups assigns each worker to the group that groupOf returns.
func (p *Pool) SetGroups(groupOf func(id string) int) {
	p.withLock(func(pool *worker.Pool) { pool.SetGroups(groupOf) })
}

// RecordSent records that a worker will have the parts of a prompt in its cache.
func (p *Pool) RecordSent(id string, parts []worker.Part) {
	p.withLock(func(pool *worker.Pool) { pool.RecordSent(id, parts) })
}

// Choose chooses a worker without counting a request there.
func (p *Pool) Choose(query worker.Query) (choice worker.Choice, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.Choose(time.Now(), query, p.random)
}

// InFlight returns the number of this process's requests in flight at a worker.
func (p *Pool) InFlight(id string) (n int) {
	p.withLock(func(pool *worker.Pool) { n = pool.InFlight(id) })
	return n
}

func (p *Pool) withLock(change func(*worker.Pool)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(p.pool)
}

// WorkersChanged applies changes of the worker list.
func (p *Pool) WorkersChanged(changes []catalog.Change) {
	p.withLock(func(pool *worker.Pool) {
		for _, change := range changes {
			if change.Removed {
				pool.Remove(change.ID)
			} else {
				pool.Put(change.Worker)
			}
		}
		p.trackVersions(pool, changes)
	})
	p.generation.Add(1)
	if p.changed != nil {
		p.changed()
	}
}

// trackVersions begins or ends the periods in which the workers of a service have one software
// version. The caller holds the mutex.
func (p *Pool) trackVersions(pool *worker.Pool, changes []catalog.Change) {
	services := map[string]bool{}
	for _, change := range changes {
		services[change.Worker.Service] = true
	}
	for service := range p.versions { // a removal does not name the service
		services[service] = true
	}
	for service := range services {
		versions := pool.Versions(service)
		switch {
		case len(versions) == 0:
			delete(p.versions, service)
		case len(versions) > 1:
			p.versions[service] = versionPeriod{}
		case p.versions[service].version != versions[0] || p.versions[service].since.IsZero() || namesOtherVersion(changes, service, versions[0]):
			p.versions[service] = versionPeriod{version: versions[0], since: time.Now()}
		}
	}
}

// namesOtherVersion reports whether a worker of a service with another version was listed within the changes,
// which may also have removed it again.
func namesOtherVersion(changes []catalog.Change, service, version string) bool {
	return slices.ContainsFunc(changes, func(change catalog.Change) bool {
		return !change.Removed && change.Worker.Service == service && change.Worker.Version != version
	})
}

// SoleVersion returns the software version of a service's workers if this process has listed no
// other one for at least the given time.
func (p *Pool) SoleVersion(service string, atLeast time.Duration) (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, ok := p.versions[service]
	if !ok || known.since.IsZero() || time.Since(known.since) < atLeast || !slices.Equal(p.pool.Versions(service), []string{known.version}) {
		return "", false
	}
	return known.version, true
}

// VersionOf returns the software version of a listed worker.
func (p *Pool) VersionOf(id string) (version string, ok bool) {
	p.withLock(func(pool *worker.Pool) { version, ok = pool.VersionOf(id) })
	return version, ok
}

// ServesVersion reports whether a worker of a service with a software version accepts requests,
// limited to the given groups if there are any.
func (p *Pool) ServesVersion(service, version string, groups ...int) (serves bool) {
	p.withLock(func(pool *worker.Pool) { serves = pool.ServesVersion(service, version, groups...) })
	return serves
}

// ConfigurationChanged sets the cache capacity of each service's engines.
func (p *Pool) ConfigurationChanged(configuration *route.Configuration) {
	p.withLock(func(pool *worker.Pool) {
		for _, service := range configuration.Services {
			pool.SetCapacity(service.Name, service.CacheTokens)
		}
	})
	if p.changed != nil {
		p.changed()
	}
}
