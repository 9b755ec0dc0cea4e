package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/fill"
)

// giveWayLocked stops items at a worker until count have been told to, in the order of
// fill.Yields. Invariant: with pressed, whatever its standing, an item gives way where a
// request waits. They go on elsewhere after their last event.
func (l *Leader) giveWayLocked(workerID string, count int, pressed bool) {
	now := time.Now()
	type choice struct {
		item *item
		fill.Running
	}
	var there []choice
	for i := range l.running {
		if i.worker != workerID {
			continue
		}
		if i.yielding {
			count--
		} else if pressed || i.standing != fill.Pressed {
			there = append(there, choice{i, l.runningAt(now, i)})
		}
	}
	slices.SortFunc(there, func(a, b choice) int {
		return cmp.Or(fill.Yields(now, a.Running, b.Running), cmp.Compare(a.item.job.ID, b.item.job.ID), cmp.Compare(a.item.index, b.item.index))
	})
	for _, c := range there[:max(min(count, len(there)), 0)] {
		c.item.yielding = true
		c.item.cuts++
		c.item.cancel()
		l.service.metrics.yielded.Inc()
		l.service.metrics.lost.Add(c.Lost.Seconds())
		l.log.WithFields(logrus.Fields{
			"event": "item_gives_way", "request": c.item.job.ID, "index": c.item.index, "worker": workerID, "waiting": count,
			"left_ms": time.Until(c.item.job.Due()).Milliseconds(), "run_left_ms": c.Left.Milliseconds(), "ran_ms": now.Sub(c.Since).Milliseconds(),
			"lost_ms": c.Lost.Milliseconds(), "cuts": c.item.cuts, "pressed": c.Standing == fill.Pressed, "early": !pressed,
		}).Info("An item gives way to requests that wait.")
	}
}

// runningAt is what the choice sees of an item that runs.
func (l *Leader) runningAt(now time.Time, i *item) fill.Running {
	i.received.Lock()
	given, lastAt := len(i.text), i.lastAt
	i.received.Unlock()
	r := fill.Running{
		Standing: i.standing, Left: l.lengths.At(i.worker, l.lengths.Left(given)), Cuts: i.cuts, Since: i.since, Open: i.open, Lost: now.Sub(i.since),
	}
	if lastAt.After(i.since) {
		r.Lost = now.Sub(lastAt)
	}
	if i.job.RunTarget > 0 {
		r.Due = i.job.Due()
	}
	return r
}
