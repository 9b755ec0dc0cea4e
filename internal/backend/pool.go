package backend

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

// Pool is a worker.Pool that may be used from anywhere.
type Pool struct {
	mutex   sync.Mutex // guards all below
	pool    *worker.Pool
	random  *rand.Rand
	changed func()

	generation atomic.Uint64
}

// NewPool gives an empty pool; changed is called, without a lock, after each
// change of the list, and may be nil.
func NewPool(settings worker.Settings, changed func()) *Pool {
	return &Pool{pool: worker.NewPool(settings), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), changed: changed}
}

// Ticket is a request's place at a worker, from the choice until End.
type Ticket struct {
	worker.Choice
	pool    *Pool
	unread  int
	started bool
	ended   bool
	onEnd   func()
}

// OnEnd sets what is called, without a lock, when the request leaves the worker.
func (t *Ticket) OnEnd(call func()) { t.onEnd = call }

// Take chooses a worker and notes the request there.
func (p *Pool) Take(query worker.Query) (*Ticket, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	choice, ok := p.pool.Choose(time.Now(), query, p.random)
	if !ok {
		return nil, false
	}
	p.pool.Begin(choice.Worker.ID, choice.Unread)
	p.pool.Sent(choice.Worker.ID, query.Parts)
	return &Ticket{Choice: choice, pool: p, unread: choice.Unread}, true
}

// Started notes that the worker has read the prompt.
func (t *Ticket) Started() {
	if t.started {
		return
	}
	t.started = true
	t.do(func(pool *worker.Pool) { pool.Started(t.Worker.ID, t.unread) })
}

// End notes that the request has left the worker.
func (t *Ticket) End() {
	if t.ended {
		return
	}
	t.ended = true
	t.Started()
	t.do(func(pool *worker.Pool) {
		pool.End(t.Worker.ID)
		pool.Used(time.Now(), t.Worker.ID)
	})
	if t.onEnd != nil {
		t.onEnd()
	}
}

// Report takes a load that the worker told.
func (t *Ticket) Report(load worker.Load) {
	t.do(func(pool *worker.Pool) { pool.Report(time.Now(), t.Worker.ID, load) })
}

// do changes what is believed of the ticket's worker, unless the worker has started again
// since: what ends now is of the start before.
func (t *Ticket) do(change func(*worker.Pool)) {
	t.pool.do(func(pool *worker.Pool) {
		if current, ok := pool.Current(t.Worker.ID); ok && current != t.Worker.Incarnation() {
			return
		}
		change(pool)
	})
}

// Refused notes that no connection could be made.
func (t *Ticket) Refused() {
	t.do(func(pool *worker.Pool) { pool.Refused(time.Now(), t.Worker.ID) })
}

// Broke notes that the worker's answer broke off.
func (t *Ticket) Broke() {
	t.do(func(pool *worker.Pool) { pool.Broke(time.Now(), t.Worker.ID) })
}

// Full notes that the worker turned the request away.
func (t *Ticket) Full() {
	t.do(func(pool *worker.Pool) { pool.Full(time.Now(), t.Worker.ID) })
}

// Moved notes that another worker has the address.
func (t *Ticket) Moved() {
	t.do(func(pool *worker.Pool) { pool.Remove(t.Worker.ID) })
}

// Put takes what a worker says of itself before its list does.
func (p *Pool) Put(w worker.Worker) {
	p.do(func(pool *worker.Pool) { pool.Put(w) })
	p.generation.Add(1)
}

// Current gives the incarnation of a worker that is listed.
func (p *Pool) Current(id string) (current worker.Incarnation, ok bool) {
	p.do(func(pool *worker.Pool) { current, ok = pool.Current(id) })
	return current, ok
}

// TellPace takes a worker's word of its pace that another process heard at a moment.
func (p *Pool) TellPace(at time.Time, id string, pace float64) {
	p.do(func(pool *worker.Pool) { pool.TellPace(at, id, pace) })
}

// LearnPaces takes the stable parts of workers' paces that another process gathered.
func (p *Pool) LearnPaces(slow map[string]float64) {
	now := time.Now()
	p.do(func(pool *worker.Pool) {
		for id, pace := range slow {
			pool.LearnPace(now, id, pace)
		}
	})
}

// Paced tells whether something is known of the pace of one of a service's workers.
func (p *Pool) Paced(service string) (paced bool) {
	p.do(func(pool *worker.Pool) { paced = pool.Paced(time.Now(), service) })
	return paced
}

// PaceOf is what is believed of a worker's pace; false where nothing is known.
func (p *Pool) PaceOf(id string) (pace worker.Pace, known bool) {
	p.do(func(pool *worker.Pool) { pace, known = pool.PaceOf(time.Now(), id) })
	return pace, known
}

// ObserveStep takes the mean time between two events of a stream that a worker gave.
func (p *Pool) ObserveStep(id string, step time.Duration) {
	p.do(func(pool *worker.Pool) { pool.ObserveStep(time.Now(), id, step) })
}

// Slowness is how many times as long as expected work takes at a worker; 1 unless it is
// far beyond.
func (p *Pool) Slowness(id string) (slowness float64) {
	p.do(func(pool *worker.Pool) { slowness = pool.Slowness(time.Now(), id) })
	return slowness
}

// TakeOutcomes takes how requests ended at a worker. True with a change of what is
// believed of it.
func (p *Pool) TakeOutcomes(id string, outcomes worker.Outcomes) (judgement worker.Judgement, changed bool) {
	p.do(func(pool *worker.Pool) { judgement, changed = pool.TakeOutcomes(time.Now(), id, outcomes) })
	return judgement, changed
}

// Accepts tells whether a worker is listed and does not leave.
func (p *Pool) Accepts(id string) (accepts bool) {
	p.do(func(pool *worker.Pool) { accepts = pool.Accepts(id) })
	return accepts
}

// Workers lists a service's workers; of some groups only where any are named.
func (p *Pool) Workers(service string, groups ...int) (list []worker.Worker) {
	p.do(func(pool *worker.Pool) { list = pool.Workers(service, groups...) })
	return list
}

// SetHeld takes what all others hold at workers, by their own word.
func (p *Pool) SetHeld(held map[string]int) {
	now := time.Now()
	p.do(func(pool *worker.Pool) {
		for id, n := range held {
			pool.SetHeld(now, id, n)
		}
	})
}

// ForgetHeld makes what others hold a guess again.
func (p *Pool) ForgetHeld() { p.do(func(pool *worker.Pool) { pool.ForgetHeld() }) }

// EachOccupancy calls visit, which must not use the pool, with what is believed of a
// service's workers; nil groups are all.
func (p *Pool) EachOccupancy(service string, groups []int, visit func(worker.Occupancy)) {
	p.do(func(pool *worker.Pool) { pool.EachOccupancy(time.Now(), service, groups, visit) })
}

// Occupancies lists what is believed of a service's workers; of some groups only where any
// are named.
func (p *Pool) Occupancies(service string, groups ...int) (list []worker.Occupancy) {
	p.do(func(pool *worker.Pool) { list = pool.Occupancies(time.Now(), service, groups...) })
	return list
}

// OccupancyOf is what is believed of one worker; false where it is not listed.
func (p *Pool) OccupancyOf(id string) (occupancy worker.Occupancy, listed bool) {
	p.do(func(pool *worker.Pool) { occupancy, listed = pool.OccupancyOf(time.Now(), id) })
	return occupancy, listed
}

// Generation counts changes of the list of workers.
func (p *Pool) Generation() uint64 { return p.generation.Load() }

// SetGroups divides the workers into groups.
func (p *Pool) SetGroups(groupOf func(id string) int) {
	p.do(func(pool *worker.Pool) { pool.SetGroups(groupOf) })
}

// Read notes that a worker will have read the parts of a prompt.
func (p *Pool) Read(id string, parts []worker.Part) {
	p.do(func(pool *worker.Pool) { pool.Sent(id, parts) })
}

// Prefer chooses a worker and notes nothing.
func (p *Pool) Prefer(query worker.Query) (choice worker.Choice, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.Choose(time.Now(), query, p.random)
}

// Held is how many requests of this process a worker has.
func (p *Pool) Held(id string) (n int) {
	p.do(func(pool *worker.Pool) { n = pool.Held(id) })
	return n
}

func (p *Pool) do(change func(*worker.Pool)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(p.pool)
}

// WorkersChanged takes changes of the list.
func (p *Pool) WorkersChanged(changes []catalog.Change) {
	p.do(func(pool *worker.Pool) {
		for _, change := range changes {
			if change.Gone {
				pool.Remove(change.ID)
			} else {
				pool.Put(change.Worker)
			}
		}
	})
	p.generation.Add(1)
	if p.changed != nil {
		p.changed()
	}
}

// ConfigurationChanged takes what a configuration says of engines.
func (p *Pool) ConfigurationChanged(configuration *route.Configuration) {
	p.do(func(pool *worker.Pool) {
		for _, service := range configuration.Services {
			pool.SetCapacity(service.Name, service.CacheTokens)
		}
	})
	if p.changed != nil {
		p.changed()
	}
}
