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
	// standInterval is between two looks at how items stand.
	standInterval = 100 * time.Millisecond
	// roomMemory is over how long the room of batch is averaged.
	roomMemory   = 10 * time.Second
	tellInterval = time.Second
	// blindTime is how long a new leader waits for frontends' reports.
	blindTime = 500 * time.Millisecond
)

// plan is what a leader decides by, from one look to the next; its leader's mutex
// guards it.
type plan struct {
	demand  map[string]*fill.Demand // by service
	room    map[string]float64      // slots that batch has on average, by service
	roomAt  map[string]time.Time
	need    map[string]int // items that have to run at once, by service
	stoodAt time.Time
	toldAt  map[string]time.Time     // when the log last told of a service
	period  map[string]time.Duration // that the log last told of, by service
}

func newPlan() *plan {
	return &plan{
		demand: map[string]*fill.Demand{}, room: map[string]float64{}, roomAt: map[string]time.Time{}, need: map[string]int{},
		toldAt: map[string]time.Time{}, period: map[string]time.Duration{},
	}
}

// rooms is what is left for items to start.
type rooms struct {
	seen     map[string]bool       // services that were looked at
	free     map[string]int        // slots that nothing takes, by worker
	services map[string]*roomsLeft // by service
	trials   map[string]string     // service of workers that one item may try
}

// roomsLeft is what is left of a service.
type roomsLeft struct {
	usual, pressed int // items that may start beside the reserve; that have to run now
	running        int
	start          fill.Start
	held           int // items that wait for a rise to pass
}

func newRooms() rooms {
	return rooms{seen: map[string]bool{}, free: map[string]int{}, services: map[string]*roomsLeft{}, trials: map[string]string{}}
}

// allows tells whether an item may start at a worker, where it will run for left.
func (r rooms) allows(id, service string, pressed bool, left time.Duration) bool {
	room := r.services[service]
	if r.free[id] <= 0 || room == nil {
		return false
	}
	if r.trials[id] == service {
		return true
	}
	if pressed {
		return room.pressed > 0
	}
	return room.usual > 0 && room.start.Allows(room.running, left)
}

// holds tells whether an item that would run for left waits for a rise to pass though
// there is room for it.
func (r rooms) holds(service string, pressed bool, left time.Duration) bool {
	room := r.services[service]
	if room == nil || pressed || room.usual <= 0 || room.start.Allows(room.running, left) {
		return false
	}
	room.held++
	return true
}

// held counts the items that wait so.
func (r rooms) held() (n int) {
	for _, room := range r.services {
		n += room.held
	}
	return n
}

// take takes a slot of a worker.
func (r rooms) take(id, service string) {
	r.free[id]--
	delete(r.trials, id)
	room := r.services[service]
	room.usual--
	room.pressed--
	room.running++
}

// look brings the plan up to date with what is believed of a service's workers,
// lets items give way, and notes the room that is left. The mutex is held.
func (l *Leader) look(now time.Time, service string, into rooms) {
	if into.seen[service] {
		return
	}
	into.seen[service] = true
	if l.blind(now) {
		return
	}
	var own []fill.Worker
	var ids []string
	slots, online, running := 0, 0, 0
	l.service.pool.EachOccupancy(service, []int{int(l.group)}, func(seen worker.Occupancy) {
		if !seen.Usable {
			return
		}
		w := fill.Worker{Slots: seen.Slots, Online: seen.Others, Batch: seen.Taken}
		into.free[seen.ID] = w.Free()
		own, ids = append(own, w), append(ids, seen.ID)
		if l.suspects.wants(now, seen.ID) {
			into.trials[seen.ID] = service
		}
		slots += w.Slots
		online += w.Online
		running += w.Batch
	})
	waiting := l.service.places.waiting(service)
	demand := l.plan.demandOf(service)
	demand.Observe(now, online+waiting)
	reserve := demand.Reserve(slots)
	l.plan.average(now, service, max(float64(slots-online)-reserve, 1))
	left := &roomsLeft{
		usual: fill.Room(own, reserve, waiting), pressed: fill.RoomPressed(own, reserve, waiting), running: running,
		start: demand.Start(now, slots, l.plan.need[service], l.plan.room[service]),
	}
	into.services[service] = left
	l.tellRhythm(service, demand, online)
	l.tell(now, service, planned{slots: slots, online: online, waiting: waiting, reserve: reserve, start: left.start})
	must := fill.Excess(own, waiting)
	for i, early := range fill.Early(own, reserve, waiting) {
		if must[i] > 0 {
			l.giveWayLocked(ids[i], must[i], true)
		}
		if early > must[i] {
			l.giveWayLocked(ids[i], early, false)
		}
	}
}

// blind tells that this leader has just begun and does not know yet what frontends
// hold: nothing is started on a guess.
func (l *Leader) blind(now time.Time) bool { return now.Sub(l.began) < blindTime }

func (p *plan) demandOf(service string) *fill.Demand {
	demand := p.demand[service]
	if demand == nil {
		demand = &fill.Demand{}
		p.demand[service] = demand
	}
	return demand
}

// average takes the room that batch has now into the mean.
func (p *plan) average(now time.Time, service string, room float64) {
	last, known := p.roomAt[service]
	p.roomAt[service] = now
	if !known {
		p.room[service] = room
		return
	}
	weight := min(float64(now.Sub(last))/float64(roomMemory), 1)
	p.room[service] += weight * (room - p.room[service])
}

// stand brings up to date how items stand to when they are due; the mutex is held.
func (l *Leader) stand(now time.Time) {
	if now.Sub(l.plan.stoodAt) < standInterval {
		return
	}
	l.plan.stoodAt = now
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
		l.standIn(now, service, items, open)
	}
	l.sortWaiting()
}

func (l *Leader) standIn(now time.Time, service string, items []*item, open map[jobs.JobID]int) {
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(a.job.Due().Compare(b.job.Due()), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.index, b.index))
	})
	list := make([]fill.Item, 0, len(items))
	for _, i := range items {
		each := fill.Item{Left: l.left(i)}
		if i.job.RunTarget > 0 {
			each.Due = i.job.Due()
		}
		list = append(list, each)
	}
	l.plan.need[service] = fill.Need(now, list)
	for n, standing := range fill.Stand(now, list, l.plan.room[service]) {
		items[n].standing, items[n].open = standing, open[items[n].job.ID]
	}
}

// left is how long an item still has to run at a usual worker, by the text that it has
// given.
func (l *Leader) left(i *item) time.Duration {
	i.received.Lock()
	given := len(i.text)
	i.received.Unlock()
	return l.lengths.Left(given)
}
