package fill

import (
	"cmp"
	"time"
)

// Candidate is a running item as a candidate for preemption.
type Candidate struct {
	Urgency     Urgency
	Due         time.Time
	Remaining   time.Duration // expected remaining run time
	LostRunTime time.Duration // run time since its last event, lost on preemption
	Preemptions int           // number of preemptions so far
	StartedAt   time.Time     // start of this run
	OpenItems   int           // unfinished items of its job including this one; 0 if unknown
}

const (
	// preemptionCost is the delay of a preempted item in addition to its lost run time: the
	// wait for a slot and another prefill.
	preemptionCost = 500 * time.Millisecond
	// nearCompletion is the remaining run time below which an item is left to finish.
	nearCompletion = 250 * time.Millisecond
)

// ComparePreemption compares running items for sorting. Items to preempt first come first.
func ComparePreemption(now time.Time, a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency),
		cmp.Compare(a.protected(now), b.protected(now)),
		cmp.Compare(a.Preemptions, b.Preemptions),
		cmp.Compare(a.LostRunTime, b.LostRunTime),
		b.StartedAt.Compare(a.StartedAt),
	)
}

// protected returns 1 for an item that should rather finish: it is nearly complete, it is the
// last one of its job, or it would miss its due time after a preemption. Otherwise it
// returns 0.
func (r Candidate) protected(now time.Time) int {
	if r.Remaining <= nearCompletion || r.OpenItems == 1 || !r.Due.IsZero() && r.Due.Sub(now) < r.Remaining+r.LostRunTime+preemptionCost {
		return 1
	}
	return 0
}
