package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/fill"
)

const (
	// standInterval is between two looks at how items stand.
	standInterval = 100 * time.Millisecond
	// roomMemory is over how long the room of batch is averaged.
	roomMemory   = 10 * time.Second
	tellInterval = time.Second
	// blindTime is how long a new leader waits for frontends' reports.
	blindTime = 500 * time.Millisecond
	// leastPart of an item's time is expected to be left while it runs.
	leastPart = 0.1
	// textShare of a new item's text in the average length.
	textShare = 0.1
)

// plan is what a leader decides by, from one look to the next; its leader's mutex
// guards it.
type plan struct {
	demand    map[string]*fill.Demand // by service
	room      map[string]float64      // slots that batch has on average, by service
	roomAt    map[string]time.Time
	stoodAt   time.Time
	textBytes float64              // of a whole item, lately
	toldAt    map[string]time.Time // when the log last told of a service
}

func newPlan() *plan {
	return &plan{demand: map[string]*fill.Demand{}, room: map[string]float64{}, roomAt: map[string]time.Time{}, toldAt: map[string]time.Time{}}
}

// rooms is what is left for items to start.
type rooms struct {
	seen map[string]bool // services that were looked at
	free map[string]int  // items that may start at a worker; it has to run now or not
	left map[string]int  // items that may start beside the reserve, by service
}

func newRooms() rooms {
	return rooms{seen: map[string]bool{}, free: map[string]int{}, left: map[string]int{}}
}

// allows tells whether an item may start at a worker: pressed ones do not mind the
// reserve.
func (r rooms) allows(id, service string, pressed bool) bool {
	return r.free[id] > 0 && (pressed || r.left[service] > 0)
}

// take takes a slot of a worker.
func (r rooms) take(id, service string) {
	r.free[id]--
	r.left[service]--
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
	slots, online := 0, 0
	for _, seen := range l.service.pool.Occupancies(service) {
		if !seen.Usable || !l.mine(seen.ID) {
			continue
		}
		w := fill.Worker{Slots: seen.Slots, Online: seen.Others, Batch: seen.Taken}
		into.free[seen.ID] = w.Free()
		own, ids = append(own, w), append(ids, seen.ID)
		slots += w.Slots
		online += w.Online
	}
	waiting := l.service.places.waiting(service)
	reserve := l.plan.reserve(now, service, online+waiting, slots)
	l.tell(now, service, planned{slots: slots, online: online, waiting: waiting, reserve: reserve})
	l.plan.average(now, service, max(float64(slots-online)-reserve, 1))
	into.left[service] = fill.Room(own, reserve, waiting)
	for i, excess := range fill.Excess(own, reserve, waiting) {
		if excess > 0 {
			l.giveWayLocked(ids[i], excess, true)
		}
	}
}

// blind tells that this leader has just begun and does not know yet what frontends
// hold: nothing is started on a guess.
func (l *Leader) blind(now time.Time) bool { return now.Sub(l.began) < blindTime }

// reserve is how many slots online requests keep.
func (p *plan) reserve(now time.Time, service string, online, slots int) float64 {
	demand := p.demand[service]
	if demand == nil {
		demand = &fill.Demand{}
		p.demand[service] = demand
	}
	demand.Observe(now, online)
	return demand.Reserve(slots)
}

// planned is what a look rests on.
type planned struct {
	slots, online, waiting int
	reserve                float64
}

// tell logs what the plan rests on, once a second while there is batch.
func (l *Leader) tell(now time.Time, service string, seen planned) {
	if now.Sub(l.plan.toldAt[service]) < tellInterval || len(l.waiting)+len(l.running) == 0 {
		return
	}
	l.plan.toldAt[service] = now
	pressed := 0
	for _, i := range l.waiting {
		if i.standing == fill.Pressed {
			pressed++
		}
	}
	pressedRunning := 0
	for i := range l.running {
		if i.standing == fill.Pressed {
			pressedRunning++
		}
	}
	l.log.WithFields(logrus.Fields{
		"event": "batch_plan", "service": service, "slots": seen.slots, "online": seen.online, "online_waiting": seen.waiting, "reserve": int(seen.reserve),
		"running": len(l.running), "waiting": len(l.waiting), "pressed_waiting": pressed, "pressed_running": pressedRunning,
		"room_mean": int(l.plan.room[service]), "run_ms": l.runTime.Milliseconds(),
	}).Info("What batch has beside online requests.")
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
	byService := map[string][]*item{}
	for _, i := range l.waiting {
		byService[i.service] = append(byService[i.service], i)
	}
	for i := range l.running {
		byService[i.service] = append(byService[i.service], i)
	}
	for service, items := range byService {
		l.standIn(now, items, l.plan.room[service])
	}
	l.sortWaiting()
}

func (l *Leader) standIn(now time.Time, items []*item, room float64) {
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
	for n, standing := range fill.Stand(now, list, room) {
		items[n].standing = standing
	}
}

// left is how long an item still has to run, by the text that it has given.
func (l *Leader) left(i *item) time.Duration {
	i.received.Lock()
	given := len(i.text)
	i.received.Unlock()
	part := 1.0
	if l.plan.textBytes > 0 {
		part = max(1-float64(given)/l.plan.textBytes, leastPart)
	}
	return time.Duration(part * float64(l.runTime))
}

// ended takes a whole text into the average.
func (p *plan) ended(text int) {
	if p.textBytes == 0 {
		p.textBytes = float64(text)
	}
	p.textBytes += textShare * (float64(text) - p.textBytes)
}
