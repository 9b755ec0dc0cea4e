package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/fill"
)

// preemptLocked preempts items at a worker until count items there are being preempted, in the
// order of fill.ComparePreemption. Pressed items are spared unless pressed is true, which the caller sets
// where an online request waits. Preempted items resume after their last event. The caller holds
// the mutex.
func (l *Leader) preemptLocked(workerID string, count int, pressed bool) {
	now := time.Now()
	type choice struct {
		item *item
		fill.Candidate
	}
	var candidates []choice
	for i := range l.running {
		if i.worker != workerID {
			continue
		}
		if i.preempted {
			count--
		} else if pressed || i.standing != fill.Urgent {
			candidates = append(candidates, choice{i, l.preemptionInfo(now, i)})
		}
	}
	slices.SortFunc(candidates, func(a, b choice) int {
		return cmp.Or(fill.ComparePreemption(now, a.Candidate, b.Candidate), cmp.Compare(a.item.job.ID, b.item.job.ID), cmp.Compare(a.item.index, b.item.index))
	})
	for _, c := range candidates[:max(min(count, len(candidates)), 0)] {
		c.item.preempted = true
		c.item.preemptions++
		c.item.cancel()
		l.service.metrics.preempted.Inc()
		l.service.metrics.lostSeconds.Add(c.LostRunTime.Seconds())
		l.log.WithFields(logrus.Fields{
			"event": "item_gives_way", "request": c.item.job.ID, "index": c.item.index, "worker": workerID, "waiting": count,
			"left_ms": time.Until(c.item.job.Due()).Milliseconds(), "run_left_ms": c.Remaining.Milliseconds(), "ran_ms": now.Sub(c.StartedAt).Milliseconds(),
			"lost_ms": c.LostRunTime.Milliseconds(), "cuts": c.item.preemptions, "pressed": c.Urgency == fill.Urgent, "early": !pressed,
		}).Info("Item preempted for online requests.")
	}
}

// preemptionInfo describes a running item to fill.ComparePreemption.
func (l *Leader) preemptionInfo(now time.Time, i *item) fill.Candidate {
	i.outputMutex.Lock()
	received, lastAt := len(i.text), i.lastEventAt
	i.outputMutex.Unlock()
	r := fill.Candidate{
		Urgency: i.standing, Remaining: l.lengths.AtWorker(i.worker, l.lengths.Remaining(received)), Preemptions: i.preemptions, StartedAt: i.startedAt, OpenItems: i.openInJob, LostRunTime: now.Sub(i.startedAt),
	}
	if lastAt.After(i.startedAt) {
		r.LostRunTime = now.Sub(lastAt)
	}
	if i.job.RunTarget > 0 {
		r.Due = i.job.Due()
	}
	return r
}
