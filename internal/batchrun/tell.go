package batchrun

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/fill"
)

// planned is what a look rests on.
type planned struct {
	slots, online, waiting int
	reserve                float64
	start                  fill.Start
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
		"room_mean": int(l.plan.room[service]), "run_ms": l.lengths.Run().Milliseconds(),
		"need": l.plan.need[service], "period_ms": l.plan.period[service].Milliseconds(), "bounded": seen.start.Bounded(), "beside": seen.start.Beside(l.lengths.Run()),
	}).Info("What batch has beside online requests.")
}

// tellRhythm logs that another period of online requests is believed; a look for one is
// no more often than twice a second.
func (l *Leader) tellRhythm(service string, demand *fill.Demand, online int) {
	period, before := demand.Rhythm().Period(), l.plan.period[service]
	if period == before {
		return
	}
	l.plan.period[service] = period
	l.log.WithFields(logrus.Fields{
		"event": "batch_rhythm", "service": service, "period_ms": period.Milliseconds(), "before_ms": before.Milliseconds(), "online": online,
		"need": l.plan.need[service], "room_mean": int(l.plan.room[service]),
	}).Info("The period of online requests is believed to have changed.")
}

// tellTrial logs that an item tries a worker that is suspected; one at a time does.
func (l *Leader) tellTrial(now time.Time, i *item, workerID string, held bool) {
	l.log.WithFields(logrus.Fields{
		"event": "item_tries_worker", "request": i.job.ID, "index": i.index, "worker": workerID, "held_back": held,
		"age_ms": now.Sub(l.suspects.since(workerID)).Milliseconds(),
	}).Info("An item tries a worker at which an answer broke off.")
}
