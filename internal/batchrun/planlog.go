package batchrun

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/fill"
)

// planSummary is the input of a scheduling decision, for the log.
type planSummary struct {
	slots, online, waiting int
	reserve                float64
	start                  fill.StartLimit
}

// logPlan logs the plan of a service, at most once per planLogInterval and only while there are
// items.
func (l *Leader) logPlan(now time.Time, service string, summary planSummary) {
	if now.Sub(l.plan.loggedAt[service]) < planLogInterval || len(l.waiting)+len(l.running) == 0 {
		return
	}
	l.plan.loggedAt[service] = now
	pressed := 0
	for _, i := range l.waiting {
		if i.standing == fill.Urgent {
			pressed++
		}
	}
	pressedRunning := 0
	for i := range l.running {
		if i.standing == fill.Urgent {
			pressedRunning++
		}
	}
	l.log.WithFields(logrus.Fields{
		"event": "batch_plan", "service": service, "slots": summary.slots, "online": summary.online, "online_waiting": summary.waiting, "reserve": int(summary.reserve),
		"running": len(l.running), "waiting": len(l.waiting), "pressed_waiting": pressed, "pressed_running": pressedRunning,
		"room_mean": int(l.plan.room[service]), "run_ms": l.lengths.Mean().Milliseconds(),
		"need": l.plan.need[service], "period_ms": l.plan.loggedPeriod[service].Milliseconds(), "bounded": summary.start.Limited(), "beside": summary.start.Capacity(l.lengths.Mean()),
	}).Info("Batch capacity plan.")
}

// logPeriod logs changes of the detected period of online demand.
func (l *Leader) logPeriod(service string, demand *fill.Demand, online int) {
	period, before := demand.Forecast().Period(), l.plan.loggedPeriod[service]
	if period == before {
		return
	}
	l.plan.loggedPeriod[service] = period
	l.log.WithFields(logrus.Fields{
		"event": "batch_rhythm", "service": service, "period_ms": period.Milliseconds(), "before_ms": before.Milliseconds(), "online": online,
		"need": l.plan.need[service], "room_mean": int(l.plan.room[service]),
	}).Info("The detected period of online demand changed.")
}

// logProbe logs that an item probes a suspected worker.
func (l *Leader) logProbe(now time.Time, i *item, workerID string, heldBack bool) {
	l.log.WithFields(logrus.Fields{
		"event": "item_tries_worker", "request": i.job.ID, "index": i.index, "worker": workerID, "held_back": heldBack,
		"age_ms": now.Sub(l.suspects.lastInterrupted(workerID)).Milliseconds(),
	}).Info("Item started as a probe of a worker whose last response was interrupted.")
}
