package batchrun

import (
	"time"

	"github.com/dykewing/dykewing/jobs"
)

const (
	// keepInterval is how often what items have given so far is kept.
	keepInterval = 2 * time.Second
	// leastKept bytes of an item are worth a part.
	leastKept = 64
)

// keepLoop lets the group keep what items have given so far, and, at once, how
// often their runs failed: another leader goes on from there. Invariant: an item's
// failures count over all leaders, so that one that always fails is given up.
func (l *Leader) keepLoop() {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.failed:
		case <-l.ctx.Done():
			return
		}
		if parts := l.newParts(); len(parts) > 0 {
			l.commit(jobs.Command{KeepInline: &jobs.KeepInline{Parts: parts}})
		}
	}
}

func (l *Leader) newParts() []jobs.InlinePart {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var parts []jobs.InlinePart
	for i := range l.running {
		if part, ok := i.newPart(); ok {
			parts = append(parts, part)
		}
	}
	for _, i := range l.waiting {
		if part, ok := i.newPart(); ok {
			parts = append(parts, part)
		}
	}
	return parts
}

// newPart is what has come since the last one.
func (i *item) newPart() (jobs.InlinePart, bool) {
	i.received.Lock()
	defer i.received.Unlock()
	if len(i.text)-i.kept < leastKept && i.failures == i.keptFailures {
		return jobs.InlinePart{}, false
	}
	part := jobs.InlinePart{
		Job: i.job.ID, Index: i.index, Offset: i.kept, Text: string(i.text[i.kept:]), Last: i.last, Failures: i.failures,
	}
	i.kept, i.keptFailures = len(i.text), i.failures
	return part, true
}
