package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/worker"
)

const (
	// standingInterval is the time between two updates of the items' standings.
	standingInterval = 100 * time.Millisecond
	// roomTimeConstant is the time constant of the moving average of the slots available to batch.
	roomTimeConstant = 10 * time.Second
	planLogInterval  = time.Second
	// warmUp is how long a new leader waits for frontends' reports.
	warmUp = 500 * time.Millisecond
)

// plan is a leader's scheduling state. The leader's mutex guards it.
type plan struct {
	demand       map[string]*fill.Demand // by service
	room         map[string]float64      // moving average of slots available to batch, by service
	roomAt       map[string]time.Time
	need         map[string]int // items that must run concurrently to meet deadlines, by service
	standingsAt  time.Time
	loggedAt     map[string]time.Time     // last log line of the plan, by service
	loggedPeriod map[string]time.Duration // last logged, by service
}

func newPlan() *plan {
	return &plan{
		demand: map[string]*fill.Demand{}, room: map[string]float64{}, roomAt: map[string]time.Time{}, need: map[string]int{},
		loggedAt: map[string]time.Time{}, loggedPeriod: map[string]time.Duration{},
	}
}

// budget limits which items may start in one scheduling pass.
type budget struct {
	planned  map[string]bool           // services planned in this pass
	free     map[string]int            // free slots, by worker
	services map[string]*serviceBudget // per service
	probes   map[string]string         // service of each suspected worker that one item may probe
}

// serviceBudget is what remains of one service's budget.
type serviceBudget struct {
	usual, pressed int // slots for usual items, outside the reserve; for pressed items
	running        int
	start          fill.StartLimit
	heldBack       int // items held back before an expected rise in demand
}

func newBudget() budget {
	return budget{planned: map[string]bool{}, free: map[string]int{}, services: map[string]*serviceBudget{}, probes: map[string]string{}}
}

// allows reports whether an item that would run for left may start at a worker.
func (b budget) allows(id, service string, pressed bool, left time.Duration) bool {
	sb := b.services[service]
	if b.free[id] <= 0 || sb == nil {
		return false
	}
	if b.probes[id] == service {
		return true
	}
	if pressed {
		return sb.pressed > 0
	}
	return sb.usual > 0 && sb.start.Allows(sb.running, left)
}

// holdsBack reports whether an item that would run for left is held back, despite free slots,
// because of an expected rise in demand. It counts such items.
func (b budget) holdsBack(service string, pressed bool, left time.Duration) bool {
	sb := b.services[service]
	if sb == nil || pressed || sb.usual <= 0 || sb.start.Allows(sb.running, left) {
		return false
	}
	sb.heldBack++
	return true
}

// heldBack returns the number of items held back.
func (b budget) heldBack() (n int) {
	for _, sb := range b.services {
		n += sb.heldBack
	}
	return n
}

// use takes one slot of a worker.
func (b budget) use(id, service string) {
	b.free[id]--
	delete(b.probes, id)
	sb := b.services[service]
	sb.usual--
	sb.pressed--
	sb.running++
}

// planService updates the plan of a service from the current occupancy of its workers, preempts
// items where needed, and adds the remaining slots to the budget. The caller holds the mutex.
func (l *Leader) planService(now time.Time, service string, b budget) {
	if b.planned[service] {
		return
	}
	b.planned[service] = true
	if l.warmingUp(now) {
		return
	}
	var workers []fill.WorkerLoad
	var ids []string
	slots, online, running := 0, 0, 0
	l.service.pool.EachOccupancy(service, []int{int(l.group)}, func(occupancy worker.Occupancy) {
		if !occupancy.Usable {
			return
		}
		w := fill.WorkerLoad{Slots: occupancy.Slots, Online: occupancy.OtherInFlight, Batch: occupancy.InFlight}
		b.free[occupancy.ID] = w.Free()
		workers, ids = append(workers, w), append(ids, occupancy.ID)
		if l.suspects.needsProbe(now, occupancy.ID) {
			b.probes[occupancy.ID] = service
		}
		slots += w.Slots
		online += w.Online
		running += w.Batch
	})
	waiting := l.service.slots.waitingCount(service)
	demand := l.plan.demandFor(service)
	demand.Observe(now, online+waiting)
	reserve := demand.Reserve(slots)
	l.plan.averageRoom(now, service, max(float64(slots-online)-reserve, 1))
	left := &serviceBudget{
		usual: fill.StartCapacity(workers, reserve, waiting), pressed: fill.UrgentStartCapacity(workers, reserve, waiting), running: running,
		start: demand.StartLimit(now, slots, l.plan.need[service], l.plan.room[service]),
	}
	b.services[service] = left
	l.logPeriod(service, demand, online)
	l.logPlan(now, service, planSummary{slots: slots, online: online, waiting: waiting, reserve: reserve, start: left.start})
	excess := fill.RequiredPreemptions(workers, waiting)
	for i, early := range fill.EarlyPreemptions(workers, reserve, waiting) {
		if excess[i] > 0 {
			l.preemptLocked(ids[i], excess[i], true)
		}
		if early > excess[i] {
			l.preemptLocked(ids[i], early, false)
		}
	}
}

// warmingUp reports whether this leader is too new to have received the frontends' reports. Until
// then it starts nothing, as it does not know which slots they use.
func (l *Leader) warmingUp(now time.Time) bool { return now.Sub(l.startedAt) < warmUp }

func (p *plan) demandFor(service string) *fill.Demand {
	demand := p.demand[service]
	if demand == nil {
		demand = &fill.Demand{}
		p.demand[service] = demand
	}
	return demand
}

// averageRoom adds a sample to the moving average of the slots available to batch.
func (p *plan) averageRoom(now time.Time, service string, room float64) {
	last, known := p.roomAt[service]
	p.roomAt[service] = now
	if !known {
		p.room[service] = room
		return
	}
	weight := min(float64(now.Sub(last))/float64(roomTimeConstant), 1)
	p.room[service] += weight * (room - p.room[service])
}

// updateStandings classifies items by their deadlines. The caller holds the mutex.
func (l *Leader) updateStandings(now time.Time) {
	if now.Sub(l.plan.standingsAt) < standingInterval {
		return
	}
	l.plan.standingsAt = now
	clear(l.plan.need)
	byService, open := map[string][]*item{}, map[jobs.JobID]int{}
	for _, i := range l.waiting {
		byService[i.service] = append(byService[i.service], i)
		open[i.job.ID]++
	}
	for i := range l.running {
		byService[i.service] = append(byService[i.service], i)
		open[i.job.ID]++
	}
	for service, items := range byService {
		l.updateServiceStandings(now, service, items, open)
	}
	l.sortWaiting()
}

func (l *Leader) updateServiceStandings(now time.Time, service string, items []*item, open map[jobs.JobID]int) {
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(a.job.Due().Compare(b.job.Due()), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.index, b.index))
	})
	list := make([]fill.Item, 0, len(items))
	for _, i := range items {
		each := fill.Item{Remaining: l.left(i)}
		if i.job.RunTarget > 0 {
			each.Due = i.job.Due()
		}
		list = append(list, each)
	}
	l.plan.need[service] = fill.RequiredSlots(now, list)
	for n, standing := range fill.Urgencies(now, list, l.plan.room[service]) {
		items[n].standing, items[n].openInJob = standing, open[items[n].job.ID]
	}
}

// left estimates the remaining run time of an item at a typical worker from the length of its
// output so far.
func (l *Leader) left(i *item) time.Duration {
	i.outputMutex.Lock()
	received := len(i.text)
	i.outputMutex.Unlock()
	return l.lengths.Remaining(received)
}
