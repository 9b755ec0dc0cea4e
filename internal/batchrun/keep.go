package batchrun

import (
	"time"

	"github.com/dykewing/dykewing/jobs"
)

const (
	// checkpointInterval is the shortest time between two partial outputs of one item. It grows to
	// checkpointCost for each running item, on a full core, so that a leader's load from partial
	// outputs is bounded.
	checkpointInterval = 600 * time.Millisecond
	checkpointCost     = 16 * time.Millisecond
	// checkpointTick is the time between two commands. It is shorter than checkpointInterval so that a
	// command carries partial outputs of many items; one waits 100 ms for its command on average. A command that has
	// reached maxCheckpointBytes takes no more text, as large commands delay heartbeats.
	checkpointTick     = 200 * time.Millisecond
	maxCheckpointBytes = 64 << 10
	// minPartBytes is the least new text that is worth a partial output.
	minPartBytes = 64
)

// checkpointLoop commits the partial output of items, and at once their failure counts, for the
// next leader to resume from.
// Invariant: an item's failures count across leaders, so that one that always fails is abandoned.
func (l *Leader) checkpointLoop() {
	ticker := time.NewTicker(checkpointTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.checkpointNow:
		case <-l.ctx.Done():
			return
		}
		if parts, items := l.dueParts(time.Now()); len(parts) > 0 {
			if _, committed := l.commit(jobs.Command{CheckpointInline: &jobs.CheckpointInline{Parts: parts}}); committed {
				markCommitted(parts, items)
			}
		}
	}
}

// markCommitted records that partial outputs are committed, so that the results of their items
// need not repeat the text.
func markCommitted(parts []jobs.InlinePart, items []*item) {
	for n, part := range parts {
		items[n].outputMutex.Lock()
		items[n].committedBytes = max(items[n].committedBytes, part.Offset+len(part.Text))
		items[n].outputMutex.Unlock()
	}
}

// dueParts returns the partial outputs that are due and, at the same positions, their items.
func (l *Leader) dueParts(now time.Time) ([]jobs.InlinePart, []*item) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var parts []jobs.InlinePart
	var items []*item
	size := 0
	interval := checkpointIntervalFor(len(l.running), l.service.cpuShare)
	add := func(i *item) {
		if part, ok := i.nextPart(now, interval, size < maxCheckpointBytes); ok {
			parts, items = append(parts, part), append(items, i)
			size += len(part.Text)
		}
	}
	for i := range l.running {
		add(i)
	}
	for _, i := range l.waiting {
		add(i)
	}
	return parts, items
}

// checkpointIntervalFor returns the time between two partial outputs of one item, given the number
// of running items and the share of a core that is available; 0 means unknown.
func checkpointIntervalFor(running int, cpuShare float64) time.Duration {
	if cpuShare <= 0 || cpuShare > 1 {
		cpuShare = 1
	}
	return max(checkpointInterval, time.Duration(float64(running)*float64(checkpointCost)/cpuShare))
}

// nextPart returns the output since the last call, if it is due: at once after a failed run,
// otherwise once interval has passed and room permits more text.
func (i *item) nextPart(now time.Time, interval time.Duration, room bool) (jobs.InlinePart, bool) {
	i.outputMutex.Lock()
	defer i.outputMutex.Unlock()
	due := room && !i.detached && len(i.text)-i.proposedBytes >= minPartBytes && now.Sub(i.proposedAt) >= interval
	if !due && i.failures == i.proposedFailures {
		return jobs.InlinePart{}, false
	}
	if i.detached {
		i.proposedFailures = i.failures
		return jobs.InlinePart{Job: i.job.ID, Index: i.index, Offset: i.proposedBytes, Failures: i.failures}, true
	}
	part := jobs.InlinePart{
		Job: i.job.ID, Index: i.index, Offset: i.proposedBytes, Text: string(i.text[i.proposedBytes:]), LastEvent: i.lastEventID, Failures: i.failures,
		Origin: i.origin,
	}
	i.proposedBytes, i.proposedFailures, i.proposedAt = len(i.text), i.failures, now
	return part, true
}
