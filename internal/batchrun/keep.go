package batchrun

import (
	"time"

	"github.com/dykewing/dykewing/jobs"
)

const (
	// keepInterval is how often what an item has given so far is kept, and at least
	// keepPerItem for each that runs, on a whole core, so that what a leader spends on
	// parts does not grow with them.
	keepInterval = 600 * time.Millisecond
	keepPerItem  = 16 * time.Millisecond
	// keepTick is the time between two commands: a third of keepInterval, so that parts of
	// many items share one, and a part waits 100 ms for its command in the mean. keptAtOnce
	// are the bytes from which one takes no further item: large ones would hold up
	// heartbeats.
	keepTick   = 200 * time.Millisecond
	keptAtOnce = 64 << 10
	// leastKept bytes of an item are worth a part.
	leastKept = 64
)

// keepLoop lets the group keep what items have given so far, and, at once, how
// often their runs failed: another leader goes on from there. Invariant: an item's
// failures count over all leaders, so that one that always fails is given up.
func (l *Leader) keepLoop() {
	ticker := time.NewTicker(keepTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.failed:
		case <-l.ctx.Done():
			return
		}
		if parts, of := l.newParts(time.Now()); len(parts) > 0 {
			if _, committed := l.commit(jobs.Command{KeepInline: &jobs.KeepInline{Parts: parts}}); committed {
				keptFor(parts, of)
			}
		}
	}
}

// keptFor notes that parts of items are committed: what lists these items later need not
// repeat them.
func keptFor(parts []jobs.InlinePart, of []*item) {
	for n, part := range parts {
		of[n].received.Lock()
		of[n].lasting = max(of[n].lasting, part.Offset+len(part.Text))
		of[n].received.Unlock()
	}
}

// newParts gives the parts that are due, and the item of each.
func (l *Leader) newParts(now time.Time) ([]jobs.InlinePart, []*item) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var parts []jobs.InlinePart
	var of []*item
	n := 0
	every := keepEvery(len(l.running), l.service.core)
	add := func(i *item) {
		if part, ok := i.newPart(now, every, n < keptAtOnce); ok {
			parts, of = append(parts, part), append(of, i)
			n += len(part.Text)
		}
	}
	for i := range l.running {
		add(i)
	}
	for _, i := range l.waiting {
		add(i)
	}
	return parts, of
}

// keepEvery is the time between two parts of one item among so many that run, on so
// much of a core (0: not known).
func keepEvery(running int, core float64) time.Duration {
	if core <= 0 || core > 1 {
		core = 1
	}
	return max(keepInterval, time.Duration(float64(running)*float64(keepPerItem)/core))
}

// newPart is what has come since the last one: at once when a run has failed, else
// each time that every has passed, if there is room.
func (i *item) newPart(now time.Time, every time.Duration, room bool) (jobs.InlinePart, bool) {
	i.received.Lock()
	defer i.received.Unlock()
	due := room && len(i.text)-i.kept >= leastKept && now.Sub(i.keptAt) >= every
	if !due && i.failures == i.keptFailures {
		return jobs.InlinePart{}, false
	}
	part := jobs.InlinePart{
		Job: i.job.ID, Index: i.index, Offset: i.kept, Text: string(i.text[i.kept:]), Last: i.last, Failures: i.failures,
	}
	i.kept, i.keptFailures, i.keptAt = len(i.text), i.failures, now
	return part, true
}
